//! How fast runs get on: standing and slow upstreams.
//!
//! Load that this answers: upstreams whose runs stand still or take several times as long while
//! everything else about them looks sound.

use std::sync::Arc;

use crate::model::{RunOutcome, StepSpec, TaskName};
use crate::owner::OwnerMachine;
use crate::owner::upstream_entry::{RunEntry, RunPhase};

/// Shortest time without progress after which a run counts as standing, in milliseconds.
const MIN_STANDING_MS: u64 = 1200;

/// Longest time without progress that is tolerated, in milliseconds; the largest runs get on by a
/// hundredth in less.
const MAX_STANDING_MS: u64 = 2500;

/// Weight of one run in the mean slowness of its upstream.
const UPSTREAM_WEIGHT: f64 = 0.3;

/// Weight of one run in the mean slowness of all.
const FLEET_WEIGHT: f64 = 0.02;

/// Multiple of the fleet's slowness at which an upstream counts as slow; estimates are off by about
/// a factor of two.
const SLOW_FACTOR: f64 = 2.2;

impl OwnerMachine {
    /// Stops runs that stand still, and puts their upstream on probation.
    pub(super) fn stop_standing(&mut self, now: u64, upstream: &Arc<str>) {
        let Some(entry) = self.upstreams.get(upstream) else {
            return;
        };
        let standing: Vec<_> = entry
            .runs
            .iter()
            .filter(|(name, run)| self.is_standing(now, name, run))
            .map(|(name, _)| name.clone())
            .collect();
        for name in standing {
            self.stop_run(now, upstream, &name);
            self.stop_gang(now, &name);
            if let Some(task) = self.task_mut(&name) {
                task.failed_on = Some(upstream.clone());
            }
            self.suspect(now, upstream);
        }
    }

    fn is_standing(&self, now: u64, name: &TaskName, run: &RunEntry) -> bool {
        let spec = self
            .submissions
            .get(&name.submission)
            .and_then(|entry| entry.record.steps.get(name.step as usize));
        let Some(spec) = spec else {
            return false;
        };
        let patience = (2 * spec.estimate_ms).clamp(MIN_STANDING_MS, MAX_STANDING_MS);
        run.phase == RunPhase::Running
            && !spec.long_running
            && !spec.best_effort
            && run.answered_at.is_some_and(|at| at > 0)
            && now.saturating_sub(run.percent_since) > patience
    }

    /// Learns from a run that ended how slow its upstream is.
    pub(super) fn learn_slowness(
        &mut self,
        now: u64,
        upstream: &Arc<str>,
        name: &TaskName,
        run: &RunEntry,
        kind: RunOutcome,
    ) {
        let spec: Option<&StepSpec> = self
            .submissions
            .get(&name.submission)
            .and_then(|entry| entry.record.steps.get(name.step as usize));
        let Some(spec) = spec.filter(|spec| spec.estimate_ms > 0 && !spec.long_running) else {
            return;
        };
        if kind != RunOutcome::Done || spec.best_effort || run.percent_since == 0 {
            return;
        }
        #[expect(clippy::cast_precision_loss, reason = "small times")]
        let slowness = now.saturating_sub(run.ordered_at) as f64 / spec.estimate_ms as f64;
        if self.mean_slowness == 0.0 {
            self.mean_slowness = slowness;
        }
        self.mean_slowness += FLEET_WEIGHT * (slowness - self.mean_slowness);
        if let Some(entry) = self.upstreams.get_mut(upstream) {
            if entry.slowness == 0.0 {
                entry.slowness = self.mean_slowness;
            }
            entry.slowness += UPSTREAM_WEIGHT * (slowness - entry.slowness);
        }
    }

    /// Tells whether an upstream is much slower than the fleet.
    pub(super) fn is_slow(&self, slowness: f64) -> bool {
        slowness > SLOW_FACTOR * self.mean_slowness
    }
}
