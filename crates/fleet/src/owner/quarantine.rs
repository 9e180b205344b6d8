//! Quarantines of upstreams on which runs fail or stall.

use std::sync::Arc;

use crate::owner::{OwnerEffect, OwnerMachine, QuarantineReason, QuarantineReport};

/// Number of submissions with failed runs after which an upstream is quarantined; a completed run
/// resets the count.
const QUARANTINE_FAILURES: usize = 2;

/// Duration of the first quarantine, during which nothing is placed on the upstream, in
/// milliseconds; doubles each time.
const FIRST_QUARANTINE_MS: u64 = 1500;

/// Maximum number of times that the duration of a quarantine is doubled.
const MAX_QUARANTINE_DOUBLINGS: u32 = 3;

impl OwnerMachine {
    /// Counts a failed run against its upstream. Quarantines the upstream if runs of
    /// `QUARANTINE_FAILURES` submissions failed, or after any counted failure if no run has completed
    /// since the last quarantine.
    pub(super) fn count_upstream_failure(
        &mut self,
        now: u64,
        upstream: &Arc<str>,
        submission: &Arc<str>,
    ) {
        let Some(entry) = self.upstreams.get_mut(upstream) else {
            return;
        };
        if !entry.failed_submissions.contains(submission) {
            entry.failed_submissions.push(submission.clone());
        }
        if entry.failed_submissions.len() >= QUARANTINE_FAILURES || entry.quarantine_count > 0 {
            self.start_quarantine(now, upstream, QuarantineReason::Failed);
        }
    }

    /// Quarantines an upstream, each time for longer, unless it is quarantined already.
    pub(super) fn start_quarantine(
        &mut self,
        now: u64,
        upstream: &Arc<str>,
        reason: QuarantineReason,
    ) {
        let Some(entry) = self.upstreams.get_mut(upstream) else {
            return;
        };
        if now < entry.quarantined_until {
            return;
        }
        let doublings = entry.quarantine_count.min(MAX_QUARANTINE_DOUBLINGS);
        let duration_ms = FIRST_QUARANTINE_MS << doublings;
        entry.quarantined_until = now + duration_ms;
        entry.quarantine_count += 1;
        let report = QuarantineReport {
            upstream: upstream.clone(),
            reason,
            duration_ms,
            count: entry.quarantine_count,
            submissions: std::mem::take(&mut entry.failed_submissions),
        };
        self.effects.push(OwnerEffect::ReportQuarantine(report));
    }
}
