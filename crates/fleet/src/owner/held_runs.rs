//! Runs that stay allocated on silent upstreams because their leases may last.
//!
//! Long-running tasks must restart soon. So their steps query the policy service while their runs
//! are still held, and have tickets when these are released.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::model::StepSpec;
use crate::owner::ready_list::ReadyStep;
use crate::owner::submission_entry::SubmissionEntry;
use crate::owner::upstream_entry::UpstreamEntry;
use crate::owner::{OwnerEffect, OwnerMachine};

/// Time before the release of held runs from which their steps may query, in milliseconds; most
/// steps query later.
const EARLIEST_QUERY_MS: u64 = 4000;

/// Where the bound on an upstream's leases comes from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeaseTerm {
    /// Earlier owners may have granted leases until they stopped acting.
    EarlierLeases,
    /// The roster says when the leases expire, because the upstream was silent before the takeover.
    StoredBound,
    /// Orders to former incarnations may have granted leases as long as upstreams allow.
    FormerOrders,
    /// This owner granted the leases that last longest.
    OwnLeases,
}

impl LeaseTerm {
    /// Returns the label of the term in logs.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::EarlierLeases => "earlier_leases",
            Self::StoredBound => "stored_bound",
            Self::FormerOrders => "former_orders",
            Self::OwnLeases => "own_leases",
        }
    }
}

/// Why the runs of a silent upstream are no longer held.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReleaseCause {
    /// The upstream answered, in the incarnation that the runs were placed on.
    Answered,
    /// Every lease on the upstream has expired.
    LeasesExpired,
    /// Another incarnation or another upstream answered at the address.
    OtherIncarnation,
    /// The upstream had reported that it leaves, and has left.
    Departed,
    /// Each run was released by itself, for example because its start order was rejected.
    Withdrawn,
}

impl ReleaseCause {
    /// Returns the label of the cause in logs.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::LeasesExpired => "leases_expired",
            Self::OtherIncarnation => "other_incarnation",
            Self::Departed => "departed",
            Self::Withdrawn => "withdrawn",
        }
    }
}

/// How long a new owner holds the runs of upstreams that do not answer, and the terms of this time.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RecoveryBound {
    /// Number of owners before this one.
    pub generation: u32,
    /// Number of upstreams in the stored roster.
    pub upstream_count: usize,
    /// Number of runs that were restored on these.
    pub run_count: usize,
    /// Time from the takeover until every lease of earlier owners has expired, in milliseconds.
    pub held_for_ms: u64,
    /// How long earlier owners may still act, in milliseconds.
    pub previous_owner_active_ms: u64,
    /// Longest possible duration of a task lease that an earlier owner grants at the end of that
    /// time, with all margins, in milliseconds.
    pub task_lease_ms: u64,
    /// Time until every lease has expired according to the last commits of earlier owners, in
    /// milliseconds; `None` if it does not follow from them.
    pub commit_bound_ms: Option<u64>,
    /// Whether that time allows for longer leases.
    pub leases_may_be_extended: bool,
    /// Number of upstreams that the roster records as silent.
    pub silent_count: usize,
    /// Number of these whose leases expire earlier according to the roster.
    pub stored_bound_count: usize,
}

/// Runs that stay allocated on an upstream that has become silent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HeldRuns {
    /// Identifier of the upstream.
    pub upstream: Arc<str>,
    /// Number of runs.
    pub run_count: usize,
    /// Number of these that run until they are stopped.
    pub long_running_count: usize,
    /// Time since the last answer to this owner, or since the takeover, in milliseconds.
    pub silent_ms: u64,
    /// Time until the runs are released if the upstream stays silent, in milliseconds.
    pub held_for_ms: u64,
    /// Where this time comes from.
    pub term: LeaseTerm,
}

/// The end of the wait for a silent upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HeldRunsRelease {
    /// Identifier of the upstream.
    pub upstream: Arc<str>,
    /// Number of runs that were held.
    pub run_count: usize,
    /// Time since the last answer to this owner, or since the takeover, in milliseconds.
    pub held_ms: u64,
    /// Where the bound on the leases came from.
    pub term: LeaseTerm,
    /// Why the wait ended.
    pub cause: ReleaseCause,
}

impl UpstreamEntry {
    /// Updates whether the runs are held; `silent_since` is the time of the last answer or of the
    /// takeover, if the upstream is silent. Returns a report if this changes.
    pub fn update_held_runs(&mut self, now: u64, silent_since: Option<u64>) -> Option<OwnerEffect> {
        match (self.held_since, silent_since) {
            (None, Some(since)) if !self.runs.is_empty() => Some(self.hold_runs(now, since)),
            (Some(_), Some(_)) if self.runs.is_empty() => {
                self.end_held_runs(now, ReleaseCause::Withdrawn)
            }
            (Some(_), None) => self.end_held_runs(now, ReleaseCause::Answered),
            _ => None,
        }
    }

    fn hold_runs(&mut self, now: u64, since: u64) -> OwnerEffect {
        self.held_since = Some(since);
        let long_running = self.runs.values().filter(|run| run.long_running);
        OwnerEffect::ReportHeldRuns(HeldRuns {
            upstream: self.report.id.clone(),
            run_count: self.runs.len(),
            long_running_count: long_running.count(),
            silent_ms: now.saturating_sub(since),
            held_for_ms: self.leases_expire_at.saturating_sub(now),
            term: self.lease_term,
        })
    }

    /// Records that the runs are no longer held; returns a report if they were.
    pub fn end_held_runs(&mut self, now: u64, cause: ReleaseCause) -> Option<OwnerEffect> {
        let since = self.held_since.take()?;
        Some(OwnerEffect::ReportRelease(HeldRunsRelease {
            upstream: self.report.id.clone(),
            run_count: self.runs.len(),
            held_ms: now.saturating_sub(since),
            term: self.lease_term,
            cause,
        }))
    }
}

impl OwnerMachine {
    /// Returns the long-running steps with runs on silent upstreams that are about to be released.
    pub(super) fn steps_released_soon(&mut self, now: u64, unix_ms: u64) -> Vec<Arc<ReadyStep>> {
        if self.held_run_count == 0 {
            return Vec::new();
        }
        let mut submissions = BTreeSet::new();
        let until = now + EARLIEST_QUERY_MS;
        let is_released_soon =
            |entry: &&UpstreamEntry| entry.held_since.is_some() && entry.leases_expire_at <= until;
        for entry in self.upstreams.values().filter(is_released_soon) {
            let long_running = entry.runs.iter().filter(|(_, run)| run.long_running);
            submissions.extend(long_running.map(|(name, _)| name.submission.clone()));
        }
        let select = |entry: &SubmissionEntry, _| {
            let steps = (0_u32..).zip(&entry.record.steps);
            let long_running = steps.filter(|(_, spec)| spec.long_running);
            long_running.map(|(number, _)| number).collect()
        };
        let mut steps = Vec::new();
        for id in submissions {
            let found = self.find_steps(&id, now, unix_ms, select);
            steps.extend(found.into_iter().filter(|ready| {
                let spec = &self.submissions[&id].record.steps[ready.step as usize];
                self.tasks_released_soon(now, ready, spec) > 0
            }));
        }
        steps
    }

    /// Returns the number of tasks of a long-running step whose runs on silent upstreams are about
    /// to be released without valid tickets for the next ones.
    pub(super) fn tasks_released_soon(
        &self,
        now: u64,
        ready: &ReadyStep,
        spec: &StepSpec,
    ) -> usize {
        let (Some(service), Some(step)) = (ready.queue.policy_service, self.step_of(ready)) else {
            return 0;
        };
        if !spec.long_running || spec.gang {
            return 0;
        }
        // The answer may come late by half of the tickets' validity, because hosts are busy.
        let within_ms = service.query_ms() + service.valid_ms / 2;
        let is_released_soon = |id: &&Arc<str>| {
            let entry = self.upstreams.get(*id);
            entry.is_some_and(|entry| {
                entry.held_since.is_some()
                    && entry.leases_expire_at <= now + within_ms
                    && entry.leases_expire_at >= step.tickets_expire_at
            })
        };
        let upstreams = step.tasks.iter().filter_map(|task| task.upstream.as_ref());
        upstreams.filter(is_released_soon).count()
    }
}
