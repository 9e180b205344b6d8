//! Tests of gangs: when their members start, and what is stopped for them.

use lagoonnotch_fleet::model::{ResourceSize, StepSpec, SubmissionState};
use lagoonnotch_fleet::owner::OwnerSettings;
use lagoonnotch_model::{LoadMix, SimulationSettings};

use crate::fixtures::{config, queue, step, submission};
use crate::simulation::FleetSimulation;

fn gang(count: u32) -> StepSpec {
    StepSpec {
        gang: true,
        ..step(count)
    }
}

/// Guards against preempted tasks that start again in the room that they were stopped for, while
/// gangs wait for their tickets: they are stopped again and again, up to a third of all runs.
#[test]
fn wide_gangs_stop_few_runs() {
    let settings = SimulationSettings {
        host_count: 42,
        load_ms: 12_000,
        drain_ms: 4000,
        ..SimulationSettings::baseline(LoadMix::notice_site(), 1)
    };

    let summary = lagoonnotch_model::FleetSimulation::new(settings, OwnerSettings::default()).run();

    let stopped = summary.stopped;
    assert!(
        stopped * 20 < summary.starts,
        "{stopped} of {} runs were stopped, for {:?}",
        summary.starts,
        summary.stop_orders
    );
}

/// Guards against stopping a gang because its members on fast upstreams no longer advance while
/// they wait for the slower ones.
#[test]
fn members_that_wait_for_slower_ones_are_not_stalled() {
    let policy = queue("broadcast", 1);
    let mut simulation =
        FleetSimulation::new(12, config(vec![policy.clone()], ResourceSize::ZERO), 2);
    simulation.run_ms = Some(8000);
    simulation
        .upstreams
        .get_mut("u0")
        .expect("the upstream exists")
        .shown_percent = Some(99);
    simulation.take_over();
    let spread = StepSpec {
        max_per_upstream: 1,
        ..gang(2)
    };

    simulation.submit(&submission("g1", &policy, vec![spread]));
    simulation.run_until(simulation.now + 9000);

    assert_eq!(simulation.state_of("g1"), Some(SubmissionState::Completed));
    assert_eq!(simulation.stopped, Vec::new());
}

/// Guards against a stop order for each member of a gang that has just completed: the members end
/// together, by themselves.
#[test]
fn members_of_a_completed_gang_are_not_stopped() {
    let policy = queue("broadcast", 1);
    let mut simulation =
        FleetSimulation::new(13, config(vec![policy.clone()], ResourceSize::ZERO), 2);
    simulation.run_ms = Some(1000);
    simulation.take_over();

    simulation.submit(&submission("g1", &policy, vec![gang(8)]));
    simulation.run_until(simulation.now + 3000);

    assert_eq!(simulation.state_of("g1"), Some(SubmissionState::Completed));
    assert_eq!(simulation.stopped, Vec::new());
}
