//! Waits of a new owner for the leases of silent upstreams.

use lagoonnotch_fleet::model::{ResourceSize, SubmissionState};
use lagoonnotch_fleet::owner::RosterEntry;

use crate::fixtures::{config, queue, step, submission};
use crate::simulation::FleetSimulation;

/// Returns a simulation whose owner has stored that `u0`, which runs tasks, is silent.
fn simulation_with_silent_upstream() -> FleetSimulation {
    let policy = queue("ledger", 2);
    let mut simulation =
        FleetSimulation::new(3, config(vec![policy.clone()], ResourceSize::ZERO), 2);
    simulation.take_over();
    simulation.run_ms = Some(7000);
    simulation.submit(&submission("s1", &policy, vec![step(6)]));
    simulation.run_until(simulation.now + 500);
    simulation
        .partitioned
        .insert("u0".into(), simulation.now + 12_000);
    simulation.run_until(simulation.now + 2500);
    simulation
}

/// Guards against starting tasks again while their leases last because a host's wall clock jumped.
#[test]
fn wall_clock_jump_does_not_shorten_the_wait_for_leases() {
    let mut simulation = simulation_with_silent_upstream();

    simulation.wall_clock_lead_ms = 4000;
    simulation.take_over();
    simulation.run_until(simulation.now + 30_000);

    assert_eq!(simulation.violations, Vec::<String>::new());
    assert_eq!(simulation.state_of("s1"), Some(SubmissionState::Completed));
}

/// Guards against waits that end early because the bound counts from when it was made, not from
/// when it was seen.
#[test]
fn late_sighting_of_the_roster_prolongs_the_wait() {
    let mut simulation = simulation_with_silent_upstream();
    let started = simulation.started.len();

    simulation.roster_sighting_delay_ms = 1500;
    simulation.take_over();
    simulation.run_until(simulation.now + 4500);
    let started_early = simulation.started.len() - started;
    simulation.run_until(simulation.now + 25_000);

    assert_eq!(started_early, 0);
    assert_eq!(simulation.violations, Vec::<String>::new());
    assert_eq!(simulation.state_of("s1"), Some(SubmissionState::Completed));
}

/// Guards against using a bound that does not cover the leases of an owner in between, which may
/// be of an earlier version and not know the bound.
#[test]
fn bound_of_an_earlier_owner_is_not_used() {
    let mut simulation = simulation_with_silent_upstream();
    let started = simulation.started.len();

    simulation.generation += 1;
    simulation.take_over();
    simulation.run_until(simulation.now + 6000);
    let started_early = simulation.started.len() - started;
    simulation.run_until(simulation.now + 25_000);

    assert_eq!(started_early, 0);
    assert_eq!(simulation.violations, Vec::<String>::new());
    assert_eq!(simulation.state_of("s1"), Some(SubmissionState::Completed));
}

/// Guards against granting leases that a next owner of an earlier version would not wait for: the
/// roster of an earlier version says when the leases expire by a wall clock.
#[test]
fn roster_of_an_earlier_version_is_read_as_silent_without_a_bound() {
    let stored = r#"{"id": "u0", "pool": "harvest", "address": "u0", "failure_domain": "west",
        "born_unix_ms": 1, "lapses_unix_ms": 17}"#;

    let entry: RosterEntry = serde_json::from_str(stored).expect("a stored entry is readable");
    let written = serde_json::to_string(&entry).expect("an entry is serializable");

    assert!(entry.is_silent());
    assert_eq!(entry.lease_bound, None);
    assert!(!written.contains("lapses_unix_ms"));
}
