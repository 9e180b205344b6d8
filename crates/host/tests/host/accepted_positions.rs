//! How far the owner knows what hosts accepted, from the store's responses.

use bytes::Bytes;
use lagoonnotch_host::ownership::{AcceptedCursor, WatchCoverage};
use lagoonnotch_host::ports::{StoreItem, WatchResponse};

/// Returns a response that reports changes at the given revisions.
fn response(revisions: &[u64], store_revision: u64) -> WatchResponse {
    let change = |revision: &u64| StoreItem {
        key: format!("taken/submission/s{revision}"),
        value: Bytes::from_static(b"{}"),
        revision: *revision,
        create_revision: *revision,
        deleted: false,
    };
    WatchResponse {
        items: revisions.iter().map(change).collect(),
        revision: store_revision,
    }
}

/// Guards against submissions that are never reported: a watch that hears nothing while changes are
/// made may still return the store's later revision.
#[test]
fn response_without_changes_does_not_skip_changes() {
    let mut cursor = AcceptedCursor::after_listing(1000, 10);

    let coverage = cursor.apply_watch(2000, &response(&[], 25), 0);

    assert_eq!(coverage, WatchCoverage::Complete);
    assert_eq!(cursor.revision(), 10);
    assert_eq!(cursor.known_until(), 2000);
}

/// Guards against counts that pass for complete while the watch hears nothing: a host has reported a
/// submission that the response lacks.
#[test]
fn response_that_lacks_a_reported_submission_shows_nothing() {
    let mut cursor = AcceptedCursor::after_listing(1000, 10);

    let without_changes = cursor.apply_watch(2000, &response(&[], 25), 20);
    let skipping = cursor.apply_watch(3000, &response(&[12, 25], 25), 20);

    assert_eq!(without_changes, WatchCoverage::Gap);
    assert_eq!(skipping, WatchCoverage::Gap);
    assert_eq!(cursor.revision(), 10);
    assert_eq!(cursor.known_until(), 1000);
}

/// Guards against listing all submissions because a response ends before the last reported one.
#[test]
fn response_that_ends_early_is_continued_by_the_next_watch() {
    let mut cursor = AcceptedCursor::after_listing(1000, 10);

    let first = cursor.apply_watch(2000, &response(&[12, 15], 25), 20);
    let second = cursor.apply_watch(3000, &response(&[20], 25), 20);

    assert_eq!(first, WatchCoverage::Behind);
    assert_eq!(second, WatchCoverage::Complete);
    assert_eq!(cursor.revision(), 20);
    assert_eq!(cursor.known_until(), 3000);
}

/// Everything stored before the watch was sent is known once its response has all reported changes.
#[test]
fn response_with_the_reported_submission_shows_what_is_known() {
    let mut cursor = AcceptedCursor::after_listing(1000, 10);

    let coverage = cursor.apply_watch(2000, &response(&[12, 20], 25), 20);

    assert_eq!(coverage, WatchCoverage::Complete);
    assert_eq!(cursor.revision(), 20);
    assert_eq!(cursor.known_until(), 2000);
}

/// Guards against a position that stays behind while nothing is stored, until the store no longer has
/// the changes after it: a listing moves it on, and never back.
#[test]
fn listing_moves_the_position_on() {
    let mut cursor = AcceptedCursor::after_listing(1000, 10);

    cursor.apply_listing(AcceptedCursor::after_listing(9000, 40));
    cursor.apply_listing(AcceptedCursor::after_listing(5000, 30));

    assert_eq!(cursor.revision(), 40);
    assert_eq!(cursor.known_until(), 9000);
}
