//! What the steps that need tickets wait for.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::owner::OwnerMachine;
use crate::owner::submission_entry::TaskPhase;

/// Numbers of hosts by the state of their queries to the policy service.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct QueryHostCounts {
    /// Hosts that may send queries.
    pub hosts: usize,
    /// Hosts with a long query in flight.
    pub long_pending: usize,
    /// Hosts with a short query in flight.
    pub short_pending: usize,
    /// Hosts without a query in flight that pause after a failed one.
    pub paused: usize,
}

/// Numbers of steps of one queue that need tickets and have waiting tasks, by what they wait for.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TicketWaits {
    /// Waiting tasks of all these steps.
    pub tasks: usize,
    /// Steps with a query in flight.
    pub querying: usize,
    /// Steps without a query in flight that have a valid ticket.
    pub ticketed: usize,
    /// Steps that may query later, because no capacity was free or no upstream was allowed.
    pub delayed: usize,
    /// Steps that may query as soon as a host is free.
    pub unasked: usize,
}

impl TicketWaits {
    /// Returns the number of steps.
    #[must_use]
    pub fn steps(&self) -> usize {
        self.querying + self.ticketed + self.delayed + self.unasked
    }
}

/// Load of the queries to the policy service.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AdviceLoad {
    /// Hosts by the state of their queries.
    pub hosts: QueryHostCounts,
    /// Waiting steps by queue.
    pub queues: BTreeMap<Arc<str>, TicketWaits>,
}

impl OwnerMachine {
    /// Returns the load of the queries to the policy service.
    #[must_use]
    pub fn advice_load(&self, now: u64) -> AdviceLoad {
        let mut load = AdviceLoad {
            hosts: self.queries.host_counts(now),
            ..AdviceLoad::default()
        };
        for ready in self.ready.known_steps() {
            if ready.queue.policy_service.is_none() {
                continue;
            }
            let Some(step) = self.step_of(ready) else {
                continue;
            };
            let waits = load.queues.entry(ready.queue.name.clone()).or_default();
            let is_waiting = |phase| phase == TaskPhase::Waiting;
            waits.tasks += step
                .tasks
                .iter()
                .filter(|task| is_waiting(task.phase))
                .count();
            if !step.pending_queries.is_empty() {
                waits.querying += 1;
            } else if now < step.tickets_expire_at {
                waits.ticketed += 1;
            } else if now < step.query_not_before {
                waits.delayed += 1;
            } else {
                waits.unasked += 1;
            }
        }
        load
    }
}
