//! Workers that know gangs, as PROTOCOL.md describes them: the members of a gang work from the moment
//! when all of one run are present, and end `done` together; a member that waits `gang_timeout_ms` for
//! the others ends `alone`, and if one ends otherwise, the others end `broken`.
//!
//! The text of a task says `run_ms=N`, 0 for a task that lasts, and `gang=N`, the number of members.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use eyre::Result;
use lagoonnotch_soak::StoreServer;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::cell::HOLD_MAX_MS;
use crate::http::request_length;

const GANG_TIMEOUT_MS: u64 = 3000;
const REPORT_INTERVAL: Duration = Duration::from_millis(1500);
const ENTRY_TTL_MS: u64 = 4500;
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
const MAX_LISTED_FINISHED: usize = 500;
const STARTUP_MS: u64 = 300;

/// A run, for the record of a case.
#[derive(Clone, Debug)]
pub struct RunNote {
    pub task: String,
    pub attempt: u64,
    pub worker: usize,
    pub started_ms: u64,
    pub ended: Option<(u64, &'static str)>,
}

struct ActiveRun {
    attempt: u64,
    started_ms: u64,
    run_ms: u64,
    gang: Option<GangKey>,
    note: usize,
}

/// Step of an occurrence, and attempt.
type GangKey = (String, u64);

#[derive(Default)]
struct Gang {
    size: usize,
    present: usize,
    /// When the last member came.
    complete_ms: Option<u64>,
    is_broken: bool,
}

#[derive(Default)]
struct Worker {
    fence: u64,
    lease_ends_ms: u64,
    runs: BTreeMap<String, ActiveRun>,
    finished: Vec<(u64, String, u64, &'static str)>,
    last_number: u64,
    closed: BTreeMap<String, u64>,
}

#[derive(Default)]
struct FleetState {
    workers: Vec<Worker>,
    gangs: BTreeMap<GangKey, Gang>,
    notes: Vec<RunNote>,
}

/// All workers of a cell.
#[derive(Clone)]
pub struct Fleet {
    began_at: Instant,
    born_unix_ms: u64,
    state: Arc<Mutex<FleetState>>,
    /// Number of ends so far.
    ends: watch::Sender<u64>,
}

impl Fleet {
    pub async fn start(ids: &[(String, String)], cpu: u64, store: &StoreServer) -> Result<Self> {
        let born = SystemTime::now().duration_since(UNIX_EPOCH)?;
        let fleet = Self {
            began_at: Instant::now(),
            born_unix_ms: u64::try_from(born.as_millis())?,
            state: Arc::default(),
            ends: watch::Sender::new(0),
        };
        for (position, (id, zone)) in ids.iter().enumerate() {
            fleet.lock().workers.push(Worker::default());
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            let entry = json!({
                "service": "general",
                "addr": listener.local_addr()?.to_string(),
                "zone": zone,
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "cold_left_ms": 0,
                "capacity": {"cpu": cpu, "mem_mb": 131_072, "gpu": 0},
                "labels": ["a", "rack-1"],
                "born": fleet.born_unix_ms,
            });
            tokio::spawn(fleet.clone().report(id.clone(), entry, store.clone()));
            tokio::spawn(fleet.clone().accept(position, id.clone(), listener));
        }
        tokio::spawn(fleet.clone().advance_runs());
        Ok(fleet)
    }

    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.began_at.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    pub fn notes(&self) -> Vec<RunNote> {
        self.lock().notes.clone()
    }

    fn lock(&self) -> MutexGuard<'_, FleetState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn report(self, id: String, mut entry: Value, store: StoreServer) {
        let mut lease = 0;
        for sequence in 1_u64.. {
            entry["seq"] = json!(sequence);
            entry["clock_ms"] = json!(self.now_ms());
            lease = store.report(&format!("servers/{id}"), &entry, lease, ENTRY_TTL_MS);
            sleep(REPORT_INTERVAL).await;
        }
    }

    async fn advance_runs(self) {
        loop {
            sleep(CHECK_INTERVAL).await;
            let ended = self.lock().advance(self.now_ms());
            if ended > 0 {
                self.ends.send_modify(|ends| *ends += 1);
            }
        }
    }

    async fn accept(self, position: usize, id: String, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let (fleet, id) = (self.clone(), id.clone());
                    tokio::spawn(async move {
                        let _ = fleet.serve(position, &id, stream).await;
                    });
                }
                Err(_) => sleep(Duration::from_millis(10)).await,
            }
        }
    }

    async fn serve(&self, position: usize, id: &str, mut stream: TcpStream) -> Result<()> {
        stream.set_nodelay(true)?;
        let mut bytes = Vec::new();
        loop {
            let Some(length) = request_length(&bytes) else {
                if stream.read_buf(&mut bytes).await? == 0 {
                    return Ok(());
                }
                continue;
            };
            let request: Vec<u8> = bytes.drain(..length).collect();
            let text = String::from_utf8_lossy(&request);
            let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&*text, ""));
            let (status, reply) = self.answer(position, id, head, body).await;
            let reply = reply.to_string();
            let answer = format!(
                "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\
                 \r\n{reply}",
                reply.len()
            );
            stream.write_all(answer.as_bytes()).await?;
        }
    }

    async fn answer(&self, position: usize, id: &str, head: &str, body: &str) -> (u16, Value) {
        let path = head.split(' ').nth(1).unwrap_or_default();
        let expected = head.lines().find_map(|line| {
            let (name, value) = line.split_once(':')?;
            let is_expected = name.eq_ignore_ascii_case("X-Lagoonnotch-Expect-Instance");
            is_expected.then(|| value.trim().to_owned())
        });
        if expected.is_some_and(|expected| expected != id) {
            return (421, json!({"clock_ms": self.now_ms()}));
        }
        let Ok(order) = serde_json::from_str::<Value>(body) else {
            return (400, json!({"clock_ms": self.now_ms()}));
        };
        let mut ends = self.ends.subscribe();
        let outcome = self.lock().execute(position, self.now_ms(), path, &order);
        let (status, reason) = outcome;
        if status != 200 {
            return (status, json!({"clock_ms": self.now_ms(), "reason": reason}));
        }
        if path != "/-/hold" {
            return (200, json!({"clock_ms": self.now_ms()}));
        }
        let wait = Duration::from_millis(order["wait_ms"].as_u64().unwrap_or(0));
        let has_ends = || !self.lock().workers[position].finished.is_empty();
        let _ = timeout(wait, async {
            while !has_ends() && ends.changed().await.is_ok() {}
        })
        .await;
        let mut lists = self.lock().lists(position, self.now_ms());
        lists["clock_ms"] = json!(self.now_ms());
        lists["born"] = json!(self.born_unix_ms);
        (200, lists)
    }
}

impl FleetState {
    fn execute(
        &mut self,
        position: usize,
        now: u64,
        path: &str,
        order: &Value,
    ) -> (u16, &'static str) {
        let number = |name: &str| order[name].as_u64().unwrap_or(0);
        let fence = number("fencing_token");
        let worker = &mut self.workers[position];
        if fence < worker.fence {
            return (409, "fence");
        }
        worker.fence = fence;
        let longest = now + HOLD_MAX_MS;
        let lease = worker.lease_ends_ms.max(number("deadline_ms").min(longest));
        let task = order["task"].as_str().unwrap_or_default();
        let attempt = number("attempt");
        match path {
            "/-/run-start" => {
                let present = worker.runs.get(task).map_or(0, |run| run.attempt);
                if present > 0 && present == attempt {
                    worker.lease_ends_ms = lease;
                    return (200, "");
                }
                let closed = worker.closed.get(task).copied().unwrap_or(0);
                if attempt <= closed.max(present) {
                    worker.lease_ends_ms = lease;
                    return (409, "old");
                }
                if number("deadline_ms") <= now {
                    return (409, "late");
                }
                worker.lease_ends_ms = lease;
                self.end(position, now, task, "stopped");
                let spec = order["spec"].as_str().unwrap_or_default();
                self.begin(position, now, task, attempt, spec);
                (200, "")
            }
            "/-/run-stop" => {
                let closed = worker.closed.entry(task.to_owned()).or_default();
                *closed = attempt.max(*closed);
                if worker
                    .runs
                    .get(task)
                    .is_some_and(|run| run.attempt <= attempt)
                {
                    self.end(position, now, task, "stopped");
                }
                (200, "")
            }
            "/-/hold" => {
                worker.lease_ends_ms = lease;
                let acknowledged = number("ack_cursor");
                worker
                    .finished
                    .retain(|(number, ..)| *number > acknowledged);
                (200, "")
            }
            _ => (400, "path"),
        }
    }

    fn begin(&mut self, position: usize, now: u64, task: &str, attempt: u64, spec: &str) {
        let find = |name: &str| {
            let mut words = spec.split_whitespace();
            words.find_map(|word| word.strip_prefix(name)?.parse::<u64>().ok())
        };
        let size = find("gang=").unwrap_or(0);
        let gang = (size > 0).then(|| {
            let step = task.rsplit_once('.').map_or(task, |(step, _)| step);
            (step.to_owned(), attempt)
        });
        if let Some(key) = &gang {
            let gang = self.gangs.entry(key.clone()).or_default();
            gang.size = usize::try_from(size).unwrap_or(usize::MAX);
            gang.present += 1;
            if gang.present == gang.size {
                gang.complete_ms = Some(now);
            }
        }
        self.notes.push(RunNote {
            task: task.to_owned(),
            attempt,
            worker: position,
            started_ms: now,
            ended: None,
        });
        let run = ActiveRun {
            attempt,
            started_ms: now,
            run_ms: find("run_ms=").unwrap_or(0),
            gang,
            note: self.notes.len() - 1,
        };
        self.workers[position].runs.insert(task.to_owned(), run);
    }

    fn end(&mut self, position: usize, now: u64, task: &str, how: &'static str) {
        let worker = &mut self.workers[position];
        let Some(run) = worker.runs.remove(task) else {
            return;
        };
        let closed = worker.closed.entry(task.to_owned()).or_default();
        *closed = run.attempt.max(*closed);
        worker.last_number += 1;
        let number = worker.last_number;
        worker
            .finished
            .push((number, task.to_owned(), run.attempt, how));
        self.notes[run.note].ended = Some((now, how));
        if let Some(gang) = run.gang.and_then(|key| self.gangs.get_mut(&key)) {
            gang.present = gang.present.saturating_sub(1);
            gang.is_broken |= how != "done" && gang.complete_ms.is_some();
        }
    }

    /// Ends what is due; returns how many runs have ended.
    fn advance(&mut self, now: u64) -> usize {
        let mut due = Vec::new();
        for (position, worker) in self.workers.iter().enumerate() {
            for (task, run) in &worker.runs {
                let gang = run.gang.as_ref().and_then(|key| self.gangs.get(key));
                let works_from = match gang {
                    None => Some(run.started_ms),
                    Some(gang) => gang.complete_ms,
                };
                let is_done = run.run_ms > 0 && works_from.is_some_and(|at| at + run.run_ms <= now);
                let is_alone = works_from.is_none() && run.started_ms + GANG_TIMEOUT_MS <= now;
                let how = if now >= worker.lease_ends_ms {
                    "lapsed"
                } else if gang.is_some_and(|gang| gang.is_broken) {
                    "broken"
                } else if is_done {
                    "done"
                } else if is_alone {
                    "alone"
                } else {
                    continue;
                };
                due.push((position, task.clone(), how));
            }
        }
        for (position, task, how) in &due {
            self.end(*position, now, task, how);
        }
        due.len()
    }

    fn lists(&self, position: usize, now: u64) -> Value {
        let worker = &self.workers[position];
        let running = worker.runs.iter().map(|(task, run)| {
            let elapsed = now.saturating_sub(run.started_ms);
            let percent = match run.run_ms {
                0 if elapsed >= STARTUP_MS => 100,
                0 => 0,
                run_ms => (elapsed * 100 / run_ms).min(99),
            };
            json!([task, run.attempt, "", percent, 0])
        });
        let finished = worker.finished.iter().take(MAX_LISTED_FINISHED);
        let finished =
            finished.map(|(number, task, attempt, how)| json!([number, task, attempt, how, ""]));
        json!({
            "running": running.collect::<Vec<_>>(),
            "finished": finished.collect::<Vec<_>>(),
        })
    }
}
