//! Detection of stalled runs and slow upstreams.
//!
//! It finds upstreams whose runs make no progress, or take several times as long as elsewhere,
//! although the upstreams look healthy otherwise.

use std::sync::Arc;

use crate::model::{RunOutcome, StepSpec, TaskName};
use crate::owner::upstream_entry::{RunEntry, RunPhase};
use crate::owner::{OwnerMachine, QuarantineReason, StopReason};

/// Minimum time without progress after which a run counts as stalled, in milliseconds.
const MIN_STALL_MS: u64 = 1200;

/// Upper limit of the tolerated time without progress of a task that has not stalled yet, in
/// milliseconds. Most runs advance by one percent in less.
const MAX_STALL_MS: u64 = 2500;

/// Maximum number of times that the tolerated time without progress is doubled, once for each stalled
/// run of the task.
const MAX_STALL_DOUBLINGS: u32 = 8;

/// Multiple of the time that a run has taken for each percent so far within which the next one is
/// expected.
const PERCENT_TIME_FACTOR: u64 = 3;

/// Smoothing factor of an upstream's mean slowdown: the weight of one run.
const UPSTREAM_SMOOTHING: f64 = 0.3;

/// Smoothing factor of the fleet's mean slowdown: the weight of one run.
const FLEET_SMOOTHING: f64 = 0.02;

/// Multiple of the fleet's mean slowdown above which an upstream counts as slow. It is above 2,
/// because estimates may be wrong by a factor of two.
const SLOW_FACTOR: f64 = 2.2;

impl OwnerMachine {
    /// Stops stalled runs, and quarantines the upstream unless the tasks have failed or stalled
    /// elsewhere too.
    pub(super) fn stop_stalled_runs(&mut self, now: u64, upstream: &Arc<str>) {
        let Some(entry) = self.upstreams.get(upstream) else {
            return;
        };
        let stalled: Vec<_> = entry
            .runs
            .iter()
            .filter(|(name, run)| self.is_stalled(now, name, run))
            .map(|(name, _)| name.clone())
            .collect();
        for name in stalled {
            self.stop_run(now, upstream, &name, StopReason::Stalled);
            self.stop_gang(now, &name);
            let task = self.task_mut(&name);
            let may_count = task.is_some_and(|task| task.failure_streak.record_stall(upstream));
            if may_count && self.extend_step_streak(upstream, &name) {
                self.start_quarantine(now, upstream, QuarantineReason::Stalled);
            }
        }
    }

    fn is_stalled(&self, now: u64, name: &TaskName, run: &RunEntry) -> bool {
        let spec = self
            .submissions
            .get(&name.submission)
            .and_then(|entry| entry.record.steps.get(name.step as usize));
        let Some(spec) = spec else {
            return false;
        };
        let stalls = self
            .task_of(name)
            .map_or(0, |task| task.failure_streak.stalls());
        let max_stall_ms = (2 * spec.estimate_ms).clamp(MIN_STALL_MS, MAX_STALL_MS)
            << stalls.min(MAX_STALL_DOUBLINGS);
        let max_stall_ms = max_stall_ms.max(PERCENT_TIME_FACTOR * run.percent_time_ms());
        run.phase == RunPhase::Running
            && !spec.long_running
            && !spec.best_effort
            && run.confirmed_at.is_some_and(|at| at > 0)
            && now.saturating_sub(run.percent_since) > max_stall_ms
            && !(spec.gang && self.waits_for_gang(name, run))
    }

    /// Returns whether another member of the task's gang has made less progress, or as little but
    /// recently. Members on fast upstreams stop advancing while they wait for the slower ones.
    fn waits_for_gang(&self, name: &TaskName, run: &RunEntry) -> bool {
        let members = self.gang_runs(name);
        members.iter().any(|(member, upstream)| {
            let entry = self.upstreams.get(upstream);
            let other = entry.and_then(|entry| entry.runs.get(member));
            other.is_some_and(|other| {
                other.percent < run.percent
                    || (other.percent == run.percent && other.percent_since > run.percent_since)
            })
        })
    }

    /// Updates the slowdown of an upstream and of the fleet from a finished run.
    pub(super) fn record_slowdown(
        &mut self,
        now: u64,
        upstream: &Arc<str>,
        name: &TaskName,
        run: &RunEntry,
        outcome: RunOutcome,
    ) {
        let spec: Option<&StepSpec> = self
            .submissions
            .get(&name.submission)
            .and_then(|entry| entry.record.steps.get(name.step as usize));
        let Some(spec) = spec.filter(|spec| spec.estimate_ms > 0 && !spec.long_running) else {
            return;
        };
        if outcome != RunOutcome::Done || spec.best_effort || run.inherited {
            return;
        }
        #[expect(clippy::cast_precision_loss, reason = "small times")]
        let slowdown = now.saturating_sub(run.ordered_at) as f64 / spec.estimate_ms as f64;
        if self.mean_slowdown == 0.0 {
            self.mean_slowdown = slowdown;
        }
        self.mean_slowdown += FLEET_SMOOTHING * (slowdown - self.mean_slowdown);
        if let Some(entry) = self.upstreams.get_mut(upstream) {
            if entry.slowdown == 0.0 {
                entry.slowdown = self.mean_slowdown;
            }
            entry.slowdown += UPSTREAM_SMOOTHING * (slowdown - entry.slowdown);
        }
    }

    /// Returns whether a slowdown is much higher than the fleet's mean.
    pub(super) fn is_slow(&self, slowdown: f64) -> bool {
        slowdown > SLOW_FACTOR * self.mean_slowdown
    }
}
