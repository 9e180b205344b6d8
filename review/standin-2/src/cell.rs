//! A small deployment: the store, workers, and the daemons as separate processes.

use std::fs;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::call;
use crate::record::Record;
use crate::store::Store;
use crate::worker::{HOLD_MAX_MS, Worker, WorkerKind};

/// Host header of the queues.
const QUEUE_HOST: &str = "ficu95.example";

/// A queue, and the key of the tenant that uses it.
#[derive(Clone, Copy)]
pub struct Queue {
    prefix: &'static str,
    key: &'static str,
}

/// Queue of priority 1, used by a tenant that may have 48 cores running.
pub const STANDING: Queue = Queue {
    prefix: "/puxa403/",
    key: "nfzs989anu6wsjnbanfq",
};

/// Queue of priority 1, used by a tenant without a limit.
pub const SERVICES: Queue = Queue {
    prefix: "/pule252/",
    key: "c81e7a21d94bvm30q2xz",
};

/// Queue of priority 2, used by a tenant without a limit.
pub const BATCH: Queue = Queue {
    prefix: "/lohu930/",
    key: "3hh2b9wu3fexd9dnn2ct",
};

/// Zones of the deployment; one machine in each.
pub const ZONES: [&str; 3] = ["aran", "burren", "connemara"];

/// Service of all workers.
pub const SERVICE: &str = "harvest-ops";

struct Host {
    process: Child,
    front: String,
    readiness: String,
}

/// A running deployment. Its processes end when it is dropped.
pub struct Cell {
    pub record: Record,
    pub store: Store,
    hosts: Vec<Host>,
    folder: PathBuf,
    next_host: usize,
}

impl Cell {
    /// Starts the store and the machines of the system.
    pub fn start(program: &str, record: &Record) -> Cell {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store_address = listener.local_addr().expect("an address").to_string();
        let store = Store::start(listener);
        store.put("op/config", &desired_state());
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let mut cell = Cell {
            record: record.clone(),
            store,
            hosts: Vec::new(),
            folder,
            next_host: 0,
        };
        for zone in ZONES {
            cell.start_host(program, zone, &store_address);
        }
        cell
    }

    fn start_host(&mut self, program: &str, zone: &str, store_address: &str) {
        let ports = free_ports(4);
        let name = format!("frontend-{zone}-1");
        let (front, readiness) = (
            format!("127.0.0.1:{}", ports[0]),
            format!("127.0.0.1:{}", ports[1]),
        );
        // As deploy/settings.json.template is filled in.
        let settings = format!(
            "{{\"host\":\"{name}\",\"failure_domain\":\"{zone}\",\"ip\":\"127.0.0.1\",\"caller_address\":\"{front}\",\"readiness_address\":\"{readiness}\",\"peer_ports\":[{},{}],\"store_address\":\"{store_address}\",\"processor_share\":0.25,\"report_interval_ms\":1500,\"min_store_lease_ms\":1000,\"bounds\":{{\"revoke_ms\":5000,\"task_lease_max_ms\":{HOLD_MAX_MS},\"grace_s\":6}}}}",
            ports[2], ports[2]
        );
        let path = self.folder.join(format!("{name}.json"));
        fs::write(&path, settings).expect("the settings");
        let log = fs::File::create(self.folder.join(format!("{name}.log"))).expect("a log");
        let process = Command::new(program)
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("LAGOONNOTCH_BOOT", &path)
            .stdout(Stdio::from(log.try_clone().expect("a log")))
            .stderr(Stdio::from(log))
            .spawn()
            .expect("the daemon; build it first");
        if let Ok(path) = std::env::var("PIDS") {
            let mut pids = fs::read_to_string(&path).unwrap_or_default();
            pids.push_str(&format!("{}\n", process.id()));
            let _ = fs::write(&path, pids);
        }
        self.hosts.push(Host {
            process,
            front,
            readiness,
        });
    }

    /// Waits until every machine is ready.
    pub fn wait_ready(&self) -> bool {
        self.wait(Duration::from_secs(15), || {
            self.hosts.iter().all(|host| {
                let reply = call(
                    &host.readiness,
                    "GET",
                    "/-/readyz",
                    &[("Host", "x")],
                    "",
                    Duration::from_secs(1),
                );
                reply.is_some_and(|(status, _)| status == 200)
            })
        })
    }

    /// Waits for a condition; returns whether it came true in time.
    pub fn wait(&self, limit: Duration, mut is_true: impl FnMut() -> bool) -> bool {
        let ends_at = Instant::now() + limit;
        while Instant::now() < ends_at {
            if is_true() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        false
    }

    /// Starts a worker that has been up for eight minutes.
    pub fn add_worker(&self, id: &str, zone: &str, label: &str) -> Worker {
        let kind = WorkerKind {
            id: id.to_owned(),
            service: SERVICE.to_owned(),
            zone: zone.to_owned(),
            label: label.to_owned(),
            cpu: 32_000,
        };
        Worker::start(kind, 482_113, &self.record, &self.store)
    }

    fn request(
        &mut self,
        queue: Queue,
        method: &str,
        id: &str,
        body: &str,
    ) -> Option<(u16, String)> {
        let host = &self.hosts[self.next_host % self.hosts.len()];
        self.next_host += 1;
        let headers = [
            ("Host", QUEUE_HOST),
            ("Content-Type", "application/json"),
            ("X-Lagoonnotch-Credential", queue.key),
            ("X-Lagoonnotch-Deadline-Ms", "3000"),
        ];
        let path = format!("{}{id}", queue.prefix);
        let reply = call(
            &host.front,
            method,
            &path,
            &headers,
            body,
            Duration::from_secs(3),
        );
        let answer = reply
            .as_ref()
            .map_or("no answer".to_owned(), |(status, body)| {
                format!("{status} {body}")
            });
        self.record
            .note(&format!("client sends {method} {path} {body} -> {answer}"));
        reply
    }

    /// Submits until it is accepted, as a consumer does: up to five times.
    pub fn submit(&mut self, queue: Queue, id: &str, body: &str) -> bool {
        for _ in 0..5 {
            match self.request(queue, "POST", id, body) {
                Some((status, _)) if (200..300).contains(&status) => return true,
                _ => std::thread::sleep(Duration::from_millis(300)),
            }
        }
        false
    }

    /// Returns the state of a submission, as a consumer is told.
    pub fn state(&mut self, queue: Queue, id: &str) -> Option<String> {
        let (status, body) = self.request(queue, "GET", id, "")?;
        let state = crate::json::Json::parse(&body)?.text("state")?.to_owned();
        (status == 200).then_some(state)
    }

    /// Copies the logs of the daemons into a folder, for those who look for the cause.
    pub fn keep_logs(&self, folder: &Path) {
        for zone in ZONES {
            let name = format!("frontend-{zone}-1.log");
            let _ = fs::copy(self.folder.join(&name), folder.join(&name));
        }
    }
}

impl Drop for Cell {
    fn drop(&mut self) {
        for host in &mut self.hosts {
            let _ = host.process.kill();
            let _ = host.process.wait();
        }
        if let Ok(path) = std::env::var("PIDS") {
            let _ = fs::write(&path, "");
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn free_ports(count: usize) -> Vec<u16> {
    let bound: Vec<TcpListener> = (0..count)
        .map(|_| TcpListener::bind("127.0.0.1:0").expect("a free port"))
        .collect();
    let port_of = |listener: &TcpListener| listener.local_addr().expect("an address").port();
    bound.iter().map(port_of).collect()
}

fn desired_state() -> String {
    let route = |name: &str, queue: Queue, priority: u32| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{QUEUE_HOST}\",\"prefix\":\"{}\",\"kind\":\"non_idempotent\",\"timeout_ms\":3000,\"target_duration_ms\":3000,\"priority\":{priority},\"service\":\"{SERVICE}\",\"max_attempts\":3,\"stretch\":4.0,\"public\":false}}",
            queue.prefix
        )
    };
    let tenant = |name: &str, queue: Queue, cpu: u64| {
        format!(
            "{{\"name\":\"{name}\",\"api_keys\":[\"{}\"],\"priority\":1,\"weight\":15,\"upper_bound\":{{\"cpu\":{cpu},\"mem_mb\":0,\"gpu\":0}}}}",
            queue.key
        )
    };
    format!(
        "{{\"version\":7,\"routes\":[{},{},{}],\"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/healthz\",\"max_conns\":64,\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0,\"admission_check\":false,\"standby\":false}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[{},{},{}]}}",
        route("r-ytapjsu", STANDING, 1),
        route("r-rymh2rr", SERVICES, 1),
        route("r-dev3nax", BATCH, 2),
        tenant("lehu333", STANDING, 48_000),
        tenant("gohu895", SERVICES, 0),
        tenant("hule930", BATCH, 0),
    )
}
