//! Departures of draining upstreams around a takeover.

use std::sync::Arc;

use lagoonnotch_fleet::model::{ResourceSize, StepSpec};
use lagoonnotch_fleet::owner::DepartedUpstream;

use crate::fixtures::{config, queue, step, submission};
use crate::simulation::FleetSimulation;

/// Returns a fleet of two upstreams with a long-running submission, and the upstream that runs it
/// and drains.
fn fleet_with_draining_upstream() -> (FleetSimulation, Arc<str>) {
    let policy = queue("watch", 1);
    let mut simulation =
        FleetSimulation::new(11, config(vec![policy.clone()], ResourceSize::ZERO), 2);
    simulation.run_ms = Some(60_000);
    simulation.take_over();
    let long_running = StepSpec {
        long_running: true,
        ..step(1)
    };
    simulation.submit(&submission("s1", &policy, vec![long_running]));
    simulation.run_until(simulation.now + 200);
    let upstream = simulation.started[0].upstream.clone();
    let draining = simulation.upstreams.get_mut(&upstream);
    draining.expect("the upstream exists").draining = true;
    simulation.run_until(simulation.now + 2500);
    (simulation, upstream)
}

/// Makes an upstream leave: it has no runs and no directory entry any more, and does not answer.
fn leave(simulation: &mut FleetSimulation, upstream: &Arc<str>) {
    simulation.partitioned.insert(upstream.clone(), u64::MAX);
    let left = simulation.upstreams.get_mut(upstream);
    let left = left.expect("the upstream exists");
    left.runs.clear();
    left.unlisted = true;
}

/// Guards against long-running tasks that are away for over 12 s because their upstream drained and
/// left while no owner read the directory.
#[test]
fn tasks_of_upstream_that_left_before_the_takeover_are_rescheduled_at_once() {
    let (mut simulation, upstream) = fleet_with_draining_upstream();
    leave(&mut simulation, &upstream);
    let started = simulation.started.len();

    simulation.departed = vec![DepartedUpstream {
        id: upstream,
        max_report_age_ms: 2000,
    }];
    simulation.take_over_with_overlap(3000);
    simulation.run_until(simulation.now + 1000);

    assert!(simulation.started.len() > started);
    assert!(simulation.crashes.is_empty());
    assert_eq!(simulation.violations, Vec::<String>::new());
}

/// Guards against the same for an upstream that leaves soon after the takeover, when the new owner
/// has not seen a report being written.
#[test]
fn tasks_of_upstream_that_leaves_after_the_takeover_are_rescheduled_at_once() {
    let (mut simulation, upstream) = fleet_with_draining_upstream();
    simulation.report_age_error_ms = Some(500);
    let started = simulation.started.len();

    simulation.take_over();
    simulation.run_until(simulation.now + 300);
    leave(&mut simulation, &upstream);
    simulation.run_until(simulation.now + 1000);

    assert!(simulation.started.len() > started);
    assert_eq!(simulation.violations, Vec::<String>::new());
}

/// Guards against taking an expired entry for a departure after a takeover because the time of the
/// last report is known.
#[test]
fn cut_off_upstream_with_known_report_age_keeps_its_runs_across_takeover() {
    for delay in (0..4500).step_by(300) {
        let (mut simulation, upstream) = fleet_with_draining_upstream();
        simulation.report_age_error_ms = Some(0);
        let cut_off_at = simulation.now;
        simulation.cut_off_from_store.insert(upstream, cut_off_at);
        simulation.run_until(cut_off_at + delay);

        simulation.take_over();
        simulation.run_until(cut_off_at + 9000);

        assert_eq!(simulation.violations, Vec::<String>::new(), "{delay} ms");
        assert_eq!(simulation.started.len(), 1, "{delay} ms");
    }
}
