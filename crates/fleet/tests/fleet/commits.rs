//! The order in which progress reaches the store.

use lagoonnotch_fleet::model::{RenewReply, ResourceSize};
use lagoonnotch_fleet::owner::{
    CommitBatch, CommitOutcome, OwnerEffect, OwnerMachine, OwnerSettings,
};

use crate::fixtures::{config, queue, report, step, submission};

/// An owner with one upstream of four cores, whose roster is stored.
fn owner() -> OwnerMachine {
    let approved = config(vec![queue("ledger", 2)], ResourceSize::ZERO);
    let mut owner = OwnerMachine::new(OwnerSettings::default(), 50, 0, approved);
    owner.set_directory(1000, vec![report("u0")]);
    for batch in commits(&mut owner, 1000) {
        owner.on_commit(1001, &batch, CommitOutcome::Stored);
    }
    let empty = RenewReply {
        clock_ms: 5000,
        incarnation_unix_ms: 1,
        running: Vec::new(),
        finished: Vec::new(),
    };
    owner.on_renewed(1002, 1000, &"u0".into(), &empty);
    owner
}

fn submit(owner: &mut OwnerMachine, now: u64, id: &str) {
    let record = submission(id, &queue("ledger", 2), vec![step(1)]);
    owner.add_submission(now, record, now);
}

/// Returns the commits that a tick sends.
fn commits(owner: &mut OwnerMachine, now: u64) -> Vec<CommitBatch> {
    owner.tick(now, now, true);
    owner
        .take_effects()
        .into_iter()
        .filter_map(|effect| match effect {
            OwnerEffect::Commit(batch) => Some(batch),
            _ => None,
        })
        .collect()
}

/// Load that this answers: a store that takes 300 ms for each write.
#[test]
fn slow_commit_does_not_hold_back_the_next() {
    let mut owner = owner();
    submit(&mut owner, 1010, "s1");
    let first = commits(&mut owner, 1010);
    submit(&mut owner, 1015, "s2");

    let at_once = commits(&mut owner, 1020);
    let later = commits(&mut owner, 1060);

    assert_eq!(first.len(), 1);
    assert_eq!(at_once, Vec::new());
    assert_eq!(later.len(), 1);
    assert_ne!(later[0].lane, first[0].lane);
    assert_eq!(&*later[0].progress[0].0, "s2");
}

/// A commit with an unknown outcome may be done late: only the next one of its lane prevents that.
#[test]
fn submission_with_an_unknown_commit_stays_in_its_lane() {
    let mut owner = owner();
    submit(&mut owner, 1010, "s1");
    let first = commits(&mut owner, 1010).remove(0);
    submit(&mut owner, 1015, "s2");
    let second = commits(&mut owner, 1060).remove(0);

    owner.on_commit(1100, &second, CommitOutcome::Unknown);
    let again = commits(&mut owner, 1200);

    assert_ne!(first.lane, second.lane);
    assert_eq!(again.len(), 1);
    assert_eq!(again[0].lane, second.lane);
    assert_eq!(&*again[0].progress[0].0, "s2");
}

/// The end of a submission goes ahead of what nobody waits for, and a commit never has more entries
/// than the store takes.
#[test]
fn commit_has_no_more_entries_than_the_store_takes() {
    let mut owner = owner();
    for number in 0..40 {
        submit(&mut owner, 1010, &format!("s{number}"));
        owner.cancel(1011, &format!("s{number}"));
    }

    let batch = commits(&mut owner, 1020).remove(0);

    let conditions = 2;
    let number_of_the_commit = 1;
    let entries = conditions + number_of_the_commit + batch.progress.len() + 4 * batch.ended.len();
    assert!(entries <= 32, "{entries}");
    assert!(batch.ended.len() >= 7, "{}", batch.ended.len());
}
