//! Storing submissions and cancellations, and the outcomes reported to callers.

use bytes::Bytes;
use lagoonnotch_fleet::model::SubmissionState;
use lagoonnotch_host::ports::StoreError;
use lagoonnotch_host::store::{
    OWNER_KEY, StoreOutcome, SubmissionStore, cancel_key, ended_key, submission_key,
};

use crate::fake_store::{FakeStore, WriteMode};

fn record() -> Bytes {
    Bytes::from_static(b"{}")
}

/// A retried submission must not overwrite the record stored under its identifier.
#[tokio::test]
async fn resubmission_keeps_the_first_record() {
    let store = FakeStore::default();
    let submissions = SubmissionStore::new(store.port());

    let first = submissions.create("s1", record()).await;
    let second = submissions.create("s1", Bytes::from_static(b"[]")).await;

    assert!(matches!(first, StoreOutcome::Stored(_)));
    assert!(matches!(second, StoreOutcome::AlreadyStored(_)));
    assert_eq!(store.value(&submission_key("s1")).as_deref(), Some("{}"));
}

/// Storing a submission must not depend on the owner, so it succeeds while the ownership changes.
#[tokio::test]
async fn submission_is_stored_during_an_ownership_change() {
    let store = FakeStore::default();
    let submissions = SubmissionStore::new(store.port());

    let first = submissions.create("s1", record()).await;
    store.put(OWNER_KEY, "another host");
    let second = submissions.create("s2", record()).await;

    assert!(matches!(first, StoreOutcome::Stored(_)));
    assert!(matches!(second, StoreOutcome::Stored(_)));
}

/// If the write was applied and its response got lost, reading it back must find it stored.
#[tokio::test]
async fn lost_response_of_a_submission_is_resolved_by_reading_back() {
    let store = FakeStore::default();
    let submissions = SubmissionStore::new(store.port());
    store.set_write_mode(WriteMode::ResponseLost);

    let outcome = submissions.create("s1", record()).await;

    assert!(matches!(outcome, StoreOutcome::Stored(_)));
}

/// A record of another call under the same identifier must not be announced to the owner as the one
/// whose response was lost.
#[tokio::test]
async fn other_record_found_by_reading_back_is_not_reported_as_written() {
    let store = FakeStore::default();
    let submissions = SubmissionStore::new(store.port());
    let revision = store.put(&submission_key("s1"), "[]");
    store.set_write_mode(WriteMode::Dropped);

    let outcome = submissions.create("s1", record()).await;

    assert_eq!(outcome, StoreOutcome::AlreadyStored(revision));
}

/// The final state of an ended submission must not be announced to the owner as a new submission.
#[tokio::test]
async fn final_state_found_by_reading_back_is_not_reported_as_written() {
    let store = FakeStore::default();
    let submissions = SubmissionStore::new(store.port());
    let ended = r#"{"state":"Completed","ended_unix_ms":1}"#;
    let revision = store.put(&ended_key("s1"), ended);
    store.set_write_mode(WriteMode::Dropped);

    let outcome = submissions.create("s1", record()).await;

    assert_eq!(outcome, StoreOutcome::AlreadyStored(revision));
}

/// A write that may still be applied later must not be reported as not stored.
#[tokio::test]
async fn write_that_may_be_applied_later_is_unknown() {
    let store = FakeStore::default();
    let submissions = SubmissionStore::new(store.port());
    store.set_write_mode(WriteMode::Delayed);

    let outcome = submissions.create("s1", record()).await;

    assert_eq!(outcome, StoreOutcome::Unknown);
    assert_eq!(store.apply_delayed(), 1);
}

/// The state of a submission is available from the store while no owner can be reached.
#[tokio::test]
async fn state_is_read_from_the_store_without_an_owner() {
    let store = FakeStore::default();
    let submissions = SubmissionStore::new(store.port());
    submissions.create("s1", record()).await;

    let accepted = submissions.state("s1").await;
    let revision = submissions.revision("s1").await.expect("stored record");
    submissions.cancel("s1", revision).await;
    let cancelled = submissions.state("s1").await;
    let unknown = submissions.state("s2").await;

    assert_eq!(accepted, Ok(SubmissionState::Queued));
    assert_eq!(cancelled, Ok(SubmissionState::Cancelled));
    assert_eq!(unknown, Err(StoreError::NotFound));
}

/// A submission that is sent again after it ended, even seconds later, must not run again.
#[tokio::test]
async fn ended_submission_is_not_stored_again() {
    let store = FakeStore::default();
    let submissions = SubmissionStore::new(store.port());
    store.put(
        &ended_key("s1"),
        r#"{"state":"Completed","ended_unix_ms":1}"#,
    );

    let resubmitted = submissions.create("s1", record()).await;
    let state = submissions.state("s1").await;

    assert!(
        matches!(resubmitted, StoreOutcome::AlreadyStored(_)),
        "{resubmitted:?}"
    );
    assert_eq!(store.value(&submission_key("s1")), None);
    assert_eq!(state, Ok(SubmissionState::Completed));
}

/// A cancellation that arrives after the submission ended must not leave a record behind.
#[tokio::test]
async fn cancellation_after_the_end_is_not_stored() {
    let store = FakeStore::default();
    let submissions = SubmissionStore::new(store.port());
    submissions.create("s1", record()).await;
    let revision = submissions.revision("s1").await.expect("stored record");
    store.delete(&submission_key("s1"));

    let outcome = submissions.cancel("s1", revision).await;

    assert_eq!(outcome, StoreOutcome::Ended);
    assert_eq!(store.value(&cancel_key("s1")), None);
}
