//! Tests of the counts of waiting submissions that hosts report to each other and to callers.

use std::collections::HashMap;
use std::sync::Arc;

use lagoonnotch_host::clock::now_ms;
use lagoonnotch_host::control::{HostView, MAX_REPORTED_COUNT_AGE_MS, WaitingCounts};

/// Epoch of the owner before the takeover.
const OLD_EPOCH: u64 = 3;

/// Epoch of the owner after the takeover.
const NEW_EPOCH: u64 = 9;

/// Returns a count of 12 waiting submissions. The tests use times far from the present, so that
/// they do not depend on how long they take.
fn counts(epoch: u64, counted_at: u64) -> WaitingCounts {
    WaitingCounts {
        epoch,
        by_queue: HashMap::from([(Arc::from("check"), 12)]),
        counted_at,
        known_until: None,
    }
}

fn far_future() -> u64 {
    now_ms() + 3_600_000
}

/// Guards against callers being told that nothing waits: a host that has just become the owner must
/// not report the counts of its predecessor as its own.
#[test]
fn new_owner_does_not_report_counts_of_its_predecessor() {
    let view = HostView::default();
    view.set_waiting_counts(counts(OLD_EPOCH, far_future()));

    view.set_owned_epoch(Some(NEW_EPOCH));
    let reply = view.heartbeat_reply("10.0.0.2:7180", 0);

    assert_eq!(reply.epoch, None);
    assert!(reply.waiting_counts.is_empty());
}

/// Guards against the same on a host that has just started: no count yet does not mean that nothing
/// waits.
#[test]
fn owner_that_has_not_counted_reports_no_counts() {
    let view = HostView::default();

    view.set_owned_epoch(Some(NEW_EPOCH));
    let reply = view.heartbeat_reply("10.0.0.2:7180", 0);

    assert_eq!(reply.epoch, None);
    assert_eq!(view.waiting_count("check"), None);
}

/// Guards against counts of a busy owner that other hosts take for new: their age is that of the
/// owner's count, not the time since the reply.
#[test]
fn busy_owner_does_not_report_old_counts() {
    let view = HostView::default();
    view.set_owned_epoch(Some(NEW_EPOCH));

    view.set_waiting_counts(counts(
        NEW_EPOCH,
        now_ms().saturating_sub(MAX_REPORTED_COUNT_AGE_MS + 1),
    ));
    let old = view.heartbeat_reply("10.0.0.2:7180", 0);
    view.set_waiting_counts(counts(NEW_EPOCH, far_future()));
    let recent = view.heartbeat_reply("10.0.0.2:7180", 0);

    assert_eq!(old.epoch, None);
    assert_eq!(recent.epoch, Some(NEW_EPOCH));
    assert_eq!(recent.waiting_counts.get("check"), Some(&12));
}

/// Guards against a late reply of a replaced owner that overwrites the counts of its successor.
#[test]
fn counts_of_an_earlier_epoch_are_ignored() {
    let view = HostView::default();
    view.set_waiting_counts(counts(NEW_EPOCH, far_future()));

    view.set_waiting_counts(WaitingCounts {
        by_queue: HashMap::new(),
        ..counts(OLD_EPOCH, far_future())
    });

    let waiting = view.waiting_count("check");
    assert_eq!(waiting.map(|waiting| waiting.count), Some(12));
}
