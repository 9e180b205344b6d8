//! Tests of which tasks start, where and when.

use lagoonnotch_fleet::model::{ResourceSize, StepSpec, SubmissionState};

use crate::fixtures::{TEAM, config, queue, step, submission};
use crate::simulation::FleetSimulation;

/// Guards against starting a step before the tasks of the step it depends on are done.
#[test]
fn steps_run_in_order() {
    let policy = queue("ledger", 2);
    let mut simulation =
        FleetSimulation::new(1, config(vec![policy.clone()], ResourceSize::ZERO), 2);
    simulation.take_over();
    let second = StepSpec {
        after: vec![0],
        ..step(3)
    };

    simulation.submit(&submission("s1", &policy, vec![step(3), second]));
    simulation.run_until(simulation.now + 9000);

    assert_eq!(simulation.violations, Vec::<String>::new());
    assert_eq!(simulation.state_of("s1"), Some(SubmissionState::Completed));
}

/// Guards against a team using more than its upper limit, and against leaving part of the limit
/// unused.
#[test]
fn team_stays_within_upper_limit() {
    let policy = queue("ledger", 2);
    let limit = ResourceSize::new(3000, 0, 0);
    let mut simulation = FleetSimulation::new(2, config(vec![policy.clone()], limit), 4);
    simulation.take_over();
    simulation.submit(&submission("s1", &policy, vec![step(10)]));

    let mut peak = 0;
    for _ in 0..1500 {
        simulation.run_until(simulation.now + 5);
        let usage = simulation.owner.as_ref().map(|owner| owner.usage_of(TEAM));
        peak = peak.max(usage.map_or(0, |usage| usage.cpu_milli));
    }

    assert_eq!(peak, 3000);
    assert_eq!(simulation.state_of("s1"), Some(SubmissionState::Completed));
}

/// Guards against an urgent submission waiting behind a full queue of batch tasks.
#[test]
fn urgent_submission_starts_first() {
    let (urgent, batch) = (queue("check", 0), queue("ledger", 2));
    let mut simulation = FleetSimulation::new(
        3,
        config(vec![urgent.clone(), batch.clone()], ResourceSize::ZERO),
        1,
    );
    simulation.take_over();
    simulation.run_until(simulation.now + 300);
    simulation.submit(&submission("b1", &batch, vec![step(20)]));
    simulation.run_until(simulation.now + 50);

    simulation.submit(&submission("a1", &urgent, vec![step(2)]));
    simulation.run_until(simulation.now + 15_000);

    let first_urgent = simulation
        .started
        .iter()
        .position(|order| &*order.task.submission == "a1");
    // Four batch tasks fill the upstream before the urgent submission arrives; at most one more
    // task may start before it.
    assert!(first_urgent.is_some_and(|position| position <= 5));
}

/// Guards against runs that continue after their submission was cancelled.
#[test]
fn cancelled_submission_is_stopped() {
    let policy = queue("watch", 1);
    let mut simulation =
        FleetSimulation::new(4, config(vec![policy.clone()], ResourceSize::ZERO), 2);
    simulation.take_over();
    let long_running = StepSpec {
        long_running: true,
        ..step(3)
    };
    simulation.submit(&submission("s1", &policy, vec![long_running]));
    simulation.run_until(simulation.now + 500);

    simulation.cancel("s1");
    simulation.run_until(simulation.now + 500);

    let running: usize = simulation
        .upstreams
        .values()
        .map(|upstream| upstream.runs.len())
        .sum();
    assert_eq!(running, 0);
    assert_eq!(simulation.state_of("s1"), Some(SubmissionState::Cancelled));
}

/// Guards against ending a long-running submission when one of its runs ends or fails.
#[test]
fn long_running_tasks_are_always_restarted() {
    let policy = queue("watch", 1);
    let mut simulation =
        FleetSimulation::new(5, config(vec![policy.clone()], ResourceSize::ZERO), 2);
    simulation.faults.failures = 50;
    simulation.take_over();
    let long_running = StepSpec {
        long_running: true,
        ..step(2)
    };

    simulation.submit(&submission("s1", &policy, vec![long_running]));
    simulation.run_until(simulation.now + 30_000);

    // The two tasks are restarted after each run, and a run takes at most 1.7 s of the 30 s.
    assert!(simulation.started.len() > 10);
    assert_eq!(simulation.state_of("s1"), Some(SubmissionState::Running));
}

/// Guards against tasks that stay on an upstream whose runs make no progress: they move to a
/// healthy one.
#[test]
fn stalled_runs_are_rescheduled() {
    let policy = queue("check", 0);
    let mut simulation =
        FleetSimulation::new(6, config(vec![policy.clone()], ResourceSize::ZERO), 2);
    simulation
        .upstreams
        .get_mut("u0")
        .expect("the upstream exists")
        .stalled = true;
    simulation.take_over();

    simulation.submit(&submission("s1", &policy, vec![step(6)]));
    simulation.run_until(simulation.now + 6000);

    assert_eq!(simulation.violations, Vec::<String>::new());
    assert_eq!(simulation.state_of("s1"), Some(SubmissionState::Completed));
}

/// Guards against a long-running task that waits behind batch tasks in a full pool: it must preempt
/// a checkpointing task.
#[test]
fn long_running_task_preempts_batch() {
    let (watch, batch) = (queue("watch", 1), queue("ledger", 2));
    let mut simulation = FleetSimulation::new(
        7,
        config(vec![watch.clone(), batch.clone()], ResourceSize::ZERO),
        1,
    );
    simulation.run_ms = Some(20_000);
    simulation.take_over();
    let wide = StepSpec {
        checkpointing: true,
        ..step(40)
    };
    simulation.submit(&submission("b1", &batch, vec![wide]));
    simulation.run_until(simulation.now + 500);
    let long_running = StepSpec {
        long_running: true,
        ..step(1)
    };

    simulation.submit(&submission("w1", &watch, vec![long_running]));
    simulation.run_until(simulation.now + 1500);

    assert_eq!(simulation.state_of("w1"), Some(SubmissionState::Running));
    simulation.check_capacity();
    assert_eq!(simulation.violations, Vec::<String>::new());
}

/// Guards against a team exceeding its limit while the store is unreachable: the owner may have a
/// successor elsewhere, so it must not start more of a team's tasks.
#[test]
fn team_usage_does_not_grow_without_store() {
    let policy = queue("ledger", 2);
    let limit = ResourceSize::new(12_000, 0, 0);
    let mut simulation = FleetSimulation::new(8, config(vec![policy.clone()], limit), 4);
    simulation.run_ms = Some(1000);
    simulation.take_over();
    simulation.submit(&submission("s1", &policy, vec![step(3)]));
    simulation.run_until(simulation.now + 600);

    simulation.store_unavailable = true;
    simulation.submit(&submission("s2", &policy, vec![step(9)]));
    simulation.run_until(simulation.now + 300);

    assert_eq!(simulation.running(), ResourceSize::new(3000, 3072, 0));
}

/// Guards against a submission that counts as waiting although a task of it is done, because the
/// start of that task got no answer.
#[test]
fn done_task_without_an_answered_start_has_started() {
    let policy = queue("broadcast", 1);
    let mut simulation =
        FleetSimulation::new(16, config(vec![policy.clone()], ResourceSize::ZERO), 1);
    simulation.run_ms = Some(1);
    simulation.take_over();
    simulation.run_until(simulation.now + 1000);
    simulation.faults.lost_replies = 100;
    let second = StepSpec {
        after: vec![0],
        label: Some("absent".into()),
        ..step(1)
    };

    simulation.submit(&submission("s1", &policy, vec![step(1), second]));
    simulation.run_until(simulation.now + 2000);

    assert_eq!(simulation.state_of("s1"), Some(SubmissionState::Running));
    let owner = simulation.owner.as_ref().expect("there is an owner");
    assert!(owner.waiting_counts().is_empty());
}
