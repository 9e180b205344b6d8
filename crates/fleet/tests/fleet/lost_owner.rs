//! Runs on upstreams that are lost together with the owner.

use std::sync::Arc;

use lagoonnotch_fleet::model::{ResourceSize, StepSpec};

use crate::fixtures::{config, step, submission, ticketed_queue};
use crate::simulation::FleetSimulation;

/// Maximum time without a run after the owner is lost, in milliseconds: hosts count as calm 3 s after
/// a disruption, and a task may then be away for the 4 s before and the 3 s in which it is missed.
const RESTART_TARGET_MS: u64 = 3000 + 4000 + 3000;

/// Time from the loss of an owner until its successor has recovered, in milliseconds.
const TAKEOVER_MS: u64 = 1900;

/// Returns a fleet of three upstreams with a long-running submission, and an upstream that runs one of
/// its tasks.
fn fleet_with_long_running_task() -> (FleetSimulation, Arc<str>) {
    let policy = ticketed_queue("watch", 1);
    let mut simulation =
        FleetSimulation::new(11, config(vec![policy.clone()], ResourceSize::ZERO), 3);
    simulation.run_ms = Some(600_000);
    simulation.take_over();
    let long_running = StepSpec {
        long_running: true,
        ..step(2)
    };
    simulation.submit(&submission("s1", &policy, vec![long_running]));
    simulation.run_until(simulation.now + 3000);
    let upstream = simulation.started[0].upstream.clone();
    (simulation, upstream)
}

/// Loses an upstream for good: its runs are gone, and nothing reaches it.
fn lose_upstream(simulation: &mut FleetSimulation, id: &Arc<str>) {
    simulation.partitioned.insert(id.clone(), u64::MAX);
    simulation
        .cut_off_from_store
        .insert(id.clone(), simulation.now);
    let lost = simulation.upstreams.get_mut(id);
    lost.expect("the upstream exists").runs.clear();
}

/// Loses the owner, which does not confirm that it stepped down, and lets another host take over.
fn replace_lost_owner(simulation: &mut FleetSimulation) {
    simulation.owner = None;
    simulation.predecessor_lost = true;
    simulation.run_until(simulation.now + TAKEOVER_MS);
    simulation.take_over();
}

/// Returns the number of runs that exist on any upstream.
fn run_count(simulation: &FleetSimulation) -> usize {
    let upstreams = simulation.upstreams.values();
    upstreams.map(|upstream| upstream.runs.len()).sum()
}

/// Guards against long-running tasks that stay away for 14 s because the times in which the lost owner
/// may have acted and in which its last leases expire add up.
#[test]
fn long_running_task_returns_after_its_upstream_and_the_owner_are_lost_together() {
    let (mut simulation, upstream) = fleet_with_long_running_task();

    lose_upstream(&mut simulation, &upstream);
    simulation.run_until(simulation.now + 100);
    let lost_at = simulation.now;
    replace_lost_owner(&mut simulation);
    simulation.run_until(lost_at + RESTART_TARGET_MS);

    assert_eq!(run_count(&simulation), 2);
    assert_eq!(simulation.violations, Vec::<String>::new());
}
