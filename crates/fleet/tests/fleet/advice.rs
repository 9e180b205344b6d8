//! Tests of queries to the policy service, whose answer (`advice` in the log) gives a ticket for
//! each allowed upstream.

use std::collections::BTreeSet;
use std::sync::Arc;

use lagoonnotch_fleet::model::{ResourceSize, SubmissionState};

use crate::fixtures::{config, step, submission, ticketed_queue};
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
