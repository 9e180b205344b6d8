//! Commits: at most once each, in order, and only by the owner.

use lagoonnotch_fleet::model::{ProgressRecord, SubmissionState};
use lagoonnotch_fleet::owner::{CommitBatch, CommitOutcome};
use lagoonnotch_host::store::{CommitWriter, OWNER_KEY, progress_key};

use crate::fake_store::{FakeStore, Fate};

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

/// A write without an answer may be done seconds later: it must not undo newer progress.
#[tokio::test]
async fn late_commit_overwrites_nothing() {
    let (store, epoch) = owned_store();
    let desk = CommitWriter::new(store.port());
    store.set_fate(Fate::Late);
    let first = desk.write(epoch, &batch(SubmissionState::Running)).await;

    store.set_fate(Fate::Answered);
    let second = desk.write(epoch, &batch(SubmissionState::Completed)).await;
    let done_late = store.do_late();

    assert_eq!(first, CommitOutcome::Unknown);
    assert_eq!(second, CommitOutcome::Stored);
    assert_eq!(done_late, 0);
    let stored = store.value(&progress_key("s1")).unwrap_or_default();
    assert!(stored.contains("Completed"), "{stored}");
}

#[tokio::test]
async fn lost_answer_of_a_commit_is_settled() {
    let (store, epoch) = owned_store();
    let desk = CommitWriter::new(store.port());
    store.set_fate(Fate::AnswerLost);

    let outcome = desk.write(epoch, &batch(SubmissionState::Running)).await;

    assert_eq!(outcome, CommitOutcome::Stored);
}

#[tokio::test]
async fn commit_of_a_replaced_owner_is_fenced() {
    let (store, epoch) = owned_store();
    let desk = CommitWriter::new(store.port());
    store.put(OWNER_KEY, "another host");

    let outcome = desk.write(epoch, &batch(SubmissionState::Completed)).await;

    assert_eq!(outcome, CommitOutcome::Fenced);
    assert_eq!(store.value(&progress_key("s1")), None);
}

#[tokio::test]
async fn commits_go_on_after_one_was_dropped() {
    let (store, epoch) = owned_store();
    let desk = CommitWriter::new(store.port());
    store.set_fate(Fate::Dropped);
    desk.write(epoch, &batch(SubmissionState::Running)).await;

    store.set_fate(Fate::Answered);
    let mut outcomes = Vec::new();
    for _ in 0..3 {
        outcomes.push(desk.write(epoch, &batch(SubmissionState::Running)).await);
    }

    assert_eq!(outcomes, vec![CommitOutcome::Stored; 3]);
}
