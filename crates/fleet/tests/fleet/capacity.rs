//! Tests of upstreams whose capacity shrinks and grows while they run.

use lagoonnotch_fleet::model::{ResourceSize, SubmissionState, UpstreamReport};

use crate::fixtures::{config, directory_read, queue, report, step, submission};
use crate::simulation::FleetSimulation;

/// Time after a change of the capacity by which the owner must have read it, in milliseconds.
const REPORT_DELAY_MS: u64 = 600;

/// Returns a fleet of one upstream of four cores, with a submission of ten tasks of one core.
fn busy_upstream() -> FleetSimulation {
    let policy = queue("ledger", 2);
    let mut simulation =
        FleetSimulation::new(1, config(vec![policy.clone()], ResourceSize::ZERO), 1);
    simulation.run_ms = Some(1000);
    simulation.take_over();
    simulation.run_until(simulation.now + 1500);
    simulation.submit(&submission("s1", &policy, vec![step(10)]));
    simulation
}

fn set_cores(simulation: &mut FleetSimulation, cores: u64) {
    if let Some(upstream) = simulation.upstreams.get_mut("u0") {
        upstream.capacity = ResourceSize::new(cores * 1000, 16_384, 0);
    }
}

/// Runs until the end and returns the largest number of tasks that ran at the same time.
fn peak_runs(simulation: &mut FleetSimulation, end: u64) -> usize {
    let mut peak = 0;
    while simulation.now < end {
        simulation.run_until(simulation.now + 5);
        let runs = simulation.upstreams["u0"].runs.len();
        peak = peak.max(runs);
    }
    peak
}

/// A shrunk upstream gets no start before its runs fit again; a grown one is filled.
#[test]
fn starts_follow_the_capacity() {
    let mut simulation = busy_upstream();
    simulation.run_until(simulation.now + 500);

    set_cores(&mut simulation, 2);
    simulation.run_until(simulation.now + REPORT_DELAY_MS + 1000);
    let shrunk_until = simulation.now + 1500;
    let shrunk = peak_runs(&mut simulation, shrunk_until);
    set_cores(&mut simulation, 4);
    simulation.run_until(simulation.now + 9000);

    assert_eq!(shrunk, 2);
    assert_eq!(simulation.state_of("s1"), Some(SubmissionState::Completed));
}

/// A run that is planned when the capacity shrinks must not be started any more.
#[test]
fn planned_run_is_released_if_its_upstream_has_shrunk() {
    let mut simulation = busy_upstream();
    simulation.store_unavailable = true;
    simulation.run_until(simulation.now + 100);
    set_cores(&mut simulation, 1);
    simulation.run_until(simulation.now + REPORT_DELAY_MS);
    simulation.store_unavailable = false;

    let end = simulation.now + 4000;
    let peak = peak_runs(&mut simulation, end);

    assert_eq!(peak, 1);
}

/// A new owner must not start more than fits on an upstream that shrank under its predecessor.
#[test]
fn shrunk_capacity_holds_after_a_takeover() {
    let mut simulation = busy_upstream();
    simulation.run_until(simulation.now + 500);
    set_cores(&mut simulation, 1);
    simulation.run_until(simulation.now + REPORT_DELAY_MS);

    simulation.take_over();
    let end = simulation.now + 4000;
    let peak = peak_runs(&mut simulation, end);
    simulation.run_until(simulation.now + 20_000);

    assert_eq!(peak, 1);
    assert_eq!(simulation.state_of("s1"), Some(SubmissionState::Completed));
}

/// A report that is read late must not bring back a capacity that has shrunk since.
#[test]
fn older_report_does_not_replace_a_newer_one() {
    let mut simulation = busy_upstream();
    let sized = |revision: u64, cores: u64| UpstreamReport {
        revision,
        capacity: ResourceSize::new(cores * 1000, 16_384, 0),
        ..report("u0")
    };
    simulation.run_until(simulation.now + 500);
    set_cores(&mut simulation, 1);
    simulation.run_until(simulation.now + REPORT_DELAY_MS + 1200);
    let newest = simulation.now / 1500;
    let now = simulation.now;

    if let Some(owner) = &mut simulation.owner {
        owner.set_directory(
            now,
            directory_read(now, vec![sized((newest - 1) * 1500, 4)]),
        );
    }
    let end = simulation.now + 200;
    let peak = peak_runs(&mut simulation, end);

    assert!(peak <= 1, "{peak} runs");
}
