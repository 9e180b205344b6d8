//! Distribution of policy service queries over the hosts.
//!
//! The service handles one call at a time from each calling host, so each host has at most one
//! query in flight. Long queries leave some hosts free for short ones.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use crate::model::ResourceSize;
use crate::owner::advice_load::QueryHostCounts;

/// Assumed share of upstreams that the policy service allows, before the first decision.
const INITIAL_ALLOWED_SHARE: f64 = 0.3;

/// Weight of one decision about a single upstream in the learnt share.
const SHARE_SMOOTHING: f64 = 0.005;

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
    pub pool: Arc<str>,
    pub upstreams: Vec<Arc<str>>,
    /// Capacity of the pool that the step is expected to use once the answer has arrived.
    pub expected_use: ResourceSize,
    /// When it was sent.
    pub sent_at: u64,
    /// Validity of tickets according to the queue's policy, in milliseconds.
    pub valid_ms: u64,
}

/// A query that a host has in flight.
#[derive(Clone, Debug)]
struct PendingQuery {
    query: PolicyQuery,
    host: Arc<str>,
    long: bool,
    /// Whether it was sent for a deferred step.
    deferred: bool,
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

/// Whether hosts are free for queries.
#[derive(Clone, Copy, Debug)]
pub(super) struct FreeHosts {
    long: bool,
    short: bool,
}

impl FreeHosts {
    /// Returns whether a host is free for a long or a short query.
    pub fn any_for(self, long: bool) -> bool {
        if long { self.long } else { self.short }
    }
}

/// Assigns queries to hosts.
#[derive(Debug, Default)]
pub(super) struct QueryDispatcher {
    last_query: u64,
    /// Queries in flight by number; at most one for each host.
    pending: BTreeMap<u64, PendingQuery>,
    hosts: BTreeMap<Arc<str>, HostLoad>,
    /// Free hosts by the number of their last query; the one that has been idle longest is first.
    free_hosts: BTreeSet<(u64, Arc<str>)>,
    /// Number of long queries in flight.
    long_pending: usize,
    /// Whether hosts for long queries are scarce.
    is_scarce: bool,
    /// Number of queries in flight for deferred steps.
    deferred_pending: usize,
    /// Capacity that the steps with queries in flight are expected to use, by pool.
    expected_use: HashMap<Arc<str>, ResourceSize>,
    /// Smoothed share of upstreams that the policy service allows, by queue.
    allowed_shares: HashMap<Arc<str>, f64>,
}

impl QueryDispatcher {
    /// Sets the hosts that may send queries.
    pub fn set_hosts(&mut self, hosts: &BTreeSet<Arc<str>>) {
        let known_only = |host: &Arc<str>| hosts.contains(host);
        self.hosts
            .retain(|host, load| load.busy || known_only(host));
        self.free_hosts.retain(|(_, host)| known_only(host));
        for host in hosts {
            if !self.hosts.contains_key(host) {
                self.hosts.insert(host.clone(), HostLoad::default());
                self.free_hosts.insert((0, host.clone()));
            }
        }
        self.update_scarcity();
    }

    /// Returns the numbers of hosts by the state of their queries.
    pub fn host_counts(&self, now: u64) -> QueryHostCounts {
        let is_paused = |load: &&HostLoad| !load.busy && load.paused_until > now;
        QueryHostCounts {
            hosts: self.hosts.len(),
            long_pending: self.long_pending,
            short_pending: self.pending.len() - self.long_pending,
            paused: self.hosts.values().filter(is_paused).count(),
        }
    }

    /// Returns whether a host is free for a query.
    pub fn has_free_host(&self, now: u64, long: bool) -> bool {
        self.free_host(now, long).is_some()
    }

    /// Returns how many more long queries may be in flight.
    pub fn free_long_count(&self) -> usize {
        let allowed = self.max_long_pending().saturating_sub(self.long_pending);
        allowed.min(self.free_hosts.len())
    }

    /// Returns whether hosts for long queries are scarce: as many as possible had one in flight, and
    /// fewer than half of these have become free since.
    pub fn is_scarce(&self) -> bool {
        self.is_scarce
    }

    /// Updates whether hosts are scarce. One measure would change with each query while the load
    /// is near it.
    fn update_scarcity(&mut self) {
        let most = self.max_long_pending();
        if self.long_pending >= most {
            self.is_scarce = true;
        } else if self.free_long_count() * 2 >= most {
            self.is_scarce = false;
        }
    }

    /// At most two thirds of the hosts, but at least one, may have long queries in flight.
    fn max_long_pending(&self) -> usize {
        (self.hosts.len() * 2 / 3).max(1)
    }

    /// Returns whether another query may be sent for a deferred step: at most a quarter of the
    /// hosts, but at least one, have such queries in flight.
    pub fn has_deferred_quota(&self) -> bool {
        self.deferred_pending < (self.hosts.len() / 4).max(1)
    }

    /// Returns whether hosts are free for queries.
    pub fn free_hosts(&self, now: u64) -> FreeHosts {
        FreeHosts {
            long: self.has_free_host(now, true),
            short: self.has_free_host(now, false),
        }
    }

    fn free_host(&self, now: u64, long: bool) -> Option<&(u64, Arc<str>)> {
        if long && self.long_pending >= self.max_long_pending() {
            return None;
        }
        let is_paused = |host: &Arc<str>| {
            let load = self.hosts.get(host);
            load.is_some_and(|load| load.paused_until > now)
        };
        self.free_hosts.iter().find(|(_, host)| !is_paused(host))
    }

    /// Assigns a query to a free host; returns the query's number and the host. `deferred` says
    /// that it is for a deferred step.
    pub fn assign(
        &mut self,
        now: u64,
        query: PolicyQuery,
        long: bool,
        deferred: bool,
    ) -> Option<(u64, Arc<str>)> {
        if deferred && !self.has_deferred_quota() {
            return None;
        }
        let free = self.free_host(now, long)?.clone();
        self.free_hosts.remove(&free);
        let (_, host) = free;
        self.last_query += 1;
        let query_id = self.last_query;
        if let Some(load) = self.hosts.get_mut(&host) {
            load.busy = true;
            load.last_query = query_id;
        }
        *self.expected_use.entry(query.pool.clone()).or_default() += query.expected_use;
        let pending = PendingQuery {
            query,
            host: host.clone(),
            long,
            deferred,
        };
        self.long_pending += usize::from(long);
        self.deferred_pending += usize::from(deferred);
        self.pending.insert(query_id, pending);
        self.update_scarcity();
        Some((query_id, host))
    }

    /// Completes a query; `pause_until` delays the host's next one.
    pub fn finish(&mut self, query_id: u64, pause_until: Option<u64>) -> Option<PolicyQuery> {
        let pending = self.pending.remove(&query_id)?;
        self.long_pending -= usize::from(pending.long);
        self.deferred_pending -= usize::from(pending.deferred);
        if let Some(expected) = self.expected_use.get_mut(&pending.query.pool) {
            *expected = expected.saturating_sub(&pending.query.expected_use);
        }
        if let Some(load) = self.hosts.get_mut(&pending.host) {
            load.busy = false;
            load.paused_until = pause_until.unwrap_or(load.paused_until);
            self.free_hosts.insert((load.last_query, pending.host));
        }
        self.update_scarcity();
        Some(pending.query)
    }

    /// Returns the capacity of a pool that steps with queries in flight are expected to use.
    pub fn expected_use(&self, pool: &str) -> ResourceSize {
        self.expected_use.get(pool).copied().unwrap_or_default()
    }

    /// Returns the share of upstreams that the policy service is expected to allow for a step of a
    /// queue.
    pub fn allowed_share(&self, queue: &str) -> f64 {
        let share = self.allowed_shares.get(queue).copied();
        share.unwrap_or(INITIAL_ALLOWED_SHARE)
    }

    /// Updates the share of a queue from a decision about upstreams that were not decided before.
    pub fn learn_share(&mut self, queue: &Arc<str>, allowed: u32, decided: u32) {
        if decided == 0 {
            return;
        }
        let share = self.allowed_share(queue);
        let weight = 1.0 - (1.0 - SHARE_SMOOTHING).powf(f64::from(decided));
        let observed = f64::from(allowed) / f64::from(decided);
        let learnt = share + weight * (observed - share);
        self.allowed_shares.insert(queue.clone(), learnt);
    }
}
