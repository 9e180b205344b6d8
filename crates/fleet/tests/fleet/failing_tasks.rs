//! Tests of whether failed and stalled runs are attributed to the task or to the upstream.

use std::ops::Range;

use lagoonnotch_fleet::model::{
    ProgressRecord, QueuePolicy, ResourceSize, StepSpec, SubmissionState,
};

use crate::fixtures::{config, queue, step, submission};
use crate::simulation::FleetSimulation;

/// Time within which work must start for which there is capacity, in milliseconds: a submission may
/// have nothing running for 3 s.
const START_LIMIT_MS: u64 = 3000;

/// Time after the end of the traffic from which that holds, in milliseconds.
const FINISH_MS: u64 = 14_000;

fn watch() -> QueuePolicy {
    queue("watch", 1)
}

fn batch() -> QueuePolicy {
    queue("ledger", 2)
}

fn long_running(count: u32) -> StepSpec {
    StepSpec {
        long_running: true,
        ..step(count)
    }
}

/// Returns a fleet of six upstreams of four cores whose owner has met all of them.
fn fleet() -> FleetSimulation {
    let queues = vec![watch(), batch(), queue("check", 0)];
    let mut simulation = FleetSimulation::new(31, config(queues, ResourceSize::ZERO), 6);
    simulation.take_over();
    simulation.run_until(simulation.now + 1500);
    simulation
}

/// Submits long-running tasks that fail on every upstream.
fn submit_failing(simulation: &mut FleetSimulation, id: &str, count: u32) {
    simulation.failing_submissions.insert(id.into());
    simulation.submit(&submission(id, &watch(), vec![long_running(count)]));
}

/// Returns a fleet of upstreams of 32 cores whose owner has met all of them.
fn fleet_of_large_upstreams(seed: u64, count: u32) -> FleetSimulation {
    let queues = vec![watch(), batch()];
    let mut simulation = FleetSimulation::new(seed, config(queues, ResourceSize::ZERO), count);
    for upstream in simulation.upstreams.values_mut() {
        upstream.capacity = ResourceSize::new(32_000, 131_072, 0);
    }
    simulation.take_over();
    simulation.run_until(simulation.now + 1500);
    simulation.run_ms = Some(3000);
    simulation
}

/// Submits long-running submissions whose large tasks fail on every upstream.
fn submit_large_failing(
    simulation: &mut FleetSimulation,
    submissions: u32,
    tasks: u32,
    cpu_milli: u64,
) {
    for number in 0..submissions {
        let id = format!("failing{number}");
        simulation.failing_submissions.insert(id.as_str().into());
        let failing = StepSpec {
            demand: ResourceSize::new(cpu_milli, 256, 0),
            ..long_running(tasks)
        };
        simulation.submit(&submission(&id, &watch(), vec![failing]));
    }
}

/// Submits a chain of four steps of one task each, and returns the longest time for which nothing
/// of it ran until it was completed, in milliseconds.
fn longest_wait_of_chain(simulation: &mut FleetSimulation, cpu_milli: u64) -> u64 {
    let link = |after: Vec<u32>| StepSpec {
        demand: ResourceSize::new(cpu_milli, 256, 0),
        estimate_ms: 3000,
        after,
        ..step(1)
    };
    let steps = vec![link(vec![]), link(vec![0]), link(vec![1]), link(vec![2])];
    simulation.submit(&submission("chain", &batch(), steps));
    let end = simulation.now + 40_000;
    let (mut longest, mut present_at) = (0, simulation.now);
    while simulation.now < end && simulation.state_of("chain") != Some(SubmissionState::Completed) {
        simulation.run_until(simulation.now + 10);
        let mut runs = simulation
            .upstreams
            .values()
            .flat_map(|upstream| &upstream.runs);
        if runs.any(|(name, _)| &*name.submission == "chain") {
            present_at = simulation.now;
        }
        longest = longest.max(simulation.now - present_at);
    }
    longest
}

/// Guards against sound upstreams that are quarantined again and again for submissions whose tasks
/// fail everywhere, so that others' work does not start.
#[test]
fn tasks_that_fail_everywhere_quarantine_no_upstreams() {
    let mut simulation = fleet();
    simulation.run_ms = Some(3000);
    submit_failing(&mut simulation, "failing0", 5);
    submit_failing(&mut simulation, "failing1", 5);
    simulation.run_until(simulation.now + FINISH_MS);
    simulation.quarantines.clear();

    simulation.submit(&submission("s1", &batch(), vec![step(24)]));
    simulation.run_until(simulation.now + START_LIMIT_MS);

    assert_eq!(simulation.quarantines, Vec::new());
    assert_eq!(simulation.state_of("s1"), Some(SubmissionState::Running));
}

/// Guards against the same where few upstreams may run the tasks.
#[test]
fn tasks_that_fail_on_the_only_upstream_do_not_quarantine_it_for_others() {
    let queues = vec![watch(), batch()];
    let mut simulation = FleetSimulation::new(31, config(queues, ResourceSize::ZERO), 1);
    simulation.take_over();
    simulation.run_until(simulation.now + 1500);
    simulation.run_ms = Some(3000);
    submit_failing(&mut simulation, "failing0", 1);
    submit_failing(&mut simulation, "failing1", 1);
    simulation.run_until(simulation.now + FINISH_MS);

    simulation.submit(&submission("s1", &batch(), vec![step(1)]));
    simulation.run_until(simulation.now + START_LIMIT_MS);

    assert_eq!(simulation.state_of("s1"), Some(SubmissionState::Running));
}

/// Guards against long-running tasks that fail at once and start again at once, so that they occupy
/// all capacity and others' work does not start.
#[test]
fn tasks_that_fail_everywhere_leave_capacity_to_others() {
    let mut simulation = fleet();
    simulation.run_ms = Some(3000);
    submit_failing(&mut simulation, "failing0", 24);
    simulation.run_until(simulation.now + FINISH_MS);

    let whole = StepSpec {
        demand: ResourceSize::new(4000, 1024, 0),
        ..step(1)
    };
    simulation.submit(&submission("s1", &batch(), vec![whole]));
    simulation.run_until(simulation.now + START_LIMIT_MS);

    assert_eq!(simulation.state_of("s1"), Some(SubmissionState::Running));
}

/// Plays histories with a fleet of six large upstreams and the failing submissions of `submit`.
/// Returns those in which nothing of a chain of tasks that need most of an upstream ran for too long,
/// and for how long, in milliseconds.
fn late_chains(
    histories: Range<u64>,
    submit: impl Fn(u64, &mut FleetSimulation),
) -> Vec<(u64, u64)> {
    let waits = histories.map(|history| {
        let mut simulation = fleet_of_large_upstreams(history, 6);
        submit(history, &mut simulation);
        simulation.run_until(simulation.now + FINISH_MS);
        (history, longest_wait_of_chain(&mut simulation, 24_000))
    });
    waits
        .filter(|(_, wait_ms)| *wait_ms > START_LIMIT_MS)
        .collect()
}

/// Guards against long-running tasks that fail at once, start again at once, and so keep most of the
/// capacity allocated although they hardly use it. How much of the time they do depends on how long
/// the store takes for a commit, before which no run starts.
#[test]
fn tasks_that_fail_everywhere_leave_whole_upstreams_to_a_chain() {
    let late = late_chains(0..100, |history, simulation| {
        simulation.commit_ms = 300 + history;
        submit_large_failing(simulation, 2, 5, 12_000);
    });

    assert_eq!(late, Vec::new());
}

/// Guards against upstreams that are all quarantined at once, again and for longer, because each of
/// the many tasks of a step that fails everywhere counts against some of them.
#[test]
fn wide_steps_that_fail_everywhere_quarantine_upstreams_once_each() {
    let late = late_chains(0..20, |_, simulation| {
        submit_large_failing(simulation, 2, 12, 24_000);
    });

    assert_eq!(late, Vec::new());
}

/// Guards against work that waits until the end of the longest quarantines in an idle pool whose
/// upstreams are all sound again.
#[test]
fn work_does_not_wait_for_the_long_quarantines_of_an_idle_pool() {
    let mut simulation = fleet();
    simulation.run_ms = Some(400);
    simulation.failing_upstreams = simulation.upstreams.keys().cloned().collect();
    let mut number = 0;
    while simulation
        .quarantines
        .iter()
        .filter(|report| report.duration_ms > 6000)
        .count()
        < 6
    {
        simulation.submit(&submission(&format!("s{number}"), &batch(), vec![step(1)]));
        simulation.run_until(simulation.now + 100);
        number += 1;
    }
    simulation.failing_upstreams.clear();

    simulation.submit(&submission("late", &batch(), vec![step(1)]));
    simulation.run_until(simulation.now + START_LIMIT_MS);

    assert_ne!(simulation.state_of("late"), Some(SubmissionState::Queued));
}

/// Guards against a submission that has nothing running for too long, because the retries of its only
/// task are delayed.
#[test]
fn long_running_task_that_keeps_failing_is_retried_for_good() {
    let mut simulation = fleet();
    submit_failing(&mut simulation, "failing", 1);
    let end = simulation.now + 60_000;
    let mut absent_since = simulation.now;
    while simulation.now < end {
        simulation.run_until(simulation.now + 10);
        let mut upstreams = simulation.upstreams.values();
        if upstreams.any(|upstream| !upstream.runs.is_empty()) {
            absent_since = simulation.now;
        }

        assert!(simulation.now - absent_since < START_LIMIT_MS);
    }
}

/// Guards against a long-running task that keeps failing and is not started again while other work
/// fills the pool: it must run again within 9 s, however full the pool is.
#[test]
fn long_running_task_that_keeps_failing_is_retried_in_a_full_pool() {
    const RESTART_LIMIT_MS: u64 = 9000;
    let mut simulation = fleet();
    simulation.run_ms = Some(100_000);
    submit_failing(&mut simulation, "failing", 1);
    simulation.run_until(simulation.now + FINISH_MS);
    for number in 0..4 {
        let id = format!("s{number}");
        simulation.submit(&submission(&id, &batch(), vec![step(24)]));
    }
    let end = simulation.now + 40_000;
    let mut absent_since = simulation.now;
    while simulation.now < end {
        simulation.run_until(simulation.now + 10);
        let mut runs = simulation
            .upstreams
            .values()
            .flat_map(|upstream| &upstream.runs);
        if runs.any(|(name, _)| &*name.submission == "failing") {
            absent_since = simulation.now;
        }

        assert!(simulation.now - absent_since < RESTART_LIMIT_MS);
    }
}

/// Guards against a sound task that is kept waiting because the first two upstreams that it met
/// were broken.
#[test]
fn task_that_fails_on_two_broken_upstreams_is_retried_promptly() {
    let mut simulation = fleet();
    simulation.run_ms = Some(600_000);
    simulation.failing_upstreams.insert("u0".into());
    simulation.failing_upstreams.insert("u1".into());

    simulation.submit(&submission("s1", &watch(), vec![long_running(4)]));
    simulation.run_until(simulation.now + 1000);

    let sound = ["u2", "u3", "u4", "u5"].map(|id| simulation.upstreams[id].runs.len());
    assert_eq!(sound.iter().sum::<usize>(), 4);
}

/// Guards against the opposite: an upstream that fails what it runs must be kept away from work,
/// also beside tasks that fail everywhere.
#[test]
fn upstream_that_fails_everything_gets_few_runs() {
    let mut simulation = fleet();
    simulation.run_ms = Some(400);
    simulation.failing_upstreams.insert("u0".into());
    submit_failing(&mut simulation, "failing0", 2);
    submit_failing(&mut simulation, "failing1", 2);
    let end = simulation.now + FINISH_MS;
    let mut submitted = Vec::new();
    while simulation.now < end {
        let id = format!("s{}", submitted.len());
        simulation.submit(&submission(&id, &queue("check", 0), vec![step(2)]));
        submitted.push(id);
        simulation.run_until(simulation.now + 50);
    }

    let is_sound = |order: &&lagoonnotch_fleet::owner::StartOrder| {
        order.task.submission.starts_with('s') && &*order.upstream == "u0"
    };
    let started = simulation.started.iter().filter(is_sound).count();
    // The first failures and each of the five probes of 14 s start at most what fits there.
    assert!(started <= 24, "{started} runs");
    let failed = submitted
        .iter()
        .filter(|id| simulation.state_of(id) == Some(SubmissionState::Failed));
    assert_eq!(failed.count(), 0);
}

/// Guards against upstreams that are quarantined one after the other for a task that makes no
/// progress anywhere.
#[test]
fn task_that_stalls_everywhere_quarantines_few_upstreams() {
    let mut simulation = fleet();
    simulation.run_ms = Some(600_000);
    for upstream in simulation.upstreams.values_mut() {
        upstream.shown_percent = Some(0);
    }

    simulation.submit(&submission("stalling", &batch(), vec![step(1)]));
    simulation.run_until(simulation.now + FINISH_MS);

    assert!(
        simulation.quarantines.len() <= 2,
        "{:?}",
        simulation.quarantines
    );
}

/// Guards against tasks that are stopped as stalled each time, because they take much longer than
/// declared and advance by less than one percent in the tolerated time.
#[test]
fn task_far_longer_than_declared_is_done() {
    for run_ms in [400_000, 3_600_000] {
        let mut simulation = fleet();
        simulation.run_ms = Some(run_ms);

        simulation.submit(&submission("long", &batch(), vec![step(2)]));
        simulation.run_until(simulation.now + run_ms + run_ms / 20);

        let state = simulation.state_of("long");
        assert_eq!(state, Some(SubmissionState::Completed), "{run_ms} ms");
    }
}

/// Guards against the opposite: a task that stalls on broken upstreams must move on soon.
#[test]
fn task_that_stalls_on_two_upstreams_moves_to_a_sound_one() {
    let mut simulation = fleet();
    simulation.run_ms = Some(500);
    for id in ["u0", "u1", "u2", "u3"] {
        let upstream = simulation.upstreams.get_mut(id).expect("it is known");
        upstream.stalled = true;
    }

    simulation.submit(&submission("s1", &batch(), vec![step(24)]));
    simulation.run_until(simulation.now + 4 * START_LIMIT_MS);

    assert_eq!(simulation.state_of("s1"), Some(SubmissionState::Completed));
}

/// Guards against a record of progress that grows with every failure of a long-running task until
/// the store refuses it, and with it the commits of all other submissions.
#[test]
fn record_of_failing_long_running_tasks_does_not_grow() {
    let mut simulation = fleet();
    submit_failing(&mut simulation, "failing", 10);
    simulation.run_until(simulation.now + FINISH_MS);
    let earlier = simulation.progress["failing"].clone();
    simulation.run_until(simulation.now + 60_000);
    let later = &simulation.progress["failing"];

    let attempts_of = |record: &ProgressRecord| {
        let failed = record.steps.iter().flat_map(|step| &step.failed);
        failed.map(|(_, attempts)| attempts.len()).sum::<usize>()
    };
    assert_eq!(attempts_of(later), attempts_of(&earlier));
}
