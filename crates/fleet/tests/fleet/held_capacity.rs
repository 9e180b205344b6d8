//! Tests of capacity that is held for waiting tasks: none is held for tasks that would not start if
//! it became free.

use std::sync::Arc;

use lagoonnotch_fleet::model::{
    ApprovedConfig, QueuePolicy, ResourceSize, StepSpec, SubmissionRecord, SubmissionState,
};

use crate::fixtures::{config, queue, step, submission, ticketed_queue};
use crate::simulation::FleetSimulation;

/// Time within which work must start for which there is capacity, in milliseconds: a submission may
/// have nothing running for 3 s.
const START_LIMIT_MS: u64 = 3000;

/// Returns an upper limit on cores.
fn cores(count: u64) -> ResourceSize {
    ResourceSize::new(count * 1000, 0, 0)
}

/// Returns a step of `count` tasks of this many cores.
fn sized_step(count: u32, cores: u64) -> StepSpec {
    StepSpec {
        demand: ResourceSize::new(cores * 1000, 1024, 0),
        ..step(count)
    }
}

fn long_running(spec: StepSpec) -> StepSpec {
    StepSpec {
        long_running: true,
        ..spec
    }
}

/// Returns a submission of another team, which has no upper limit.
fn unlimited(id: &str, queue: &QueuePolicy, spec: StepSpec) -> Arc<SubmissionRecord> {
    let record = submission(id, queue, vec![spec]);
    Arc::new(SubmissionRecord {
        team: Some("unlimited".into()),
        ..(*record).clone()
    })
}

/// Returns a fleet whose owner has met all upstreams; runs take 20 s.
fn fleet(config: Arc<ApprovedConfig>, upstreams: u32) -> FleetSimulation {
    let mut simulation = FleetSimulation::new(31, config, upstreams);
    simulation.run_ms = Some(20_000);
    simulation.take_over();
    simulation.run_until(simulation.now + 1500);
    simulation
}

/// Guards against idle upstreams that are held for long-running tasks which their team's upper
/// limit keeps from starting: other teams' work waited until they had started.
#[test]
fn team_at_its_limit_holds_no_capacity() {
    let (watch, batch) = (queue("watch", 1), queue("ledger", 2));
    let mut simulation = fleet(config(vec![watch.clone(), batch.clone()], cores(2)), 2);
    let wide = long_running(step(10));
    simulation.submit(&submission("standing", &watch, vec![wide]));
    simulation.run_until(simulation.now + 1000);

    simulation.submit(&unlimited("s1", &batch, step(1)));
    simulation.run_until(simulation.now + START_LIMIT_MS);

    assert_eq!(simulation.state_of("s1"), Some(SubmissionState::Running));
    assert_eq!(simulation.running(), ResourceSize::new(3000, 3072, 0));
}

/// Guards against capacity that is held for each of several steps, when their team's upper limit
/// lets only one of them start.
#[test]
fn steps_of_a_team_hold_capacity_for_its_headroom_only_once() {
    let (watch, check) = (queue("watch", 1), queue("check", 0));
    let queues = vec![watch.clone(), check.clone()];
    let mut simulation = fleet(config(queues, cores(3)), 2);
    simulation.submit(&unlimited("full", &check, sized_step(2, 3)));
    simulation.run_until(simulation.now + 500);
    for number in 0..2 {
        let standing = long_running(sized_step(1, 3));
        let record = submission(&format!("standing{number}"), &watch, vec![standing]);
        simulation.submit(&record);
    }
    simulation.run_until(simulation.now + 500);

    simulation.submit(&unlimited("s1", &watch, step(1)));
    simulation.run_until(simulation.now + START_LIMIT_MS);

    assert_eq!(simulation.state_of("s1"), Some(SubmissionState::Running));
}

/// Guards against capacity that is held on an upstream where long-running tasks leave too little,
/// so that it never becomes free.
#[test]
fn capacity_beside_long_running_tasks_is_not_held_for_one_that_does_not_fit() {
    let (watch, batch) = (queue("watch", 1), queue("ledger", 2));
    let queues = vec![watch.clone(), batch.clone()];
    let mut simulation = fleet(config(queues, ResourceSize::ZERO), 1);
    simulation.run_ms = Some(600_000);
    let first = long_running(sized_step(1, 3));
    simulation.submit(&submission("first", &watch, vec![first]));
    simulation.run_until(simulation.now + 500);
    let second = long_running(sized_step(1, 2));
    simulation.submit(&submission("second", &watch, vec![second]));
    simulation.run_until(simulation.now + 500);

    simulation.submit(&submission("s1", &batch, vec![step(1)]));
    simulation.run_until(simulation.now + START_LIMIT_MS);

    assert_eq!(simulation.state_of("s1"), Some(SubmissionState::Running));
}

/// Guards against capacity that is held while the policy service is out, for long-running tasks
/// that cannot get tickets.
#[test]
fn step_without_tickets_holds_no_capacity_while_the_policy_service_is_out() {
    let (watch, batch) = (ticketed_queue("watch", 1), queue("ledger", 2));
    let queues = vec![watch.clone(), batch.clone()];
    let mut simulation = fleet(config(queues, ResourceSize::ZERO), 2);
    simulation.faults.failed_queries = 100;
    let wide = long_running(sized_step(2, 4));
    simulation.submit(&submission("standing", &watch, vec![wide]));
    simulation.run_until(simulation.now + 1000);

    simulation.submit(&submission("s1", &batch, vec![step(1)]));
    simulation.run_until(simulation.now + START_LIMIT_MS);
    let state_while_out = simulation.state_of("s1");
    simulation.faults.failed_queries = 0;
    simulation.run_until(simulation.now + START_LIMIT_MS);

    assert_eq!(state_while_out, Some(SubmissionState::Running));
    let state_after = simulation.state_of("standing");
    assert_eq!(state_after, Some(SubmissionState::Running));
}

/// Guards against steps at their team's upper limit that use up a pass's searches for runs to stop,
/// so that another team's long-running task waits behind batch tasks.
#[test]
fn team_at_its_limit_uses_up_no_searches_for_runs_to_stop() {
    let (watch, batch) = (queue("watch", 1), queue("ledger", 2));
    let queues = vec![watch.clone(), batch.clone()];
    let mut simulation = fleet(config(queues, cores(1)), 1);
    let checkpointing = StepSpec {
        checkpointing: true,
        ..step(4)
    };
    let first = long_running(step(1));
    simulation.submit(&submission("first", &watch, vec![first]));
    simulation.run_until(simulation.now + 500);
    simulation.submit(&unlimited("batch", &batch, checkpointing));
    simulation.run_until(simulation.now + 500);
    for number in 0..200 {
        let standing = long_running(step(1));
        let record = submission(&format!("waiting{number}"), &watch, vec![standing]);
        simulation.submit(&record);
    }
    simulation.run_until(simulation.now + 500);

    simulation.submit(&unlimited("last", &watch, long_running(step(1))));
    simulation.run_until(simulation.now + START_LIMIT_MS);

    assert_eq!(simulation.state_of("last"), Some(SubmissionState::Running));
}

/// Guards against stopping runs for tasks that their team's upper limit keeps from starting, while
/// the runs stopped for the others take long to end.
#[test]
fn runs_are_stopped_only_for_tasks_that_the_limit_allows() {
    let (check, batch) = (queue("check", 0), queue("ledger", 2));
    let queues = vec![check.clone(), batch.clone()];
    let mut simulation = fleet(config(queues, cores(1)), 3);
    for upstream in simulation.upstreams.values_mut() {
        upstream.stop_duration_ms = 400;
    }
    simulation.submit(&unlimited("batch", &batch, step(12)));
    simulation.run_until(simulation.now + 500);

    simulation.submit(&submission("urgent", &check, vec![step(8)]));
    simulation.run_until(simulation.now + 1500);

    assert_eq!(simulation.stopped.len(), 1);
}
