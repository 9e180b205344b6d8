//! What was sent, answered and run, and the rules that are judged by it.

use std::collections::HashSet;
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// One run of a task on a worker.
#[derive(Clone, Debug)]
pub struct RunRecord {
    pub task: String,
    pub run: u32,
    pub worker: String,
    /// Number of the worker's boot, from 1.
    pub boot: u64,
    pub started_ms: u64,
    /// When it ended, and how; `lost` if its worker crashed.
    pub ended: Option<(u64, &'static str)>,
    /// When `ack_cursor` reached its end.
    pub noted_ms: Option<u64>,
    /// Whether the worker's lease lapsed after its end and before that.
    pub lapsed_between: bool,
}

struct State {
    file: File,
    runs: Vec<RunRecord>,
    /// Tasks that were started at least once.
    started: HashSet<String>,
}

/// Record of a trial.
#[derive(Clone)]
pub struct Record {
    began_at: Instant,
    state: Arc<Mutex<State>>,
}

impl Record {
    /// Creates the record `record.txt` in a folder.
    pub fn create(folder: &Path) -> Record {
        let file = File::create(folder.join("record.txt")).expect("record.txt");
        let state = State {
            file,
            runs: Vec::new(),
            started: HashSet::new(),
        };
        Record {
            began_at: Instant::now(),
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Returns the time since the trial began, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.began_at.elapsed().as_millis() as u64
    }

    /// Writes a line with the time.
    pub fn note(&self, line: &str) {
        let now_ms = self.now_ms();
        let mut state = self.state.lock().unwrap();
        let _ = writeln!(state.file, "{:9.3} {line}", now_ms as f64 / 1000.0);
    }

    /// Records the start of a run; returns its index.
    pub fn begin_run(&self, task: &str, run: u32, worker: &str, boot: u64) -> usize {
        let started_ms = self.now_ms();
        self.note(&format!(
            "worker {worker} boot {boot} starts {task} run {run}"
        ));
        let mut state = self.state.lock().unwrap();
        state.runs.push(RunRecord {
            task: task.to_owned(),
            run,
            worker: worker.to_owned(),
            boot,
            started_ms,
            ended: None,
            noted_ms: None,
            lapsed_between: false,
        });
        state.runs.len() - 1
    }

    /// Returns whether a task is started for the first time, and remembers that.
    pub fn is_first_run(&self, task: &str) -> bool {
        self.state.lock().unwrap().started.insert(task.to_owned())
    }

    /// Records the end of a run.
    pub fn end_run(&self, index: usize, how: &'static str) {
        let now_ms = self.now_ms();
        let (worker, boot, task, run) = {
            let mut state = self.state.lock().unwrap();
            let found = &mut state.runs[index];
            found.ended = Some((now_ms, how));
            (
                found.worker.clone(),
                found.boot,
                found.task.clone(),
                found.run,
            )
        };
        self.note(&format!(
            "worker {worker} boot {boot} ends {task} run {run}: {how}"
        ));
    }

    /// Records that an end was taken note of.
    pub fn note_end(&self, index: usize) {
        let now_ms = self.now_ms();
        self.state.lock().unwrap().runs[index].noted_ms = Some(now_ms);
    }

    /// Records that the worker's lease lapsed before an end was taken note of.
    pub fn excuse_end(&self, index: usize) {
        self.state.lock().unwrap().runs[index].lapsed_between = true;
    }

    /// Returns all runs so far.
    pub fn runs(&self) -> Vec<RunRecord> {
        self.state.lock().unwrap().runs.clone()
    }

    /// Rule TWICE: returns what broke it.
    pub fn runs_twice(&self) -> Vec<String> {
        let (runs, now_ms) = (self.runs(), self.now_ms());
        let mut broken = Vec::new();
        for (number, first) in runs.iter().enumerate() {
            let first_end = first.ended.map_or(now_ms, |(at, _)| at);
            for second in &runs[number + 1..] {
                if second.task != first.task {
                    continue;
                }
                if second.started_ms < first_end {
                    let second_end = second.ended.map_or(now_ms, |(at, _)| at);
                    let overlap = first_end.min(second_end) - second.started_ms;
                    broken.push(format!(
                        "TWICE: {} ran as run {} on {} (boot {}) and as run {} on {} (boot {}) at the same time, for {overlap} ms",
                        first.task, first.run, first.worker, first.boot, second.run, second.worker, second.boot
                    ));
                }
                let was_done = matches!(first.ended, Some((at, "done")) if second.started_ms >= at);
                if was_done && first.noted_ms.is_some() && !first.lapsed_between {
                    broken.push(format!(
                        "TWICE: {} ended done as run {} on {} (boot {}), which ack_cursor reached, and started again {} ms after that end, as run {} on {} (boot {})",
                        first.task, first.run, first.worker, first.boot,
                        second.started_ms - first_end, second.run, second.worker, second.boot
                    ));
                }
            }
        }
        broken
    }

    /// Rule LOST, for a task that lasts: returns the spans after a time in which it had no run for
    /// longer than a limit, however full the service was.
    pub fn absences(&self, task: &str, from_ms: u64, limit_ms: u64) -> Vec<String> {
        let (runs, now_ms) = (self.runs(), self.now_ms());
        let (mut absences, mut present_until) = (Vec::new(), from_ms);
        let of_task = runs.iter().filter(|run| run.task == task);
        let spans = of_task.map(|run| (run.started_ms, run.ended.map_or(now_ms, |(at, _)| at)));
        for (started_ms, ended_ms) in spans.chain([(now_ms, now_ms)]) {
            if started_ms > present_until + limit_ms {
                absences.push(format!(
                    "LOST: {task} had no run for {} ms from {:.3} s on",
                    started_ms - present_until,
                    present_until as f64 / 1000.0
                ));
            }
            present_until = present_until.max(ended_ms);
        }
        absences
    }

    /// Rule LOST: returns the spans after a time in which a submission had nothing running for
    /// longer than a limit, while there was capacity for its task twice over and under half of all
    /// capacity was in use.
    pub fn idle_spans(
        &self,
        submission: &str,
        from_ms: u64,
        limit_ms: u64,
        room: &Room,
    ) -> Vec<String> {
        let (runs, now_ms) = (self.runs(), self.now_ms());
        let end_of = |run: &RunRecord| run.ended.map_or(now_ms, |(at, _)| at);
        let mut times: Vec<u64> = runs
            .iter()
            .flat_map(|run| [run.started_ms, end_of(run)])
            .chain([from_ms, now_ms])
            .filter(|at| *at >= from_ms)
            .collect();
        times.sort_unstable();
        times.dedup();
        let mut idle = Vec::new();
        let mut since: Option<u64> = None;
        for at in times {
            let present = |run: &&RunRecord| run.started_ms <= at && at < end_of(run);
            let present: Vec<&RunRecord> = runs.iter().filter(present).collect();
            let is_idle = room.allows(submission, &present) && at < now_ms;
            match (since, is_idle) {
                (None, true) => since = Some(at),
                (Some(began_ms), false) => {
                    if at - began_ms > limit_ms {
                        idle.push(format!(
                            "LOST: {submission} isn't completed, and had nothing running for {} ms from {:.3} s on, with room for it twice over and under half of the capacity in use",
                            at - began_ms,
                            began_ms as f64 / 1000.0
                        ));
                    }
                    since = None;
                }
                _ => {}
            }
        }
        idle
    }
}

/// The capacity of a service, and what its tasks need.
pub struct Room {
    pub workers: Vec<String>,
    /// Capacity of each worker.
    pub cpu: u64,
    /// What a task of the submission in question needs.
    pub need: u64,
    /// What a task needs, by its name.
    pub size_of: fn(&str) -> u64,
}

impl Room {
    /// Returns whether the submission has nothing running, although it could have.
    fn allows(&self, submission: &str, present: &[&RunRecord]) -> bool {
        if present.iter().any(|run| is_of(run, submission)) {
            return false;
        }
        let used_on = |worker: &String| {
            let runs = present.iter().filter(|run| run.worker == *worker);
            runs.map(|run| (self.size_of)(&run.task)).sum::<u64>()
        };
        let used: u64 = self.workers.iter().map(used_on).sum();
        let free_on = |worker: &String| self.cpu.saturating_sub(used_on(worker));
        let fitting: u64 = self
            .workers
            .iter()
            .map(|worker| free_on(worker) / self.need)
            .sum();
        fitting >= 2 && 2 * used < self.cpu * self.workers.len() as u64
    }
}

fn is_of(run: &RunRecord, submission: &str) -> bool {
    run.task.split('.').next() == Some(submission)
}
