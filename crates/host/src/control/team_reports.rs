//! Log lines about teams whose work is deferred.

use lagoonnotch_fleet::owner::{DeferralReport, RestoreReport};
use serde_json::json;

use crate::event::FleetEvent;

/// Logs that work of a team begins to be deferred.
pub(super) fn report_deferral(epoch: u64, report: &DeferralReport) {
    FleetEvent::TeamDeferred.emit(json!({
        "epoch": epoch,
        "team": report.team,
        "pool": report.pool,
        "resource": report.resource.label(),
        "use": report.used,
        "share": report.share,
        "weight": report.weight,
        "rate": report.submissions_per_s,
    }));
}

/// Logs that work of a team is no longer deferred.
pub(super) fn report_restore(epoch: u64, report: &RestoreReport) {
    FleetEvent::TeamRestored.emit(json!({
        "epoch": epoch,
        "team": report.team,
        "pool": report.pool,
        "lasted_ms": report.lasted_ms,
    }));
}
