//! Quarantines of upstreams on which runs fail or stall.
//!
//! A quarantine is a suspicion, and several of them can close most of a pool: for upstreams that are
//! sound again, or for tasks that fail wherever they run. So while a step finds no room in a pool
//! that is mostly quarantined and mostly idle, no quarantine there lasts longer than a first one.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use crate::model::ResourceSize;
use crate::owner::fleet_view::{FleetView, PassPart};
use crate::owner::ready_list::ReadyStep;
use crate::owner::{
    OwnerEffect, OwnerMachine, QuarantineReason, QuarantineReport, ShortenedQuarantine,
};

/// Number of submissions with failed runs after which an upstream is quarantined; a completed run
/// resets the count.
const QUARANTINE_FAILURES: usize = 2;

/// Duration of the first quarantine, during which nothing is placed on the upstream, in
/// milliseconds; doubles each time.
pub(super) const FIRST_QUARANTINE_MS: u64 = 1500;

/// Maximum number of times that the duration of a quarantine is doubled.
const MAX_QUARANTINE_DOUBLINGS: u32 = 3;

/// Totals of the reachable upstreams of a pool.
#[derive(Debug, Default)]
struct PoolTotals {
    upstreams: usize,
    quarantined: usize,
    allocated: ResourceSize,
    capacity: ResourceSize,
}

impl OwnerMachine {
    /// Counts a failed run against its upstream. Quarantines the upstream if runs of
    /// `QUARANTINE_FAILURES` submissions failed, or after any counted failure if no run has completed
    /// since the last quarantine.
    pub(super) fn count_upstream_failure(
        &mut self,
        now: u64,
        upstream: &Arc<str>,
        submission: &Arc<str>,
    ) {
        let Some(entry) = self.upstreams.get_mut(upstream) else {
            return;
        };
        if !entry.failed_submissions.contains(submission) {
            entry.failed_submissions.push(submission.clone());
        }
        if entry.failed_submissions.len() >= QUARANTINE_FAILURES || entry.quarantine_count > 0 {
            self.start_quarantine(now, upstream, QuarantineReason::Failed);
        }
    }

    /// Quarantines an upstream, each time for longer, unless it is quarantined already.
    pub(super) fn start_quarantine(
        &mut self,
        now: u64,
        upstream: &Arc<str>,
        reason: QuarantineReason,
    ) {
        let Some(entry) = self.upstreams.get_mut(upstream) else {
            return;
        };
        if now < entry.quarantined_until {
            return;
        }
        let doublings = entry.quarantine_count.min(MAX_QUARANTINE_DOUBLINGS);
        let duration_ms = FIRST_QUARANTINE_MS << doublings;
        entry.quarantined_at = now;
        entry.quarantined_until = now + duration_ms;
        self.quarantines_end_at = self.quarantines_end_at.max(entry.quarantined_until);
        entry.quarantine_count += 1;
        let report = QuarantineReport {
            upstream: upstream.clone(),
            reason,
            duration_ms,
            count: entry.quarantine_count,
            submissions: std::mem::take(&mut entry.failed_submissions),
        };
        self.effects.push(OwnerEffect::ReportQuarantine(report));
    }

    /// Returns the ready steps of pools with upstreams whose quarantine may end early.
    pub(super) fn steps_beside_quarantines(
        &self,
        now: u64,
        ready: &[Arc<ReadyStep>],
    ) -> Vec<Arc<ReadyStep>> {
        if now >= self.quarantines_end_at {
            return Vec::new();
        }
        let entries = self.upstreams.values();
        let quarantined: BTreeSet<&Arc<str>> = entries
            .filter(|entry| entry.may_shorten_quarantine(now))
            .map(|entry| &entry.report.pool)
            .collect();
        if quarantined.is_empty() {
            return Vec::new();
        }
        let closed = self.needlessly_closed_pools(now, &quarantined);
        let steps = ready.iter();
        steps
            .filter(|step| closed.contains(&step.queue.pool))
            .cloned()
            .collect()
    }

    /// Returns which of the pools are closed without need: at least half of the upstreams, and more
    /// than one, are quarantined, and under half of each resource is allocated.
    fn needlessly_closed_pools(&self, now: u64, pools: &BTreeSet<&Arc<str>>) -> BTreeSet<Arc<str>> {
        let mut totals: HashMap<&Arc<str>, PoolTotals> = HashMap::new();
        for entry in self.upstreams.values() {
            let pool = &entry.report.pool;
            if pools.contains(pool) && entry.is_reachable(now, self.settings.max_contact_age_ms) {
                let total = totals.entry(pool).or_default();
                total.upstreams += 1;
                total.quarantined += usize::from(now < entry.quarantined_until);
                total.allocated += entry.allocated;
                total.capacity += entry.report.capacity;
            }
        }
        let closed = totals.into_iter().filter(|(_, total)| {
            total.quarantined > 1
                && 2 * total.quarantined >= total.upstreams
                && total.allocated.saturating_mul(2).fits(&total.capacity)
        });
        closed.map(|(pool, _)| pool.clone()).collect()
    }

    /// Ends the longer quarantines in the pools of those steps that have waiting tasks without room
    /// after a full pass.
    pub(super) fn shorten_quarantines(
        &mut self,
        now: u64,
        steps: &[Arc<ReadyStep>],
        view: &mut FleetView,
    ) {
        let mut pools = BTreeSet::new();
        for step in steps {
            if !pools.contains(&step.queue.pool) && self.lacks_room(now, step, view) {
                pools.insert(step.queue.pool.clone());
            }
        }
        if pools.is_empty() {
            return;
        }
        for (id, entry) in &mut self.upstreams {
            if !pools.contains(&entry.report.pool) || !entry.may_shorten_quarantine(now) {
                continue;
            }
            let report = ShortenedQuarantine {
                upstream: id.clone(),
                lasted_ms: now - entry.quarantined_at,
                shortened_by_ms: entry.quarantined_until - now,
            };
            entry.quarantined_until = now;
            self.effects
                .push(OwnerEffect::ReportShortenedQuarantine(report));
        }
        self.placement.request_full();
    }

    /// Returns whether a step has tasks that may start and have not failed, but the pool has no room
    /// for them.
    fn lacks_room(&self, now: u64, ready: &ReadyStep, view: &mut FleetView) -> bool {
        let Some(step) = self.step_of(ready) else {
            return false;
        };
        let Some(request) = self.placement_request(now, ready, PassPart::Regular) else {
            return false;
        };
        let has_failed = |index: &u32| {
            let task = &step.tasks[*index as usize];
            !task.failure_streak.upstreams().is_empty()
        };
        let headroom = self.cached_team_headroom(ready.team.as_ref(), view);
        if request.startable.iter().all(has_failed) || !request.minimum_demand().fits(&headroom) {
            return false;
        }
        let needed = if request.spec().gang {
            u64::from(request.spec().count)
        } else {
            1
        };
        let pool = view.pools.get(&ready.queue.pool);
        let upstreams = pool.into_iter().flat_map(|pool| &pool.upstreams);
        let slots = upstreams
            .filter(|upstream| request.could_run(upstream, step))
            .map(|upstream| upstream.unreserved().slots_for(&ready.allocation))
            .fold(0, u64::saturating_add);
        slots < needed
    }
}
