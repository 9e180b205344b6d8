//! Tests of the time at which the next tick is due.

use lagoonnotch_fleet::model::{RenewReply, ResourceSize};
use lagoonnotch_fleet::owner::{OwnerEffect, OwnerMachine, OwnerSettings};

use crate::fixtures::{STORED, config, directory_read, queue, report, step, submission};

/// Returns an owner with an upstream whose next renewal is due, and with a task to place.
fn owner_with_work() -> OwnerMachine {
    let approved = config(vec![queue("ledger", 2)], ResourceSize::ZERO);
    let mut owner = OwnerMachine::new(OwnerSettings::default(), 50, 0, approved);
    owner.set_directory(1000, directory_read(1000, vec![report("u0")]));
    owner.tick(1000, 1000, true);
    for effect in owner.take_effects() {
        if let OwnerEffect::Commit(batch) = effect {
            owner.on_commit(1001, &batch, STORED);
        }
    }
    let empty = RenewReply {
        clock_ms: 5000,
        incarnation_unix_ms: 1,
        running: Vec::new(),
        finished: Vec::new(),
        finished_truncated: false,
    };
    owner.on_renewed(1002, 1000, &"u0".into(), &empty);
    let record = submission("s1", &queue("ledger", 2), vec![step(1)]);
    owner.add_submission(1003, record, 1003);
    owner
}

/// Guards against a host that ticks without a pause while it can't be sure that it is still the
/// owner, because what is due must wait.
#[test]
fn owner_that_may_not_act_does_not_tick_for_what_must_wait() {
    let mut owner = owner_with_work();

    owner.tick(5000, 5000, false);
    for effect in owner.take_effects() {
        if let OwnerEffect::Commit(batch) = effect {
            owner.on_commit(5000, &batch, STORED);
        }
    }

    assert!(owner.next_due_at(5000, 5000, false) >= 5060);
    assert_eq!(owner.next_due_at(5000, 5000, true), 5000);
}
