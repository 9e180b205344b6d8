//! Commits are written at most once, in order, and only by the owner.

use lagoonnotch_fleet::model::{ProgressRecord, SubmissionState};
use lagoonnotch_fleet::owner::{CommitBatch, CommitOutcome};
use lagoonnotch_host::store::{CommitWriter, OWNER_KEY, commit_key, progress_key};

use crate::fake_store::{FakeStore, WriteMode};

fn batch(state: SubmissionState) -> CommitBatch {
    let progress = ProgressRecord {
        state,
        ..ProgressRecord::default()
    };
    CommitBatch {
        progress: vec![("s1".into(), progress)],
        ..CommitBatch::default()
    }
}

fn owned_store() -> (FakeStore, u64) {
    let store = FakeStore::default();
    let epoch = store.put(OWNER_KEY, "host");
    (store, epoch)
}

/// Returns the outcome of a commit that was the last one to be stored in the first lane.
fn stored_now(store: &FakeStore) -> CommitOutcome {
    let revision = store.revision(&commit_key(0)).expect("a stored commit");
    CommitOutcome::Stored { revision }
}

/// A write without a response may be applied seconds later; it must not overwrite newer progress.
#[tokio::test]
async fn delayed_commit_overwrites_nothing() {
    let (store, epoch) = owned_store();
    let writer = CommitWriter::new(store.port());
    store.set_write_mode(WriteMode::Delayed);
    let first = writer.write(epoch, &batch(SubmissionState::Running)).await;

    store.set_write_mode(WriteMode::Normal);
    let second = writer
        .write(epoch, &batch(SubmissionState::Completed))
        .await;
    let applied_late = store.apply_delayed();

    assert_eq!(first, CommitOutcome::Unknown);
    assert_eq!(second, stored_now(&store));
    assert_eq!(applied_late, 0);
    let stored = store.value(&progress_key("s1")).unwrap_or_default();
    assert!(stored.contains("Completed"), "{stored}");
}

/// If a commit was applied and its response got lost, reading it back must find it stored.
#[tokio::test]
async fn lost_response_of_a_commit_is_resolved() {
    let (store, epoch) = owned_store();
    let writer = CommitWriter::new(store.port());
    store.set_write_mode(WriteMode::ResponseLost);

    let outcome = writer.write(epoch, &batch(SubmissionState::Running)).await;

    assert_eq!(outcome, stored_now(&store));
}

/// A commit of an owner that has been replaced must fail without writing anything.
#[tokio::test]
async fn commit_of_a_replaced_owner_is_fenced() {
    let (store, epoch) = owned_store();
    let writer = CommitWriter::new(store.port());
    store.put(OWNER_KEY, "another host");

    let outcome = writer
        .write(epoch, &batch(SubmissionState::Completed))
        .await;

    assert_eq!(outcome, CommitOutcome::Fenced);
    assert_eq!(store.value(&progress_key("s1")), None);
}

/// A dropped commit leaves its revision unknown; later commits must still succeed.
#[tokio::test]
async fn commits_succeed_after_a_dropped_one() {
    let (store, epoch) = owned_store();
    let writer = CommitWriter::new(store.port());
    store.set_write_mode(WriteMode::Dropped);
    writer.write(epoch, &batch(SubmissionState::Running)).await;

    store.set_write_mode(WriteMode::Normal);
    let mut outcomes = Vec::new();
    for _ in 0..3 {
        outcomes.push(writer.write(epoch, &batch(SubmissionState::Running)).await);
    }

    let is_stored = |outcome: &CommitOutcome| matches!(outcome, CommitOutcome::Stored { .. });
    assert_eq!(outcomes.iter().filter(|found| is_stored(found)).count(), 3);
    assert_eq!(outcomes.last(), Some(&stored_now(&store)));
}
