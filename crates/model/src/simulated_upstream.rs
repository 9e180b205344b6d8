//! An upstream that keeps the published protocol, and a record of all that ran.

use std::collections::BTreeMap;
use std::sync::Arc;

use lagoonnotch_fleet::model::{
    EndKind, EndReport, HoldAnswer, RejectReason, ResourceSize, RunReport, StartOutcome,
    StopOutcome, TaskName, UpstreamReport,
};
use lagoonnotch_fleet::owner::{HoldOrder, StartOrder, StopOrder};

/// A run that is present.
#[derive(Clone, Debug)]
pub struct SimulatedRun {
    /// Number of the attempt.
    pub attempt: u32,
    /// What it uses.
    pub size: ResourceSize,
    /// When it began.
    pub started_at: u64,
    /// When it ends by itself.
    pub ends_at: u64,
    /// How it ends then.
    pub end: EndKind,
    /// Work that its checkpoint held when it began, in milliseconds.
    pub resumed_work_ms: u64,
}

/// An upstream.
#[derive(Clone, Debug)]
pub struct SimulatedUpstream {
    /// Its identifier.
    pub id: Arc<str>,
    /// Start of its incarnation.
    pub incarnation_unix_ms: u64,
    /// Its entry in the directory.
    pub report: UpstreamReport,
    /// Offset of its clock.
    pub clock_offset_ms: u64,
    /// What it can run at a time.
    pub capacity: ResourceSize,
    /// How fast it works; 1 is usual.
    pub speed: f64,
    /// Drawn once from 0 to 1; faults strike the lowest.
    pub fault_rank: f64,
    /// Highest epoch that it has seen.
    pub epoch: u64,
    /// End of all leases on its clock.
    pub lease_deadline_ms: u64,
    /// Runs that are present.
    pub runs: BTreeMap<TaskName, SimulatedRun>,
    /// Ends that are not acknowledged.
    pub ended: Vec<EndReport>,
    /// Number of the next end.
    pub next_end_number: u64,
    /// Highest attempt of each task that was stopped or has ended.
    pub ended_attempts: BTreeMap<TaskName, u32>,
    /// How long a stop takes, in milliseconds.
    pub stop_duration_ms: u64,
    /// Runs that were stopped by orders.
    pub stopped_count: u64,
    /// Whether it is about to leave.
    pub draining: bool,
    /// Whether the directory does not list it.
    pub unlisted: bool,
    /// Whether its runs stand still.
    pub stalled: bool,
    /// Largest sum of sizes that ran at a time.
    pub peak_usage: ResourceSize,
}

impl SimulatedUpstream {
    /// Makes an upstream of four cores.
    #[must_use]
    pub fn new(id: &str, incarnation_unix_ms: u64, clock_offset_ms: u64) -> Self {
        let capacity = ResourceSize::new(4000, 16_384, 0);
        Self {
            id: id.into(),
            incarnation_unix_ms,
            report: UpstreamReport {
                id: id.into(),
                born_unix_ms: incarnation_unix_ms,
                pool: "pool".into(),
                address: id.into(),
                failure_domain: "west".into(),
                draining: false,
                sequence: 0,
                capacity,
                labels: Arc::from([]),
            },
            clock_offset_ms,
            capacity,
            speed: 1.0,
            fault_rank: 1.0,
            epoch: 0,
            lease_deadline_ms: 0,
            runs: BTreeMap::new(),
            ended: Vec::new(),
            next_end_number: 1,
            ended_attempts: BTreeMap::new(),
            stop_duration_ms: 0,
            stopped_count: 0,
            draining: false,
            unlisted: false,
            stalled: false,
            peak_usage: ResourceSize::ZERO,
        }
    }

    /// Ends what is due.
    pub fn advance(&mut self, now: u64) {
        let clock = now + self.clock_offset_ms;
        let lapsed = clock > self.lease_deadline_ms;
        let due: Vec<_> = self
            .runs
            .iter()
            .filter(|(_, run)| {
                lapsed || (now >= run.ends_at && (!self.stalled || run.end == EndKind::Stopped))
            })
            .map(|(name, _)| name.clone())
            .collect();
        for name in due {
            let run = self.runs[&name].clone();
            let kind = if now >= run.ends_at {
                run.end
            } else {
                EndKind::Lapsed
            };
            self.end(now, &name, kind);
        }
    }

    fn percent(&self, now: u64, run: &SimulatedRun) -> u32 {
        if self.stalled {
            return 0;
        }
        let done = (now - run.started_at) * 100 / (run.ends_at - run.started_at).max(1);
        u32::try_from(done.min(100)).expect("at most 100")
    }

    fn end(&mut self, now: u64, name: &TaskName, kind: EndKind) {
        let Some(run) = self.runs.remove(name) else {
            return;
        };
        self.stopped_count += u64::from(kind == EndKind::Stopped);
        let checkpointed_ms = run.resumed_work_ms + now.saturating_sub(run.started_at);
        let highest_ended = self.ended_attempts.entry(name.clone()).or_default();
        *highest_ended = (*highest_ended).max(run.attempt);
        self.ended.push(EndReport {
            number: self.next_end_number,
            task: name.to_string().into(),
            attempt: run.attempt,
            kind,
            checkpoint: checkpointed_ms.to_string().into(),
        });
        self.next_end_number += 1;
    }

    /// Returns the work that the checkpoint of an order holds, in milliseconds.
    #[must_use]
    pub fn checkpointed_ms(&self, order: &StartOrder) -> u64 {
        let checkpoint = order.checkpoint.as_deref();
        checkpoint.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Takes an order to start a run of this duration and end.
    pub fn start(
        &mut self,
        now: u64,
        order: &StartOrder,
        size: ResourceSize,
        run: (u64, EndKind),
    ) -> StartOutcome {
        self.advance(now);
        let clock = now + self.clock_offset_ms;
        if order.epoch < self.epoch {
            return StartOutcome::Rejected(RejectReason::Fenced);
        }
        self.epoch = order.epoch;
        if self
            .runs
            .get(&order.task)
            .is_some_and(|present| present.attempt == order.attempt)
        {
            self.lease_deadline_ms = self.lease_deadline_ms.max(order.deadline_ms);
            return StartOutcome::Started;
        }
        if self
            .ended_attempts
            .get(&order.task)
            .is_some_and(|highest_ended| order.attempt <= *highest_ended)
        {
            return StartOutcome::Rejected(RejectReason::OldAttempt);
        }
        if order.deadline_ms <= clock {
            return StartOutcome::Rejected(RejectReason::Late);
        }
        self.lease_deadline_ms = self.lease_deadline_ms.max(order.deadline_ms);
        let (duration, end) = run;
        let resumed_work_ms = self.checkpointed_ms(order);
        self.runs.insert(
            order.task.clone(),
            SimulatedRun {
                attempt: order.attempt,
                size,
                started_at: now,
                ends_at: now + duration,
                end,
                resumed_work_ms,
            },
        );
        let mut sum = ResourceSize::ZERO;
        for run in self.runs.values() {
            sum += run.size;
        }
        self.peak_usage = self.peak_usage.max(&sum);
        StartOutcome::Started
    }

    /// Takes an order to stop a run.
    pub fn stop(&mut self, now: u64, order: &StopOrder) -> StopOutcome {
        self.advance(now);
        if order.epoch < self.epoch {
            return StopOutcome::Fenced;
        }
        self.epoch = order.epoch;
        let ends_at = now + self.stop_duration_ms;
        let present = self.runs.get_mut(&order.task);
        if let Some(run) = present.filter(|run| run.attempt <= order.attempt) {
            if self.stalled || ends_at < run.ends_at {
                run.ends_at = ends_at;
                run.end = EndKind::Stopped;
            }
            self.advance(now);
        }
        let highest_ended = self.ended_attempts.entry(order.task.clone()).or_default();
        *highest_ended = (*highest_ended).max(order.attempt);
        StopOutcome::Accepted
    }

    /// Extends the leases when a renewal arrives that is answered later.
    pub fn renew(&mut self, now: u64, order: &HoldOrder) {
        self.advance(now);
        if order.epoch < self.epoch {
            return;
        }
        self.epoch = order.epoch;
        if let Some(deadline) = order.deadline_ms {
            self.lease_deadline_ms = self.lease_deadline_ms.max(deadline);
        }
        self.ended.retain(|end| end.number > order.ack_number);
    }

    /// Renews leases and lists runs and ends; none if the order is fenced off.
    pub fn renew_and_report(&mut self, now: u64, order: &HoldOrder) -> Option<HoldAnswer> {
        self.renew(now, order);
        if order.epoch < self.epoch {
            return None;
        }
        Some(HoldAnswer {
            clock_ms: now + self.clock_offset_ms,
            born_unix_ms: self.incarnation_unix_ms,
            running: self
                .runs
                .iter()
                .map(|(name, run)| RunReport {
                    task: name.to_string().into(),
                    attempt: run.attempt,
                    checkpoint: "".into(),
                    percent: self.percent(now, run),
                    recent_figure: 0,
                })
                .collect(),
            ended: self.ended.clone(),
        })
    }
}
