//! Distribution of policy service queries over the hosts.
//!
//! The service handles one call at a time from each calling host, so each host has at most one
//! query in flight. Long queries leave some hosts free for short ones.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Fixed query duration above which a query counts as long, in milliseconds.
pub(super) const LONG_QUERY_MS: f64 = 100.0;

/// Decision of the policy service about a step.
#[derive(Clone, Debug, PartialEq)]
pub struct PolicyDecision {
    /// Upstreams that may run the step, with their tickets.
    pub allowed: Vec<(Arc<str>, Arc<str>)>,
    /// Validity of the tickets, in milliseconds.
    pub valid_ms: u64,
}

/// Outcome of a query to the policy service.
#[derive(Clone, Debug, PartialEq)]
pub enum QueryOutcome {
    /// The service answered.
    Answered(PolicyDecision),
    /// No usable answer; the host that sent the query pauses.
    Failed,
}

/// A query about a step.
#[derive(Clone, Debug)]
pub(super) struct PolicyQuery {
    pub submission: Arc<str>,
    pub occurrence: u32,
    pub step: u32,
    pub upstreams: Vec<Arc<str>>,
    /// Validity of tickets according to the queue's policy, in milliseconds.
    pub valid_ms: u64,
}

/// A query that a host has in flight.
#[derive(Clone, Debug)]
struct PendingQuery {
    query: PolicyQuery,
    host: Arc<str>,
    long: bool,
}

/// Query state of a host.
#[derive(Clone, Copy, Debug, Default)]
struct HostLoad {
    busy: bool,
    /// Time before which the host sends no query.
    paused_until: u64,
    /// Number of the host's last query; the host that has been idle longest is chosen first.
    last_query: u64,
}

/// Assigns queries to hosts.
#[derive(Debug, Default)]
pub(super) struct QueryDispatcher {
    last_query: u64,
    /// Queries in flight by number; at most one for each host.
    pending: BTreeMap<u64, PendingQuery>,
    hosts: BTreeMap<Arc<str>, HostLoad>,
}

impl QueryDispatcher {
    /// Sets the hosts that may send queries.
    pub fn set_hosts(&mut self, hosts: &BTreeSet<Arc<str>>) {
        self.hosts
            .retain(|host, load| load.busy || hosts.contains(host));
        for host in hosts {
            if !self.hosts.contains_key(host) {
                self.hosts.insert(host.clone(), HostLoad::default());
            }
        }
    }

    /// Returns whether a host is free for a query.
    pub fn has_free_host(&self, now: u64, long: bool) -> bool {
        self.free_host(now, long).is_some()
    }

    fn free_host(&self, now: u64, long: bool) -> Option<&Arc<str>> {
        let long_pending = self.pending.values().filter(|pending| pending.long).count();
        // At most two thirds of the hosts, but at least one, may have long queries in flight.
        if long && long_pending >= (self.hosts.len() * 2 / 3).max(1) {
            return None;
        }
        self.hosts
            .iter()
            .filter(|(_, load)| !load.busy && load.paused_until <= now)
            .min_by_key(|(_, load)| load.last_query)
            .map(|(host, _)| host)
    }

    /// Assigns a query to a free host; returns the query's number and the host.
    pub fn assign(&mut self, now: u64, query: PolicyQuery, long: bool) -> Option<(u64, Arc<str>)> {
        let host = self.free_host(now, long)?.clone();
        self.last_query += 1;
        let query_id = self.last_query;
        if let Some(load) = self.hosts.get_mut(&host) {
            load.busy = true;
            load.last_query = query_id;
        }
        let pending = PendingQuery {
            query,
            host: host.clone(),
            long,
        };
        self.pending.insert(query_id, pending);
        Some((query_id, host))
    }

    /// Completes a query; `pause_until` delays the host's next one.
    pub fn finish(&mut self, query_id: u64, pause_until: Option<u64>) -> Option<PolicyQuery> {
        let pending = self.pending.remove(&query_id)?;
        if let Some(load) = self.hosts.get_mut(&pending.host) {
            load.busy = false;
            load.paused_until = pause_until.unwrap_or(load.paused_until);
        }
        Some(pending.query)
    }
}
