//! Tests of queries to the policy service, whose answer (`advice` in the log) gives a ticket for
//! each allowed upstream.

use std::collections::BTreeSet;
use std::sync::Arc;

use lagoonnotch_fleet::model::{QueuePolicy, ResourceSize, StepSpec, SubmissionState};

use crate::fixtures::{config, queue, step, submission, ticketed_queue};
use crate::simulation::FleetSimulation;

/// Guards against repeated queries when the pool is full and few upstreams are allowed: a query
/// that named only upstreams with free capacity would be repeated again and again.
#[test]
fn first_query_includes_full_upstreams() {
    let policy = ticketed_queue("imaging", 1);
    let mut simulation =
        FleetSimulation::new(1, config(vec![policy.clone()], ResourceSize::ZERO), 8);
    simulation.allowed = Some(BTreeSet::from([Arc::from("u7")]));
    simulation.take_over();
    simulation.submit(&submission("s1", &policy, vec![step(4)]));

    simulation.run_until(simulation.now + 6000);

    assert_eq!(simulation.state_of("s1"), Some(SubmissionState::Completed));
    assert_eq!(simulation.queries.first().map(|(_, named)| *named), Some(8));
    assert!(simulation.queries.len() <= 2, "{:?}", simulation.queries);
}

/// Guards against gangs whose queries about a full pool take nearly all hosts, while steps of
/// another queue have room and wait for theirs.
#[test]
fn gangs_without_room_leave_hosts_to_other_queues() {
    for query_hosts in [1, 6, 36] {
        let mut simulation = fleet_with_standing_tasks(query_hosts, 500);
        submit_gangs(&mut simulation, 60);
        for number in 0..300 {
            let id = format!("batch{number}");
            simulation.submit(&submission(&id, &batch_queue(), vec![step(1)]));
        }
        simulation.queries.clear();

        simulation.run_until(simulation.now + 4000);

        let of_batch = query_count(&simulation, "batch");
        let all = simulation.queries.len();
        assert!(
            of_batch * 5 >= all * 4,
            "{query_hosts} hosts: {of_batch} of {all}"
        );
    }
}

/// Guards against steps that all query about the same little room, of which one can use it, while
/// steps of another queue have room and wait for a host.
#[test]
fn steps_that_share_little_room_leave_hosts_to_other_queues() {
    let mut simulation = fleet_with_standing_tasks(6, 40);
    let whole = StepSpec {
        demand: ResourceSize::new(4000, 1024, 0),
        ..step(1)
    };
    simulation.upstreams.insert(
        "empty".into(),
        lagoonnotch_model::SimulatedUpstream::new("empty", 1, 1000),
    );
    simulation.run_until(simulation.now + 1500);
    for number in 0..60 {
        let id = format!("whole{number}");
        simulation.submit(&submission(&id, &gang_queue(), vec![whole.clone()]));
    }
    for number in 0..20 {
        let id = format!("batch{number}");
        simulation.submit(&submission(&id, &batch_queue(), vec![step(1)]));
    }
    simulation.queries.clear();

    simulation.run_until(simulation.now + 450);

    assert_eq!(query_count(&simulation, "whole"), 1);
    assert_eq!(query_count(&simulation, "batch"), 3);
}

/// Guards against gangs that lose their turn to later queues although the pool has room for them.
#[test]
fn gangs_with_room_query_before_later_queues() {
    let mut simulation = fleet_with_standing_tasks(6, 0);
    for number in 0..100 {
        let id = format!("batch{number}");
        simulation.submit(&submission(&id, &batch_queue(), vec![step(1)]));
    }
    submit_gangs(&mut simulation, 8);
    simulation.queries.clear();

    simulation.run_until(simulation.now + 3000);

    let completed = (0..8).filter(|number| {
        let state = simulation.state_of(&format!("gang{number}"));
        state == Some(SubmissionState::Completed)
    });
    assert_eq!(completed.count(), 8, "{:?}", simulation.queries);
}

/// Guards against hosts that stay idle because no query would bring a start: a gang that knows
/// where it may run claims room as soon as there is some.
#[test]
fn gangs_query_about_a_full_pool_while_hosts_are_free() {
    let mut simulation = fleet_with_standing_tasks(6, 500);

    submit_gangs(&mut simulation, 3);
    simulation.run_until(simulation.now + 1000);

    assert!(
        query_count(&simulation, "gang") >= 3,
        "{:?}",
        simulation.queries
    );
}

fn gang_queue() -> QueuePolicy {
    ticketed_queue("imaging", 1)
}

fn batch_queue() -> QueuePolicy {
    QueuePolicy {
        stretch: 0.0,
        objective_ms: 100,
        ..ticketed_queue("ledger", 2)
    }
}

/// Returns a fleet in which this many upstreams run a long-running task of one core, so that a task
/// of four cores does not fit; without such tasks, a fleet of 40 empty upstreams.
fn fleet_with_standing_tasks(query_hosts: u32, standing_tasks: u32) -> FleetSimulation {
    let standing = queue("watch", 0);
    let queues = vec![gang_queue(), batch_queue(), standing.clone()];
    let upstreams = standing_tasks.max(40);
    let mut simulation = FleetSimulation::new(1, config(queues, ResourceSize::ZERO), upstreams);
    simulation.query_hosts = query_hosts;
    simulation.run_ms = Some(600_000);
    simulation.take_over();
    if standing_tasks > 0 {
        let watch = StepSpec {
            long_running: true,
            max_per_upstream: 1,
            ..step(standing_tasks)
        };
        simulation.submit(&submission("watch", &standing, vec![watch]));
    }
    simulation.run_until(simulation.now + 2000);
    simulation.run_ms = Some(500);
    simulation
}

/// Submits gangs of four tasks that need a whole upstream each.
fn submit_gangs(simulation: &mut FleetSimulation, count: u32) {
    let members = StepSpec {
        gang: true,
        demand: ResourceSize::new(4000, 1024, 0),
        ..step(4)
    };
    for number in 0..count {
        let id = format!("gang{number}");
        simulation.submit(&submission(&id, &gang_queue(), vec![members.clone()]));
        simulation.run_until(simulation.now + 5);
    }
}

fn query_count(simulation: &FleetSimulation, prefix: &str) -> usize {
    let named = simulation.queries.iter();
    named.filter(|(step, _)| step.starts_with(prefix)).count()
}
