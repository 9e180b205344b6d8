//! Tests of what the owner concludes from an upstream's list of runs.

use lagoonnotch_fleet::model::{ResourceSize, SubmissionState};

use crate::fixtures::{config, queue, step, submission};
use crate::simulation::FleetSimulation;

/// Returns a fleet of one upstream that lists at most two finished runs at a time, where four runs
/// are about to finish while the store is unavailable.
fn fleet_with_truncated_lists() -> FleetSimulation {
    let policy = queue("ledger", 2);
    let mut simulation =
        FleetSimulation::new(21, config(vec![policy.clone()], ResourceSize::ZERO), 1);
    simulation.run_ms = Some(1000);
    if let Some(upstream) = simulation.upstreams.get_mut("u0") {
        upstream.max_listed_finished = 2;
    }
    simulation.take_over();
    simulation.run_until(simulation.now + 1500);
    simulation.submit(&submission("s1", &policy, vec![step(4)]));
    simulation.run_until(simulation.now + 500);
    simulation.store_unavailable = true;
    simulation.run_until(simulation.now + 2500);
    simulation
}

/// Guards against starting a finished task again: a run that finished beyond the end of a truncated
/// list is listed neither as running nor as finished.
#[test]
fn run_beyond_the_end_of_a_truncated_list_is_not_released() {
    let mut simulation = fleet_with_truncated_lists();

    simulation.store_unavailable = false;
    simulation.run_until(simulation.now + 6000);

    assert_eq!(simulation.started.len(), 4);
    assert_eq!(simulation.violations, Vec::<String>::new());
    assert_eq!(simulation.state_of("s1"), Some(SubmissionState::Completed));
}

/// Guards against the same after a takeover: the first list that a new owner receives is truncated.
#[test]
fn truncated_first_list_does_not_release_restored_runs() {
    let mut simulation = fleet_with_truncated_lists();

    simulation.take_over();
    simulation.run_until(simulation.now + 1000);
    simulation.store_unavailable = false;
    simulation.run_until(simulation.now + 6000);

    assert_eq!(simulation.started.len(), 4);
    assert_eq!(simulation.violations, Vec::<String>::new());
    assert_eq!(simulation.state_of("s1"), Some(SubmissionState::Completed));
}
