//! Take-over: what a new owner may and may not conclude.

use lagoonnotch_fleet::model::{
    FinishedRun, ProgressRecord, QueuePolicy, RenewReply, ResourceSize, RunOutcome, RunRecord,
    RunReport, StartOutcome, StepSpec, SubmissionState,
};
use lagoonnotch_fleet::owner::{
    CommitOutcome, OwnerEffect, OwnerMachine, OwnerSettings, RecoveredState, RosterEntry,
    StoredSubmission,
};

use crate::fixtures::{POOL, TEAM, config, queue, report, step, submission, ticketed_queue};
use crate::world::{Trouble, World};

/// A failed end that is journaled and not acknowledged is listed again to the next owner.
#[test]
fn failed_attempt_counts_once_over_a_take_over() {
    let mut policy = queue("ledger", 2);
    policy.max_attempts = 2;
    let mut world = World::new(7, config(vec![policy.clone()], ResourceSize::ZERO), 1);
    world.trouble.failures = 100;
    world.take_over();
    world.submit(&submission("s1", &policy, vec![step(1)]));
    while world
        .progress
        .get("s1")
        .is_none_or(|progress| progress.steps.is_empty())
    {
        world.run_until(world.now + 5);
    }
    world.trouble.failures = 0;

    world.take_over();
    world.run_until(world.now + 6000);

    assert_eq!(world.state_of("s1"), Some(SubmissionState::Completed));
}

/// A task that may run at an upstream out of reach waits until every lease there has run out.
#[test]
fn new_owner_waits_for_leases_of_upstreams_out_of_reach() {
    let policy = queue("ledger", 2);
    let mut world = World::new(3, config(vec![policy.clone()], ResourceSize::ZERO), 2);
    world.take_over();
    world.submit(&submission("s1", &policy, vec![step(6)]));
    world.run_until(world.now + 150);
    world.cut.insert("u0".into(), world.now + 7000);

    world.take_over();
    world.run_until(world.now + 20_000);

    assert_eq!(world.findings, Vec::<String>::new());
    assert_eq!(world.state_of("s1"), Some(SubmissionState::Completed));
}

/// A submission that is younger than the epoch can't have run: it does not wait.
#[test]
fn younger_submission_does_not_wait_for_leases() {
    let policy = queue("check", 0);
    let mut world = World::new(4, config(vec![policy.clone()], ResourceSize::ZERO), 2);
    world.take_over();
    world.run_until(world.now + 500);
    world.cut.insert("u0".into(), world.now + 30_000);
    world.take_over();

    world.submit(&submission("s1", &policy, vec![step(2)]));
    world.run_until(world.now + 3500);

    assert_eq!(world.state_of("s1"), Some(SubmissionState::Completed));
}

/// The journal names every run, so that a submission that is older than the epoch does not wait for
/// an upstream out of reach where nothing of it runs.
#[test]
fn older_submission_does_not_wait_for_leases() {
    let policy = queue("ledger", 2);
    let mut world = World::new(4, config(vec![policy.clone()], ResourceSize::ZERO), 2);
    world.take_over();
    world.run_until(world.now + 500);
    world.run_ms = Some(700);
    world.submit(&submission("s1", &policy, vec![step(8)]));
    world.submit(&submission("s2", &policy, vec![step(2)]));
    world.run_until(world.now + 300);
    world.cut.insert("u0".into(), world.now + 30_000);

    world.take_over_beside(3000);
    world.run_until(world.now + 2500);

    assert_eq!(world.state_of("s2"), Some(SubmissionState::Completed));
    assert_eq!(world.findings, Vec::<String>::new());
}

/// Nothing is started that the journal does not name yet.
#[test]
fn nothing_is_started_before_it_is_journaled() {
    let policy = queue("ledger", 2);
    let mut world = World::new(4, config(vec![policy.clone()], ResourceSize::ZERO), 2);
    world.take_over();
    world.run_until(world.now + 500);

    world.store_down = true;
    world.submit(&submission("s1", &policy, vec![step(2)]));
    world.run_until(world.now + 3000);
    let without_store = world.started.len();
    world.store_down = false;
    world.run_until(world.now + 6000);

    assert_eq!(without_store, 0);
    assert_eq!(world.state_of("s1"), Some(SubmissionState::Completed));
}

/// Running tasks are adopted from the inventory and not started again.
#[test]
fn running_tasks_are_adopted() {
    let policy = queue("ledger", 2);
    let mut world = World::new(5, config(vec![policy.clone()], ResourceSize::ZERO), 2);
    world.take_over();
    world.submit(&submission("s1", &policy, vec![step(4)]));
    world.run_until(world.now + 120);
    let started = world.started.len();

    world.take_over();
    world.run_until(world.now + 5000);

    assert_eq!(started, 4);
    assert_eq!(world.started.len(), 4);
    assert_eq!(world.state_of("s1"), Some(SubmissionState::Completed));
}

/// An order without an answer that is carried out seconds later doubles nothing.
#[test]
fn late_orders_double_nothing() {
    let policy = queue("ledger", 2);
    let mut world = World::new(6, config(vec![policy.clone()], ResourceSize::ZERO), 3);
    world.trouble = Trouble {
        late_orders: 40,
        lost_answers: 20,
        ..Trouble::default()
    };
    world.take_over();
    world.submit(&submission("s1", &policy, vec![step(12)]));

    world.run_until(world.now + 40_000);

    assert_eq!(world.findings, Vec::<String>::new());
    assert_eq!(world.state_of("s1"), Some(SubmissionState::Completed));
}

/// The owner before may still start a submission that is younger than the new epoch, at an
/// upstream that the new owner has not fenced yet: it must not.
#[test]
fn replaced_owner_starts_no_younger_submission() {
    let policy = queue("check", 0);
    let mut world = World::new(8, config(vec![policy.clone()], ResourceSize::ZERO), 3);
    world.take_over();
    world.run_until(world.now + 500);

    world.take_over_beside(4000);
    world.submit(&submission("s1", &policy, vec![step(12)]));
    world.run_until(world.now + 15_000);

    assert_eq!(world.findings, Vec::<String>::new());
    assert!(world.started.iter().all(|order| order.epoch == world.epoch));
    assert_eq!(world.state_of("s1"), Some(SubmissionState::Completed));
}

/// An upstream that is gone for good gives its tasks back once its leases have run out, although
/// renewals are still tried.
#[test]
fn tasks_of_a_lost_upstream_run_elsewhere() {
    let policy = queue("ledger", 2);
    let mut world = World::new(9, config(vec![policy.clone()], ResourceSize::ZERO), 2);
    world.take_over();
    world.submit(&submission("s1", &policy, vec![step(8)]));
    world.run_until(world.now + 150);

    world.cut.insert("u0".into(), u64::MAX);
    world.run_until(world.now + 15_000);

    assert_eq!(world.findings, Vec::<String>::new());
    assert_eq!(world.state_of("s1"), Some(SubmissionState::Completed));
}

/// A draining upstream whose entry goes has left: its tasks need not wait for their leases.
#[test]
fn tasks_of_an_upstream_that_left_run_elsewhere_at_once() {
    let policy = queue("watch", 1);
    let mut world = World::new(11, config(vec![policy.clone()], ResourceSize::ZERO), 2);
    world.take_over();
    let lasting = StepSpec {
        long_running: true,
        ..step(2)
    };
    world.submit(&submission("s1", &policy, vec![lasting]));
    world.run_until(world.now + 200);
    let home = world.started[0].upstream.clone();

    world
        .upstreams
        .get_mut(&home)
        .expect("an upstream")
        .draining = true;
    world.run_until(world.now + 2500);
    world.cut.insert(home.clone(), u64::MAX);
    world
        .upstreams
        .get_mut(&home)
        .expect("an upstream")
        .runs
        .clear();
    world
        .upstreams
        .get_mut(&home)
        .expect("an upstream")
        .unlisted = true;
    let started = world.started.len();
    world.run_until(world.now + 1000);

    assert!(world.started.len() > started);
    assert_eq!(world.findings, Vec::<String>::new());
}

/// An end that is listed after its lease had lapsed does not end the newer attempt's task: the next
/// step waits for the newer attempt. Found by a random history.
#[test]
fn end_after_a_lapsed_lease_opens_no_step() {
    let policy = queue("ledger", 2);
    let mut world = World::new(12, config(vec![policy.clone()], ResourceSize::ZERO), 2);
    world.run_ms = Some(1500);
    world.take_over();
    let second = StepSpec {
        after: vec![0],
        ..step(1)
    };
    world.submit(&submission("s1", &policy, vec![step(1), second]));
    world.run_until(world.now + 100);
    let home = world.started[0].upstream.clone();

    world.cut.insert(home, world.now + 6900);
    world.run_until(world.now + 15_000);

    assert_eq!(world.findings, Vec::<String>::new());
    assert_eq!(world.state_of("s1"), Some(SubmissionState::Completed));
}

/// A failed end that is listed after its lease had lapsed still counts as an attempt.
#[test]
fn failed_end_after_a_lapsed_lease_counts() {
    let policy = queue("ledger", 2);
    let mut owner = owner_with_journaled_run(&policy);
    owner.on_renewed(1010, 1000, &"u1".into(), &listing(&[("s1.0.0.0", 2)], &[]));
    owner.on_renewed(1020, 1000, &"u0".into(), &listing(&[], &[("s1.0.0.0", 1)]));

    owner.on_renewed(1030, 1025, &"u1".into(), &listing(&[], &[("s1.0.0.0", 2)]));
    owner.tick(1040, 1040, true);
    let effects = owner.take_effects();

    let failed = effects.iter().any(|effect| match effect {
        OwnerEffect::Commit(batch) => batch.ended[0].state == SubmissionState::Failed,
        _ => false,
    });
    assert!(failed, "{effects:?}");
}

/// Of an upstream that was silent before the take-over the journal names all runs: other tasks do
/// not wait for its leases.
#[test]
fn only_journaled_runs_wait_for_an_upstream_that_was_silent() {
    let policy = queue("ledger", 2);
    let mut world = World::new(13, config(vec![policy.clone()], ResourceSize::ZERO), 2);
    world.run_ms = Some(1000);
    world.take_over();
    world.submit(&submission("s1", &policy, vec![step(20)]));
    world.run_until(world.now + 150);
    world.cut.insert("u0".into(), u64::MAX);
    world.run_until(world.now + 2500);

    world.take_over();
    let taken_at = world.now;
    let started = world.started.len();
    world.run_until(taken_at + 800);
    let soon = world.started.len();
    world.run_until(taken_at + 25_000);

    assert!(soon > started);
    assert_eq!(world.findings, Vec::<String>::new());
    assert_eq!(world.state_of("s1"), Some(SubmissionState::Completed));
}

/// Take-overs in a row do not put off the time at which the leases of a lost upstream have lapsed.
#[test]
fn second_take_over_does_not_wait_anew() {
    let policy = queue("ledger", 2);
    let mut world = World::new(14, config(vec![policy.clone()], ResourceSize::ZERO), 2);
    world.run_ms = Some(500);
    world.take_over();
    world.submit(&submission("s1", &policy, vec![step(8)]));
    world.run_until(world.now + 100);
    world.cut.insert("u0".into(), u64::MAX);
    let lost_at = world.now;

    world.take_over();
    world.run_until(lost_at + 4000);
    world.take_over();
    world.run_until(lost_at + 9000);

    assert_eq!(world.findings, Vec::<String>::new());
    assert_eq!(world.state_of("s1"), Some(SubmissionState::Completed));
}

/// An upstream that started again at another address keeps its runs when the address that it left
/// answers for somebody else.
#[test]
fn news_of_an_old_address_frees_nothing() {
    let policy = queue("ledger", 2);
    let mut owner = owner_with_journaled_run(&policy);
    let mut moved = report("u0");
    moved.address = "elsewhere".into();
    owner.set_directory(1005, vec![moved, report("u1")]);
    owner.on_renewed(1010, 1000, &"u0".into(), &listing(&[("s1.0.0.0", 1)], &[]));
    owner.on_renewed(1020, 1000, &"u1".into(), &listing(&[], &[]));

    owner.on_other_incarnation(1030, &"u0".into(), "u0");
    owner.tick(1040, 1040, true);

    let starts = owner.take_effects();
    let starts = starts
        .iter()
        .filter(|effect| matches!(effect, OwnerEffect::Start(_)));
    assert_eq!(starts.count(), 0);
    assert_ne!(owner.usage_of(TEAM), ResourceSize::ZERO);
}

/// A list that was asked for in the millisecond of a start's answer may be older than the start.
#[test]
fn list_of_the_same_millisecond_frees_nothing() {
    let policy = queue("ledger", 2);
    let approved = config(vec![policy.clone()], ResourceSize::ZERO);
    let mut owner = OwnerMachine::new(OwnerSettings::default(), 50, 0, approved);
    owner.set_directory(1000, vec![report("u0")]);
    owner.tick(1000, 1000, true);
    store_commits(&mut owner, 1001);
    owner.on_renewed(1002, 1000, &"u0".into(), &listing(&[], &[]));
    owner.add_submission(1003, submission("s1", &policy, vec![step(1)]), 40);
    owner.tick(1010, 1010, true);
    store_commits(&mut owner, 1011);
    let order = owner
        .take_effects()
        .into_iter()
        .find_map(|effect| match effect {
            OwnerEffect::Start(order) => Some(order),
            _ => None,
        });
    let order = order.expect("an order to start");

    owner.on_start(1012, &order, StartOutcome::Started);
    owner.on_renewed(1013, 1012, &"u0".into(), &listing(&[], &[]));

    assert_ne!(owner.usage_of(TEAM), ResourceSize::ZERO);
}

/// Stores what the owner commits.
fn store_commits(owner: &mut OwnerMachine, now: u64) {
    for effect in owner.take_effects() {
        if let OwnerEffect::Commit(batch) = effect {
            owner.on_commit(now, &batch, CommitOutcome::Stored);
        }
    }
}

/// The journal may name an older attempt than the one that runs: the newer one is adopted, and
/// nothing is started or stopped beside it.
#[test]
fn newer_attempt_than_the_journaled_one_is_adopted() {
    let policy = queue("ledger", 2);
    let mut owner = owner_with_journaled_run(&policy);

    owner.on_renewed(1010, 1000, &"u1".into(), &listing(&[("s1.0.0.0", 2)], &[]));
    owner.on_renewed(1020, 1000, &"u0".into(), &listing(&[], &[("s1.0.0.0", 1)]));
    owner.set_directory(1030, vec![report("u0"), report("u1")]);
    owner.tick(1040, 1040, true);
    let effects = owner.take_effects();

    let orders = effects
        .iter()
        .filter(|effect| matches!(effect, OwnerEffect::Start(_) | OwnerEffect::Stop(_)));
    assert_eq!(orders.count(), 0);
}

/// An owner that recovered one submission whose first attempt was journaled at `u0`.
fn owner_with_journaled_run(policy: &QueuePolicy) -> OwnerMachine {
    let settings = OwnerSettings::default();
    let approved = config(vec![policy.clone()], ResourceSize::ZERO);
    let mut owner = OwnerMachine::new(settings, 50, 1, approved);
    let progress = ProgressRecord {
        state: SubmissionState::Running,
        steps: Vec::new(),
        runs: vec![RunRecord {
            occurrence: 0,
            step: 0,
            index: 0,
            attempt: 1,
            upstream: "u0".into(),
        }],
    };
    let roster = ["u0", "u1"].map(|id| RosterEntry {
        id: id.into(),
        pool: POOL.into(),
        address: id.into(),
        failure_domain: "west".into(),
        incarnation_unix_ms: 1,
        leases_expire_unix_ms: None,
    });
    let recovered = RecoveredState {
        revision: 0,
        stale_cancels: Vec::new(),
        submissions: vec![StoredSubmission {
            record: submission("s1", policy, vec![step(1)]),
            progress: Some(progress),
            cancelled: false,
        }],
        roster: roster.to_vec(),
        previous_owner_active_ms: 0,
    };
    owner.recover(1000, 1000, recovered);
    owner
}

/// The list of an upstream with these runs and failed ends.
fn listing(running: &[(&str, u32)], failed: &[(&str, u32)]) -> RenewReply {
    RenewReply {
        clock_ms: 5000,
        incarnation_unix_ms: 1,
        running: running
            .iter()
            .map(|(task, attempt)| RunReport {
                task: (*task).into(),
                attempt: *attempt,
                checkpoint: "".into(),
                percent: 10,
                recent_metric: 0,
            })
            .collect(),
        finished: (1..)
            .zip(failed)
            .map(|(number, (task, attempt))| FinishedRun {
                number,
                task: (*task).into(),
                attempt: *attempt,
                outcome: RunOutcome::Failed,
                checkpoint: "".into(),
            })
            .collect(),
    }
}

/// Hosts tell a new owner again of what they stored; what had ended must not run again.
#[test]
fn news_of_an_ended_submission_starts_nothing() {
    let queue = queue("batch", 2);
    let mut world = World::new(3, config(vec![queue.clone()], ResourceSize::ZERO), 2);
    world.run_ms = Some(200);
    world.take_over();
    world.run_until(11_000);
    let record = submission("s1", &queue, vec![step(1)]);
    world.submit(&record);
    world.run_until(13_000);
    let created = world.submissions["s1"].1;
    world.take_over();

    let (now, owner) = (world.now, world.owner.as_mut().expect("an owner"));
    owner.add_submission(now, record, created);
    world.run_until(15_000);

    assert_eq!(world.started.len(), 1);
    assert_eq!(world.findings, Vec::<String>::new());
}

/// A new owner counts what the one before started just now at upstreams that it can't reach.
#[test]
fn new_owner_counts_fresh_starts_out_of_reach() {
    let policy = ticketed_queue("ledger", 2);
    let limit = ResourceSize::new(6000, 0, 0);
    let mut world = World::new(5, config(vec![policy.clone()], limit), 4);
    world.take_over();
    world.run_until(world.now + 1000);
    world.run_ms = Some(100);
    let second = StepSpec {
        after: vec![0],
        ..step(6)
    };
    world.submit(&submission("s1", &policy, vec![step(1), second]));
    world.run_until(world.now + 600);
    world.run_ms = Some(5000);
    world.run_until(world.now + 1400);
    let homes: Vec<_> = world.started[1..]
        .iter()
        .map(|order| order.upstream.clone())
        .collect();
    for home in homes {
        world.cut.insert(home, world.now + 4000);
    }

    world.take_over_beside(3000);
    world.submit(&submission("s2", &policy, vec![step(6)]));
    world.run_until(world.now + 2000);

    let running = world.running().cpu_milli;
    assert!(running <= 6600 + 1000, "{running} of 6000");
}

/// A run that the journal does not name counts against what its team may run ahead of the journal,
/// so it has to be journaled when it is adopted.
#[test]
fn adopted_run_is_journaled() {
    let policy = queue("ledger", 2);
    let mut owner = owner_with_journaled_run(&policy);

    owner.on_renewed(1010, 1000, &"u1".into(), &listing(&[("s1.0.0.0", 2)], &[]));
    owner.tick(1020, 1020, true);

    let effects = owner.take_effects();
    let journaled = effects.iter().any(|effect| match effect {
        OwnerEffect::Commit(batch) => batch
            .progress
            .iter()
            .flat_map(|(_, progress)| &progress.runs)
            .any(|run| run.attempt == 2 && &*run.upstream == "u1"),
        _ => false,
    });
    assert!(journaled, "{effects:?}");
}
