//! Tests of gangs: when their members start, and what is stopped for them.

use lagoonnotch_fleet::model::{ResourceSize, StepSpec, SubmissionState};
use lagoonnotch_fleet::owner::OwnerSettings;
use lagoonnotch_model::{LoadMix, SimulationSettings};

use crate::fixtures::{config, queue, step, submission};
use crate::simulation::FleetSimulation;

/// Returns a simulation in which the start of the gang's member on `u1` gets no answer, so that its
/// member on `u0` waits alone.
fn simulation_with_an_absent_member(seed: u64) -> FleetSimulation {
    let policy = queue("broadcast", 1);
    let mut simulation =
        FleetSimulation::new(seed, config(vec![policy.clone()], ResourceSize::ZERO), 2);
    simulation.run_ms = Some(60_000);
    simulation
        .upstreams
        .get_mut("u0")
        .expect("the upstream exists")
        .shown_percent = Some(0);
    simulation.take_over();
    simulation.run_until(simulation.now + 1000);
    simulation
        .partitioned
        .insert("u1".into(), simulation.now + 2500);
    let spread = StepSpec {
        max_per_upstream: 1,
        ..gang(2)
    };
    simulation.submit(&submission("g1", &policy, vec![spread]));
    simulation.run_until(simulation.now + 500);
    simulation
}

fn waiting_gangs(simulation: &FleetSimulation) -> u64 {
    let owner = simulation.owner.as_ref().expect("there is an owner");
    let counts = owner.waiting_counts();
    counts.get("broadcast").copied().unwrap_or(0)
}

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

/// Guards against a gang that no longer counts as waiting although a member is absent and the others
/// wait for it.
#[test]
fn gang_with_an_absent_member_still_waits() {
    let mut simulation = simulation_with_an_absent_member(14);
    let accepted_members = simulation.upstreams["u0"].runs.len();
    let waiting_with_one_member = waiting_gangs(&simulation);
    let state_with_one_member = simulation.state_of("g1");

    simulation.run_until(simulation.now + 8000);

    assert_eq!(accepted_members, 1);
    assert_eq!(waiting_with_one_member, 1);
    assert_eq!(state_with_one_member, Some(SubmissionState::Queued));
    assert_eq!(waiting_gangs(&simulation), 0);
    assert_eq!(simulation.state_of("g1"), Some(SubmissionState::Running));
}

/// Guards against a new owner that counts such a gang as started.
#[test]
fn gang_with_an_absent_member_still_waits_after_a_takeover() {
    let mut simulation = simulation_with_an_absent_member(15);

    simulation.take_over();
    simulation.run_until(simulation.now + 300);
    let waiting_with_one_member = waiting_gangs(&simulation);
    simulation.run_until(simulation.now + 20_000);
    let waiting_with_all_members = waiting_gangs(&simulation);
    simulation.take_over();

    assert_eq!(waiting_with_one_member, 1);
    assert_eq!(waiting_with_all_members, 0);
    assert_eq!(waiting_gangs(&simulation), 0);
}
