//! Reports of the runs that an owner holds on silent upstreams.

use std::sync::Arc;

use lagoonnotch_fleet::model::{ResourceSize, StepSpec};
use lagoonnotch_fleet::owner::{HeldRunsRelease, LeaseTerm, ReleaseCause};

use crate::fixtures::{config, queue, step, submission};
use crate::simulation::FleetSimulation;

/// Returns a fleet of two upstreams with a long-running task, and the upstream that runs it.
fn fleet_with_long_running_task() -> (FleetSimulation, Arc<str>) {
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
    simulation.run_until(simulation.now + 500);
    let upstream = simulation.started[0].upstream.clone();
    (simulation, upstream)
}

/// Returns the upstream, number of runs, term and cause of each reported release.
fn releases(simulation: &FleetSimulation) -> Vec<(Arc<str>, usize, LeaseTerm, ReleaseCause)> {
    let summary = |release: &HeldRunsRelease| {
        let upstream = release.upstream.clone();
        (upstream, release.run_count, release.term, release.cause)
    };
    simulation.releases.iter().map(summary).collect()
}

/// Returns the number of runs that the owner counts as held.
fn held_run_count(simulation: &FleetSimulation) -> usize {
    let owner = simulation.owner.as_ref();
    owner.expect("there is an owner").held_run_count()
}

/// Guards against tasks that wait after a takeover while nothing says for which upstream and until
/// when.
#[test]
fn silent_upstream_after_takeover_is_reported_until_its_runs_are_released() {
    // Arguments: how long the runs are held, and how much of the bound on leases is left 110 ms
    // after the last commit, in milliseconds; `None` if the predecessor does not bound its leases.
    for (held_for_ms, commit_bound_ms) in [(12_426, None), (8390, Some(8390))] {
        let (mut simulation, upstream) = fleet_with_long_running_task();
        simulation.partitioned.insert(upstream.clone(), u64::MAX);
        if commit_bound_ms.is_none() {
            simulation.previous_lease_bound_ms = None;
        }

        simulation.take_over_with_overlap(3000);
        let bound_ends_at = simulation.now + held_for_ms;
        simulation.run_until(bound_ends_at - 100);
        let (held_runs, early_releases) = (held_run_count(&simulation), releases(&simulation));
        let started_early = simulation.started.len();
        simulation.run_until(bound_ends_at + 1000);

        let bound = simulation.recovery_bounds.last();
        let bound = bound.expect("the takeover is reported");
        assert_eq!((bound.generation, bound.upstream_count), (1, 2));
        assert_eq!((bound.run_count, bound.held_for_ms), (1, held_for_ms));
        assert_eq!(bound.previous_owner_active_ms, 6000);
        assert_eq!(bound.task_lease_ms, 6426);
        assert_eq!(bound.commit_bound_ms, commit_bound_ms);
        assert_eq!((bound.silent_count, bound.stored_bound_count), (0, 0));
        let [held] = &simulation.held[..] else {
            panic!("reported {:?}", simulation.held);
        };
        assert_eq!(held.upstream, upstream);
        assert_eq!((held.run_count, held.long_running_count), (1, 1));
        assert_eq!(held.silent_ms + held.held_for_ms, held_for_ms);
        assert_eq!(held.term, LeaseTerm::EarlierLeases);
        assert_eq!((held_runs, started_early), (1, 1));
        assert_eq!(early_releases, Vec::new());
        let expired = ReleaseCause::LeasesExpired;
        let released = (upstream, 1, LeaseTerm::EarlierLeases, expired);
        assert_eq!(releases(&simulation), vec![released]);
        assert_eq!(held_run_count(&simulation), 0);
        assert_eq!(simulation.started.len(), 2);
    }
}

/// Guards against reports of upstreams that answer the new owner.
#[test]
fn upstreams_that_answer_after_takeover_are_not_reported() {
    let (mut simulation, _) = fleet_with_long_running_task();

    simulation.take_over_with_overlap(3000);
    simulation.run_until(simulation.now + 20_000);

    assert_eq!(simulation.recovery_bounds.len(), 2);
    assert_eq!(simulation.held, Vec::new());
    assert_eq!(simulation.releases, Vec::new());
    assert_eq!(held_run_count(&simulation), 0);
}

/// Guards against taking the leases of the owner itself for those of earlier ones.
#[test]
fn upstream_that_falls_silent_later_is_reported_with_own_leases() {
    let (mut simulation, upstream) = fleet_with_long_running_task();

    simulation.partitioned.insert(upstream.clone(), u64::MAX);
    simulation.run_until(simulation.now + 15_000);

    let terms = simulation.held.iter().map(|held| held.term);
    assert_eq!(terms.collect::<Vec<_>>(), [LeaseTerm::OwnLeases]);
    let expired = ReleaseCause::LeasesExpired;
    let released = (upstream, 1, LeaseTerm::OwnLeases, expired);
    assert_eq!(releases(&simulation), vec![released]);
}

/// Guards against several takeovers in a row that cannot be told from one long wait: the bound that
/// the direct predecessor stored is reported as such, and any other is counted as unused.
#[test]
fn bound_of_the_roster_is_reported_only_if_it_is_used() {
    for (skipped, term) in [(0, LeaseTerm::StoredBound), (1, LeaseTerm::EarlierLeases)] {
        let (mut simulation, upstream) = fleet_with_long_running_task();
        simulation.partitioned.insert(upstream.clone(), u64::MAX);
        simulation.run_until(simulation.now + 2500);
        simulation.generation += skipped;

        simulation.take_over_with_overlap(0);
        simulation.run_until(simulation.now + 20_000);

        let bound = simulation.recovery_bounds.last();
        let bound = bound.expect("the takeover is reported");
        let stored_bounds = usize::from(term == LeaseTerm::StoredBound);
        assert_eq!(bound.silent_count, 1, "{term:?}");
        assert_eq!(bound.stored_bound_count, stored_bounds, "{term:?}");
        let terms = simulation.held.iter().map(|held| held.term);
        assert_eq!(terms.collect::<Vec<_>>(), [LeaseTerm::OwnLeases, term]);
        let released = (upstream, 1, term, ReleaseCause::LeasesExpired);
        assert_eq!(releases(&simulation), vec![released]);
    }
}

/// Guards against a release without a report when a stored bound ends before the upstream is found
/// to be silent.
#[test]
fn release_soon_after_takeover_is_reported() {
    let (mut simulation, upstream) = fleet_with_long_running_task();
    simulation.partitioned.insert(upstream.clone(), u64::MAX);
    simulation.run_until(simulation.now + 5500);
    simulation.held.clear();

    simulation.take_over();
    simulation.run_until(simulation.now + 5000);

    assert_eq!(simulation.held, Vec::new());
    let expired = ReleaseCause::LeasesExpired;
    let released = (upstream, 1, LeaseTerm::StoredBound, expired);
    assert_eq!(releases(&simulation), vec![released]);
}

/// Guards against taking an answer for an expiry: the run goes on.
#[test]
fn answer_of_a_held_upstream_is_reported_as_the_cause() {
    let (mut simulation, upstream) = fleet_with_long_running_task();
    let back_at = simulation.now + 3000;
    simulation.partitioned.insert(upstream.clone(), back_at);

    simulation.take_over_with_overlap(0);
    simulation.run_until(simulation.now + 8000);

    assert_eq!(simulation.held.len(), 1);
    let answered = ReleaseCause::Answered;
    let released = (upstream, 1, LeaseTerm::EarlierLeases, answered);
    assert_eq!(releases(&simulation), vec![released]);
    assert_eq!(simulation.started.len(), 1);
}

/// Guards against taking the answer of an upstream that crashed and is back for one of the
/// incarnation that had the runs.
#[test]
fn answer_of_another_incarnation_is_reported_as_the_cause() {
    let (mut simulation, upstream) = fleet_with_long_running_task();
    simulation.crash_upstream(&upstream);

    simulation.take_over_with_overlap(0);
    simulation.run_until(simulation.now + 8000);

    assert_eq!(simulation.held.len(), 1);
    let restarted = ReleaseCause::OtherIncarnation;
    let released = (upstream, 1, LeaseTerm::FormerOrders, restarted);
    assert_eq!(releases(&simulation), vec![released]);
    assert_eq!(simulation.started.len(), 2);
}

/// Guards against taking a departure for an expiry.
#[test]
fn departure_of_a_held_upstream_is_reported_as_the_cause() {
    let (mut simulation, upstream) = fleet_with_long_running_task();
    let draining = simulation.upstreams.get_mut(&upstream);
    draining.expect("the upstream exists").draining = true;
    simulation.run_until(simulation.now + 2000);
    simulation.partitioned.insert(upstream.clone(), u64::MAX);
    simulation.run_until(simulation.now + 2000);

    let leaving = simulation.upstreams.get_mut(&upstream);
    let leaving = leaving.expect("the upstream exists");
    leaving.runs.clear();
    leaving.unlisted = true;
    simulation.run_until(simulation.now + 1000);

    assert_eq!(simulation.held.len(), 1);
    let departed = ReleaseCause::Departed;
    let released = (upstream, 1, LeaseTerm::OwnLeases, departed);
    assert_eq!(releases(&simulation), vec![released]);
    assert_eq!(simulation.started.len(), 2);
}
