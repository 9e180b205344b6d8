//! Tests of tasks that crash the upstreams that start them.

use std::sync::Arc;

use lagoonnotch_fleet::model::{CrashScope, ResourceSize, StepSpec, SubmissionState, TaskName};

use crate::fixtures::{config, queue, step, submission};
use crate::simulation::FleetSimulation;

/// Time within which a long-running task must be back in a full fleet, in milliseconds.
const LONG_RUNNING_ABSENCE_MS: u64 = 6000;

fn task(id: &str, index: u32) -> TaskName {
    TaskName {
        submission: id.into(),
        occurrence: 0,
        step: 0,
        index,
    }
}

fn start_count(simulation: &FleetSimulation, name: &TaskName) -> usize {
    let orders = simulation.started.iter();
    orders.filter(|order| order.task == *name).count()
}

/// A fleet of eight upstreams with a submission whose first task is deadly, beside one that is
/// not.
fn deadly_fleet(seed: u64) -> FleetSimulation {
    let policy = queue("check", 0);
    let mut simulation =
        FleetSimulation::new(seed, config(vec![policy.clone()], ResourceSize::ZERO), 8);
    simulation.deadly.insert(task("deadly", 0));
    simulation.take_over();
    simulation.run_until(simulation.now + 500);
    simulation.submit(&submission("sound", &policy, vec![step(2)]));
    simulation.submit(&submission("deadly", &policy, vec![step(3)]));
    simulation
}

/// Guards against a task that takes one upstream after the other, and against giving up the tasks
/// that ran beside it.
#[test]
fn deadly_task_is_given_up_and_its_neighbours_complete() {
    for seed in 1..20 {
        let mut simulation = deadly_fleet(seed);

        simulation.run_until(simulation.now + 40_000);

        let starts = start_count(&simulation, &task("deadly", 0));
        assert!(starts <= 3, "seed {seed}: {starts} starts");
        let states = [simulation.state_of("deadly"), simulation.state_of("sound")];
        let expected = [SubmissionState::Failed, SubmissionState::Completed].map(Some);
        assert_eq!(states, expected, "seed {seed}");
        assert_eq!(simulation.violations, Vec::<String>::new());
    }
}

/// Guards against owners that each count from zero.
#[test]
fn crashes_are_counted_across_takeovers() {
    for seed in 1..20 {
        let mut simulation = deadly_fleet(seed);

        for _ in 0..8 {
            simulation.run_until(simulation.now + 2500);
            simulation.take_over();
        }
        simulation.run_until(simulation.now + 30_000);

        let starts = start_count(&simulation, &task("deadly", 0));
        assert!(starts <= 5, "seed {seed}: {starts} starts");
        assert_eq!(simulation.state_of("deadly"), Some(SubmissionState::Failed));
        assert_eq!(
            simulation.state_of("sound"),
            Some(SubmissionState::Completed)
        );
    }
}

/// Guards against upstreams that end one after the other because all tasks of a step are deadly.
#[test]
fn wide_deadly_step_takes_few_upstreams() {
    let policy = queue("check", 0);
    let mut simulation =
        FleetSimulation::new(7, config(vec![policy.clone()], ResourceSize::ZERO), 8);
    simulation
        .deadly
        .extend((0..6).map(|index| task("deadly", index)));
    simulation.take_over();
    simulation.run_until(simulation.now + 500);

    simulation.submit(&submission("deadly", &policy, vec![step(6)]));
    simulation.run_until(simulation.now + 30_000);

    assert_eq!(simulation.state_of("deadly"), Some(SubmissionState::Failed));
    let crashes = simulation.crashes.len();
    assert!(crashes <= 4, "{crashes} crashes");
}

/// An order that an upstream may never have received is no proof: its task must not be given up
/// for the crash of that upstream.
#[test]
fn unconfirmed_start_does_not_count_as_proof() {
    let policy = queue("check", 0);
    let mut simulation =
        FleetSimulation::new(11, config(vec![policy.clone()], ResourceSize::ZERO), 2);
    simulation.run_ms = Some(2000);
    simulation.take_over();
    simulation.run_until(simulation.now + 1500);
    simulation.submit(&submission("s1", &policy, vec![step(1)]));
    simulation.run_until(simulation.now + 300);
    let first = simulation.started[0].upstream.clone();

    simulation.crash_upstream(&first);
    while simulation.crashes.is_empty() && simulation.now < 30_000 {
        simulation.run_until(simulation.now + 5);
    }
    for id in ["u0", "u1"] {
        simulation.crash_upstream(&Arc::from(id));
    }
    simulation.run_until(simulation.now + 30_000);

    let reports = &simulation.crashes;
    assert!(
        reports
            .iter()
            .any(|report| report.upstream != first || reports.len() > 1),
        "the second order met no crash"
    );
    assert_eq!(simulation.state_of("s1"), Some(SubmissionState::Completed));
}

/// A rack that falls blames nobody: its tasks restart at once, without waiting for upstreams of
/// their own.
#[test]
fn upstreams_that_end_together_make_no_suspects() {
    let policy = queue("ledger", 2);
    let mut simulation =
        FleetSimulation::new(3, config(vec![policy.clone()], ResourceSize::ZERO), 10);
    simulation.run_ms = Some(2500);
    simulation.take_over();
    simulation.run_until(simulation.now + 500);
    for number in 0..5 {
        simulation.submit(&submission(&format!("s{number}"), &policy, vec![step(4)]));
    }
    simulation.run_until(simulation.now + 300);

    for number in 0..5 {
        simulation.crash_upstream(&Arc::from(format!("u{number}")));
    }
    simulation.run_until(simulation.now + 9000);

    let states: Vec<_> = (0..5)
        .map(|number| simulation.state_of(&format!("s{number}")))
        .collect();
    assert_eq!(states, vec![Some(SubmissionState::Completed); 5]);
    let mut reports = simulation.crashes.iter();
    assert!(reports.all(|report| report.given_up.is_empty()));
}

/// An upstream that was cut off and answers again has not crashed.
#[test]
fn cut_makes_no_suspects() {
    let policy = queue("ledger", 2);
    let mut simulation =
        FleetSimulation::new(5, config(vec![policy.clone()], ResourceSize::ZERO), 2);
    simulation.run_ms = Some(3000);
    simulation.take_over();
    simulation.run_until(simulation.now + 500);
    simulation.submit(&submission("s1", &policy, vec![step(4)]));
    simulation.run_until(simulation.now + 300);

    for id in ["u0", "u1"] {
        let until = simulation.now + 9000;
        simulation.partitioned.insert(id.into(), until);
    }
    simulation.run_until(simulation.now + 20_000);

    assert!(simulation.crashes.is_empty(), "{:?}", simulation.crashes);
    assert_eq!(simulation.state_of("s1"), Some(SubmissionState::Completed));
}

/// Guards against a long-running task that is away for as long as its service is full, because its
/// upstream's address went to another upstream: it was a suspect, and suspects neither preempted
/// nor reserved.
#[test]
fn long_running_suspect_is_back_in_a_full_fleet() {
    let (watch, batch) = (queue("watch", 1), queue("ledger", 2));
    let queues = vec![watch.clone(), batch.clone()];
    let mut simulation = FleetSimulation::new(31, config(queues, ResourceSize::ZERO), 3);
    simulation.run_ms = Some(600_000);
    simulation.take_over();
    simulation.run_until(simulation.now + 1500);
    let standing = StepSpec {
        long_running: true,
        demand: ResourceSize::new(2000, 1024, 0),
        ..step(1)
    };
    simulation.submit(&submission("standing", &watch, vec![standing]));
    simulation.run_until(simulation.now + 500);
    let first = simulation.started[0].upstream.clone();
    simulation.run_ms = Some(8000);
    for number in 0..20 {
        let id = format!("b{number}");
        simulation.submit(&submission(&id, &batch, vec![step(4)]));
        simulation.run_until(simulation.now + 100);
    }

    simulation.partitioned.insert(first.clone(), u64::MAX);
    let lost = simulation.upstreams.get_mut(&first).expect("it is known");
    lost.unlisted = true;
    lost.runs.clear();
    let now = simulation.now;
    let owner = simulation.owner.as_mut().expect("the owner acts");
    owner.on_other_incarnation(now, &first, &first);
    let starts = start_count(&simulation, &task("standing", 0));
    simulation.run_until(now + LONG_RUNNING_ABSENCE_MS);

    assert!(start_count(&simulation, &task("standing", 0)) > starts);
}

/// Guards against giving a task up for upstreams that end together: it was done on one of them, which
/// was cut off, before they ended.
#[test]
fn task_is_not_given_up_for_upstreams_that_end_together() {
    let policy = queue("ledger", 2);
    let mut simulation =
        FleetSimulation::new(3, config(vec![policy.clone()], ResourceSize::ZERO), 5);
    simulation.run_ms = Some(2000);
    simulation.take_over();
    simulation.run_until(simulation.now + 1500);
    simulation.submit(&submission("s1", &policy, vec![step(1)]));
    simulation.run_until(simulation.now + 300);
    let first = simulation.started[0].upstream.clone();
    simulation.crash_upstream(&first);
    while start_count(&simulation, &task("s1", 0)) < 2 {
        simulation.run_until(simulation.now + 5);
    }
    for number in 0..8 {
        let id = format!("beside{number}");
        simulation.submit(&submission(&id, &policy, vec![step(2)]));
    }
    simulation.run_until(simulation.now + 400);

    let cut_until = simulation.now + 5000;
    let ids: Vec<Arc<str>> = simulation.upstreams.keys().cloned().collect();
    for id in &ids {
        simulation.partitioned.insert(id.clone(), cut_until);
    }
    simulation.run_until(simulation.now + 3000);
    for id in &ids {
        simulation.restart_upstream(id);
    }
    simulation.run_until(simulation.now + 20_000);

    let reports = simulation.crashes.iter();
    let widespread = reports.filter(|report| report.scope == CrashScope::Widespread);
    assert!(widespread.count() >= 3);
    let state = simulation.state_of("s1");
    assert_eq!(state, Some(SubmissionState::Completed));
}
