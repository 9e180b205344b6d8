//! A simulated upstream that follows the published protocol.

use std::collections::BTreeMap;
use std::sync::Arc;

use lagoonnotch_fleet::model::{
    FinishedRun, RejectReason, RenewReply, ResourceSize, RunOutcome, RunReport, StartOutcome,
    StopOutcome, TaskName, UpstreamReport,
};
use lagoonnotch_fleet::owner::{RenewOrder, StartOrder, StopOrder};

/// Maximum number of finished runs that the upstreams of the platform list at a time.
const MAX_LISTED_FINISHED: usize = 500;

/// Longest lease that the upstreams of the platform grant, in milliseconds of their clocks.
const MAX_LEASE_MS: u64 = 10_000;

/// A run that has not finished.
#[derive(Clone, Debug)]
pub struct SimulatedRun {
    /// Number of the attempt.
    pub attempt: u32,
    /// Resources that it uses.
    pub size: ResourceSize,
    /// When it started.
    pub started_at: u64,
    /// When it finishes unless its lease expires first.
    pub ends_at: u64,
    /// How it finishes at that time.
    pub outcome: RunOutcome,
    /// Work that was already done in the checkpoint it resumed from, in milliseconds.
    pub resumed_work_ms: u64,
}

/// A simulated upstream.
#[derive(Clone, Debug)]
pub struct SimulatedUpstream {
    /// Identifier of the upstream.
    pub id: Arc<str>,
    /// Start of the present incarnation, in milliseconds since the Unix epoch.
    pub incarnation_unix_ms: u64,
    /// Start of the incarnation before, which the directory lists until the present one has
    /// reported; the present one if there was none.
    pub former_incarnation_unix_ms: u64,
    /// Entry in the directory.
    pub report: UpstreamReport,
    /// Virtual time from which its clock counts.
    pub clock_started_at: u64,
    /// Reading of its clock at that time, in milliseconds.
    pub clock_offset_ms: u64,
    /// Speed of its clock, in thousandths of that of virtual time.
    pub clock_speed_per_mille: u64,
    /// Resources that its runs may use together.
    pub capacity: ResourceSize,
    /// Resources beyond which it rejects runs; `None` accepts all.
    pub admission_limit: Option<ResourceSize>,
    /// Speed of its runs; 1 is the normal speed.
    pub speed: f64,
    /// Random number from 0 to 1; a fault affects the upstream if its share is larger.
    pub fault_rank: f64,
    /// Highest fencing token that it has seen.
    pub fence: u64,
    /// When all leases expire, on its own clock.
    pub lease_deadline_ms: u64,
    /// Longest lease that it grants, in milliseconds of its clock; longer ones are shortened.
    pub max_lease_ms: u64,
    /// Number of the last run that had finished when the leases last expired.
    pub lapsed_finish_number: u64,
    /// Runs that have not finished.
    pub runs: BTreeMap<TaskName, SimulatedRun>,
    /// Finished runs that the owner has not acknowledged yet.
    pub finished: Vec<FinishedRun>,
    /// Maximum number of finished runs in one reply.
    pub max_listed_finished: usize,
    /// Number of the next finished run.
    pub next_finish_number: u64,
    /// Ticket that the policy service issues for this incarnation.
    pub ticket: Arc<str>,
    /// Highest attempt of each task that was stopped or has finished.
    pub finished_attempts: BTreeMap<TaskName, u32>,
    /// Time from an order to stop until the run has finished, in milliseconds.
    pub stop_duration_ms: u64,
    /// Number of runs that were stopped by orders.
    pub stopped_count: u64,
    /// Whether it is draining.
    pub draining: bool,
    /// Whether it is missing from the directory.
    pub unlisted: bool,
    /// Whether its runs make no progress.
    pub stalled: bool,
    /// Progress that all its runs report instead of their own, in percent.
    pub shown_percent: Option<u32>,
    /// Largest amount of resources that its runs have used together.
    pub peak_usage: ResourceSize,
}

impl SimulatedUpstream {
    /// Creates an upstream with four cores.
    #[must_use]
    pub fn new(id: &str, incarnation_unix_ms: u64, clock_offset_ms: u64) -> Self {
        let capacity = ResourceSize::new(4000, 16_384, 0);
        Self {
            id: id.into(),
            incarnation_unix_ms,
            former_incarnation_unix_ms: incarnation_unix_ms,
            report: UpstreamReport {
                id: id.into(),
                incarnation_unix_ms,
                pool: "pool".into(),
                address: id.into(),
                failure_domain: "west".into(),
                draining: false,
                revision: 0,
                capacity,
                labels: Arc::from([]),
            },
            clock_started_at: 0,
            clock_offset_ms,
            clock_speed_per_mille: 1000,
            capacity,
            admission_limit: None,
            speed: 1.0,
            fault_rank: 1.0,
            fence: 0,
            lease_deadline_ms: 0,
            max_lease_ms: MAX_LEASE_MS,
            lapsed_finish_number: 0,
            runs: BTreeMap::new(),
            finished: Vec::new(),
            max_listed_finished: MAX_LISTED_FINISHED,
            next_finish_number: 1,
            ticket: format!("ticket-{incarnation_unix_ms}").into(),
            finished_attempts: BTreeMap::new(),
            stop_duration_ms: 0,
            stopped_count: 0,
            draining: false,
            unlisted: false,
            stalled: false,
            shown_percent: None,
            peak_usage: ResourceSize::ZERO,
        }
    }

    /// Returns the time on its own clock, in milliseconds.
    #[must_use]
    pub fn clock_ms(&self, now: u64) -> u64 {
        (now - self.clock_started_at) * self.clock_speed_per_mille / 1000 + self.clock_offset_ms
    }

    /// Extends all leases to a time on its own clock, but not beyond the longest lease from now.
    fn extend_leases(&mut self, now: u64, deadline_ms: u64) {
        let longest = self.clock_ms(now) + self.max_lease_ms;
        self.lease_deadline_ms = self.lease_deadline_ms.max(deadline_ms.min(longest));
    }

    /// Finishes all runs that are due or whose lease has expired.
    pub fn advance(&mut self, now: u64) {
        let clock = self.clock_ms(now);
        let lease_expired = clock > self.lease_deadline_ms;
        let due: Vec<_> = self
            .runs
            .iter()
            .filter(|(_, run)| {
                lease_expired
                    || (now >= run.ends_at && (!self.stalled || run.outcome == RunOutcome::Stopped))
            })
            .map(|(name, _)| name.clone())
            .collect();
        for name in due {
            let run = self.runs[&name].clone();
            let outcome = if now >= run.ends_at {
                run.outcome
            } else {
                RunOutcome::Lapsed
            };
            self.finish(now, &name, outcome);
        }
        if lease_expired {
            self.lapsed_finish_number = self.next_finish_number - 1;
        }
    }

    /// Returns the resources that its runs use together.
    fn used(&self) -> ResourceSize {
        let runs = self.runs.values();
        runs.fold(ResourceSize::ZERO, |sum, run| sum + run.size)
    }

    fn percent(&self, now: u64, run: &SimulatedRun) -> u32 {
        if self.stalled {
            return 0;
        }
        if let Some(percent) = self.shown_percent {
            return percent;
        }
        let done = (now - run.started_at) * 100 / (run.ends_at - run.started_at).max(1);
        u32::try_from(done.min(100)).expect("at most 100")
    }

    fn finish(&mut self, now: u64, name: &TaskName, outcome: RunOutcome) {
        let Some(run) = self.runs.remove(name) else {
            return;
        };
        self.stopped_count += u64::from(outcome == RunOutcome::Stopped);
        let completed_work_ms = run.resumed_work_ms + now.saturating_sub(run.started_at);
        let highest_finished = self.finished_attempts.entry(name.clone()).or_default();
        *highest_finished = (*highest_finished).max(run.attempt);
        self.finished.push(FinishedRun {
            number: self.next_finish_number,
            task: name.to_string().into(),
            attempt: run.attempt,
            outcome,
            checkpoint: completed_work_ms.to_string().into(),
        });
        self.next_finish_number += 1;
    }

    /// Returns the work contained in an order's checkpoint, in milliseconds.
    #[must_use]
    pub fn checkpoint_work_ms(&self, order: &StartOrder) -> u64 {
        let checkpoint = order.checkpoint.as_deref();
        checkpoint.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Handles an order to start a run; `run` is its duration in milliseconds and how it finishes.
    /// An order that is rejected extends the leases all the same, unless its fencing token is too
    /// low.
    pub fn start(
        &mut self,
        now: u64,
        order: &StartOrder,
        size: ResourceSize,
        run: (u64, RunOutcome),
    ) -> StartOutcome {
        self.advance(now);
        let clock = self.clock_ms(now);
        if order.fence < self.fence {
            return StartOutcome::Rejected(RejectReason::Fenced);
        }
        self.fence = order.fence;
        if self
            .runs
            .get(&order.task)
            .is_some_and(|present| present.attempt == order.attempt)
        {
            self.extend_leases(now, order.deadline_ms);
            return StartOutcome::Started;
        }
        if self
            .finished_attempts
            .get(&order.task)
            .is_some_and(|highest_finished| order.attempt <= *highest_finished)
        {
            self.extend_leases(now, order.deadline_ms);
            return StartOutcome::Rejected(RejectReason::OldAttempt);
        }
        if order.deadline_ms <= clock {
            return StartOutcome::Rejected(RejectReason::Late);
        }
        self.extend_leases(now, order.deadline_ms);
        if order
            .ticket
            .as_ref()
            .is_some_and(|ticket| *ticket != self.ticket)
        {
            return StartOutcome::Rejected(RejectReason::Ticket);
        }
        let used = self.used() + size;
        if self.admission_limit.is_some_and(|limit| !used.fits(&limit)) {
            return StartOutcome::Rejected(RejectReason::NoRoom);
        }
        let (duration, outcome) = run;
        let resumed_work_ms = self.checkpoint_work_ms(order);
        self.runs.insert(
            order.task.clone(),
            SimulatedRun {
                attempt: order.attempt,
                size,
                started_at: now,
                ends_at: now + duration,
                outcome,
                resumed_work_ms,
            },
        );
        self.peak_usage = self.peak_usage.max(&self.used());
        StartOutcome::Started
    }

    /// Handles an order to stop a run.
    pub fn stop(&mut self, now: u64, order: &StopOrder) -> StopOutcome {
        self.advance(now);
        if order.fence < self.fence {
            return StopOutcome::Fenced;
        }
        self.fence = order.fence;
        let ends_at = now + self.stop_duration_ms;
        let present = self.runs.get_mut(&order.task);
        if let Some(run) = present.filter(|run| run.attempt <= order.attempt) {
            if self.stalled || ends_at < run.ends_at {
                run.ends_at = ends_at;
                run.outcome = RunOutcome::Stopped;
            }
            self.advance(now);
        }
        let highest_finished = self
            .finished_attempts
            .entry(order.task.clone())
            .or_default();
        *highest_finished = (*highest_finished).max(order.attempt);
        StopOutcome::Accepted
    }

    /// Extends the leases and drops acknowledged runs, but builds no reply.
    pub fn renew(&mut self, now: u64, order: &RenewOrder) {
        self.advance(now);
        if order.fence < self.fence {
            return;
        }
        self.fence = order.fence;
        if let Some(deadline) = order.deadline_ms {
            self.extend_leases(now, deadline);
        }
        self.finished.retain(|run| run.number > order.ack_number);
    }

    /// Renews the leases and lists running and finished runs; returns `None` if a higher fencing
    /// token was seen.
    pub fn renew_and_report(&mut self, now: u64, order: &RenewOrder) -> Option<RenewReply> {
        self.renew(now, order);
        if order.fence < self.fence {
            return None;
        }
        let listed = self.finished.iter().take(self.max_listed_finished);
        Some(RenewReply {
            clock_ms: self.clock_ms(now),
            incarnation_unix_ms: self.incarnation_unix_ms,
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
            finished: listed.cloned().collect(),
            finished_truncated: self.finished.len() >= self.max_listed_finished,
        })
    }
}
