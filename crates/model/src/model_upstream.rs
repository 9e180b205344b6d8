//! An upstream that keeps the published protocol, and a record of all that ran.

use std::collections::BTreeMap;
use std::sync::Arc;

use lagoonnotch_fleet::model::{
    FinishedRun, RejectReason, RenewReply, ResourceSize, RunOutcome, RunReport, StartOutcome,
    StopOutcome, TaskName, UpstreamReport,
};
use lagoonnotch_fleet::owner::{RenewOrder, StartOrder, StopOrder};

/// A run that is present.
#[derive(Clone, Debug)]
pub struct ModelRun {
    /// Number of the attempt.
    pub attempt: u32,
    /// What it uses.
    pub size: ResourceSize,
    /// When it began.
    pub begun_at: u64,
    /// When it ends by itself.
    pub ends_at: u64,
    /// How it ends then.
    pub end: RunOutcome,
    /// Work that its checkpoint held when it began, in milliseconds.
    pub resumed_ms: u64,
}

/// An upstream.
#[derive(Clone, Debug)]
pub struct ModelUpstream {
    /// Its identifier.
    pub id: Arc<str>,
    /// Start of its incarnation.
    pub born: u64,
    /// Its entry in the directory.
    pub report: UpstreamReport,
    /// Offset of its clock.
    pub clock_offset: u64,
    /// What it can run at a time.
    pub capacity: ResourceSize,
    /// How fast it works; 1 is usual.
    pub speed: f64,
    /// Drawn once from 0 to 1; faults strike the lowest.
    pub lot: f64,
    /// Highest epoch that it has seen.
    pub epoch: u64,
    /// End of all leases on its clock.
    pub deadline_ms: u64,
    /// Runs that are present.
    pub runs: BTreeMap<TaskName, ModelRun>,
    /// Ends that are not acknowledged.
    pub ended: Vec<FinishedRun>,
    /// Number of the next end.
    pub next_number: u64,
    /// Highest attempt of each task that was stopped or has ended.
    pub barred: BTreeMap<TaskName, u32>,
    /// How long a stop takes, in milliseconds.
    pub stop_ms: u64,
    /// Runs that were stopped by orders.
    pub stopped: u64,
    /// Whether it is about to leave.
    pub draining: bool,
    /// Whether the directory does not list it.
    pub unlisted: bool,
    /// Whether its runs stand still.
    pub standing: bool,
    /// Largest sum of sizes that ran at a time.
    pub peak: ResourceSize,
}

impl ModelUpstream {
    /// Makes an upstream of four cores.
    #[must_use]
    pub fn new(id: &str, born: u64, clock_offset: u64) -> Self {
        let capacity = ResourceSize::new(4000, 16_384, 0);
        Self {
            id: id.into(),
            born,
            report: UpstreamReport {
                id: id.into(),
                incarnation_unix_ms: born,
                pool: "pool".into(),
                address: id.into(),
                failure_domain: "west".into(),
                draining: false,
                sequence: 0,
                capacity,
                labels: Arc::from([]),
            },
            clock_offset,
            capacity,
            speed: 1.0,
            lot: 1.0,
            epoch: 0,
            deadline_ms: 0,
            runs: BTreeMap::new(),
            ended: Vec::new(),
            next_number: 1,
            barred: BTreeMap::new(),
            stop_ms: 0,
            stopped: 0,
            draining: false,
            unlisted: false,
            standing: false,
            peak: ResourceSize::ZERO,
        }
    }

    /// Ends what is due.
    pub fn advance(&mut self, now: u64) {
        let clock = now + self.clock_offset;
        let lapsed = clock > self.deadline_ms;
        let due: Vec<_> = self
            .runs
            .iter()
            .filter(|(_, run)| {
                lapsed || (now >= run.ends_at && (!self.standing || run.end == RunOutcome::Stopped))
            })
            .map(|(name, _)| name.clone())
            .collect();
        for name in due {
            let run = self.runs[&name].clone();
            let kind = if now >= run.ends_at {
                run.end
            } else {
                RunOutcome::Lapsed
            };
            self.end(now, &name, kind);
        }
    }

    fn percent(&self, now: u64, run: &ModelRun) -> u32 {
        if self.standing {
            return 0;
        }
        let done = (now - run.begun_at) * 100 / (run.ends_at - run.begun_at).max(1);
        u32::try_from(done.min(100)).expect("at most 100")
    }

    fn end(&mut self, now: u64, name: &TaskName, kind: RunOutcome) {
        let Some(run) = self.runs.remove(name) else {
            return;
        };
        self.stopped += u64::from(kind == RunOutcome::Stopped);
        let saved_ms = run.resumed_ms + now.saturating_sub(run.begun_at);
        let barred = self.barred.entry(name.clone()).or_default();
        *barred = (*barred).max(run.attempt);
        self.ended.push(FinishedRun {
            number: self.next_number,
            task: name.to_string().into(),
            attempt: run.attempt,
            outcome: kind,
            checkpoint: saved_ms.to_string().into(),
        });
        self.next_number += 1;
    }

    /// Returns the work that the checkpoint of an order holds, in milliseconds.
    #[must_use]
    pub fn saved_ms(&self, order: &StartOrder) -> u64 {
        let checkpoint = order.checkpoint.as_deref();
        checkpoint.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Takes an order to start a run of this duration and end.
    pub fn start(
        &mut self,
        now: u64,
        order: &StartOrder,
        size: ResourceSize,
        run: (u64, RunOutcome),
    ) -> StartOutcome {
        self.advance(now);
        let clock = now + self.clock_offset;
        if order.epoch < self.epoch {
            return StartOutcome::Rejected(RejectReason::Fenced);
        }
        self.epoch = order.epoch;
        if self
            .runs
            .get(&order.task)
            .is_some_and(|present| present.attempt == order.attempt)
        {
            self.deadline_ms = self.deadline_ms.max(order.deadline_ms);
            return StartOutcome::Started;
        }
        if self
            .barred
            .get(&order.task)
            .is_some_and(|barred| order.attempt <= *barred)
        {
            return StartOutcome::Rejected(RejectReason::OldAttempt);
        }
        if order.deadline_ms <= clock {
            return StartOutcome::Rejected(RejectReason::Late);
        }
        self.deadline_ms = self.deadline_ms.max(order.deadline_ms);
        let (duration, end) = run;
        let resumed_ms = self.saved_ms(order);
        self.runs.insert(
            order.task.clone(),
            ModelRun {
                attempt: order.attempt,
                size,
                begun_at: now,
                ends_at: now + duration,
                end,
                resumed_ms,
            },
        );
        let mut sum = ResourceSize::ZERO;
        for run in self.runs.values() {
            sum += run.size;
        }
        self.peak = self.peak.max(&sum);
        StartOutcome::Started
    }

    /// Takes an order to stop a run.
    pub fn stop(&mut self, now: u64, order: &StopOrder) -> StopOutcome {
        self.advance(now);
        if order.epoch < self.epoch {
            return StopOutcome::Fenced;
        }
        self.epoch = order.epoch;
        let ends_at = now + self.stop_ms;
        let present = self.runs.get_mut(&order.task);
        if let Some(run) = present.filter(|run| run.attempt <= order.attempt) {
            if self.standing || ends_at < run.ends_at {
                run.ends_at = ends_at;
                run.end = RunOutcome::Stopped;
            }
            self.advance(now);
        }
        let barred = self.barred.entry(order.task.clone()).or_default();
        *barred = (*barred).max(order.attempt);
        StopOutcome::Accepted
    }

    /// Extends the leases when a renewal arrives that is answered later.
    pub fn renew(&mut self, now: u64, order: &RenewOrder) {
        self.advance(now);
        if order.epoch < self.epoch {
            return;
        }
        self.epoch = order.epoch;
        if let Some(deadline) = order.deadline_ms {
            self.deadline_ms = self.deadline_ms.max(deadline);
        }
        self.ended.retain(|end| end.number > order.ack_number);
    }

    /// Renews leases and lists runs and ends; none if the order is fenced off.
    pub fn hold(&mut self, now: u64, order: &RenewOrder) -> Option<RenewReply> {
        self.renew(now, order);
        if order.epoch < self.epoch {
            return None;
        }
        Some(RenewReply {
            clock_ms: now + self.clock_offset,
            incarnation_unix_ms: self.born,
            running: self
                .runs
                .iter()
                .map(|(name, run)| RunReport {
                    task: name.to_string().into(),
                    attempt: run.attempt,
                    checkpoint: "".into(),
                    percent: self.percent(now, run),
                    recent_metric: 0,
                })
                .collect(),
            finished: self.ended.clone(),
        })
    }
}
