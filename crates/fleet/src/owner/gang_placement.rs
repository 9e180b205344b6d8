//! Arranges room and tickets for gangs that do not fit at once.
//!
//! The load: gangs of up to a hundred tasks, of which the policy service allows a part of the
//! upstreams and whose tickets are valid for little longer than a query takes. A gang first learns
//! which upstreams are allowed, by queries that several hosts send at the same time. Once enough
//! room on them is free or about to be, it claims that room and renews the tickets there. It
//! preempts other work only if the allowed upstreams have too little room, and only for a claim.

use std::sync::Arc;

use crate::model::{PolicyTiming, ResourceSize};
use crate::owner::OwnerMachine;
use crate::owner::fleet_view::FleetView;
use crate::owner::placement::PlacementRequest;
use crate::owner::policy_queries::{QueryPlan, as_f64};
use crate::owner::preemption::{PreemptionKind, VictimSet, cheapest_sets};
use crate::owner::ready_list::ReadyStep;
use crate::owner::slot_claims::{StepClaim, StepKey};

/// Time between two attempts to arrange room for the same gang, in milliseconds.
const ARRANGE_INTERVAL_MS: u64 = 40;

/// Time for which a claim is held beyond the duration of a query, in milliseconds. It covers a stop
/// of the victims, the commit that records the runs, and runs that end later than expected.
const CLAIM_SLACK_MS: u64 = 1500;

/// Delay before a gang claims again after a claim expired unused, in milliseconds.
const EXPIRED_CLAIM_DELAY_MS: u64 = 500;

/// Waiting time after which a gang preempts others, in milliseconds. Runs that end within this time
/// free their capacity without loss.
const GANG_PREEMPTION_DELAY_MS: u64 = 500;

/// Value of `GANG_PREEMPTION_DELAY_MS` for urgent gangs.
const URGENT_GANG_PREEMPTION_DELAY_MS: u64 = 60;

/// Expected room among the queried upstreams, as a multiple of what the gang lacks.
const DISCOVERY_FACTOR: f64 = 1.5;

/// Expected room among the queried upstreams beyond that, in tasks; which upstreams are allowed
/// varies most for small gangs.
const DISCOVERY_MARGIN_TASKS: f64 = 3.0;

/// Multiple of the expected room that a query covers while hosts for queries are scarce. The fixed
/// cost of a query is that of seventy upstreams, and a gang that knows few allowed upstreams
/// queries again whenever others get room.
const SCARCE_DISCOVERY_FACTOR: f64 = 4.0;

/// Maximum number of upstreams in a query about upstreams that are not decided yet while hosts are
/// scarce.
const MAX_SCARCE_DISCOVERY: usize = 100;

/// Room for tasks of a gang on an upstream.
#[derive(Clone, Copy, Debug)]
struct GangSlots {
    /// Position of the upstream in the view of its pool.
    position: usize,
    /// Number of tasks that fit once the runs that are about to end have ended.
    tasks: u64,
    /// Whether the policy service is known to allow the upstream.
    allowed: bool,
}

impl OwnerMachine {
    /// Claims room for a gang that could not be placed, or takes the next step towards that.
    pub(super) fn arrange_gang(
        &mut self,
        now: u64,
        ready: &ReadyStep,
        request: &PlacementRequest,
        held: Option<StepClaim>,
        view: &mut FleetView,
    ) {
        let may_claim = !self.yields_capacity(ready);
        if let Some(claim) = held.filter(|_| may_claim) {
            if now < claim.expires_at {
                self.hold_claim(now, ready, claim, view);
                return;
            }
            self.delay_arranging(now + EXPIRED_CLAIM_DELAY_MS, ready);
        }
        let team_headroom = self.cached_team_headroom(request.team(), view);
        if !request.minimum_demand().fits(&team_headroom) {
            return;
        }
        let wanted = request.startable.len() as u64;
        if let Some(pool) = view.pools.get_mut(&ready.queue.pool) {
            pool.awaited_by_gangs += request.allocation().saturating_mul(wanted);
        }
        let service = ready.queue.policy_service;
        let is_long = service.is_some_and(PolicyTiming::is_long);
        let has_free_host = self.queries.has_free_host(now, is_long) && self.has_query_quota(ready);
        let is_due = self.step_of(ready).is_some_and(|step| {
            now >= step.arrange_not_before || (step.awaits_query_host && has_free_host)
        });
        if !is_due {
            return;
        }
        self.set_awaits_query_host(ready, false);
        self.delay_arranging(now + ARRANGE_INTERVAL_MS, ready);
        let slots = self.gang_slots(now, ready, request, view);
        let known: u64 = sum_tasks(slots.iter().filter(|slot| slot.allowed));
        if known >= wanted {
            if may_claim {
                self.claim_slots(now, ready, request, &slots, &[], view);
            }
            return;
        }
        if self.has_pending_query(ready) {
            return;
        }
        if self.discover(now, ready, request, &slots, wanted - known, false, view) || !may_claim {
            return;
        }
        let delay_ms = if ready.priority == 0 {
            URGENT_GANG_PREEMPTION_DELAY_MS
        } else {
            GANG_PREEMPTION_DELAY_MS
        };
        if now.saturating_sub(request.waiting_since) >= delay_ms && !self.is_deferred(ready) {
            let victims = self.gang_victims(now, ready, request, &slots, wanted - known, view);
            if !victims.is_empty() {
                self.claim_slots(now, ready, request, &slots, &victims, view);
                return;
            }
        }
        self.discover(now, ready, request, &slots, wanted - known, true, view);
    }

    fn delay_arranging(&mut self, until: u64, ready: &ReadyStep) {
        if let Some(step) = self.step_mut(&ready.submission, ready.occurrence, ready.step) {
            step.arrange_not_before = until;
        }
    }

    fn set_awaits_query_host(&mut self, ready: &ReadyStep, awaits: bool) {
        if let Some(step) = self.step_mut(&ready.submission, ready.occurrence, ready.step) {
            step.awaits_query_host = awaits;
        }
    }

    fn has_pending_query(&self, ready: &ReadyStep) -> bool {
        self.step_of(ready)
            .is_some_and(|step| !step.pending_queries.is_empty())
    }

    /// Returns the room on each upstream that is allowed or may be.
    fn gang_slots(
        &self,
        now: u64,
        ready: &ReadyStep,
        request: &PlacementRequest,
        view: &mut FleetView,
    ) -> Vec<GangSlots> {
        let within_ms = ready.queue.policy_service.map_or(0, PolicyTiming::query_ms);
        self.ensure_forecast(now, &ready.queue.pool, within_ms, view);
        let (Some(step), Some(pool)) = (self.step_of(ready), view.pools.get(&ready.queue.pool))
        else {
            return Vec::new();
        };
        let forecast = pool.forecasts.get(&within_ms);
        let allocation = request.allocation();
        let mut slots = Vec::new();
        for (position, upstream) in pool.upstreams.iter().enumerate() {
            if !request.could_run(upstream, step) {
                continue;
            }
            let ending = forecast
                .and_then(|forecast| forecast.freed.get(position))
                .copied();
            let free = upstream.free + ending.unwrap_or_default();
            let tasks = free
                .saturating_sub(&upstream.reserved)
                .min(&upstream.capacity)
                .slots_for(&allocation)
                .min(request.step_headroom(&upstream.id));
            slots.push(GangSlots {
                position,
                tasks,
                allowed: !request.needs_ticket || step.tickets.contains_key(&upstream.index),
            });
        }
        slots.sort_by_key(|slot| std::cmp::Reverse(slot.tasks));
        slots
    }

    /// Queries the policy service about upstreams that it has not decided on. Returns false if
    /// these would not have enough room; with `full_too`, queries about full upstreams as well.
    /// While hosts for queries are scarce, one query names what later ones would have named.
    #[expect(
        clippy::too_many_arguments,
        reason = "the state of one placement attempt"
    )]
    fn discover(
        &mut self,
        now: u64,
        ready: &ReadyStep,
        request: &PlacementRequest,
        slots: &[GangSlots],
        missing: u64,
        full_too: bool,
        view: &mut FleetView,
    ) -> bool {
        if !request.needs_ticket {
            return false;
        }
        let share = self.queries.allowed_share(&ready.queue.name);
        let Some(pool) = view.pools.get(&ready.queue.pool) else {
            return false;
        };
        let allocation = request.allocation();
        let wanted = as_f64(missing) * DISCOVERY_FACTOR + DISCOVERY_MARGIN_TASKS;
        let is_scarce = self.queries.is_scarce();
        let (covered, most_queried) = if is_scarce {
            (wanted * SCARCE_DISCOVERY_FACTOR, MAX_SCARCE_DISCOVERY)
        } else {
            (wanted, usize::MAX)
        };
        let mut expected = 0.0;
        let mut queried = Vec::new();
        for slot in slots.iter().filter(|slot| !slot.allowed) {
            let names_full = full_too || (is_scarce && expected >= as_f64(missing));
            let is_full = slot.tasks == 0;
            if (is_full && !names_full) || expected >= covered || queried.len() >= most_queried {
                break;
            }
            let upstream = &pool.upstreams[slot.position];
            let most = upstream.capacity.slots_for(&allocation);
            let tasks = if full_too || is_full {
                most
            } else {
                slot.tasks
            };
            expected += as_f64(tasks) * share;
            queried.push(upstream.id.clone());
        }
        if queried.is_empty() || (!full_too && expected < as_f64(missing)) {
            return false;
        }
        let has_room = if full_too {
            self.can_claim_soon(now, ready, request, slots, wanted, view)
        } else {
            let undecided = slots.iter().filter(|slot| !slot.allowed);
            let tasks_in_expected_use = self.tasks_in_expected_use(&ready.queue.pool, &allocation);
            (as_f64(sum_tasks(undecided)) - tasks_in_expected_use) * share >= as_f64(missing)
        };
        let expected_use = if full_too {
            ResourceSize::ZERO
        } else {
            allocation.saturating_mul(missing)
        };
        let plan = QueryPlan {
            upstreams: queried,
            in_parallel: true,
            may_split: !is_scarce,
            expected_use,
            has_room,
        };
        let sent = self.send_or_defer(now, ready, plan, view);
        self.set_awaits_query_host(ready, !sent);
        true
    }

    /// Returns whether room for the gang, beyond what the gangs before it wait for, becomes free
    /// while it queries and then renews its tickets, and the known upstreams are too few for it.
    fn can_claim_soon(
        &self,
        now: u64,
        ready: &ReadyStep,
        request: &PlacementRequest,
        slots: &[GangSlots],
        wanted: f64,
        view: &mut FleetView,
    ) -> bool {
        let within_ms = 2 * ready.queue.policy_service.map_or(0, PolicyTiming::query_ms);
        self.ensure_forecast(now, &ready.queue.pool, within_ms, view);
        let Some(pool) = view.pools.get(&ready.queue.pool) else {
            return false;
        };
        let forecast = pool.forecasts.get(&within_ms);
        let allocation = request.allocation();
        let (mut known, mut room) = (0, 0);
        for slot in slots {
            let upstream = &pool.upstreams[slot.position];
            if slot.allowed {
                known += upstream.capacity.slots_for(&allocation);
            }
            let freed = forecast.and_then(|forecast| forecast.freed.get(slot.position));
            let free = upstream.free + freed.copied().unwrap_or_default();
            let free = free.saturating_sub(&upstream.reserved);
            room += free.min(&upstream.capacity).slots_for(&allocation);
        }
        let awaited = pool.awaited_by_gangs.dominant_share(&allocation);
        as_f64(known) < wanted && as_f64(room) >= awaited
    }

    /// Chooses runs to stop so that `missing` more tasks fit on allowed upstreams; none if they do
    /// not suffice.
    fn gang_victims(
        &self,
        now: u64,
        ready: &ReadyStep,
        request: &PlacementRequest,
        slots: &[GangSlots],
        missing: u64,
        view: &mut FleetView,
    ) -> Vec<VictimSet> {
        if view.preemption_searches_left == 0 {
            return Vec::new();
        }
        view.preemption_searches_left -= 1;
        let Some(pool) = view.pools.get(&ready.queue.pool) else {
            return Vec::new();
        };
        let sets = slots.iter().filter(|slot| slot.allowed).filter_map(|slot| {
            let upstream = &pool.upstreams[slot.position];
            let entry = self.upstreams.get(&upstream.id)?;
            self.victims_on(now, ready, request, PreemptionKind::Gang, upstream, entry)
        });
        cheapest_sets(sets.collect(), missing)
    }

    /// Claims enough allowed slots for the gang, stops the victims, and renews the tickets.
    fn claim_slots(
        &mut self,
        now: u64,
        ready: &ReadyStep,
        request: &PlacementRequest,
        slots: &[GangSlots],
        victims: &[VictimSet],
        view: &mut FleetView,
    ) {
        let query_ms = ready.queue.policy_service.map_or(0, PolicyTiming::query_ms);
        let Some(pool) = view.pools.get(&ready.queue.pool) else {
            return;
        };
        let mut claim = StepClaim {
            pool: ready.queue.pool.clone(),
            slots: Vec::new(),
            allocation: request.allocation(),
            expires_at: now + query_ms + CLAIM_SLACK_MS,
        };
        let mut missing = request.startable.len() as u64;
        for slot in slots.iter().filter(|slot| slot.allowed) {
            let upstream = &pool.upstreams[slot.position];
            let freed: u64 = victims
                .iter()
                .filter(|set| set.upstream == upstream.id)
                .map(|set| set.extra_tasks)
                .sum();
            let tasks = (slot.tasks + freed).min(missing);
            if tasks > 0 {
                claim.slots.push((upstream.index, tasks));
                missing -= tasks;
            }
        }
        if missing > 0 || !self.claims.has_room(pool, &claim) {
            return;
        }
        for set in victims {
            self.stop_victims(now, ready, set);
        }
        self.hold_claim(now, ready, claim, view);
    }

    /// Keeps a claim, and renews the tickets of the claimed upstreams that expire too early.
    fn hold_claim(&mut self, now: u64, ready: &ReadyStep, claim: StepClaim, view: &mut FleetView) {
        claim.reserve_in(view);
        let query_ms = ready.queue.policy_service.map(PolicyTiming::query_ms);
        if let (Some(query_ms), Some(step)) = (query_ms, self.step_of(ready))
            && step.pending_queries.is_empty()
        {
            let expires_early = |index| {
                let ticket = step.tickets.get(index);
                ticket.is_none_or(|ticket| ticket.expires_at <= now + query_ms)
            };
            let any_expired = claim.slots.iter().any(|(index, _)| {
                let ticket = step.tickets.get(index);
                ticket.is_none_or(|ticket| ticket.expires_at <= now)
            });
            let renewed: Vec<Arc<str>> = claim
                .slots
                .iter()
                .filter(|(index, _)| any_expired && expires_early(index))
                .filter_map(|(index, _)| Some(view.upstream(&claim.pool, *index)?.id.clone()))
                .collect();
            if !renewed.is_empty() {
                let plan = QueryPlan {
                    upstreams: renewed,
                    in_parallel: true,
                    may_split: true,
                    expected_use: ResourceSize::ZERO,
                    has_room: true,
                };
                self.send_plan(now, ready, &plan);
            }
        }
        self.claims.insert(StepKey::from(ready), claim);
    }
}

fn sum_tasks<'a>(slots: impl Iterator<Item = &'a GangSlots>) -> u64 {
    slots.fold(0, |sum, slot| sum.saturating_add(slot.tasks))
}
