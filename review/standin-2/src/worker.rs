//! Stand-in for a worker, as PROTOCOL.md describes it under "Running tasks".
//!
//! The text of a task says how long it takes: `dur=MS`, 0 for a task that lasts. With `fails` it ends
//! `failed` then; with `fails-once`, its first start does, and later ones last.

use std::collections::{BTreeMap, HashMap};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Reply, Request, serve};
use crate::json::{Json, quote};
use crate::record::Record;
use crate::store::Store;

/// Longest lease that a worker grants, `hold_max_ms`.
pub const HOLD_MAX_MS: u64 = 10_000;

/// Time between two entries in the directory, `heartbeat_ms`.
pub const BEAT: Duration = Duration::from_millis(1500);

/// Time until a task that lasts is at work.
const STARTUP_MS: u64 = 300;

/// Tag of connections that came while the machine had no power.
const NO_BOOT: u64 = 0;

/// What a worker is.
#[derive(Clone)]
pub struct WorkerKind {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub label: String,
    pub cpu: u64,
}

/// Whether the worker can be reached.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Power {
    On,
    /// The process has ended; connections are refused.
    Ended,
    /// The machine has no power; nothing is answered.
    Dark,
}

struct Run {
    run: u32,
    started_at: Instant,
    /// How long it takes; `None` if it lasts.
    takes: Option<Duration>,
    fails: bool,
    index: usize,
}

struct End {
    number: u64,
    task: String,
    run: u32,
    how: &'static str,
    index: usize,
}

struct State {
    power: Power,
    cut: bool,
    /// Number of the boot, from 1.
    boot: u64,
    born_ms: u64,
    booted_at: Instant,
    /// How long the worker had been up when the trial began.
    up_before_ms: u64,
    fence: u64,
    /// When the lease ends, on the worker's clock.
    lease_until: u64,
    running: BTreeMap<String, Run>,
    ends: Vec<End>,
    last_number: u64,
    /// Highest run of each task that was stopped or has ended here.
    closed: HashMap<String, u32>,
    seq: u64,
    connections: Vec<TcpStream>,
    /// When a hold last granted a lease.
    held_at: Option<Instant>,
    /// Id of the worker that has the address now, if it is another one.
    answers_as: Option<String>,
}

impl State {
    fn clock_ms(&self) -> u64 {
        self.up_before_ms + self.booted_at.elapsed().as_millis() as u64
    }

    fn end(&mut self, record: &Record, task: &str, how: &'static str) {
        let Some(run) = self.running.remove(task) else {
            return;
        };
        self.last_number += 1;
        self.close(task, run.run);
        record.end_run(run.index, how);
        self.ends.push(End {
            number: self.last_number,
            task: task.to_owned(),
            run: run.run,
            how,
            index: run.index,
        });
    }

    fn close(&mut self, task: &str, run: u32) {
        let highest = self.closed.entry(task.to_owned()).or_default();
        *highest = (*highest).max(run);
    }

    fn take_deadline(&mut self, deadline_ms: u64) {
        let longest = self.clock_ms() + HOLD_MAX_MS;
        self.lease_until = self.lease_until.max(deadline_ms.min(longest));
    }

    /// Ends what is done, and everything once the lease has ended; returns whether there was any.
    fn tick(&mut self, record: &Record) -> bool {
        if self.power != Power::On {
            return false;
        }
        let lapsed = self.clock_ms() >= self.lease_until;
        if lapsed {
            self.ends
                .iter()
                .for_each(|end| record.excuse_end(end.index));
        }
        let over = |run: &Run| {
            run.takes
                .is_some_and(|takes| run.started_at.elapsed() >= takes)
        };
        let ended: Vec<(String, &'static str)> = self
            .running
            .iter()
            .filter_map(|(task, run)| match (over(run), lapsed) {
                (true, _) if run.fails => Some((task.clone(), "failed")),
                (true, _) => Some((task.clone(), "done")),
                (false, true) => Some((task.clone(), "lapsed")),
                (false, false) => None,
            })
            .collect();
        for (task, how) in &ended {
            self.end(record, task, how);
        }
        !ended.is_empty()
    }

    fn lists(&self) -> String {
        let running: Vec<String> = self
            .running
            .iter()
            .map(|(task, run)| {
                let elapsed = run.started_at.elapsed().as_millis() as u64;
                let percent = match run.takes {
                    Some(takes) => elapsed * 100 / (takes.as_millis() as u64).max(1),
                    None if elapsed >= STARTUP_MS => 100,
                    None => 0,
                };
                format!("[{},{},\"\",{},0]", quote(task), run.run, percent.min(100))
            })
            .collect();
        let ends: Vec<String> = self
            .ends
            .iter()
            .take(500)
            .map(|end| {
                format!(
                    "[{},{},{},\"{}\",\"\"]",
                    end.number,
                    quote(&end.task),
                    end.run,
                    end.how
                )
            })
            .collect();
        format!(
            "{{\"clock_ms\":{},\"born\":{},\"running\":[{}],\"finished\":[{}]}}",
            self.clock_ms(),
            self.born_ms,
            running.join(","),
            ends.join(",")
        )
    }

    fn clock_body(&self) -> String {
        format!("{{\"clock_ms\":{}}}", self.clock_ms())
    }

    fn refusal(&self, reason: &str) -> Reply {
        let clock_ms = self.clock_ms();
        Reply::Answer(
            409,
            format!("{{\"clock_ms\":{clock_ms},\"reason\":\"{reason}\"}}"),
        )
    }
}

/// A worker.
#[derive(Clone)]
pub struct Worker {
    pub kind: WorkerKind,
    address: String,
    shared: Arc<(Mutex<State>, Condvar)>,
    record: Record,
    store: Store,
}

impl Worker {
    /// Starts a worker that had been up for a while.
    pub fn start(kind: WorkerKind, up_before_ms: u64, record: &Record, store: &Store) -> Worker {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address").to_string();
        let state = State {
            power: Power::On,
            cut: false,
            boot: 1,
            born_ms: unix_ms() - up_before_ms,
            booted_at: Instant::now(),
            up_before_ms,
            fence: 0,
            lease_until: 0,
            running: BTreeMap::new(),
            ends: Vec::new(),
            last_number: 0,
            closed: HashMap::new(),
            seq: 0,
            connections: Vec::new(),
            held_at: None,
            answers_as: None,
        };
        let worker = Worker {
            kind,
            address,
            shared: Arc::new((Mutex::new(state), Condvar::new())),
            record: record.clone(),
            store: store.clone(),
        };
        worker.serve(listener);
        worker.clone().run_beats();
        worker.clone().run_ticks();
        worker
    }

    fn serve(&self, listener: TcpListener) {
        let (accepting, handling) = (self.clone(), self.clone());
        let accept = move |stream: &TcpStream| {
            let mut state = accepting.shared.0.lock().unwrap();
            if state.power == Power::Dark {
                return NO_BOOT;
            }
            if state.power == Power::Ended {
                let _ = stream.shutdown(Shutdown::Both);
                return NO_BOOT;
            }
            state.connections.extend(stream.try_clone());
            state.boot
        };
        serve(listener, accept, move |boot, request| {
            handling.handle(boot, request)
        });
    }

    /// Writes the directory entry once.
    fn beat(&self) {
        let entry = {
            let mut state = self.shared.0.lock().unwrap();
            let answers_as = state.answers_as.as_deref().unwrap_or(&self.kind.id);
            if state.power != Power::On || state.cut || answers_as != self.kind.id {
                return;
            }
            state.seq += 1;
            format!(
                "{{\"service\":{},\"addr\":{},\"zone\":{},\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"cold_left_ms\":0,\"capacity\":{{\"cpu\":{},\"mem_mb\":131072,\"gpu\":0}},\"labels\":[{},\"r1\"],\"clock_ms\":{},\"born\":{},\"seq\":{}}}",
                quote(&self.kind.service),
                quote(&self.address),
                quote(&self.kind.zone),
                self.kind.cpu,
                quote(&self.kind.label),
                state.clock_ms(),
                state.born_ms,
                state.seq
            )
        };
        self.store.put(&format!("servers/{}", self.kind.id), &entry);
    }

    fn run_beats(self) {
        std::thread::spawn(move || {
            let mut silent_beats = 0;
            loop {
                self.beat();
                std::thread::sleep(BEAT);
                let state = self.shared.0.lock().unwrap();
                let other = state
                    .answers_as
                    .as_ref()
                    .is_some_and(|id| *id != self.kind.id);
                let silent = state.power != Power::On || state.cut || other;
                drop(state);
                silent_beats = if silent { silent_beats + 1 } else { 0 };
                if silent_beats == 3 {
                    self.store.remove(&format!("servers/{}", self.kind.id));
                }
            }
        });
    }

    fn run_ticks(self) {
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(5));
                let any = self.shared.0.lock().unwrap().tick(&self.record);
                if any {
                    self.shared.1.notify_all();
                }
            }
        });
    }

    /// The machine loses power: its connections fall silent, and everything on it is lost.
    pub fn lose_power(&self) {
        self.record.note(&format!(
            "worker {} falls silent (srv_crash, dark)",
            self.kind.id
        ));
        self.fall(Power::Dark);
    }

    /// The process crashes: its connections are reset, and everything on it is lost.
    pub fn crash(&self) {
        self.record
            .note(&format!("worker {} crashes (srv_crash)", self.kind.id));
        self.fall(Power::Ended);
        let connections = std::mem::take(&mut self.shared.0.lock().unwrap().connections);
        for connection in connections {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    fn fall(&self, power: Power) {
        let mut state = self.shared.0.lock().unwrap();
        state.power = power;
        for run in std::mem::take(&mut state.running).into_values() {
            self.record.end_run(run.index, "lost");
        }
        self.shared.1.notify_all();
    }

    /// The worker starts again under its id and at its address. It knows nothing of before.
    pub fn boot_again(&self) {
        let mut state = self.shared.0.lock().unwrap();
        state.power = Power::On;
        state.boot += 1;
        state.born_ms = unix_ms();
        state.booted_at = Instant::now();
        state.up_before_ms = 0;
        state.fence = 0;
        state.lease_until = 0;
        state.ends.clear();
        state.last_number = 0;
        state.closed.clear();
        state.seq = 0;
        state.held_at = None;
        let boot = state.boot;
        drop(state);
        self.record.note(&format!(
            "worker {} starts again under its id, boot {boot}",
            self.kind.id
        ));
        self.beat();
    }

    /// The worker ends, and its address goes to a worker of another service.
    pub fn give_address_away(&self) -> Worker {
        let other = Worker {
            kind: WorkerKind {
                id: format!("{}x", self.kind.id),
                service: "fog-vision".to_owned(),
                ..self.kind.clone()
            },
            ..self.clone()
        };
        other.shared.0.lock().unwrap().answers_as = Some(other.kind.id.clone());
        other.boot_again();
        other.clone().run_beats();
        other
    }

    /// Cuts the worker off from all machines, or ends the cut.
    pub fn set_cut(&self, cut: bool) {
        let what = if cut {
            "is cut off"
        } else {
            "is reachable again"
        };
        self.record.note(&format!("worker {} {what}", self.kind.id));
        self.shared.0.lock().unwrap().cut = cut;
        self.shared.1.notify_all();
    }

    /// Returns the names of the running tasks.
    pub fn running(&self) -> Vec<String> {
        self.shared
            .0
            .lock()
            .unwrap()
            .running
            .keys()
            .cloned()
            .collect()
    }

    /// Returns the number of ends in this boot.
    pub fn end_count(&self) -> u64 {
        self.shared.0.lock().unwrap().last_number
    }

    fn handle(&self, boot: u64, request: &Request) -> Reply {
        let mut state = self.shared.0.lock().unwrap();
        if let Some(reply) = unreachable(&state, boot) {
            return reply;
        }
        let expected = request.header("X-Lagoonnotch-Expect-Instance");
        let id = state.answers_as.as_deref().unwrap_or(&self.kind.id);
        if expected.is_some_and(|expected| expected != id) {
            return Reply::Answer(421, state.clock_body());
        }
        let Some(body) = Json::parse(&request.body) else {
            return Reply::Answer(400, "{}".to_owned());
        };
        let token = body.number("fencing_token").unwrap_or(0);
        if token < state.fence {
            return state.refusal("fence");
        }
        state.fence = token;
        state.tick(&self.record);
        match request.path.as_str() {
            "/-/run-start" => self.start_run(&mut state, &body),
            "/-/run-stop" => self.stop_run(&mut state, &body),
            "/-/hold" => {
                drop(state);
                self.hold(boot, &body)
            }
            _ => Reply::Answer(400, "{}".to_owned()),
        }
    }

    fn start_run(&self, state: &mut State, body: &Json) -> Reply {
        let (Some(task), Some(run)) = (body.text("task"), body.number("attempt")) else {
            return Reply::Answer(400, "{}".to_owned());
        };
        let deadline_ms = body.number("deadline_ms").unwrap_or(0);
        let run = run as u32;
        if state
            .running
            .get(task)
            .is_some_and(|found| found.run == run)
        {
            state.take_deadline(deadline_ms);
            return Reply::Answer(200, state.clock_body());
        }
        let is_old = state.closed.get(task).is_some_and(|closed| run <= *closed)
            || state.running.contains_key(task);
        if is_old {
            state.take_deadline(deadline_ms);
            return state.refusal("old");
        }
        if deadline_ms <= state.clock_ms() {
            return state.refusal("late");
        }
        state.take_deadline(deadline_ms);
        let index = self.record.begin_run(task, run, &self.kind.id, state.boot);
        let spec = body.text("spec").unwrap_or("");
        let fails_once = spec.ends_with(" fails-once");
        let lasts = fails_once && !self.record.is_first_run(task);
        state.running.insert(
            task.to_owned(),
            Run {
                run,
                started_at: Instant::now(),
                takes: takes(spec).filter(|_| !lasts),
                fails: fails_once || spec.ends_with(" fails"),
                index,
            },
        );
        Reply::Answer(200, state.clock_body())
    }

    fn stop_run(&self, state: &mut State, body: &Json) -> Reply {
        let (Some(task), Some(run)) = (body.text("task"), body.number("attempt")) else {
            return Reply::Answer(400, "{}".to_owned());
        };
        let run = run as u32;
        state.close(task, run);
        if state
            .running
            .get(task)
            .is_some_and(|found| found.run <= run)
        {
            state.end(&self.record, task, "stopped");
            self.shared.1.notify_all();
        }
        Reply::Answer(200, state.clock_body())
    }

    fn hold(&self, boot: u64, body: &Json) -> Reply {
        let mut state = self.shared.0.lock().unwrap();
        if let Some(ack) = body.number("ack_cursor") {
            for end in state.ends.iter().filter(|end| end.number <= ack) {
                self.record.note_end(end.index);
                self.record.note(&format!(
                    "worker {} boot {} forgets the end of {} run {} ({}): number {} <= ack_cursor {ack}",
                    self.kind.id, state.boot, end.task, end.run, end.how, end.number
                ));
            }
            state.ends.retain(|end| end.number > ack);
        }
        if let Some(deadline_ms) = body.number("deadline_ms") {
            if deadline_ms > state.clock_ms() + HOLD_MAX_MS {
                self.record.note(&format!(
                    "worker {} boot {}: deadline_ms {deadline_ms} at clock_ms {} is shortened to hold_max_ms",
                    self.kind.id, state.boot, state.clock_ms()
                ));
            }
            state.take_deadline(deadline_ms);
            state.held_at = Some(Instant::now());
        }
        let wait_ms = body.number("wait_ms").unwrap_or(0).min(2000);
        let ends_at = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            if let Some(reply) = unreachable(&state, boot) {
                return reply;
            }
            let now = Instant::now();
            if !state.ends.is_empty() || now >= ends_at {
                return Reply::Answer(200, state.lists());
            }
            state = self.shared.1.wait_timeout(state, ends_at - now).unwrap().0;
        }
    }

    /// Returns the time since a hold last granted a lease in this boot.
    pub fn since_hold(&self) -> Option<Duration> {
        let state = self.shared.0.lock().unwrap();
        state.held_at.map(|at| at.elapsed())
    }
}

/// Returns what becomes of a request that the worker can't answer.
fn unreachable(state: &State, boot: u64) -> Option<Reply> {
    match state.power {
        Power::Dark => Some(Reply::Silence),
        Power::Ended => Some(Reply::Reset),
        Power::On if boot != state.boot => Some(Reply::Reset),
        Power::On if state.cut => Some(Reply::Silence),
        Power::On => None,
    }
}

fn takes(spec: &str) -> Option<Duration> {
    let text = spec.split(' ').find_map(|word| word.strip_prefix("dur="))?;
    let duration_ms: u64 = text.parse().ok()?;
    (duration_ms > 0).then(|| Duration::from_millis(duration_ms))
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}
