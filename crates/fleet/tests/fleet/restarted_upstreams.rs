//! Upstreams that restart under their identifiers, and orders meant for their former incarnations.

use lagoonnotch_fleet::model::{QueuePolicy, ResourceSize, StepSpec, SubmissionState, TaskName};
use lagoonnotch_model::SimulatedUpstream;

use crate::fixtures::{config, queue, step, submission, ticketed_queue};
use crate::late_orders::OrderKind;
use crate::simulation::FleetSimulation;

/// Time from the loss of an owner until its successor has recovered, in milliseconds.
const TAKEOVER_MS: u64 = 1900;

/// Duration of a long task, in milliseconds.
const LONG_RUN_MS: u64 = 60_000;

/// Time within which tasks run again after a restart or a loss, in milliseconds.
pub(crate) const RESTART_LIMIT_MS: u64 = 16_000;

/// Returns a fleet with one upstream, `u0`, whose clock is slow and which has answered the owner.
fn fleet_of_one(policy: &QueuePolicy) -> FleetSimulation {
    let mut simulation =
        FleetSimulation::new(11, config(vec![policy.clone()], ResourceSize::ZERO), 1);
    slow_down_clock(&mut simulation);
    simulation.take_over();
    simulation.run_until(simulation.now + 1600);
    simulation
}

/// Returns a queue that retries tasks often, so that crashes of their upstreams fail no submission.
fn patient_queue() -> QueuePolicy {
    QueuePolicy {
        max_attempts: 9,
        ..queue("ledger", 2)
    }
}

/// Returns a step of one task that takes a minute.
fn long_step() -> StepSpec {
    StepSpec {
        estimate_ms: LONG_RUN_MS,
        ..step(1)
    }
}

/// Returns a fleet with one upstream, `u0`, that runs a long task.
fn fleet_with_long_task(policy: &QueuePolicy) -> FleetSimulation {
    let mut simulation = fleet_of_one(policy);
    simulation.run_ms = Some(LONG_RUN_MS);
    simulation.submit(&submission("s1", policy, vec![long_step()]));
    wait_for(&mut simulation, |simulation| {
        run_count(simulation, "u0") == 1
    });
    simulation.run_until(simulation.now + 1000);
    simulation
}

fn slow_down_clock(simulation: &mut FleetSimulation) {
    for upstream in simulation.upstreams.values_mut() {
        upstream.clock_speed_per_mille = 980;
    }
}

/// Lets the fleet run until a condition holds.
fn wait_for(simulation: &mut FleetSimulation, condition: impl Fn(&FleetSimulation) -> bool) {
    let end = simulation.now + RESTART_LIMIT_MS;
    while !condition(simulation) {
        assert!(simulation.now < end, "the condition does not hold in time");
        simulation.run_until(simulation.now + 5);
    }
}

pub(crate) fn run_count(simulation: &FleetSimulation, id: &str) -> usize {
    simulation.upstreams[id].runs.len()
}

/// Adds `u1`, another upstream without runs.
pub(crate) fn add_spare_upstream(simulation: &mut FleetSimulation) {
    let spare = SimulatedUpstream::new("u1", 1, 1000);
    simulation.upstreams.insert("u1".into(), spare);
}

/// Cuts `u0`, which runs on, off for good.
pub(crate) fn cut_off(simulation: &mut FleetSimulation) {
    simulation.partitioned.insert("u0".into(), u64::MAX);
    let now = simulation.now;
    simulation.cut_off_from_store.insert("u0".into(), now);
}

/// Restarts `u0` while an order is on its way there that gets no reply.
fn restart_during(simulation: &mut FleetSimulation, kind: OrderKind) {
    simulation.intercept_next("u0", kind);
    wait_for(simulation, |simulation| simulation.to_intercept.is_empty());
    simulation.restart_upstream("u0");
}

/// Hides the new incarnation from the directory, which shows it only after its first report.
fn hide_restart(simulation: &mut FleetSimulation) {
    simulation.directory_unreadable_until = simulation.now + 1400;
}

/// Cuts `u0` off and checks that its tasks run on another upstream, but not before they have ended.
pub(crate) fn assert_tasks_move_after_cut(simulation: &mut FleetSimulation) {
    cut_off(simulation);
    add_spare_upstream(simulation);
    let tasks = tasks_on(simulation, "u0");
    simulation.run_until(simulation.now + RESTART_LIMIT_MS);

    assert_eq!(simulation.violations, Vec::<String>::new());
    assert_eq!(tasks_on(simulation, "u1"), tasks);
}

fn tasks_on(simulation: &FleetSimulation, id: &str) -> Vec<TaskName> {
    simulation.upstreams[id].runs.keys().cloned().collect()
}

/// Loses the owner, which does not confirm that it stepped down, and lets another host take over.
pub(crate) fn replace_lost_owner(simulation: &mut FleetSimulation) {
    simulation.owner = None;
    simulation.predecessor_lost = true;
    simulation.run_until(simulation.now + TAKEOVER_MS);
    simulation.take_over();
}

/// Guards against a longer lease than the owner counts: a renewal with the former incarnation's
/// clock reaches the new one.
#[test]
fn renewal_after_restart_extends_no_lease_beyond_the_bound() {
    let mut simulation = fleet_with_long_task(&patient_queue());

    restart_during(&mut simulation, OrderKind::Renewal);
    wait_for(&mut simulation, |simulation| {
        run_count(simulation, "u0") == 1
    });

    assert_tasks_move_after_cut(&mut simulation);
}

/// Guards against the same for a start order that is repeated because it got no reply.
#[test]
fn start_repeated_after_restart_extends_no_lease_beyond_the_bound() {
    let policy = patient_queue();
    let mut simulation = fleet_of_one(&policy);
    simulation.run_ms = Some(LONG_RUN_MS);

    hide_restart(&mut simulation);
    simulation.submit(&submission("s1", &policy, vec![long_step()]));
    restart_during(&mut simulation, OrderKind::Start);
    simulation.intercept_next("u0", OrderKind::Renewal);
    wait_for(&mut simulation, |simulation| {
        run_count(simulation, "u0") == 1
    });

    assert_tasks_move_after_cut(&mut simulation);
}

/// Guards against the same for a start order that is rejected: its deadline counts all the same.
#[test]
fn start_rejected_after_restart_extends_no_lease_beyond_the_bound() {
    let policy = ticketed_queue("ledger", 2);
    let mut simulation = fleet_of_one(&policy);
    simulation.run_ms = Some(LONG_RUN_MS);

    hide_restart(&mut simulation);
    simulation.submit(&submission("s1", &policy, vec![long_step()]));
    restart_during(&mut simulation, OrderKind::Start);
    simulation.intercept_next("u0", OrderKind::Renewal);
    wait_for(&mut simulation, |simulation| {
        run_count(simulation, "u0") == 1
    });

    assert_tasks_move_after_cut(&mut simulation);
}

/// Guards against a successor whose bound does not cover the leases of the new incarnation.
#[test]
fn successor_waits_for_leases_that_were_extended_after_a_restart() {
    let mut simulation = fleet_with_long_task(&patient_queue());

    restart_during(&mut simulation, OrderKind::Renewal);
    wait_for(&mut simulation, |simulation| {
        run_count(simulation, "u0") == 1
    });
    cut_off(&mut simulation);
    add_spare_upstream(&mut simulation);
    replace_lost_owner(&mut simulation);
    simulation.run_until(simulation.now + RESTART_LIMIT_MS);

    assert_eq!(simulation.violations, Vec::<String>::new());
    assert_eq!(run_count(&simulation, "u1"), 1);
}

/// Guards against finished runs of the new incarnation that are forgotten by the number that the
/// owner has acknowledged to the former one.
#[test]
fn next_renewal_after_restart_forgets_no_finished_run() {
    let policy = patient_queue();
    let mut simulation = fleet_of_one(&policy);
    simulation.run_ms = Some(150);
    simulation.submit(&submission("s1", &policy, vec![step(3)]));
    simulation.run_until(simulation.now + 1000);

    hide_restart(&mut simulation);
    restart_during(&mut simulation, OrderKind::Renewal);
    simulation.submit(&submission("s2", &policy, vec![step(1)]));
    simulation.run_until(simulation.now + RESTART_LIMIT_MS);

    assert_eq!(simulation.violations, Vec::<String>::new());
    assert_eq!(simulation.state_of("s2"), Some(SubmissionState::Completed));
}

/// Guards against the same by a renewal that is executed seconds late.
#[test]
fn late_renewal_after_restart_forgets_no_finished_run() {
    let policy = patient_queue();
    let mut simulation = fleet_of_one(&policy);
    simulation.run_ms = Some(150);
    simulation.submit(&submission("s1", &policy, vec![step(3)]));

    restart_during(&mut simulation, OrderKind::Acknowledgement);
    simulation.run_until(simulation.now + 4000);
    simulation.submit(&submission("s2", &policy, vec![step(1)]));
    wait_for(&mut simulation, |simulation| {
        !simulation.upstreams["u0"].finished.is_empty()
    });
    simulation.execute_intercepted();
    simulation.run_until(simulation.now + RESTART_LIMIT_MS);

    assert_eq!(simulation.violations, Vec::<String>::new());
    assert_eq!(simulation.state_of("s2"), Some(SubmissionState::Completed));
}

/// Guards against the same by a renewal that is on its way during the restart and has nothing new
/// to acknowledge.
#[test]
fn renewal_during_restart_forgets_no_finished_run() {
    let policy = patient_queue();
    let mut simulation = fleet_of_one(&policy);
    simulation.run_ms = Some(150);
    simulation.submit(&submission("s1", &policy, vec![step(3)]));
    simulation.run_until(simulation.now + 3000);

    hide_restart(&mut simulation);
    restart_during(&mut simulation, OrderKind::Renewal);
    simulation.submit(&submission("s2", &policy, vec![step(1)]));
    wait_for(&mut simulation, |simulation| {
        !simulation.upstreams["u0"].finished.is_empty()
    });
    simulation.execute_intercepted();
    simulation.run_until(simulation.now + RESTART_LIMIT_MS);

    assert_eq!(simulation.violations, Vec::<String>::new());
    assert_eq!(simulation.state_of("s2"), Some(SubmissionState::Completed));
}

/// Guards against a longer lease than the owner counts: a renewal for the former incarnation is
/// executed after the new one has answered.
#[test]
fn late_renewal_after_restart_extends_no_lease_beyond_the_bound() {
    let mut simulation = fleet_with_long_task(&patient_queue());

    restart_during(&mut simulation, OrderKind::Renewal);
    simulation.run_until(simulation.now + 7000);
    let tasks = run_count(&simulation, "u0");
    simulation.execute_intercepted();

    assert_eq!(tasks, 1);
    assert_tasks_move_after_cut(&mut simulation);
}

/// Starts a task on `u0` by an order that is executed late, restarts `u0`, and lets the task start
/// on
/// `u1`.
fn fleet_with_late_start(run_ms: u64) -> FleetSimulation {
    let policy = patient_queue();
    let mut simulation = fleet_of_one(&policy);
    simulation.run_ms = Some(LONG_RUN_MS);
    simulation.intercept_next("u0", OrderKind::Start);
    simulation.submit(&submission("s1", &policy, vec![long_step()]));
    wait_for(&mut simulation, |simulation| {
        run_count(simulation, "u0") == 1
    });
    simulation.run_until(simulation.now + 1000);

    add_spare_upstream(&mut simulation);
    simulation.run_until(simulation.now + 1000);
    simulation.run_ms = Some(run_ms);
    simulation.restart_upstream("u0");
    let restarted = simulation.upstreams.get_mut("u0");
    restarted.expect("the upstream exists").capacity = ResourceSize::ZERO;
    wait_for(&mut simulation, |simulation| {
        !simulation.restarts.is_empty() && run_count(simulation, "u1") == 1
    });
    simulation
}

/// Guards against a start for the former incarnation that the new one executes while the task runs
/// elsewhere.
#[test]
fn late_start_after_restart_runs_no_task_beside_another_run() {
    let mut simulation = fleet_with_late_start(60_000);

    simulation.run_until(simulation.now + 2000);
    simulation.execute_intercepted();
    simulation.run_until(simulation.now + RESTART_LIMIT_MS);

    assert_eq!(simulation.violations, Vec::<String>::new());
    assert_eq!(run_count(&simulation, "u1"), 1);
}

/// Guards against the same after the task is done.
#[test]
fn late_start_after_restart_runs_no_task_again() {
    let mut simulation = fleet_with_late_start(500);

    simulation.run_until(simulation.now + 3000);
    let state = simulation.state_of("s1");
    simulation.execute_intercepted();
    simulation.run_until(simulation.now + RESTART_LIMIT_MS);

    assert_eq!(state, Some(SubmissionState::Completed));
    assert_eq!(simulation.violations, Vec::<String>::new());
}

/// Guards against a bound that holds for the first restart alone.
#[test]
fn second_restart_extends_no_lease_beyond_the_bound() {
    let policy = patient_queue();
    for pause_ms in [100, 600, 1200, 2000, 3000] {
        let mut simulation = fleet_with_long_task(&policy);

        restart_during(&mut simulation, OrderKind::Renewal);
        simulation.run_until(simulation.now + pause_ms);
        restart_during(&mut simulation, OrderKind::Renewal);
        simulation.cancel("s1");
        simulation.submit(&submission("s2", &policy, vec![long_step()]));
        wait_for(&mut simulation, |simulation| {
            run_count(simulation, "u0") == 1
        });

        assert_tasks_move_after_cut(&mut simulation);
    }
}

/// Guards against tasks that run twice because the restart and the new bound cannot be stored.
#[test]
fn restart_beside_an_outage_of_the_store_extends_no_lease_beyond_the_bound() {
    for outage_ms in [1500, 3000, 5000] {
        let mut simulation = fleet_with_long_task(&patient_queue());
        simulation.store_unavailable = true;
        simulation.run_until(simulation.now + 500);

        restart_during(&mut simulation, OrderKind::Renewal);
        simulation.run_until(simulation.now + outage_ms);
        simulation.store_unavailable = false;
        wait_for(&mut simulation, |simulation| {
            run_count(simulation, "u0") == 1
        });

        assert_tasks_move_after_cut(&mut simulation);
    }
}

/// Returns a fleet whose start order for `s1` gets no answer before `u0` is cut off, and the time
/// at which
/// `u0` is back.
fn fleet_with_unanswered_start(cut_ms: u64) -> (FleetSimulation, u64) {
    let policy = patient_queue();
    let mut simulation = fleet_of_one(&policy);
    simulation.run_ms = Some(LONG_RUN_MS);
    simulation.submit(&submission("s0", &policy, vec![long_step()]));
    simulation.run_until(simulation.now + 500);
    simulation.submit(&submission("s1", &policy, vec![long_step()]));
    simulation.intercept_next("u0", OrderKind::Start);
    wait_for(&mut simulation, |simulation| {
        simulation.to_intercept.is_empty()
    });
    let back_at = simulation.now + cut_ms;
    simulation.partitioned.insert("u0".into(), back_at);
    (simulation, back_at)
}

/// Returns the number of start orders for `s1` with the first attempt number.
fn first_attempt_orders(simulation: &FleetSimulation) -> usize {
    let sent = simulation.started.iter();
    sent.filter(|order| &*order.task.submission == "s1" && order.attempt == 1)
        .count()
}

/// Guards against granting a lease by a repeated start while the store still bounds the leases of
/// the upstream as those of a silent one.
#[test]
fn start_is_not_repeated_on_an_upstream_that_was_recorded_as_silent() {
    let (mut simulation, back_at) = fleet_with_unanswered_start(3500);

    simulation.run_until(back_at);
    let before = first_attempt_orders(&simulation);
    simulation.run_until(back_at + 2000);

    assert_eq!(first_attempt_orders(&simulation), before);
    assert_eq!(run_count(&simulation, "u0"), 2);
}

/// Guards against a repeated start in a failure domain that was taken out of service meanwhile.
#[test]
fn start_is_not_repeated_in_an_evacuated_domain() {
    let (mut simulation, back_at) = fleet_with_unanswered_start(1000);

    simulation.run_until(back_at - 10);
    let before = first_attempt_orders(&simulation);
    let approved = simulation.config.clone();
    let evacuated = ["west".into()].into();
    let owner = simulation.owner.as_mut().expect("an owner");
    owner.set_config(approved, evacuated);
    simulation.run_until(back_at + 2000);

    assert_eq!(first_attempt_orders(&simulation), before);
    assert_eq!(run_count(&simulation, "u0"), 1);
}

/// Restarts `u0` unnoticed, and has the new incarnation execute the first start order of a task.
pub(crate) fn fleet_with_start_after_restart(answered: bool) -> FleetSimulation {
    let policy = patient_queue();
    let mut simulation = fleet_of_one(&policy);
    simulation.run_ms = Some(LONG_RUN_MS);
    hide_restart(&mut simulation);
    simulation.intercept_next("u0", OrderKind::Renewal);
    simulation.submit(&submission("s1", &policy, vec![long_step()]));
    if answered {
        simulation.restart_upstream("u0");
    } else {
        restart_during(&mut simulation, OrderKind::Start);
        simulation.execute_intercepted();
    }
    wait_for(&mut simulation, |simulation| {
        run_count(simulation, "u0") == 1
    });
    simulation
}

/// Guards against counting a lease by the former incarnation's clock although the answer to the
/// start shows the new one's.
#[test]
fn start_answered_by_new_incarnation_extends_no_lease_beyond_the_bound() {
    let mut simulation = fleet_with_start_after_restart(true);

    assert_tasks_move_after_cut(&mut simulation);
}

/// Guards against the same if the start gets no reply.
#[test]
fn start_without_reply_after_restart_extends_no_lease_beyond_the_bound() {
    let mut simulation = fleet_with_start_after_restart(false);

    assert_tasks_move_after_cut(&mut simulation);
}

/// Guards against the same for a successor.
#[test]
fn successor_waits_for_leases_of_starts_that_a_new_incarnation_executed() {
    for answered in [true, false] {
        let mut simulation = fleet_with_start_after_restart(answered);

        cut_off(&mut simulation);
        add_spare_upstream(&mut simulation);
        simulation.run_until(simulation.now + 50);
        replace_lost_owner(&mut simulation);
        simulation.run_until(simulation.now + RESTART_LIMIT_MS);

        assert_eq!(simulation.violations, Vec::<String>::new(), "{answered}");
        assert_eq!(run_count(&simulation, "u1"), 1, "{answered}");
    }
}

/// Guards against a start for the former incarnation that the new one executes before it has
/// answered any order, while the task runs elsewhere.
#[test]
fn late_start_before_the_first_answer_runs_no_task_beside_another_run() {
    let policy = patient_queue();
    let mut simulation = fleet_of_one(&policy);
    simulation.run_ms = Some(LONG_RUN_MS);
    simulation.submit(&submission("s1", &policy, vec![long_step()]));

    restart_during(&mut simulation, OrderKind::Start);
    cut_off(&mut simulation);
    add_spare_upstream(&mut simulation);
    wait_for(&mut simulation, |simulation| {
        run_count(simulation, "u1") == 1
    });
    simulation.partitioned.clear();
    simulation.execute_intercepted();
    simulation.run_until(simulation.now + RESTART_LIMIT_MS);

    assert_eq!(simulation.violations, Vec::<String>::new());
    assert_eq!(run_count(&simulation, "u1"), 1);
}

/// Guards against fencing tokens that do not tell two restarts apart because nothing is stored
/// between them.
#[test]
fn late_renewal_between_restarts_in_an_outage_extends_no_lease_beyond_the_bound() {
    let mut simulation = fleet_with_long_task(&patient_queue());

    simulation.restart_upstream("u0");
    wait_for(&mut simulation, |simulation| {
        simulation.restarts.len() == 1 && run_count(simulation, "u0") == 1
    });
    simulation.run_until(simulation.now + 12_000);
    simulation.store_unavailable = true;
    simulation.run_until(simulation.now + 500);
    restart_during(&mut simulation, OrderKind::Renewal);
    wait_for(&mut simulation, |simulation| simulation.restarts.len() == 2);
    simulation.store_unavailable = false;
    simulation.cancel("s1");
    simulation.submit(&submission("s2", &patient_queue(), vec![long_step()]));
    wait_for(&mut simulation, |simulation| {
        run_count(simulation, "u0") == 1
    });
    simulation.run_until(simulation.now + 2000);
    simulation.execute_intercepted();

    assert_tasks_move_after_cut(&mut simulation);
}

/// Guards against a successor that counts its own leases alone, although the new incarnation
/// executed a renewal of the lost owner before it answered the successor.
#[test]
fn renewal_of_lost_owner_after_restart_extends_no_lease_beyond_the_bound() {
    let mut simulation = fleet_with_long_task(&patient_queue());

    restart_during(&mut simulation, OrderKind::Renewal);
    simulation.owner = None;
    simulation.predecessor_lost = true;
    simulation.run_until(simulation.now + TAKEOVER_MS);
    simulation.execute_intercepted();
    simulation.take_over();
    wait_for(&mut simulation, |simulation| {
        run_count(simulation, "u0") == 1
    });

    assert_tasks_move_after_cut(&mut simulation);
}
