//! A small deployment: the platform's store, workers, and six hosts in three zones.

use std::fs::{self, File};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use eyre::{Result, WrapErr, bail};
use lagoonnotch_soak::{
    RunLog, StoreServer, UpstreamModel, UpstreamServer, UpstreamSpec, is_ready,
};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::proxy::LateWrites;
use crate::worker::Fleet;

/// Bounds of `DEPLOY.md`.
pub const HOLD_MAX_MS: u64 = 10_000;
pub const FINISH: Duration = Duration::from_secs(14);
pub const MEMORY_MB: u64 = 260;
pub const MAX_FDS: u64 = 4100;

const ZONES: [&str; 3] = ["aran", "burren", "connemara"];

/// Where a host's standard output goes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogTarget {
    /// A file.
    File,
    /// A pipe, whose reader is `cat`-like and a process of its own.
    Collector,
}

/// What a cell has.
#[derive(Clone, Debug)]
pub struct CellSpec {
    pub program: PathBuf,
    pub folder: PathBuf,
    pub workers: u32,
    pub worker_cpu: u64,
    pub log: LogTarget,
    /// Whether the workers know gangs.
    pub knows_gangs: bool,
    /// Appended to the identifiers of workers.
    pub id_suffix: &'static str,
}

pub struct Cell {
    pub log: RunLog,
    pub store: StoreServer,
    pub workers: Vec<UpstreamServer>,
    /// Workers that know gangs.
    pub fleet: Option<Fleet>,
    pub hosts: Vec<Host>,
}

impl Cell {
    pub async fn start(spec: &CellSpec, config: &Value) -> Result<Self> {
        Self::start_with(spec, config, None).await
    }

    /// Starts a cell whose hosts reach the store through a proxy.
    pub async fn start_with(
        spec: &CellSpec,
        config: &Value,
        proxy: Option<&LateWrites>,
    ) -> Result<Self> {
        fs::create_dir_all(&spec.folder)?;
        let log = RunLog::new();
        let store = StoreServer::start(&log);
        store.put("op/config", config);
        let mut workers = Vec::new();
        let mut fleet = None;
        if spec.knows_gangs {
            let name = |number: u32| {
                let zone = ZONES[number as usize % ZONES.len()].to_owned();
                (format!("i-{:08x}", 0x7f3a_9100_u32 + number * 7), zone)
            };
            let ids: Vec<(String, String)> = (0..spec.workers).map(name).collect();
            fleet = Some(Fleet::start(&ids, spec.worker_cpu, &store).await?);
        }
        let of_soak = if spec.knows_gangs { 0 } else { spec.workers };
        for number in 0..of_soak {
            let id = format!("i-{:08x}{}", 0x7f3a_9100_u32 + number * 7, spec.id_suffix);
            let uptime_ms = 300_000 + 1000 * u64::from(number);
            let model = UpstreamModel::new(&id, uptime_ms, HOLD_MAX_MS, 1000, &log);
            let upstream = UpstreamSpec {
                id: &id,
                domain: ZONES[number as usize % ZONES.len()],
                pool: "general",
                cpu_milli: spec.worker_cpu,
                seed: u64::from(number),
            };
            workers.push(UpstreamServer::start(&upstream, model, &store, &log).await?);
        }
        let network = 10 + std::process::id() % 200;
        let mut hosts = Vec::new();
        for (position, zone) in (1..).zip(ZONES) {
            for number in 1..=2 {
                let ip = format!("127.{network}.{position}.{number}");
                let mut address = store.open_address().await?.address;
                if let Some(proxy) = proxy {
                    address = proxy.open_address(address).await?;
                }
                let name = format!("frontend-{zone}-{number}");
                hosts.push(Host::start(spec, &name, zone, &ip, &address)?);
            }
        }
        let limit = Instant::now() + Duration::from_secs(20);
        for host in &hosts {
            while !is_ready(&host.readiness).await {
                if Instant::now() >= limit {
                    bail!("{} is not ready", host.name);
                }
                sleep(Duration::from_millis(50)).await;
            }
        }
        Ok(Self {
            log,
            store,
            workers,
            fleet,
            hosts,
        })
    }

    /// Returns the addresses for consumers.
    pub fn fronts(&self) -> Vec<String> {
        self.hosts.iter().map(|host| host.front.clone()).collect()
    }
}

struct HostState {
    child: Option<Child>,
    collector: Option<Child>,
    spawned_at: Instant,
    starts: u32,
}

impl Drop for HostState {
    fn drop(&mut self) {
        for child in [&mut self.child, &mut self.collector].into_iter().flatten() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// A host, started with the command of the deploy file.
#[derive(Clone)]
pub struct Host {
    pub name: Arc<str>,
    pub front: String,
    pub readiness: String,
    spec: Arc<CellSpec>,
    state: Arc<Mutex<HostState>>,
}

impl Host {
    fn start(spec: &CellSpec, name: &str, zone: &str, ip: &str, store: &str) -> Result<Self> {
        let listen = || std::net::TcpListener::bind((ip, 0));
        let bound = [listen()?, listen()?, listen()?];
        let mut ports = [0; 3];
        for (port, listener) in ports.iter_mut().zip(&bound) {
            *port = listener.local_addr()?.port();
        }
        drop(bound);
        let settings = json!({
            "host": name,
            "failure_domain": zone,
            "ip": ip,
            "caller_address": format!("{ip}:{}", ports[0]),
            "readiness_address": format!("{ip}:{}", ports[1]),
            "peer_ports": [ports[2], ports[2]],
            "store_address": store,
            "processor_share": 0.25,
            "memory_mb": MEMORY_MB,
            "max_descriptors": MAX_FDS,
            "report_interval_ms": 1500,
            "min_store_lease_ms": 1000,
            "bounds": {"revoke_ms": 5000, "task_lease_max_ms": HOLD_MAX_MS, "grace_s": 6},
        });
        fs::write(
            spec.folder.join(format!("{name}.json")),
            settings.to_string(),
        )?;
        let host = Self {
            name: name.into(),
            front: format!("{ip}:{}", ports[0]),
            readiness: format!("{ip}:{}", ports[1]),
            spec: Arc::new(spec.clone()),
            state: Arc::new(Mutex::new(HostState {
                child: None,
                collector: None,
                spawned_at: Instant::now(),
                starts: 0,
            })),
        };
        host.spawn()?;
        Ok(host)
    }

    /// Starts the process if it doesn't run.
    pub fn spawn(&self) -> Result<()> {
        let mut state = self.lock();
        if let Some(child) = &mut state.child
            && child.try_wait()?.is_none()
        {
            return Ok(());
        }
        let log = self.log_file()?;
        // The machine's `max_fds`.
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", &format!("ulimit -S -n {MAX_FDS}; exec \"$0\"")])
            .arg(&self.spec.program)
            .env_clear()
            .env(
                "LAGOONNOTCH_BOOT",
                self.spec.folder.join(format!("{}.json", self.name)),
            )
            .stdin(Stdio::null())
            .stderr(log.try_clone()?);
        match self.spec.log {
            LogTarget::File => command.stdout(log),
            LogTarget::Collector => command.stdout(Stdio::piped()),
        };
        let mut child = command
            .spawn()
            .wrap_err_with(|| format!("can't start {}", self.spec.program.display()))?;
        if let Some(output) = child.stdout.take() {
            // The collector copies its input to the log file.
            let collector = Command::new(std::env::current_exe()?)
                .arg("collect")
                .env_clear()
                .stdin(output)
                .stdout(self.log_file()?)
                .spawn()?;
            state.collector = Some(collector);
        }
        state.child = Some(child);
        state.spawned_at = Instant::now();
        state.starts += 1;
        Ok(())
    }

    fn log_file(&self) -> Result<File> {
        let path = self.spec.folder.join(format!("{}.log", self.name));
        Ok(File::options().create(true).append(true).open(path)?)
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) -> Result<()> {
        let mut state = self.lock();
        signal_child(state.child.as_mut(), signal)
    }

    /// Sends a signal to the reader of the process's standard output.
    pub fn signal_collector(&self, signal: Signal) -> Result<()> {
        let mut state = self.lock();
        signal_child(state.collector.as_mut(), signal)
    }

    /// Returns whether the process runs.
    pub fn is_running(&self) -> bool {
        let mut state = self.lock();
        matches!(state.child.as_mut().map(Child::try_wait), Some(Ok(None)))
    }

    /// Returns the anonymous resident memory of the process, in MiB.
    pub fn memory_mb(&self) -> Option<u64> {
        let pid = self.lock().child.as_ref()?.id();
        let text = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let line = text.lines().find(|line| line.starts_with("RssAnon:"))?;
        let kilobytes: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kilobytes / 1024)
    }

    /// Returns the number of descriptors that the process has open.
    pub fn descriptors(&self) -> usize {
        let state = self.lock();
        let Some(pid) = state.child.as_ref().map(Child::id) else {
            return 0;
        };
        fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count)
    }

    /// Returns the processor time that the process has used, in hundredths of a second.
    pub fn cpu_ticks(&self) -> Option<u64> {
        let pid = self.lock().child.as_ref()?.id();
        let text = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        let fields: Vec<&str> = text.rsplit(") ").next()?.split(' ').collect();
        Some(fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?)
    }

    fn lock(&self) -> MutexGuard<'_, HostState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn signal_child(child: Option<&mut Child>, signal: Signal) -> Result<()> {
    let Some(child) = child else {
        return Ok(());
    };
    if child.try_wait()?.is_some() {
        return Ok(());
    }
    if let Some(pid) = i32::try_from(child.id()).ok().and_then(Pid::from_raw) {
        kill_process(pid, signal)?;
    }
    Ok(())
}

/// Returns the path of a file of the project's.
pub fn existing(path: &str) -> Result<PathBuf> {
    Ok(Path::new(path).canonicalize()?)
}
