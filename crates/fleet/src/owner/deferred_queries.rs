//! Queries that wait for those that may bring a start.
//!
//! The load: bursts in which the hosts for long queries are the bottleneck, while some pools are
//! full and others have room. A query about a pool whose room earlier steps will use brings no
//! start soon. It is still useful if a host is free, because decisions stay valid and a gang that
//! knows where it may run can claim room at once. So it is sent after all others of the pass.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::model::{PolicyTiming, ResourceSize};
use crate::owner::OwnerMachine;
use crate::owner::fleet_view::FleetView;
use crate::owner::policy_queries::QueryPlan;
use crate::owner::ready_list::ReadyStep;

/// Queries of one placement pass that wait for those that may bring a start.
#[derive(Debug, Default)]
pub(super) struct DeferredQueries {
    /// In scheduling order.
    plans: Vec<(ReadyStep, QueryPlan)>,
    /// Queues of which a step that is no gang has found no room beyond what other steps use.
    queues: BTreeSet<Arc<str>>,
}

impl DeferredQueries {
    /// Removes all queries.
    pub fn clear(&mut self) {
        self.plans.clear();
        self.queues.clear();
    }
}

impl OwnerMachine {
    /// Returns how many tasks of a size would fit into the capacity of a pool that steps with
    /// queries in flight are expected to use.
    pub(super) fn tasks_in_expected_use(&self, pool: &Arc<str>, allocation: &ResourceSize) -> f64 {
        self.queries.expected_use(pool).dominant_share(allocation)
    }

    /// Sends the query of a step, or defers it if it would bring no start soon. Returns false if no
    /// host is free.
    pub(super) fn send_or_defer(
        &mut self,
        now: u64,
        ready: &ReadyStep,
        plan: QueryPlan,
        view: &mut FleetView,
    ) -> bool {
        let is_long = ready
            .queue
            .policy_service
            .is_some_and(PolicyTiming::is_long);
        if plan.has_room || !is_long {
            return self.send_plan(now, ready, &plan);
        }
        let deferred = &mut view.deferred_queries;
        if !plan.in_parallel {
            deferred.queues.insert(ready.queue.name.clone());
        }
        if deferred.plans.len() < self.queries.free_long_count() {
            deferred.plans.push((ready.clone(), plan));
        }
        true
    }

    /// Returns whether a query of the queue would probably be deferred, and more queries are than
    /// hosts are free.
    pub(super) fn is_query_futile(&self, ready: &ReadyStep, view: &FleetView) -> bool {
        let deferred = &view.deferred_queries;
        deferred.queues.contains(&ready.queue.name)
            && deferred.plans.len() >= self.queries.free_long_count()
    }

    /// Sends the deferred queries as long as hosts are free.
    pub(super) fn send_deferred_queries(&mut self, now: u64, view: &mut FleetView) {
        for (ready, plan) in std::mem::take(&mut view.deferred_queries.plans) {
            if !self.send_plan(now, &ready, &plan) {
                return;
            }
        }
    }
}
