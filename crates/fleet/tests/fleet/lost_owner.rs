//! Runs on upstreams that are lost together with the owner.

use std::collections::BTreeSet;
use std::sync::Arc;

use lagoonnotch_fleet::model::{QueuePolicy, ResourceSize, StepSpec};
use lagoonnotch_fleet::owner::OwnerSettings;

use crate::fixtures::{config, queue, step, submission, ticketed_queue};
use crate::simulation::{FaultRates, FleetSimulation, RandomSource};

/// Maximum time without a run after the owner is lost, in milliseconds: hosts count as calm 3 s
/// after a disruption, and a task may then be away for the 4 s before and the 3 s in which it is
/// missed.
const RESTART_TARGET_MS: u64 = 3000 + 4000 + 3000;

/// Time from the loss of an owner until its successor has recovered, in milliseconds.
const TAKEOVER_MS: u64 = 1900;

/// Returns a fleet of three upstreams with slow clocks and a long-running submission to a queue,
/// and an upstream that runs one of its tasks.
fn fleet_with_long_running_task(policy: &QueuePolicy) -> (FleetSimulation, Arc<str>) {
    let long_running = StepSpec {
        long_running: true,
        ..step(2)
    };
    fleet_with_task(policy, long_running)
}

/// Returns a fleet of three upstreams with slow clocks and a submission of one step to a queue, and
/// an upstream that runs one of its tasks.
fn fleet_with_task(policy: &QueuePolicy, step: StepSpec) -> (FleetSimulation, Arc<str>) {
    let mut simulation =
        FleetSimulation::new(11, config(vec![policy.clone()], ResourceSize::ZERO), 3);
    for upstream in simulation.upstreams.values_mut() {
        upstream.clock_speed_per_mille = 980;
    }
    simulation.run_ms = Some(60_000);
    simulation.take_over();
    simulation.submit(&submission("s1", policy, vec![step]));
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

/// Tells the owner that no host that could succeed it reaches the store.
fn observe_outage(simulation: &mut FleetSimulation) {
    let now = simulation.now;
    let owner = simulation.owner.as_mut();
    owner.expect("there is an owner").observe_outage(now);
}

/// Lets the fleet run until the owner releases the runs of a silent upstream, and returns how many
/// starts were ordered and queries sent before.
fn run_until_release(simulation: &mut FleetSimulation) -> (usize, usize) {
    let end = simulation.now + 20_000;
    while simulation.now < end {
        let before = (simulation.started.len(), simulation.queries.len());
        simulation.run_until(simulation.now + 5);
        if !simulation.releases.is_empty() {
            return before;
        }
    }
    panic!("no runs were released");
}

/// Returns the number of runs that exist on any upstream.
fn run_count(simulation: &FleetSimulation) -> usize {
    let upstreams = simulation.upstreams.values();
    upstreams.map(|upstream| upstream.runs.len()).sum()
}

/// Guards against long-running tasks that stay away for 14 s because the times in which the lost
/// owner may have acted and in which its last leases expire add up.
#[test]
fn long_running_task_returns_after_its_upstream_and_the_owner_are_lost_together() {
    let (mut simulation, upstream) = fleet_with_long_running_task(&ticketed_queue("watch", 1));

    lose_upstream(&mut simulation, &upstream);
    simulation.run_until(simulation.now + 100);
    let lost_at = simulation.now;
    replace_lost_owner(&mut simulation);
    simulation.run_until(lost_at + RESTART_TARGET_MS);

    assert_eq!(run_count(&simulation), 2);
    assert_eq!(simulation.violations, Vec::<String>::new());
}

/// Guards against long-running tasks that wait for the policy service after their runs are
/// released, and against starting them before.
#[test]
fn long_running_task_starts_as_soon_as_its_run_is_released() {
    let (mut simulation, upstream) = fleet_with_long_running_task(&ticketed_queue("watch", 1));
    lose_upstream(&mut simulation, &upstream);
    replace_lost_owner(&mut simulation);
    simulation.started.clear();
    simulation.queries.clear();

    let (started_while_held, queried_while_held) = run_until_release(&mut simulation);
    simulation.run_until(simulation.now + 50);

    assert_eq!(run_count(&simulation), 2);
    assert_eq!((started_while_held, queried_while_held), (0, 1));
    assert_eq!(simulation.queries.len(), 1, "{:?}", simulation.queries);
    assert_eq!(simulation.violations, Vec::<String>::new());
}

/// Guards against early queries for tasks that need not be back soon: hosts are scarce.
#[test]
fn batch_task_queries_after_its_run_is_released() {
    let policy = ticketed_queue("watch", 1);
    let (mut simulation, upstream) = fleet_with_task(&policy, step(2));
    lose_upstream(&mut simulation, &upstream);
    replace_lost_owner(&mut simulation);
    simulation.started.clear();
    simulation.queries.clear();

    let (started_while_held, queried_while_held) = run_until_release(&mut simulation);
    simulation.run_until(simulation.now + 1000);

    assert_eq!((started_while_held, queried_while_held), (0, 0));
    assert_eq!(run_count(&simulation), 2);
}

/// Guards against starting a task again while the previous owner, cut off beside its upstream,
/// still renews its lease there.
#[test]
fn upstream_that_is_cut_off_with_the_previous_owner_runs_no_task_twice() {
    for seed in 0..96 {
        let mut random = RandomSource(seed);
        let policy = if seed < 48 {
            queue("watch", 1)
        } else {
            ticketed_queue("watch", 1)
        };
        let (mut simulation, upstream) = fleet_with_long_running_task(&policy);
        simulation.random = RandomSource(seed + 1000);
        simulation.faults = FaultRates {
            lost_replies: random.below(10),
            late_orders: random.below(10),
            lost_commits: random.below(20),
            ..FaultRates::default()
        };
        simulation.run_until(simulation.now + random.below(1000));

        simulation.cut_off_with_previous.insert(upstream);
        simulation.take_over_with_overlap(500 + random.below(14_000));
        simulation.run_until(simulation.now + 20_000);
        simulation.cut_off_with_previous.clear();
        simulation.run_until(simulation.now + 3000);

        assert_eq!(run_count(&simulation), 2, "seed {seed}");
        assert_eq!(simulation.violations, Vec::<String>::new(), "seed {seed}");
    }
}

/// Guards against leases that last beyond what a successor waits for, because the owner keeps
/// renewing them while its commits fail.
#[test]
fn leases_expire_after_the_last_commit_although_the_owner_renews_them() {
    let (mut simulation, upstream) = fleet_with_long_running_task(&queue("watch", 1));
    let bound_ms = OwnerSettings::default().lease_bound_ms;
    let cut_off_at = simulation.now;

    simulation.store_unavailable = true;
    simulation.run_until(cut_off_at + bound_ms - 1000);
    let runs_before = simulation.upstreams[&upstream].runs.len();
    simulation.run_until(cut_off_at + bound_ms);

    assert!(runs_before > 0);
    assert_eq!(simulation.upstreams[&upstream].runs.len(), 0);
}

/// Guards against runs that end in an outage of the store although no host can replace the owner.
#[test]
fn runs_survive_an_outage_that_every_host_observes() {
    let (mut simulation, upstream) = fleet_with_long_running_task(&queue("watch", 1));
    let settings = OwnerSettings::default();
    let began_at = simulation.now;

    simulation.store_unavailable = true;
    simulation.run_until(began_at + settings.lease_extension_delay_ms());
    observe_outage(&mut simulation);
    simulation.run_until(began_at + settings.extended_lease_bound_ms - 1000);
    let runs_before = simulation.upstreams[&upstream].runs.len();
    simulation.run_until(began_at + settings.extended_lease_bound_ms);

    assert!(runs_before > 0);
    assert_eq!(simulation.upstreams[&upstream].runs.len(), 0);
}

/// Guards against longer leases on the word of hosts that were asked too early: one of them may
/// replace the owner soon after.
#[test]
fn outage_observed_soon_after_a_commit_extends_no_lease() {
    let (mut simulation, upstream) = fleet_with_long_running_task(&queue("watch", 1));
    let settings = OwnerSettings::default();
    let began_at = simulation.now;

    simulation.store_unavailable = true;
    simulation.run_until(began_at + settings.lease_extension_delay_ms() - 500);
    observe_outage(&mut simulation);
    simulation.run_until(began_at + settings.lease_bound_ms);

    assert_eq!(simulation.upstreams[&upstream].runs.len(), 0);
}

/// Guards against starting a task again while its lease lasts that the previous owner extended.
#[test]
fn successor_after_an_outage_waits_for_extended_leases() {
    for overlap_ms in [5000, 9000, 12_000] {
        let (mut simulation, upstream) = fleet_with_long_running_task(&queue("watch", 1));
        let settings = OwnerSettings::default();

        simulation.store_unavailable = true;
        simulation.run_until(simulation.now + settings.lease_extension_delay_ms());
        observe_outage(&mut simulation);
        simulation.store_unavailable = false;
        simulation.cut_off_with_previous.insert(upstream);
        simulation.previous_lease_bound_ms = Some(settings.extended_lease_bound_ms);
        simulation.take_over_with_overlap(overlap_ms);
        simulation.run_until(simulation.now + 15_000);

        assert_eq!(run_count(&simulation), 2, "{overlap_ms}");
        assert_eq!(simulation.violations, Vec::<String>::new(), "{overlap_ms}");
    }
}

/// Guards against long-running tasks that stay away because the policy service is asked about them
/// only after the wait for the leases, and the hosts ask one query at a time.
#[test]
fn long_running_tasks_of_many_submissions_return_after_the_owner_is_lost_with_their_upstreams() {
    let policy = ticketed_queue("watch", 1);
    let mut simulation =
        FleetSimulation::new(11, config(vec![policy.clone()], ResourceSize::ZERO), 12);
    simulation.run_ms = Some(600_000);
    simulation.query_hosts = 5;
    simulation.query_ms = 740;
    simulation.take_over();
    for number in 0..8 {
        let long_running = StepSpec {
            long_running: true,
            ..step(2)
        };
        simulation.submit(&submission(
            &format!("s{number}"),
            &policy,
            vec![long_running],
        ));
    }
    simulation.run_until(simulation.now + 6000);
    let runs_before = run_count(&simulation);
    let lost: BTreeSet<_> = simulation
        .started
        .iter()
        .filter(|order| order.task.index == 0)
        .map(|order| order.upstream.clone())
        .collect();

    for upstream in &lost {
        lose_upstream(&mut simulation, upstream);
    }
    simulation.run_until(simulation.now + 100);
    let lost_at = simulation.now;
    replace_lost_owner(&mut simulation);
    simulation.run_until(lost_at + RESTART_TARGET_MS);

    assert_eq!((runs_before, run_count(&simulation)), (16, 16));
    assert_eq!(simulation.violations, Vec::<String>::new());
}

/// Guards against running a finished task again because a late successor releases every run before
/// the first list of its upstream arrives.
#[test]
fn late_successor_reads_the_lists_before_it_releases_runs() {
    let policy = queue("maps", 1);
    let mut simulation =
        FleetSimulation::new(11, config(vec![policy.clone()], ResourceSize::ZERO), 3);
    simulation.run_ms = Some(1000);
    simulation.take_over();
    simulation.submit(&submission("s1", &policy, vec![step(1)]));
    simulation.run_until(simulation.now + 300);
    let upstream = simulation.started[0].upstream.clone();

    simulation.owner = None;
    simulation.predecessor_lost = true;
    simulation.run_until(simulation.now + 9000);
    simulation
        .partitioned
        .insert(upstream, simulation.now + 500);
    simulation.take_over();
    simulation.run_until(simulation.now + 8000);

    assert_eq!(simulation.started.len(), 1);
    assert_eq!(simulation.violations, Vec::<String>::new());
}
