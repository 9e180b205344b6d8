//! What a host stores for its callers, and what it may answer.

use bytes::Bytes;
use lagoonnotch_fleet::model::SubmissionState;
use lagoonnotch_host::ports::StoreError;
use lagoonnotch_host::store::{
    OWNER_KEY, StoreOutcome, SubmissionStore, cancel_key, ended_key, submission_key,
};

use crate::fake_store::{FakeStore, Fate};

fn record() -> Bytes {
    Bytes::from_static(b"{}")
}

#[tokio::test]
async fn second_submission_under_an_identifier_is_the_first() {
    let store = FakeStore::default();
    let submissions = SubmissionStore::new(store.port());

    let first = submissions.create("s1", record()).await;
    let second = submissions.create("s1", Bytes::from_static(b"[]")).await;

    assert!(matches!(first, StoreOutcome::Stored(_)));
    assert!(matches!(second, StoreOutcome::AlreadyStored(_)));
    assert_eq!(store.value(&submission_key("s1")).as_deref(), Some("{}"));
}

/// Acceptance needs no owner: a submission is stored while the ownership changes.
#[tokio::test]
async fn submission_is_stored_whoever_owns_the_fleet() {
    let store = FakeStore::default();
    let submissions = SubmissionStore::new(store.port());

    let first = submissions.create("s1", record()).await;
    store.put(OWNER_KEY, "another host");
    let second = submissions.create("s2", record()).await;

    assert!(matches!(first, StoreOutcome::Stored(_)));
    assert!(matches!(second, StoreOutcome::Stored(_)));
}

#[tokio::test]
async fn lost_answer_of_a_submission_is_settled_by_reading() {
    let store = FakeStore::default();
    let submissions = SubmissionStore::new(store.port());
    store.set_fate(Fate::AnswerLost);

    let answer = submissions.create("s1", record()).await;

    assert!(matches!(answer, StoreOutcome::Stored(_)));
}

/// What may still come must not be called refused.
#[tokio::test]
async fn write_that_may_come_late_is_unsettled() {
    let store = FakeStore::default();
    let submissions = SubmissionStore::new(store.port());
    store.set_fate(Fate::Late);

    let answer = submissions.create("s1", record()).await;

    assert_eq!(answer, StoreOutcome::Unknown);
    assert_eq!(store.do_late(), 1);
}

#[tokio::test]
async fn state_comes_from_the_store_without_an_owner() {
    let store = FakeStore::default();
    let submissions = SubmissionStore::new(store.port());
    submissions.create("s1", record()).await;

    let accepted = submissions.state("s1").await;
    let revision = submissions.revision("s1").await.expect("a record");
    submissions.cancel("s1", revision).await;
    let cancelled = submissions.state("s1").await;
    let unknown = submissions.state("s2").await;

    assert_eq!(accepted, Ok(SubmissionState::Queued));
    assert_eq!(cancelled, Ok(SubmissionState::Cancelled));
    assert_eq!(unknown, Err(StoreError::NotFound));
}

/// A submission that comes again after its end, also seconds late, must not run again.
#[tokio::test]
async fn submission_that_has_ended_is_not_stored_again() {
    let store = FakeStore::default();
    let submissions = SubmissionStore::new(store.port());
    store.put(
        &ended_key("s1"),
        r#"{"state":"Completed","ended_unix_ms":1}"#,
    );

    let again = submissions.create("s1", record()).await;
    let state = submissions.state("s1").await;

    assert!(matches!(again, StoreOutcome::AlreadyStored(_)), "{again:?}");
    assert_eq!(store.value(&submission_key("s1")), None);
    assert_eq!(state, Ok(SubmissionState::Completed));
}

/// A cancelling that comes after the end leaves nothing behind.
#[tokio::test]
async fn cancelling_after_the_end_is_not_stored() {
    let store = FakeStore::default();
    let submissions = SubmissionStore::new(store.port());
    submissions.create("s1", record()).await;
    let revision = submissions.revision("s1").await.expect("a record");
    store.delete(&submission_key("s1"));

    let answer = submissions.cancel("s1", revision).await;

    assert_eq!(answer, StoreOutcome::Ended);
    assert_eq!(store.value(&cancel_key("s1")), None);
}
