//! Gathering of the outcomes that a delegate reports.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::forward::ReportedRenewal;

/// The owner that ordered a renewal: its address and its epoch.
pub(super) type ReportTarget = (Arc<str>, u64);

/// Outcomes for one owner that are not reported yet.
#[derive(Debug, Default)]
struct PendingReport {
    renewals: Vec<ReportedRenewal>,
    /// When the report is sent.
    due_at: u64,
}

/// Outcomes that are not reported yet, by owner.
#[derive(Debug, Default)]
pub(super) struct ReportOutbox {
    reports: BTreeMap<ReportTarget, PendingReport>,
}

impl ReportOutbox {
    /// Adds an outcome that must be reported by `due_at`; returns true if the caller must take the
    /// report at that time, because no earlier one is due.
    pub fn push(&mut self, target: &ReportTarget, renewal: ReportedRenewal, due_at: u64) -> bool {
        let report = self.reports.entry(target.clone()).or_default();
        let is_earlier = report.renewals.is_empty() || due_at < report.due_at;
        if is_earlier {
            report.due_at = due_at;
        }
        report.renewals.push(renewal);
        is_earlier
    }

    /// Takes the outcomes for an owner; empty if they were taken already.
    pub fn take(&mut self, target: &ReportTarget) -> Vec<ReportedRenewal> {
        let report = self.reports.remove(target);
        report.map(|report| report.renewals).unwrap_or_default()
    }
}
