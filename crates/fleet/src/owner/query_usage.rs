//! Counts of the policy service's work, and of what the owner makes of its answers.
//!
//! The load: a full pool, whose steps query again and again while their tickets expire unused. The
//! policy service handles one call at a time for each host, so that work without a start delays the
//! starts of others. The counts show how much of the work brought a start, by queue.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::model::TaskName;
use crate::owner::OwnerMachine;
use crate::owner::fleet_view::UpstreamIndex;
use crate::owner::query_dispatcher::PolicyQuery;
use crate::owner::submission_entry::TaskPhase;

/// Queries with one result.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct QueryCount {
    /// Number of queries.
    pub queries: u64,
    /// Expected work of the policy service for them, in milliseconds.
    pub work_ms: u64,
}

impl QueryCount {
    fn add(&mut self, work_ms: u64) {
        self.queries += 1;
        self.work_ms += work_ms;
    }

    /// Returns what was counted after an earlier state of the same count.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            queries: self.queries.saturating_sub(earlier.queries),
            work_ms: self.work_ms.saturating_sub(earlier.work_ms),
        }
    }
}

/// Queries by result, and tickets by use.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct UsageCounts {
    /// Queries that were sent.
    pub sent: QueryCount,
    /// Queries of whose tickets a start has used one.
    pub started: QueryCount,
    /// Queries that were answered and brought no start.
    pub unused: QueryCount,
    /// Queries without a usable answer.
    pub failed: QueryCount,
    /// Tickets that a start has used.
    pub tickets_used: u64,
    /// Tickets that were not used, although the step had room when they were issued.
    pub tickets_expired: u64,
    /// Tickets that were not used, of answers for which the step had no room when they came.
    pub tickets_no_room: u64,
    /// First start orders of runs that needed a ticket.
    pub starts: u64,
}

impl UsageCounts {
    /// Returns what was counted after an earlier state of the same counts.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            sent: self.sent.since(&earlier.sent),
            started: self.started.since(&earlier.started),
            unused: self.unused.since(&earlier.unused),
            failed: self.failed.since(&earlier.failed),
            tickets_used: self.tickets_used.saturating_sub(earlier.tickets_used),
            tickets_expired: self.tickets_expired.saturating_sub(earlier.tickets_expired),
            tickets_no_room: self.tickets_no_room.saturating_sub(earlier.tickets_no_room),
            starts: self.starts.saturating_sub(earlier.starts),
        }
    }

    /// Returns the number of starts per second of the policy service's work on queries that were
    /// sent; 0 without work.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "small counts")]
    pub fn starts_per_work_second(&self) -> f64 {
        if self.sent.work_ms == 0 {
            return 0.0;
        }
        self.starts as f64 * 1000.0 / self.sent.work_ms as f64
    }
}

/// A query that is in flight, or whose tickets may still be used.
#[derive(Clone, Debug)]
struct OpenQuery {
    queue: Arc<str>,
    work_ms: u64,
    tickets: u64,
    used: u64,
    had_room: bool,
}

/// Counts the use of queries and tickets by queue, since the owner took over.
#[derive(Debug, Default)]
pub(super) struct QueryUsage {
    counts: BTreeMap<Arc<str>, UsageCounts>,
    open: BTreeMap<u64, OpenQuery>,
    /// Answered queries by the time at which their tickets expire.
    expiries: BTreeSet<(u64, u64)>,
}

impl QueryUsage {
    /// Returns the counts by queue.
    pub fn counts(&self) -> &BTreeMap<Arc<str>, UsageCounts> {
        &self.counts
    }

    /// Counts a query that is sent.
    pub fn record_sent(&mut self, query_id: u64, queue: &Arc<str>, work_ms: u64) {
        self.counts_of(queue).sent.add(work_ms);
        let open = OpenQuery {
            queue: queue.clone(),
            work_ms,
            tickets: 0,
            used: 0,
            had_room: false,
        };
        self.open.insert(query_id, open);
    }

    /// Counts a query without a usable answer.
    pub fn record_failed(&mut self, query_id: u64) {
        if let Some(query) = self.open.remove(&query_id) {
            self.counts_of(&query.queue).failed.add(query.work_ms);
        }
    }

    /// Records the answer of a query: the number of its tickets, when they expire, and whether the
    /// step has room for a start.
    pub fn record_answer(&mut self, query_id: u64, tickets: u64, expires_at: u64, has_room: bool) {
        if let Some(query) = self.open.get_mut(&query_id) {
            query.tickets = tickets;
            query.had_room = has_room;
            self.expiries.insert((expires_at, query_id));
        }
    }

    /// Counts a start of a queue with a ticket of a query; `is_first_use` says whether no start has
    /// used this ticket before.
    pub fn record_start(&mut self, queue: &Arc<str>, query_id: u64, is_first_use: bool) {
        self.counts_of(queue).starts += 1;
        let Some(query) = self.open.get_mut(&query_id).filter(|_| is_first_use) else {
            return;
        };
        query.used += 1;
        let (queue, work_ms) = (query.queue.clone(), query.work_ms);
        let is_first_start = query.used == 1;
        let counts = self.counts_of(&queue);
        counts.tickets_used += 1;
        if is_first_start {
            counts.started.add(work_ms);
        }
    }

    /// Counts what has not been used of the queries whose tickets have expired.
    pub fn settle(&mut self, now: u64) {
        while let Some((expires_at, query_id)) = self.expiries.first().copied() {
            if now < expires_at {
                return;
            }
            self.expiries.pop_first();
            let Some(query) = self.open.remove(&query_id) else {
                continue;
            };
            let counts = self.counts_of(&query.queue);
            let unused = query.tickets - query.used.min(query.tickets);
            if query.had_room {
                counts.tickets_expired += unused;
            } else {
                counts.tickets_no_room += unused;
            }
            if query.used == 0 {
                counts.unused.add(query.work_ms);
            }
        }
    }

    fn counts_of(&mut self, queue: &Arc<str>) -> &mut UsageCounts {
        self.counts.entry(queue.clone()).or_default()
    }
}

impl OwnerMachine {
    /// Returns the counts of queries and tickets by queue, since the owner took over.
    #[must_use]
    pub fn query_usage(&self) -> &BTreeMap<Arc<str>, UsageCounts> {
        self.query_usage.counts()
    }

    /// Returns whether the step of a query has a waiting task, and enough free capacity where it
    /// has valid tickets to start one, or its whole gang.
    pub(super) fn has_room_with_tickets(&self, now: u64, query: &PolicyQuery) -> bool {
        let Some(submission) = self.submissions.get(&query.submission) else {
            return false;
        };
        let occurrence = submission.occurrences.get(query.occurrence as usize);
        let step = occurrence.and_then(|entry| entry.steps.get(query.step as usize));
        let spec = submission.record.steps.get(query.step as usize);
        let (Some(step), Some(spec)) = (step, spec) else {
            return false;
        };
        let is_waiting = |phase| phase == TaskPhase::Waiting;
        if !step.tasks.iter().any(|task| is_waiting(task.phase)) {
            return false;
        }
        let wanted = if spec.gang { u64::from(spec.count) } else { 1 };
        let allocation = spec.allocation();
        let mut room: u64 = 0;
        for id in &query.upstreams {
            let Some(entry) = self.upstreams.get(id) else {
                continue;
            };
            let ticket = step.tickets.get(&entry.index);
            if ticket.is_some_and(|ticket| now < ticket.expires_at) {
                room = room.saturating_add(entry.free().slots_for(&allocation));
            }
        }
        room >= wanted
    }

    /// Counts a start of a task on an upstream with the step's ticket there, if it has one.
    pub(super) fn record_ticket_use(
        &mut self,
        queue: &Arc<str>,
        name: &TaskName,
        index: UpstreamIndex,
    ) {
        let step = self.step_mut(&name.submission, name.occurrence, name.step);
        let Some(ticket) = step.and_then(|step| step.tickets.get_mut(&index)) else {
            return;
        };
        let is_first_use = !std::mem::replace(&mut ticket.used, true);
        let query_id = ticket.query_id;
        self.query_usage.record_start(queue, query_id, is_first_use);
    }
}
