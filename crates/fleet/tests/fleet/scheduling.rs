//! What starts, where and when.

use lagoonnotch_fleet::model::{ResourceSize, StepSpec, SubmissionState};

use crate::fixtures::{TEAM, config, queue, step, submission};
use crate::world::World;

#[test]
fn steps_run_in_order() {
    let policy = queue("ledger", 2);
    let mut world = World::new(1, config(vec![policy.clone()], ResourceSize::ZERO), 2);
    world.take_over();
    let second = StepSpec {
        after: vec![0],
        ..step(3)
    };

    world.submit(&submission("s1", &policy, vec![step(3), second]));
    world.run_until(world.now + 9000);

    assert_eq!(world.findings, Vec::<String>::new());
    assert_eq!(world.state_of("s1"), Some(SubmissionState::Completed));
}

#[test]
fn team_stays_inside_its_upper_limit() {
    let policy = queue("ledger", 2);
    let limit = ResourceSize::new(3000, 0, 0);
    let mut world = World::new(2, config(vec![policy.clone()], limit), 4);
    world.take_over();
    world.submit(&submission("s1", &policy, vec![step(10)]));

    let mut most = 0;
    for _ in 0..1500 {
        world.run_until(world.now + 5);
        let usage = world.owner.as_ref().map(|owner| owner.usage_of(TEAM));
        most = most.max(usage.map_or(0, |usage| usage.cpu_milli));
    }

    assert_eq!(most, 3000);
    assert_eq!(world.state_of("s1"), Some(SubmissionState::Completed));
}

#[test]
fn urgent_submission_goes_first() {
    let (urgent, batch) = (queue("check", 0), queue("ledger", 2));
    let mut world = World::new(
        3,
        config(vec![urgent.clone(), batch.clone()], ResourceSize::ZERO),
        1,
    );
    world.take_over();
    world.run_until(world.now + 300);
    world.submit(&submission("b1", &batch, vec![step(20)]));
    world.run_until(world.now + 50);

    world.submit(&submission("a1", &urgent, vec![step(2)]));
    world.run_until(world.now + 15_000);

    let first_urgent = world
        .started
        .iter()
        .position(|order| &*order.task.submission == "a1");
    assert!(first_urgent.is_some_and(|position| position <= 5));
}

#[test]
fn cancelled_submission_is_stopped() {
    let policy = queue("watch", 1);
    let mut world = World::new(4, config(vec![policy.clone()], ResourceSize::ZERO), 2);
    world.take_over();
    let lasting = StepSpec {
        long_running: true,
        ..step(3)
    };
    world.submit(&submission("s1", &policy, vec![lasting]));
    world.run_until(world.now + 500);

    world.cancel("s1");
    world.run_until(world.now + 500);

    let running: usize = world
        .upstreams
        .values()
        .map(|upstream| upstream.runs.len())
        .sum();
    assert_eq!(running, 0);
    assert_eq!(world.state_of("s1"), Some(SubmissionState::Cancelled));
}

#[test]
fn lasting_tasks_are_restarted_however_they_end() {
    let policy = queue("watch", 1);
    let mut world = World::new(5, config(vec![policy.clone()], ResourceSize::ZERO), 2);
    world.trouble.failures = 50;
    world.take_over();
    let lasting = StepSpec {
        long_running: true,
        ..step(2)
    };

    world.submit(&submission("s1", &policy, vec![lasting]));
    world.run_until(world.now + 30_000);

    assert!(world.started.len() > 10);
    assert_eq!(world.state_of("s1"), Some(SubmissionState::Running));
}

/// An upstream whose runs stand still loses them to a sound one.
#[test]
fn standing_runs_are_moved() {
    let policy = queue("check", 0);
    let mut world = World::new(6, config(vec![policy.clone()], ResourceSize::ZERO), 2);
    world.upstreams.get_mut("u0").expect("an upstream").stalled = true;
    world.take_over();

    world.submit(&submission("s1", &policy, vec![step(6)]));
    world.run_until(world.now + 6000);

    assert_eq!(world.findings, Vec::<String>::new());
    assert_eq!(world.state_of("s1"), Some(SubmissionState::Completed));
}

/// A lasting task that loses its upstream gets room in a full pool at once.
#[test]
fn lasting_task_takes_room_from_batch() {
    let (watch, batch) = (queue("watch", 1), queue("ledger", 2));
    let mut world = World::new(
        7,
        config(vec![watch.clone(), batch.clone()], ResourceSize::ZERO),
        1,
    );
    world.run_ms = Some(20_000);
    world.take_over();
    let wide = StepSpec {
        checkpointing: true,
        ..step(40)
    };
    world.submit(&submission("b1", &batch, vec![wide]));
    world.run_until(world.now + 500);
    let lasting = StepSpec {
        long_running: true,
        ..step(1)
    };

    world.submit(&submission("w1", &watch, vec![lasting]));
    world.run_until(world.now + 1500);

    assert_eq!(world.state_of("w1"), Some(SubmissionState::Running));
    world.check_capacity();
    assert_eq!(world.findings, Vec::<String>::new());
}

/// An owner that may have a successor elsewhere lets no team have more running.
#[test]
fn owner_without_the_store_lets_no_team_grow() {
    let policy = queue("ledger", 2);
    let limit = ResourceSize::new(12_000, 0, 0);
    let mut world = World::new(8, config(vec![policy.clone()], limit), 4);
    world.run_ms = Some(1000);
    world.take_over();
    world.submit(&submission("s1", &policy, vec![step(3)]));
    world.run_until(world.now + 600);

    world.store_down = true;
    world.submit(&submission("s2", &policy, vec![step(9)]));
    world.run_until(world.now + 300);

    assert_eq!(world.running(), ResourceSize::new(3000, 3072, 0));
}
