//! Tests of what keeps tasks from upstreams: drains, evacuated failure domains, and gangs that do
//! not fit.

use std::collections::BTreeSet;
use std::sync::Arc;

use lagoonnotch_fleet::model::{ResourceSize, StepSpec, SubmissionState};

use crate::fixtures::{config, queue, step, submission};
use crate::simulation::FleetSimulation;

/// Time by which the owner has read the directory after a change, in milliseconds.
const DIRECTORY_READ_MS: u64 = 2100;

fn simulation(upstreams: u32) -> FleetSimulation {
    let mut simulation = FleetSimulation::new(
        31,
        config(vec![queue("batch", 1)], ResourceSize::ZERO),
        upstreams,
    );
    simulation.run_ms = Some(400);
    simulation.take_over();
    simulation.run_until(simulation.now + 500);
    simulation
}

/// Submits enough single tasks to keep every upstream busy.
fn submit_many(simulation: &mut FleetSimulation, prefix: &str) {
    for number in 0..40 {
        let record = submission(
            &format!("{prefix}{number}"),
            &queue("batch", 1),
            vec![step(1)],
        );
        simulation.submit(&record);
    }
}

fn set_evacuated(simulation: &mut FleetSimulation, domains: &[&str]) {
    let domains: BTreeSet<Arc<str>> = domains.iter().map(|domain| Arc::from(*domain)).collect();
    let config = simulation.config.clone();
    let owner = simulation.owner.as_mut().expect("the owner acts");
    owner.set_config(config, domains);
}

/// Guards against starts on an upstream that is about to leave.
#[test]
fn draining_upstream_gets_no_starts() {
    let mut simulation = simulation(3);
    let leaving = simulation
        .upstreams
        .get_mut("u1")
        .expect("the upstream exists");
    leaving.draining = true;
    simulation.run_until(simulation.now + DIRECTORY_READ_MS);
    simulation.started.clear();

    submit_many(&mut simulation, "s");
    simulation.run_until(simulation.now + 3000);

    let started_on: BTreeSet<&str> = simulation
        .started
        .iter()
        .map(|order| &*order.upstream)
        .collect();
    assert_eq!(started_on, BTreeSet::from(["u0", "u2"]));
}

/// Guards against starts in a failure domain that operators have taken out of service.
#[test]
fn evacuated_domain_gets_no_starts_until_it_is_back() {
    let mut simulation = simulation(3);
    set_evacuated(&mut simulation, &["west"]);
    simulation.started.clear();

    submit_many(&mut simulation, "s");
    simulation.run_until(simulation.now + 3000);
    let started_while_out = simulation.started.len();
    set_evacuated(&mut simulation, &[]);
    simulation.run_until(simulation.now + 6000);

    assert_eq!(started_while_out, 0);
    for number in 0..40 {
        let state = simulation.state_of(&format!("s{number}"));
        assert_eq!(state, Some(SubmissionState::Completed), "s{number}");
    }
}

/// Guards against starts that were planned before their failure domain was taken out of service.
#[test]
fn run_planned_before_an_evacuation_is_not_started() {
    let mut simulation = simulation(3);
    simulation.started.clear();
    let record = submission("s", &queue("batch", 1), vec![step(4)]);

    simulation.submit(&record);
    simulation.run_until(simulation.now + 5);
    set_evacuated(&mut simulation, &["west"]);
    simulation.run_until(simulation.now + 1000);

    assert_eq!(simulation.started, Vec::new());
}

/// Guards against gang members that hold capacity while there is no room for the others.
#[test]
fn gang_that_does_not_fit_starts_no_member() {
    let mut simulation = simulation(2);
    let blocker = submission("blocker", &queue("batch", 1), vec![step(1)]);
    simulation.run_ms = Some(2000);
    simulation.submit(&blocker);
    simulation.run_until(simulation.now + 500);
    simulation.run_ms = Some(400);
    simulation.started.clear();
    let gang = StepSpec {
        gang: true,
        ..step(8)
    };

    simulation.submit(&submission("gang", &queue("batch", 1), vec![gang]));
    simulation.run_until(simulation.now + 1000);
    let started_beside_blocker = simulation.started.len();
    simulation.run_until(simulation.now + 4000);

    assert_eq!(started_beside_blocker, 0);
    assert_eq!(simulation.started.len(), 8);
    assert_eq!(
        simulation.state_of("gang"),
        Some(SubmissionState::Completed)
    );
}
