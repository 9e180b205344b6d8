//! Scheduling order and planning of starts.
//!
//! The load mixes many short urgent submissions, batch steps with many tasks, gangs whose members
//! each occupy a whole upstream, and long-running tasks. Submissions that can still meet their
//! objective come before late ones; then priority decides, then the earlier deadline of the
//! objective. A gang that does not fit claims the capacity that it waits for, and a long-running step
//! reserves it, so that later steps do not take it.
//!
//! A task is allocated first, then recorded in the store, and only then started
//! (`planned_start.rs`).

use crate::owner::OwnerMachine;
use crate::owner::fleet_view::{FleetView, PassPart};
use crate::owner::placement::{Isolation, PlacementRequest};
use crate::owner::placement_schedule::PlacementScope;
use crate::owner::query_dispatcher::FreeHosts;
use crate::owner::ready_list::{DeadlineStatus, ReadyStep};
use crate::owner::slot_claims::StepKey;
use crate::owner::submission_entry::{StepEntry, TaskPhase};
use crate::owner::upstream_entry::RunPhase;

/// Size of the range of attempt numbers reserved for each owner. An owner starts above the ranges
/// of its predecessors, because the store keeps no attempt number of a task without a run.
const ATTEMPTS_PER_OWNER: u32 = 1000;

impl OwnerMachine {
    /// Places the tasks in scope that may start and fit, and queries the policy service for missing
    /// tickets.
    pub(super) fn place(&mut self, now: u64, unix_ms: u64, scope: PlacementScope) {
        let mut ready = self.ready_steps(now, unix_ms, scope);
        if scope == PlacementScope::Fresh && self.placement.has_urgent_backlog {
            ready.retain(|step| !step.has_tickets(now));
        }
        if ready.is_empty() {
            self.end_deferrals(now);
            return;
        }
        let mut view = if scope == PlacementScope::All {
            self.view_cache.clear();
            self.fleet_view(now)
        } else {
            self.reused_view(now)
        };
        if scope == PlacementScope::All {
            self.refresh_shares(now, &view);
            self.withdraw_claims(&ready);
        }
        self.claims.apply(now, &mut view);
        let beside_quarantines = match scope {
            PlacementScope::All => self.steps_beside_quarantines(now, &ready),
            PlacementScope::Urgent | PlacementScope::Fresh => Vec::new(),
        };
        self.place_steps(now, ready, scope, &mut view);
        if scope == PlacementScope::All {
            self.place_yielding_steps(now, &mut view);
        }
        self.shorten_quarantines(now, &beside_quarantines, &mut view);
        self.view_cache.store(view);
    }

    /// Places the tasks that keep failing, with the capacity that is left.
    fn place_yielding_steps(&mut self, now: u64, view: &mut FleetView) {
        view.part = PassPart::Yielding;
        for step in std::mem::take(&mut view.yielding_steps) {
            self.place_step(now, &step, view);
        }
        view.part = PassPart::Regular;
    }

    /// Places the tasks of one step; queries the policy service or preempts other runs if some do
    /// not fit.
    pub(super) fn place_step(&mut self, now: u64, ready: &ReadyStep, view: &mut FleetView) {
        if self.awaits_tickets(now, ready, self.queries.free_hosts(now))
            || self.awaits_other_queries(now, ready, view)
        {
            return;
        }
        let Some(mut request) = self.placement_request(now, ready, view.part) else {
            self.ready.mark_changed(&ready.submission);
            return;
        };
        if request.has_yielding && view.part == PassPart::Regular {
            view.yielding_steps.push(ready.clone());
        }
        request.limit_tasks(self.max_tasks_at_once(ready));
        let claim = if request.spec().gang {
            self.claims.take(&StepKey::from(ready))
        } else {
            None
        };
        if let Some(claim) = &claim {
            claim.release_in(view);
        }
        if request.startable.is_empty() {
            self.query_before_release(now, ready, &request, view);
            self.recheck_if_none_waiting(ready);
            return;
        }
        let choices = self.choose_upstreams(now, ready, &request, view);
        let unplaced = request.startable.len() - choices.len();
        let isolated = choices
            .first()
            .filter(|_| request.isolation != Isolation::None);
        let isolated = isolated.map(|(_, position)| *position);
        for (index, position) in choices {
            self.plan_task(now, ready, index, position, &request, view);
        }
        if let Some(position) = isolated {
            view.close(&ready.queue.pool, position);
        }
        if unplaced == 0 {
            self.recheck_if_none_waiting(ready);
            return;
        }
        if request.spec().gang {
            self.arrange_gang(now, ready, &request, claim, view);
            return;
        }
        let headroom = self.cached_team_headroom(request.team(), view);
        let unplaced = request.limit_to_headroom(unplaced, &headroom);
        if unplaced == 0 {
            return;
        }
        if view.part == PassPart::Yielding {
            if request.needs_ticket {
                self.query_for_step(now, ready, &request, unplaced, view);
            }
            return;
        }
        self.placement.has_urgent_backlog |= ready.priority == 0
            && ready.deadline_status(now) == DeadlineStatus::OnTime
            && ready.has_tickets(now)
            && !self.is_deferred(ready);
        if request.needs_ticket {
            self.query_for_step(now, ready, &request, unplaced, view);
        }
        if request.awaits_isolation() || self.awaits_policy_service(now, ready) {
            return;
        }
        if !self.is_deferred(ready) {
            self.preempt_for(now, ready, &request, unplaced, view);
        }
        if request.spec().long_running && !self.yields_capacity(ready) {
            self.reserve_capacity(ready, &request, unplaced, view);
        }
    }

    /// Returns whether the step has no valid ticket and can't query for one now. Gangs and
    /// long-running steps are examined nevertheless, because they hold capacity meanwhile.
    pub(super) fn awaits_tickets(&self, now: u64, ready: &ReadyStep, hosts: FreeHosts) -> bool {
        let Some(service) = ready.queue.policy_service else {
            return false;
        };
        if ready.holds_capacity || ready.has_tickets(now) {
            return false;
        }
        let may_query =
            |step: &StepEntry| step.pending_queries.is_empty() && now >= step.query_not_before;
        !hosts.any_for(service.is_long())
            || !self.has_query_quota(ready)
            || !self.step_of(ready).is_none_or(may_query)
    }

    /// Returns whether the step has no valid ticket because its last query failed. Nobody knows when
    /// it can start, so it holds no capacity meanwhile.
    fn awaits_policy_service(&self, now: u64, ready: &ReadyStep) -> bool {
        !ready.has_tickets(now) && self.step_of(ready).is_some_and(|step| step.query_failed)
    }

    /// Returns whether the step has no valid ticket, and its query would wait for others.
    fn awaits_other_queries(&self, now: u64, ready: &ReadyStep, view: &FleetView) -> bool {
        self.is_query_futile(ready, view) && !ready.has_tickets(now) && !ready.holds_capacity
    }

    /// Marks the submission to be examined again if no task of the step is waiting.
    fn recheck_if_none_waiting(&mut self, ready: &ReadyStep) {
        let waits = |step: &StepEntry| {
            let mut tasks = step.tasks.iter();
            tasks.any(|task| task.phase == TaskPhase::Waiting)
        };
        if !self.step_of(ready).is_some_and(waits) {
            self.ready.mark_changed(&ready.submission);
        }
    }

    /// Allocates a task on an upstream; it is started once the store has recorded its run.
    fn plan_task(
        &mut self,
        now: u64,
        ready: &ReadyStep,
        index: u32,
        position: usize,
        request: &PlacementRequest,
        view: &mut FleetView,
    ) {
        let pool = view.pools.get_mut(&ready.queue.pool);
        let Some(target) = pool.and_then(|pool| pool.upstreams.get_mut(position)) else {
            return;
        };
        let upstream = target.id.clone();
        let name = ready.task_name(index);
        let Some(step) = self.step_of(ready) else {
            return;
        };
        let last = step
            .tasks
            .get(index as usize)
            .map_or(0, |task| task.attempt);
        let attempt = request
            .gang_attempt
            .unwrap_or_else(|| self.next_attempt(last));
        let Some(run) = self.new_run(&name, attempt, RunPhase::Planned, now) else {
            return;
        };
        target.free = target.free.saturating_sub(&run.allocation);
        if let Some(headroom) = request
            .team()
            .and_then(|team| view.team_headrooms.get_mut(team))
        {
            *headroom = headroom.saturating_sub(&run.demand);
        }
        target.is_empty = false;
        self.allocate(&upstream, &name, run);
        if request.isolation != Isolation::None {
            self.isolate(now, &upstream, &ready.submission);
        }
        if let Some(task) = self.task_mut(&name) {
            task.phase = TaskPhase::Placed;
            task.attempt = attempt;
            task.upstream = Some(upstream);
        }
        self.record_change(&ready.submission, true);
    }

    /// Returns an attempt number above `last`; each owner has its own range.
    pub(super) fn next_attempt(&self, last: u32) -> u32 {
        last.max(self.generation * ATTEMPTS_PER_OWNER) + 1
    }
}
