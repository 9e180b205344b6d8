//! Start orders without an answer, and doubts beside answered ones.

use std::collections::BTreeSet;

use lagoonnotch_fleet::model::{QueuePolicy, ResourceSize, StepSpec};
use lagoonnotch_model::SimulatedUpstream;

use crate::fixtures::{config, queue, report, step, submission};
use crate::late_orders::OrderKind;
use crate::simulation::FleetSimulation;

fn policy() -> QueuePolicy {
    QueuePolicy {
        max_attempts: 9,
        ..queue("ledger", 2)
    }
}

/// Returns a fleet whose only upstream, `u0`, has got a start order without a reply and is cut off.
fn fleet_with_deferred_start(cut_ms: u64) -> FleetSimulation {
    let policy = policy();
    let mut simulation =
        FleetSimulation::new(11, config(vec![policy.clone()], ResourceSize::ZERO), 1);
    for upstream in simulation.upstreams.values_mut() {
        upstream.clock_speed_per_mille = 980;
    }
    simulation.take_over();
    simulation.run_until(simulation.now + 1600);
    simulation.run_ms = Some(60_000);
    simulation.intercept_next("u0", OrderKind::Start);
    let long = StepSpec {
        estimate_ms: 60_000,
        ..step(1)
    };
    simulation.submit(&submission("s1", &policy, vec![long]));
    while !simulation.to_intercept.is_empty() {
        simulation.run_until(simulation.now + 5);
    }
    simulation
        .partitioned
        .insert("u0".into(), simulation.now + cut_ms);
    simulation
}

/// Guards against a deferred start that gets a lease while the store says when all leases expire.
#[test]
fn deferred_start_gets_no_lease_beyond_the_stored_bound() {
    for cut_ms in [2000, 2500, 3000, 3500, 4000, 4500, 5000] {
        let mut simulation = fleet_with_deferred_start(cut_ms);
        let end = simulation.now + 9000;
        while simulation.upstreams["u0"].runs.is_empty() && simulation.now < end {
            simulation.run_until(simulation.now + 5);
        }

        simulation.partitioned.insert("u0".into(), u64::MAX);
        let now = simulation.now;
        simulation.cut_off_from_store.insert("u0".into(), now);
        simulation
            .upstreams
            .insert("u1".into(), SimulatedUpstream::new("u1", 1, 1000));
        simulation.owner = None;
        simulation.predecessor_lost = true;
        simulation.run_until(simulation.now + 1900);
        simulation.take_over();
        simulation.run_until(simulation.now + 16_000);

        assert_eq!(simulation.violations, Vec::<String>::new(), "{cut_ms}");
    }
}

/// Guards against a deferred start that is sent after its failure domain was evacuated.
#[test]
fn deferred_start_is_not_sent_to_an_evacuated_domain() {
    let mut simulation = fleet_with_deferred_start(4000);
    simulation.run_until(simulation.now + 1200);
    let count = simulation.started.len();

    let config = simulation.config.clone();
    let domain = report("u0").failure_domain;
    if let Some(owner) = simulation.owner.as_mut() {
        owner.set_config(config, BTreeSet::from([domain]));
    }
    simulation.run_until(simulation.now + 8000);

    assert_eq!(simulation.started.len(), count);
}

/// Guards against acknowledging to another incarnation after a renewal without an answer, because a start
/// was answered between the renewal and the restart.
#[test]
fn renewal_without_answer_raises_a_doubt_although_a_start_was_answered_meanwhile() {
    let policy = policy();
    let mut simulation =
        FleetSimulation::new(11, config(vec![policy.clone()], ResourceSize::ZERO), 1);
    simulation.take_over();
    simulation.run_until(simulation.now + 1600);
    simulation.run_ms = Some(150);
    simulation.submit(&submission("s1", &policy, vec![step(3)]));
    simulation.intercept_next("u0", OrderKind::Acknowledgement);
    while !simulation.to_intercept.is_empty() {
        simulation.run_until(simulation.now + 5);
    }
    simulation.run_ms = Some(60_000);
    simulation.submit(&submission("s2", &policy, vec![step(1)]));
    let end = simulation.now + 500;
    while simulation.upstreams["u0"].runs.is_empty() {
        assert!(simulation.now < end, "no start");
        simulation.run_until(simulation.now + 5);
    }
    simulation.run_until(simulation.now + 10);

    simulation.directory_unreadable_until = simulation.now + 1400;
    simulation.restart_upstream("u0");
    simulation.run_ms = Some(150);
    simulation.intercept_next("u0", OrderKind::Start);
    simulation.submit(&submission("s3", &policy, vec![step(1)]));
    while !simulation.to_intercept.is_empty() {
        simulation.run_until(simulation.now + 5);
    }
    simulation.intercepted.remove(0);
    simulation.execute_intercepted();
    simulation.run_until(simulation.now + 8000);

    assert_eq!(simulation.violations, Vec::<String>::new());
}

/// Guards against granting by the former incarnation's clock after the same.
#[test]
fn renewal_without_answer_stops_grants_although_a_start_was_answered_meanwhile() {
    let policy = policy();
    let mut simulation =
        FleetSimulation::new(11, config(vec![policy.clone()], ResourceSize::ZERO), 1);
    for upstream in simulation.upstreams.values_mut() {
        upstream.clock_speed_per_mille = 980;
    }
    simulation.take_over();
    simulation.run_until(simulation.now + 1600);
    simulation.run_ms = Some(60_000);
    simulation.submit(&submission("s1", &policy, vec![step(1)]));
    simulation.run_until(simulation.now + 500);
    simulation.intercept_next("u0", OrderKind::Renewal);
    while !simulation.to_intercept.is_empty() {
        simulation.run_until(simulation.now + 5);
    }
    simulation.submit(&submission("s2", &policy, vec![step(1)]));
    while simulation.upstreams["u0"].runs.len() < 2 {
        simulation.run_until(simulation.now + 5);
    }
    simulation.run_until(simulation.now + 10);

    simulation.directory_unreadable_until = simulation.now + 60_000;
    simulation.restart_upstream("u0");
    simulation.intercept_next("u0", OrderKind::Start);
    simulation.submit(&submission("s3", &policy, vec![step(1)]));
    while !simulation.to_intercept.is_empty() {
        simulation.run_until(simulation.now + 5);
    }
    simulation.intercepted.remove(0);
    simulation.execute_intercepted();
    simulation.intercept_next("u0", OrderKind::Renewal);
    while !simulation.to_intercept.is_empty() {
        simulation.run_until(simulation.now + 5);
    }
    simulation.execute_intercepted();
    simulation.partitioned.insert("u0".into(), u64::MAX);
    let now = simulation.now;
    simulation.cut_off_from_store.insert("u0".into(), now);
    simulation
        .upstreams
        .insert("u1".into(), SimulatedUpstream::new("u1", 1, 1000));
    simulation.run_until(simulation.now + 16_000);

    assert_eq!(simulation.violations, Vec::<String>::new());
}

/// Guards against releasing a confirmed run that the new incarnation began on an earlier start order that got
/// no reply.
#[test]
fn run_with_two_start_orders_is_held_for_a_listed_incarnation() {
    let policy = policy();
    let mut simulation =
        FleetSimulation::new(11, config(vec![policy.clone()], ResourceSize::ZERO), 1);
    for upstream in simulation.upstreams.values_mut() {
        upstream.clock_speed_per_mille = 980;
    }
    simulation.take_over();
    simulation.run_until(simulation.now + 1600);
    simulation.run_ms = Some(60_000);
    simulation.intercept_next("u0", OrderKind::Start);
    simulation.submit(&submission("s1", &policy, vec![step(1)]));
    while simulation.upstreams["u0"].runs.is_empty() {
        simulation.run_until(simulation.now + 5);
    }
    simulation.run_until(simulation.now + 300);
    assert_eq!(simulation.started.len(), 2);
    simulation.intercept_next("u0", OrderKind::Renewal);
    while !simulation.to_intercept.is_empty() {
        simulation.run_until(simulation.now + 5);
    }
    simulation.restart_upstream("u0");
    simulation.execute_intercepted();
    assert_eq!(simulation.upstreams["u0"].runs.len(), 1);
    simulation.partitioned.insert("u0".into(), u64::MAX);
    simulation
        .upstreams
        .insert("u1".into(), SimulatedUpstream::new("u1", 1, 1000));
    simulation.run_until(simulation.now + 16_000);

    assert_eq!(simulation.violations, Vec::<String>::new());
}
