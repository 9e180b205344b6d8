//! Tests of the order in which progress is committed to the store.
//!
//! Commits are sent in lanes. A lane is a sequence of commits, each of which is written only after
//! the previous one. The roster is the stored list of upstreams that may hold leases.

use lagoonnotch_fleet::model::{RenewReply, ResourceSize};
use lagoonnotch_fleet::owner::{
    CommitBatch, CommitOutcome, OwnerEffect, OwnerMachine, OwnerSettings,
};

use crate::fixtures::{STORED, config, directory_read, queue, report, step, submission};

/// Returns an owner whose stored roster contains one upstream with four cores.
fn owner() -> OwnerMachine {
    let approved = config(vec![queue("ledger", 2)], ResourceSize::ZERO);
    let mut owner = OwnerMachine::new(OwnerSettings::default(), 50, 0, approved);
    owner.set_directory(1000, directory_read(1000, vec![report("u0")]));
    for batch in commits(&mut owner, 1000) {
        owner.on_commit(1001, &batch, STORED);
    }
    let empty = RenewReply {
        clock_ms: 5000,
        incarnation_unix_ms: 1,
        running: Vec::new(),
        finished: Vec::new(),
        finished_truncated: false,
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

/// Guards against a slow store, such as one that takes 300 ms for each write, delaying the commits
/// of other submissions.
#[test]
fn slow_commit_does_not_delay_the_next() {
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

/// Guards against an old write overwriting a newer one. A commit with an unknown outcome may still
/// be applied late; only the next commit of its lane prevents that, so the submission must be
/// committed in the same lane again.
#[test]
fn submission_with_unknown_commit_stays_in_lane() {
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

/// Guards against commits that the store rejects because they have too many entries, and against
/// final states waiting behind changes that nothing waits for.
#[test]
fn commit_does_not_exceed_store_entry_limit() {
    let mut owner = owner();
    for number in 0..40 {
        submit(&mut owner, 1010, &format!("s{number}"));
        owner.cancel(1011, &format!("s{number}"));
    }

    let batch = commits(&mut owner, 1020).remove(0);

    let conditions = 2;
    let commit_number = 1;
    let entries = conditions + commit_number + batch.progress.len() + 4 * batch.ended.len();
    assert!(entries <= 32, "{entries}");
    assert!(batch.ended.len() >= 7, "{}", batch.ended.len());
}
