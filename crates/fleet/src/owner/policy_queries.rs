//! Queries to the policy service about steps.
//!
//! The steps of a fleet need more decisions than one host may request from the policy service.
//! Queries are therefore spread over the hosts: steps query in scheduling order, each as soon as a
//! host is free.

use std::sync::Arc;

use crate::model::{PolicyTiming, ResourceSize};
use crate::owner::fleet_view::{CapacityForecast, FleetView, UpstreamView};
use crate::owner::placement::PlacementRequest;
use crate::owner::query_dispatcher::PolicyQuery;
use crate::owner::ready_list::ReadyStep;
use crate::owner::submission_entry::{StepEntry, TaskEntry, TaskPhase};
use crate::owner::{OwnerEffect, OwnerMachine, QueryOrder};

/// Time that a query may take beyond the expected duration, in milliseconds.
const QUERY_TIMEOUT_SLACK_MS: u64 = 1500;

/// Delay of a step's next query while no upstream will have free capacity soon, in milliseconds.
const NO_CAPACITY_DELAY_MS: u64 = 30;

/// Maximum number of upstreams in one query.
const MAX_QUERIED_UPSTREAMS: usize = 40;

/// Maximum time that additional upstreams may add to a query, as a share of its fixed duration.
const EXTRA_UPSTREAM_COST_SHARE: f64 = 0.4;

/// Free capacity that a query should cover, as a multiple of what the step needs.
const QUERIED_CAPACITY_FACTOR: u64 = 3;

/// A query that a step could send.
#[derive(Debug)]
pub(super) struct QueryPlan {
    pub upstreams: Vec<Arc<str>>,
    /// Whether as many hosts query at the same time as keep each query short.
    pub in_parallel: bool,
    /// Whether the query is split into several, so that each answer arrives sooner.
    pub may_split: bool,
    /// Capacity that the step is expected to use once the answer has arrived.
    pub expected_use: ResourceSize,
    /// Whether room for a start is expected beyond what earlier steps use.
    pub has_room: bool,
}

/// An upstream that a query may name.
struct QueryCandidate {
    /// Position of the upstream in the view of its pool.
    position: usize,
    known_allowed: bool,
    near_data: bool,
    /// Number of the step's tasks that it can run when the answer arrives.
    task_capacity: u64,
}

impl OwnerMachine {
    /// Queries the policy service about upstreams with capacity for the step, if a host is free.
    pub(super) fn query_for_step(
        &mut self,
        now: u64,
        ready: &ReadyStep,
        request: &PlacementRequest,
        unplaced: usize,
        view: &mut FleetView,
    ) {
        if self.may_query(now, ready) {
            self.plan_and_send(now, ready, request, unplaced, view);
        }
    }

    /// Queries the policy service for the tasks of a step whose runs on silent upstreams are about
    /// to be released, if a host is free. The team's upper limit is not checked: until then, these
    /// runs count against it.
    pub(super) fn query_before_release(
        &mut self,
        now: u64,
        ready: &ReadyStep,
        request: &PlacementRequest,
        view: &mut FleetView,
    ) {
        let released_soon = self.tasks_released_soon(now, ready, request.spec());
        if released_soon > 0 && self.may_query(now, ready) {
            self.plan_and_send(now, ready, request, released_soon, view);
        }
    }

    /// Returns whether the step may query now, and a host is free.
    fn may_query(&self, now: u64, ready: &ReadyStep) -> bool {
        let (Some(service), Some(step)) = (ready.queue.policy_service, self.step_of(ready)) else {
            return false;
        };
        step.pending_queries.is_empty()
            && now >= step.query_not_before
            && self.queries.has_free_host(now, service.is_long())
            && self.has_query_quota(ready)
    }

    /// Returns whether a host may query for the step, if it is free: those that query for deferred
    /// steps are limited.
    pub(super) fn has_query_quota(&self, ready: &ReadyStep) -> bool {
        self.queries.has_deferred_quota() || !self.is_deferred(ready)
    }

    /// Sends the step's query, or delays the next attempt if no upstream has room.
    fn plan_and_send(
        &mut self,
        now: u64,
        ready: &ReadyStep,
        request: &PlacementRequest,
        unplaced: usize,
        view: &mut FleetView,
    ) {
        let Some(service) = ready.queue.policy_service else {
            return;
        };
        let plan = self.plan_query(now, ready, request, unplaced as u64, service, view);
        let sent = plan.is_some_and(|plan| self.send_or_defer(now, ready, plan, view));
        if !sent && let Some(step) = self.step_mut(&ready.submission, ready.occurrence, ready.step)
        {
            step.query_not_before = now + NO_CAPACITY_DELAY_MS;
        }
    }

    /// Sends a planned query; returns false if no host is free.
    pub(super) fn send_plan(&mut self, now: u64, ready: &ReadyStep, plan: &QueryPlan) -> bool {
        let Some(service) = ready.queue.policy_service else {
            return false;
        };
        let step = self.step_of(ready);
        if step.is_none_or(|step| now < step.query_not_before) {
            return true;
        }
        let most = if plan.may_split {
            cheap_upstream_count(service).clamp(1, MAX_QUERIED_UPSTREAMS)
        } else {
            plan.upstreams.len()
        };
        let query_count = plan.upstreams.len().div_ceil(most.max(1)).max(1);
        let chunk = plan.upstreams.len().div_ceil(query_count).max(1);
        let mut expected_use = plan.expected_use;
        for queried in plan.upstreams.chunks(chunk) {
            if !self.send_query(now, ready, queried.to_vec(), expected_use, service) {
                return false;
            }
            expected_use = ResourceSize::ZERO;
        }
        true
    }

    fn send_query(
        &mut self,
        now: u64,
        ready: &ReadyStep,
        upstreams: Vec<Arc<str>>,
        expected_use: ResourceSize,
        service: PolicyTiming,
    ) -> bool {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss,
            reason = "small positive times"
        )]
        let duration_ms =
            (service.decision_ms + service.per_upstream_ms * upstreams.len() as f64).ceil() as u64;
        let query = PolicyQuery {
            submission: ready.submission.clone(),
            occurrence: ready.occurrence,
            step: ready.step,
            pool: ready.queue.pool.clone(),
            upstreams: upstreams.clone(),
            expected_use,
            sent_at: now,
            valid_ms: service.valid_ms,
        };
        let deferred = self.is_deferred(ready);
        let assigned = self.queries.assign(now, query, service.is_long(), deferred);
        let Some((query_id, host)) = assigned else {
            return false;
        };
        let (mut waiting, mut known_allowed) = (0, 0);
        if let Some(step) = self.step_of(ready) {
            let is_waiting = |task: &&TaskEntry| task.phase == TaskPhase::Waiting;
            let is_known = |id: &&Arc<str>| {
                let entry = self.upstreams.get(*id);
                entry.is_some_and(|entry| step.tickets.contains_key(&entry.index))
            };
            waiting = step.tasks.iter().filter(is_waiting).count();
            known_allowed = upstreams.iter().filter(is_known).count();
        }
        if let Some(step) = self.step_mut(&ready.submission, ready.occurrence, ready.step) {
            step.pending_queries.insert(query_id);
        }
        let queue = &ready.queue.name;
        self.query_usage.record_sent(query_id, queue, duration_ms);
        self.effects.push(OwnerEffect::Query(QueryOrder {
            query_id,
            host,
            step: format!("{}.{}.{}", ready.submission, ready.occurrence, ready.step),
            queue: ready.queue.name.clone(),
            waiting,
            upstreams,
            known_allowed,
            timeout_ms: duration_ms + QUERY_TIMEOUT_SLACK_MS,
        }));
        true
    }

    /// Chooses the upstreams for a query; `None` if none has room for a task when the answer
    /// arrives.
    ///
    /// Capacity that becomes free before the answer arrives counts as free. Which upstreams may run
    /// a step never changes, and the fixed cost of a query is much higher than the cost per
    /// upstream. So the first query names many upstreams, including full ones, and later queries
    /// renew the tickets of allowed upstreams with free capacity.
    fn plan_query(
        &self,
        now: u64,
        ready: &ReadyStep,
        request: &PlacementRequest,
        unplaced: u64,
        service: PolicyTiming,
        view: &mut FleetView,
    ) -> Option<QueryPlan> {
        let within_ms = service.query_ms();
        self.ensure_forecast(now, &ready.queue.pool, within_ms, view);
        let step = self.step_of(ready)?;
        let pool = view.pools.get(&ready.queue.pool)?;
        let forecast = pool.forecasts.get(&within_ms)?;
        let candidate =
            |position| query_candidate(now, request, step, &pool.upstreams, forecast, position);
        let allocation = request.allocation();
        let has_room = |position: &usize| {
            let freed = &forecast.freed[*position];
            allocation.fits(&pool.upstreams[*position].free_with(freed))
        };
        let needed_capacity = if request.spec().gang { unplaced } else { 1 };
        let positions_of_tickets = step.tickets.keys().filter_map(|index| {
            let position = view.position_of(*index)?;
            let found = pool.upstreams.get(position)?;
            (found.index == *index).then_some(position)
        });
        let mut candidates: Vec<_> = positions_of_tickets
            .filter(|position| forecast.has_cpu(*position, allocation.cpu_milli))
            .filter(has_room)
            .filter_map(candidate)
            .filter(|candidate| candidate.task_capacity > 0)
            .collect();
        let allowed_capacity = candidates
            .iter()
            .fold(0, |sum: u64, found| sum.saturating_add(found.task_capacity));
        let tasks_in_expected_use = self.tasks_in_expected_use(&ready.queue.pool, &allocation);
        let wanted_capacity = tasks_in_expected_use + as_f64(needed_capacity);
        // Few upstreams of a full pool have room, and most examinations end here.
        let mut total_capacity: u64 = 0;
        let roomy = forecast.positions_with_cpu(allocation.cpu_milli);
        for found in roomy.filter(has_room).filter_map(candidate) {
            total_capacity = total_capacity.saturating_add(found.task_capacity);
            if total_capacity >= needed_capacity && as_f64(total_capacity) >= wanted_capacity {
                break;
            }
        }
        if allowed_capacity < needed_capacity {
            if total_capacity < needed_capacity {
                return None;
            }
            let is_candidate = |candidate: &QueryCandidate| {
                candidate.task_capacity > 0 || !candidate.known_allowed
            };
            let positions = 0..pool.upstreams.len();
            let with_room = positions.clone().filter(has_room).filter_map(candidate);
            let is_first_choice = |candidate: &QueryCandidate| {
                step.tickets.is_empty()
                    && candidate.near_data
                    && candidate.task_capacity >= unplaced
            };
            candidates = first_choices(with_room.filter(is_candidate), is_first_choice);
            // Full upstreams come after all others, except those near the data.
            if candidates.len() < MAX_QUERIED_UPSTREAMS || request.spec().data_rack.is_some() {
                candidates = positions
                    .filter_map(candidate)
                    .filter(is_candidate)
                    .collect();
            }
        }
        let rank = |candidate: &QueryCandidate| {
            let task_capacity = std::cmp::Reverse(candidate.task_capacity.min(unplaced));
            (
                !candidate.known_allowed,
                !candidate.near_data,
                task_capacity,
                candidate.position,
            )
        };
        if candidates.len() > MAX_QUERIED_UPSTREAMS {
            candidates.select_nth_unstable_by_key(MAX_QUERIED_UPSTREAMS, rank);
            candidates.truncate(MAX_QUERIED_UPSTREAMS);
        }
        candidates.sort_unstable_by_key(rank);
        let cheap = cheap_upstream_count(service);
        let share = self.queries.allowed_share(&ready.queue.name);
        let mut queried_capacity: u64 = 0;
        let mut expected_tasks = 0.0;
        let mut queried = Vec::new();
        for candidate in candidates {
            let enough = if allowed_capacity >= needed_capacity {
                queried_capacity >= unplaced
            } else {
                queried.len() >= cheap && queried_capacity >= unplaced * QUERIED_CAPACITY_FACTOR
            };
            if queried.len() >= MAX_QUERIED_UPSTREAMS || enough {
                break;
            }
            queried_capacity = queried_capacity.saturating_add(candidate.task_capacity);
            let likelihood = if candidate.known_allowed { 1.0 } else { share };
            expected_tasks += as_f64(candidate.task_capacity.min(unplaced)) * likelihood;
            queried.push(pool.upstreams[candidate.position].id.clone());
        }
        (!queried.is_empty()).then(|| QueryPlan {
            upstreams: queried,
            in_parallel: false,
            may_split: false,
            expected_use: allocation.saturating_mul(whole_tasks(expected_tasks).min(unplaced)),
            has_room: request.spec().long_running || as_f64(total_capacity) >= wanted_capacity,
        })
    }

    /// Computes the capacity of a pool that becomes free within a duration, once for each pass.
    pub(super) fn ensure_forecast(
        &self,
        now: u64,
        pool: &Arc<str>,
        within_ms: u64,
        view: &mut FleetView,
    ) {
        let Some(found) = view.pools.get(pool) else {
            return;
        };
        if found.forecasts.contains_key(&within_ms) {
            return;
        }
        let mut freed = vec![ResourceSize::ZERO; found.upstreams.len()];
        for entry in self.upstreams.values() {
            if entry.report.pool == *pool
                && !entry.runs.is_empty()
                && let Some(position) = view.position_of(entry.index)
            {
                freed[position] = entry.freed_within(now, within_ms);
            }
        }
        let forecast = CapacityForecast::new(&found.upstreams, freed);
        if let Some(pool) = view.pools.get_mut(pool) {
            pool.forecasts.insert(within_ms, forecast);
        }
    }
}

/// Collects candidates in the order of their positions, until as many as a query can name are
/// first choices, which none that follows outranks.
fn first_choices(
    candidates: impl Iterator<Item = QueryCandidate>,
    is_first_choice: impl Fn(&QueryCandidate) -> bool,
) -> Vec<QueryCandidate> {
    let mut found = Vec::new();
    let mut missing = MAX_QUERIED_UPSTREAMS;
    for candidate in candidates {
        missing -= usize::from(is_first_choice(&candidate));
        found.push(candidate);
        if missing == 0 {
            break;
        }
    }
    found
}

/// Returns what a query about an upstream could bring; `None` if the step has a valid ticket there,
/// or could not run there.
fn query_candidate(
    now: u64,
    request: &PlacementRequest,
    step: &StepEntry,
    upstreams: &[UpstreamView],
    forecast: &CapacityForecast,
    position: usize,
) -> Option<QueryCandidate> {
    let upstream = upstreams.get(position)?;
    let ticket = step.tickets.get(&upstream.index);
    let has_valid_ticket = ticket.is_some_and(|ticket| now < ticket.expires_at);
    if has_valid_ticket || !request.could_run(upstream, step) {
        return None;
    }
    let free = upstream.free_with(&forecast.freed[position]);
    Some(QueryCandidate {
        position,
        known_allowed: ticket.is_some(),
        near_data: request.is_near_data(upstream),
        task_capacity: free
            .slots_for(&request.allocation())
            .min(request.step_headroom(&upstream.id)),
    })
}

#[expect(clippy::cast_precision_loss, reason = "small counts")]
pub(super) fn as_f64(count: u64) -> f64 {
    count as f64
}

/// Returns an expected number of tasks, rounded up.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "small positive counts"
)]
fn whole_tasks(expected: f64) -> u64 {
    expected.ceil() as u64
}

/// Returns how many upstreams a query can name within `EXTRA_UPSTREAM_COST_SHARE`.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "small positive counts"
)]
fn cheap_upstream_count(service: PolicyTiming) -> usize {
    if service.per_upstream_ms <= 0.0 {
        return MAX_QUERIED_UPSTREAMS;
    }
    (service.decision_ms * EXTRA_UPSTREAM_COST_SHARE / service.per_upstream_ms) as usize
}
