//! Tests of upstreams that are quarantined because runs failed there.

use lagoonnotch_fleet::model::{ResourceSize, StepSpec, SubmissionState};

use crate::fixtures::{config, queue, step, submission};
use crate::simulation::FleetSimulation;

/// How long the upstream fails what it starts, in milliseconds.
const TROUBLE_MS: u64 = 5000;

/// Time after the trouble by which new work must run again, in milliseconds: a submission may have
/// nothing running for 3 s, once the 4 s before are calm.
const RECOVERY_MS: u64 = 7000;

fn long_running(count: u32) -> StepSpec {
    StepSpec {
        long_running: true,
        ..step(count)
    }
}

/// Returns a fleet of one upstream of four cores with a long-running task, where every run that
/// started in the last `TROUBLE_MS` has failed. The other submissions are cancelled.
fn fleet_after_failures() -> FleetSimulation {
    let (watch, check) = (queue("watch", 1), queue("check", 0));
    let queues = vec![watch.clone(), check.clone()];
    let mut simulation = FleetSimulation::new(31, config(queues, ResourceSize::ZERO), 1);
    simulation.run_ms = Some(600_000);
    simulation.take_over();
    simulation.run_until(simulation.now + 1500);
    simulation.submit(&submission("standing", &watch, vec![long_running(1)]));
    simulation.run_until(simulation.now + 500);
    simulation.run_ms = Some(100);
    simulation.faults.failures = 100;
    let end = simulation.now + TROUBLE_MS;
    let mut submitted = Vec::new();
    while simulation.now < end {
        let id = format!("s{}", submitted.len());
        simulation.submit(&submission(&id, &check, vec![step(1)]));
        submitted.push(id);
        simulation.run_until(simulation.now + 250);
    }
    simulation.faults.failures = 0;
    for id in &submitted {
        simulation.cancel(id);
    }
    simulation
}

/// Guards against an upstream that is never used again after a quarantine, because a long-running
/// task from before the quarantine keeps it from being empty.
#[test]
fn standing_run_does_not_prolong_a_quarantine() {
    let mut simulation = fleet_after_failures();

    simulation.run_until(simulation.now + RECOVERY_MS);
    simulation.submit(&submission("last", &queue("check", 0), vec![step(1)]));
    simulation.run_until(simulation.now + 3000);

    assert_eq!(
        simulation.state_of("last"),
        Some(SubmissionState::Completed)
    );
}

/// Guards against the same when the first run after the quarantine is itself long-running and never
/// completes.
#[test]
fn long_running_probe_does_not_prolong_a_quarantine() {
    let mut simulation = fleet_after_failures();
    simulation.run_ms = Some(600_000);
    let policy = queue("watch", 1);
    simulation.submit(&submission("watch", &policy, vec![long_running(1)]));
    simulation.run_until(simulation.now + RECOVERY_MS + 3000);
    simulation.run_ms = Some(100);

    simulation.submit(&submission("last", &queue("check", 0), vec![step(1)]));
    simulation.run_until(simulation.now + 4000);

    assert_eq!(simulation.state_of("watch"), Some(SubmissionState::Running));
    assert_eq!(
        simulation.state_of("last"),
        Some(SubmissionState::Completed)
    );
}

/// Guards against feeding an upstream that still fails everything: after the first quarantines few
/// runs are started there.
#[test]
fn failing_upstream_gets_few_runs() {
    let mut simulation = fleet_after_failures();
    simulation.faults.failures = 100;
    let started = simulation.started.len();
    let policy = queue("check", 0);

    for number in 0..40 {
        simulation.submit(&submission(&format!("t{number}"), &policy, vec![step(1)]));
        simulation.run_until(simulation.now + 250);
    }

    // Each probe starts at most the four tasks that fit beside each other.
    let probes = (simulation.started.len() - started).div_ceil(4);
    assert!(probes <= 3, "{probes} probes in 10 s");
}
