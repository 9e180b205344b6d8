//! Long-running tasks after a restart.

use lagoonnotch_fleet::model::{QueuePolicy, ResourceSize, StepSpec};
use lagoonnotch_model::SimulatedUpstream;

use crate::fixtures::{config, queue, step, submission};
use crate::simulation::FleetSimulation;

fn policy() -> QueuePolicy {
    QueuePolicy {
        max_attempts: 9,
        ..queue("ledger", 2)
    }
}

/// Guards against a long-running task that is away for longer than 9 s because its upstream ended
/// for good soon after a restart.
#[test]
fn long_running_task_is_back_in_time_after_a_restart_and_a_loss() {
    let policy = policy();
    let mut late = Vec::new();
    for pause_ms in [100, 500, 900, 1300, 1700] {
        let mut simulation =
            FleetSimulation::new(11, config(vec![policy.clone()], ResourceSize::ZERO), 1);
        simulation.take_over();
        simulation.run_until(simulation.now + 1600);
        simulation.run_ms = Some(600_000);
        let lasting = StepSpec {
            long_running: true,
            ..step(1)
        };
        simulation.submit(&submission("s1", &policy, vec![lasting]));
        simulation.run_until(simulation.now + 1500);
        simulation.restart_upstream("u0");
        while simulation.upstreams["u0"].runs.is_empty() {
            simulation.run_until(simulation.now + 5);
        }
        simulation.run_until(simulation.now + pause_ms);
        simulation.restart_upstream("u0");
        let lost_at = simulation.now;
        simulation.partitioned.insert("u0".into(), u64::MAX);
        simulation.cut_off_from_store.insert("u0".into(), lost_at);
        simulation
            .upstreams
            .insert("u1".into(), SimulatedUpstream::new("u1", 1, 1000));
        let end = lost_at + 16_000;
        while simulation.upstreams["u1"].runs.is_empty() && simulation.now < end {
            simulation.run_until(simulation.now + 5);
        }
        late.push((pause_ms, simulation.now - lost_at));
    }
    assert!(late.iter().all(|(_, away_ms)| *away_ms < 9000), "{late:?}");
}
