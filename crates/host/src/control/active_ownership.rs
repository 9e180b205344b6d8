//! State of the ownership that a host holds.

use lagoonnotch_fleet::owner::OwnerMachine;
use serde_json::json;

use crate::control::{FinishedRunLog, QueryUsageLog};
use crate::event::FleetEvent;

/// Age up to which accepted submissions may be unknown to an owner whose counts are reported, in
/// milliseconds: the time in which the platform expects an accepted submission to be visible.
const MAX_UNKNOWN_MS: u64 = 3000;

/// State of this host's ownership.
pub(super) struct ActiveOwnership {
    pub machine: OwnerMachine,
    /// Finished runs that were logged.
    pub finished_runs: FinishedRunLog,
    /// Until when the host may act as owner, in milliseconds of its clock.
    pub valid_until: u64,
    /// Whether the last tick found that the ownership may have expired.
    pub suspended: bool,
    /// When the waiting submissions were last counted; 0 before the first count.
    pub counted_at: u64,
    /// When the load of policy queries was last reported; 0 before the first report.
    pub advice_reported_at: u64,
    /// Reported counts of queries and tickets.
    pub query_usage: QueryUsageLog,
    /// Every submission that was stored before this time is known, in milliseconds of the host's
    /// clock.
    pub known_until: u64,
    /// Whether the last count lacked no submission older than `MAX_UNKNOWN_MS`.
    pub counts_complete: bool,
}

impl ActiveOwnership {
    /// Returns whether a count made as of `requested_at` lacks no submission older than
    /// `MAX_UNKNOWN_MS`, and logs changes.
    pub fn check_completeness(&mut self, requested_at: u64) -> bool {
        let unknown_ms = requested_at.saturating_sub(self.known_until);
        let is_complete = unknown_ms <= MAX_UNKNOWN_MS;
        if is_complete != self.counts_complete {
            self.counts_complete = is_complete;
            let event = if is_complete {
                FleetEvent::WaitingCountsComplete
            } else {
                FleetEvent::WaitingCountsIncomplete
            };
            event.emit(json!({"epoch": self.machine.epoch(), "unknown_ms": unknown_ms}));
        }
        is_complete
    }
}
