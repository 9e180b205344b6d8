//! Orders without an answer, and what the owner may do until the next one.

use std::collections::BTreeSet;

use lagoonnotch_fleet::model::{QueuePolicy, ResourceSize, StepSpec};
use lagoonnotch_fleet::owner::OwnerMachine;

use crate::fixtures::{config, queue, report, step, submission};
use crate::late_orders::OrderKind;
use crate::restarted_upstreams::{add_spare_upstream, cut_off};
use crate::simulation::FleetSimulation;

fn policy() -> QueuePolicy {
    QueuePolicy {
        max_attempts: 9,
        ..queue("ledger", 2)
    }
}

/// Returns a fleet with one upstream, `u0`, that has answered the owner; the speed of its clock is in
/// thousandths.
fn fleet_of_one(policy: &QueuePolicy, clock_speed_per_mille: u64) -> FleetSimulation {
    let mut simulation =
        FleetSimulation::new(11, config(vec![policy.clone()], ResourceSize::ZERO), 1);
    for upstream in simulation.upstreams.values_mut() {
        upstream.clock_speed_per_mille = clock_speed_per_mille;
    }
    simulation.take_over();
    simulation.run_until(simulation.now + 1600);
    simulation
}

/// Lets the fleet run until every order that is to be intercepted has been.
fn wait_for_interception(simulation: &mut FleetSimulation) {
    while !simulation.to_intercept.is_empty() {
        simulation.run_until(simulation.now + 5);
    }
}

/// Returns a fleet whose only upstream, `u0`, has got a start order without a reply and is cut off.
fn fleet_with_deferred_start(cut_ms: u64) -> FleetSimulation {
    let policy = policy();
    let mut simulation = fleet_of_one(&policy, 980);
    simulation.run_ms = Some(60_000);
    simulation.intercept_next("u0", OrderKind::Start);
    let long = StepSpec {
        estimate_ms: 60_000,
        ..step(1)
    };
    simulation.submit(&submission("s1", &policy, vec![long]));
    wait_for_interception(&mut simulation);
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

        cut_off(&mut simulation);
        add_spare_upstream(&mut simulation);
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
    let mut simulation = fleet_of_one(&policy, 1000);
    simulation.run_ms = Some(150);
    simulation.submit(&submission("s1", &policy, vec![step(3)]));
    simulation.intercept_next("u0", OrderKind::Acknowledgement);
    wait_for_interception(&mut simulation);
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
    wait_for_interception(&mut simulation);
    simulation.intercepted.remove(0);
    simulation.execute_intercepted();
    simulation.run_until(simulation.now + 8000);

    assert_eq!(simulation.violations, Vec::<String>::new());
}

/// Guards against granting by the former incarnation's clock after the same.
#[test]
fn renewal_without_answer_stops_grants_although_a_start_was_answered_meanwhile() {
    let policy = policy();
    let mut simulation = fleet_of_one(&policy, 980);
    simulation.run_ms = Some(60_000);
    simulation.submit(&submission("s1", &policy, vec![step(1)]));
    simulation.run_until(simulation.now + 500);
    simulation.intercept_next("u0", OrderKind::Renewal);
    wait_for_interception(&mut simulation);
    simulation.submit(&submission("s2", &policy, vec![step(1)]));
    while simulation.upstreams["u0"].runs.len() < 2 {
        simulation.run_until(simulation.now + 5);
    }
    simulation.run_until(simulation.now + 10);

    simulation.directory_unreadable_until = simulation.now + 60_000;
    simulation.restart_upstream("u0");
    simulation.intercept_next("u0", OrderKind::Start);
    simulation.submit(&submission("s3", &policy, vec![step(1)]));
    wait_for_interception(&mut simulation);
    simulation.intercepted.remove(0);
    simulation.execute_intercepted();
    simulation.intercept_next("u0", OrderKind::Renewal);
    wait_for_interception(&mut simulation);
    simulation.execute_intercepted();
    cut_off(&mut simulation);
    add_spare_upstream(&mut simulation);
    simulation.run_until(simulation.now + 16_000);

    assert_eq!(simulation.violations, Vec::<String>::new());
}

/// Guards against releasing a confirmed run that the new incarnation began on an earlier start order that got
/// no reply.
#[test]
fn run_with_two_start_orders_is_held_for_a_listed_incarnation() {
    let policy = policy();
    let mut simulation = fleet_of_one(&policy, 980);
    simulation.run_ms = Some(60_000);
    simulation.intercept_next("u0", OrderKind::Start);
    simulation.submit(&submission("s1", &policy, vec![step(1)]));
    while simulation.upstreams["u0"].runs.is_empty() {
        simulation.run_until(simulation.now + 5);
    }
    simulation.run_until(simulation.now + 300);
    assert_eq!(simulation.started.len(), 2);
    simulation.intercept_next("u0", OrderKind::Renewal);
    wait_for_interception(&mut simulation);
    simulation.restart_upstream("u0");
    simulation.execute_intercepted();
    assert_eq!(simulation.upstreams["u0"].runs.len(), 1);
    simulation.partitioned.insert("u0".into(), u64::MAX);
    add_spare_upstream(&mut simulation);
    simulation.run_until(simulation.now + 16_000);

    assert_eq!(simulation.violations, Vec::<String>::new());
}

/// Guards against a bound that is forgotten with an upstream that the directory no longer lists.
#[test]
fn late_renewal_to_an_upstream_that_is_listed_again_extends_no_lease_beyond_the_bound() {
    let policy = policy();
    let mut simulation = fleet_of_one(&policy, 980);
    simulation.run_ms = Some(60_000);
    let long = StepSpec {
        estimate_ms: 60_000,
        ..step(1)
    };
    simulation.submit(&submission("s1", &policy, vec![long]));
    simulation.run_until(simulation.now + 1000);
    simulation.intercept_next("u0", OrderKind::Renewal);
    wait_for_interception(&mut simulation);
    let cut_at = simulation.now;
    simulation.partitioned.insert("u0".into(), cut_at + 9000);
    simulation.cut_off_from_store.insert("u0".into(), cut_at);
    simulation.run_until(cut_at + 9000);
    let count = simulation.owner.as_ref().map(OwnerMachine::upstream_count);
    assert_eq!(count, Some(0));
    simulation.restart_upstream("u0");
    simulation.execute_intercepted();
    simulation.cut_off_from_store.clear();
    let end = simulation.now + 4000;
    while simulation.upstreams["u0"].runs.is_empty() {
        assert!(simulation.now < end, "no run");
        simulation.run_until(simulation.now + 5);
    }
    cut_off(&mut simulation);
    add_spare_upstream(&mut simulation);
    simulation.run_until(simulation.now + 16_000);

    assert_eq!(simulation.violations, Vec::<String>::new());
}

/// Guards against an acknowledgement that waits for the next idle renewal after a doubt has ended.
#[test]
fn acknowledgement_is_repeated_at_once_after_a_doubt() {
    let policy = policy();
    let mut simulation = fleet_of_one(&policy, 1000);
    simulation.run_ms = Some(150);
    simulation.intercept_next("u0", OrderKind::Acknowledgement);
    simulation.submit(&submission("s1", &policy, vec![step(1)]));
    wait_for_interception(&mut simulation);

    let lost_at = simulation.now;
    while !simulation.upstreams["u0"].finished.is_empty() {
        simulation.run_until(simulation.now + 5);
    }

    let took_ms = simulation.now - lost_at;
    assert!(took_ms < 1000, "{took_ms} ms");
}
