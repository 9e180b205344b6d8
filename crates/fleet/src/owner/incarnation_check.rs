//! Checks which incarnation of an upstream executes the owner's orders.
//!
//! An upstream may start again under its identifier and address, so that orders meant for one
//! incarnation are executed by the next: at once, or seconds later if they got no answer. The next
//! one takes a deadline on another clock for a long lease, and an acknowledged number for its own.
//!
//! An order without an answer, or an answer that does not fit the earlier ones, therefore raises a
//! doubt. Until it ends, nothing is started on the upstream, no lease is granted and nothing is
//! acknowledged. It ends with the answer to a renewal that was sent later. That renewal carries a
//! higher fencing token than all orders before the doubt, so that a new incarnation that has
//! answered it rejects them from then on. Leases that they granted before that answer last at most
//! as long as the upstreams' longest lease; the roster records this bound for a successor.

use std::sync::Arc;

use crate::model::RejectReason;
use crate::owner::upstream_entry::{ClockReading, RunPhase, UpstreamEntry, latest_expiry};
use crate::owner::{IncarnationReport, LeaseTerm, OwnerEffect, OwnerMachine, StartOrder};

/// Lowest possible speed of an upstream's clock, in thousandths of the owner's.
const MIN_CLOCK_SPEED_PER_MILLE: u64 = 980;

/// Highest possible speed of an upstream's clock, in thousandths of the owner's.
const MAX_CLOCK_SPEED_PER_MILLE: u64 = 1020;

/// Margin when two readings of an upstream's clock are compared, in milliseconds.
const CLOCK_MARGIN_MS: u64 = 5;

/// Delay before the next renewal while the owner has no fencing token that is high enough, in
/// milliseconds.
const FENCE_WAIT_MS: u64 = 100;

/// Time for which an order without an answer may still be executed, in milliseconds.
const MAX_ORDER_DELAY_MS: u64 = 20_000;

/// Why it is not known which incarnation of an upstream executes orders.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DoubtReason {
    /// A renewal got no usable answer.
    RenewalUnanswered,
    /// A start order got no answer, or could not be sent.
    StartUnanswered,
    /// The answer to an order had a clock reading that does not continue the earlier ones.
    ClockReading,
    /// The directory lists another incarnation.
    DirectoryReport,
    /// Another incarnation answered, and may still execute earlier orders.
    OtherIncarnation,
}

impl DoubtReason {
    /// Returns the label of the reason in logs.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::RenewalUnanswered => "renewal_unanswered",
            Self::StartUnanswered => "start_unanswered",
            Self::ClockReading => "clock_reading",
            Self::DirectoryReport => "directory_report",
            Self::OtherIncarnation => "other_incarnation",
        }
    }
}

/// A doubt about the incarnation that executes orders.
#[derive(Clone, Copy, Debug)]
pub(super) struct IncarnationDoubt {
    /// Why it was raised.
    reason: DoubtReason,
    /// Time at which it was raised.
    raised_at: u64,
    /// Time of the latest reason for it; only the answer to a renewal that was sent later ends it.
    since: u64,
    /// Highest fencing token of the orders before it was raised. Orders that are sent during it
    /// start, grant and acknowledge nothing.
    earlier_fence: u64,
    /// Whether another incarnation has answered. It then ends with a renewal that carries a higher
    /// fencing token.
    needs_fence: bool,
}

impl UpstreamEntry {
    /// Raises a doubt, or renews it.
    pub fn raise_doubt(&mut self, now: u64, reason: DoubtReason) {
        let needs_fence = reason == DoubtReason::OtherIncarnation;
        let doubt = self.doubt.get_or_insert(IncarnationDoubt {
            reason,
            raised_at: now,
            since: now,
            earlier_fence: self.fence,
            needs_fence,
        });
        doubt.since = now;
        doubt.needs_fence |= needs_fence;
    }

    /// Raises a doubt because a start order that was sent at `sent_at` got no answer, unless the
    /// upstream has answered another order since. An upstream on a path that loses answers could
    /// hardly be used otherwise.
    pub fn doubt_unanswered_start(&mut self, now: u64, sent_at: u64) {
        if self.answered_at <= sent_at {
            self.raise_doubt(now, DoubtReason::StartUnanswered);
        }
    }

    /// Raises a doubt because another incarnation answers, or will be the next to answer.
    pub fn doubt_other_incarnation(&mut self, now: u64) {
        self.raise_doubt(now, DoubtReason::OtherIncarnation);
    }

    /// Returns whether another incarnation answers and may still execute earlier orders.
    pub fn is_unfenced(&self) -> bool {
        self.doubt.is_some_and(|doubt| doubt.needs_fence)
    }

    /// Returns whether a reading of the clock that was taken after `since` may be of the
    /// incarnation that sent the last list of runs.
    fn continues_clock(&self, since: u64, clock_ms: u64) -> bool {
        let earliest = self.clock.map_or(0, |last| earliest_reading(last, since));
        clock_ms + CLOCK_MARGIN_MS >= earliest
    }

    /// Records that earlier orders may have granted leases to another incarnation until now;
    /// returns the time by which these have expired.
    fn extend_former_leases(&mut self, now: u64, max_lease_ms: u64) -> u64 {
        let expire_at = latest_expiry(now, max_lease_ms);
        self.former_leases_until = self.former_leases_until.max(expire_at);
        // Nothing is started before a successor knows the bound.
        self.in_stored_roster = false;
        expire_at
    }

    /// Bounds all leases by those that earlier orders may have granted until now.
    fn bound_former_leases(&mut self, now: u64, max_lease_ms: u64) {
        let expire_at = self.extend_former_leases(now, max_lease_ms);
        if expire_at > self.leases_expire_at {
            self.leases_expire_at = expire_at;
            self.lease_term = LeaseTerm::FormerOrders;
        }
    }

    /// Returns whether a renewal could end the doubt with the fencing token that the upstream's
    /// orders carry.
    fn has_sufficient_fence(&self) -> bool {
        let doubt = self.doubt.as_ref();
        doubt.is_none_or(|doubt| !doubt.needs_fence || self.fence > doubt.earlier_fence)
    }

    /// Raises the fencing token for the next renewal if there is a doubt.
    pub fn raise_fence(&mut self, newest_revision: u64) {
        if self.doubt.is_some() {
            self.fence = self.fence.max(newest_revision);
        }
    }
}

/// Returns the lowest possible reading at a time, which may be before the last reading: answers
/// overtake each other.
fn earliest_reading(last: ClockReading, at: u64) -> u64 {
    if at >= last.received_at {
        last.clock_ms + (at - last.received_at) * MIN_CLOCK_SPEED_PER_MILLE / 1000
    } else {
        let earlier_ms = (last.received_at - at) * MAX_CLOCK_SPEED_PER_MILLE / 1000;
        last.clock_ms.saturating_sub(earlier_ms)
    }
}

impl OwnerMachine {
    /// Handles a reading of an upstream's clock from the answer to a start or stop order that was
    /// sent at `sent_at`. A reading that does not continue the earlier ones is another
    /// incarnation's.
    pub fn on_clock_reading(&mut self, now: u64, sent_at: u64, upstream: &Arc<str>, clock_ms: u64) {
        let max_lease_ms = self.settings.max_lease_ms;
        let Some(entry) = self.upstreams.get_mut(upstream) else {
            return;
        };
        if entry.continues_clock(sent_at, clock_ms) {
            return;
        }
        entry.raise_doubt(now, DoubtReason::ClockReading);
        self.view_cache.mark_changed(upstream);
        entry.bound_former_leases(now, max_lease_ms);
        entry.schedule_renewal(now, &mut self.renewal_queue);
        self.roster_changed = true;
    }

    /// Handles the report of another incarnation than before in the directory. It may run tasks
    /// whose start got no answer. Before the first list, the owner does not know for which runs of
    /// the roster earlier owners had one.
    pub(super) fn check_listed_incarnation(&mut self, now: u64, upstream: &Arc<str>) {
        let max_lease_ms = self.settings.max_lease_ms;
        let Some(entry) = self.upstreams.get_mut(upstream) else {
            return;
        };
        let listed = entry.report.incarnation_unix_ms;
        match (entry.run_list_incarnation, entry.runs_incarnation) {
            (Some(known), _) if known != listed => {
                entry.raise_doubt(now, DoubtReason::DirectoryReport);
                self.view_cache.mark_changed(upstream);
                entry.extend_former_leases(now, max_lease_ms);
                self.roster_changed = true;
            }
            (None, Some(stored)) if stored != listed => {
                entry.bound_former_leases(now, max_lease_ms);
                self.roster_changed = true;
            }
            _ => {}
        }
    }

    /// Handles the list of an incarnation that is not the one of the last list. Bounds the leases
    /// that earlier orders have granted there, and raises a doubt unless it rejects them from now
    /// on.
    pub(super) fn meet_incarnation(&mut self, now: u64, upstream: &Arc<str>, is_first_list: bool) {
        let max_lease_ms = self.settings.max_lease_ms;
        let Some(entry) = self.upstreams.get_mut(upstream) else {
            return;
        };
        entry.bound_former_leases(now, max_lease_ms);
        // An owner's first renewal has a higher fencing token than all orders of earlier owners.
        if entry.doubt.is_some() || !is_first_list {
            entry.doubt_other_incarnation(now);
            self.view_cache.mark_changed(upstream);
        }
        self.roster_changed = true;
    }

    /// Ends an upstream's doubt if the answer to a renewal that was sent at `sent_at` settles it;
    /// returns the doubt.
    pub(super) fn settle_doubt(
        &mut self,
        now: u64,
        sent_at: u64,
        upstream: &Arc<str>,
    ) -> Option<IncarnationDoubt> {
        let max_lease_ms = self.settings.max_lease_ms;
        let entry = self.upstreams.get_mut(upstream)?;
        let doubt = entry.doubt?;
        let is_settled = if doubt.needs_fence {
            entry.renewal_fence > doubt.earlier_fence
        } else {
            sent_at >= doubt.since
        };
        if !is_settled {
            return None;
        }
        entry.doubt = None;
        if doubt.needs_fence {
            entry.bound_former_leases(now, max_lease_ms);
            self.roster_changed = true;
        }
        let report = IncarnationReport {
            upstream: upstream.clone(),
            reason: doubt.reason,
            doubted_ms: now.saturating_sub(doubt.raised_at),
            is_new: doubt.needs_fence,
            fence: entry.renewal_fence,
            leases_expire_in_ms: entry.leases_expire_at.saturating_sub(now),
        };
        self.effects.push(OwnerEffect::ReportIncarnation(report));
        self.view_cache.mark_changed(upstream);
        self.request_placement();
        Some(doubt)
    }

    /// Repeats the start orders that got no answer before a doubt has ended, or withdraws them if
    /// the tasks may no longer be started there. A new incarnation has not executed those that it
    /// does not list, and rejects them from now on.
    pub(super) fn resume_starts(&mut self, now: u64, upstream: &Arc<str>, doubt: IncarnationDoubt) {
        let Some(entry) = self.upstreams.get_mut(upstream) else {
            return;
        };
        for order in std::mem::take(&mut entry.deferred_starts) {
            if !self.is_starting(upstream, &order) {
                continue;
            }
            if doubt.needs_fence {
                self.release_rejected(now, &order, Some(RejectReason::Fenced));
                self.record_change(&order.task.submission, false);
            } else if !self.can_start(now, upstream, &order.task) {
                self.withdraw_start(now, &order);
            } else {
                self.repeat_start(now, &order);
            }
        }
    }

    fn is_starting(&self, upstream: &Arc<str>, order: &StartOrder) -> bool {
        let entry = self.upstreams.get(upstream);
        let run = entry.and_then(|entry| entry.runs.get(&order.task));
        run.is_some_and(|run| run.phase == RunPhase::Starting && run.attempt == order.attempt)
    }

    /// Remembers a removed upstream for as long as orders to it may still be executed.
    pub(super) fn remember_removed(&mut self, now: u64, upstream: Arc<str>) {
        self.removed_upstreams
            .retain(|_, removed_at| now < *removed_at + MAX_ORDER_DELAY_MS);
        self.removed_upstreams.insert(upstream, now);
    }

    /// Returns whether an upstream may have rejected a fencing token because this owner has used a
    /// higher one there.
    pub(super) fn is_outdated_fence(&self, upstream: &Arc<str>, fence: u64) -> bool {
        let entry = self.upstreams.get(upstream);
        fence < entry.map_or(self.newest_revision, |entry| entry.fence)
    }

    /// Schedules the next renewal of an upstream in doubt; returns false if there is no doubt.
    pub(super) fn schedule_check(&mut self, now: u64, upstream: &Arc<str>) -> bool {
        let newest_revision = self.newest_revision;
        let Some(entry) = self.upstreams.get_mut(upstream) else {
            return false;
        };
        if entry.doubt.is_none() {
            return false;
        }
        entry.raise_fence(newest_revision);
        let delay_ms = if entry.has_sufficient_fence() {
            0
        } else {
            self.unfenced_upstreams.insert(upstream.clone());
            FENCE_WAIT_MS
        };
        entry.schedule_renewal(now + delay_ms, &mut self.renewal_queue);
        true
    }

    /// Renews the upstreams that have waited for a higher fencing token.
    pub(super) fn hasten_checks(&mut self, now: u64) {
        for id in std::mem::take(&mut self.unfenced_upstreams) {
            if let Some(entry) = self.upstreams.get_mut(&id) {
                entry.hasten_renewal(now, &mut self.renewal_queue);
            }
        }
    }
}
