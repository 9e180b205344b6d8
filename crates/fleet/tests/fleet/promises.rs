//! The promises, on random histories with several faults at once.

use lagoonnotch_fleet::model::{ResourceSize, StepSpec, SubmissionState};
use proptest::prelude::*;

use crate::fixtures::{config, queue, step, submission};
use crate::world::{Trouble, World};

/// Something that happens to the world.
#[derive(Clone, Debug)]
enum Happening {
    Submit { count: u32, chained: bool },
    Cancel(u8),
    TakeOver,
    TakeOverBeside(u64),
    Crash(u8),
    Cut(u8, u64),
    Wait(u64),
}

fn happening() -> impl Strategy<Value = Happening> {
    prop_oneof![
        4 => (1..6_u32, any::<bool>()).prop_map(|(count, chained)| Happening::Submit { count, chained }),
        1 => any::<u8>().prop_map(Happening::Cancel),
        1 => Just(Happening::TakeOver),
        1 => (100..5000_u64).prop_map(Happening::TakeOverBeside),
        1 => any::<u8>().prop_map(Happening::Crash),
        1 => (any::<u8>(), 500..9000_u64).prop_map(|(number, length)| Happening::Cut(number, length)),
        4 => (20..1500_u64).prop_map(Happening::Wait),
    ]
}

fn trouble() -> impl Strategy<Value = Trouble> {
    (0..15_u64, 0..10_u64, 0..15_u64, 0..20_u64).prop_map(
        |(lost_answers, late_orders, failures, lost_commits)| Trouble {
            lost_answers,
            late_orders,
            failures,
            lost_commits,
        },
    )
}

fn play(seed: u64, trouble: Trouble, happenings: &[Happening]) -> World {
    let policy = queue("ledger", 2);
    let mut world = World::new(seed, config(vec![policy.clone()], ResourceSize::ZERO), 4);
    world.trouble = trouble;
    world.take_over();
    let mut submitted = 0_u32;
    for happening in happenings {
        match happening {
            Happening::Submit { count, chained } => {
                let mut steps = vec![step(*count)];
                if *chained {
                    steps.push(StepSpec {
                        after: vec![0],
                        ..step(*count)
                    });
                }
                world.submit(&submission(&format!("s{submitted}"), &policy, steps));
                submitted += 1;
            }
            Happening::Cancel(number) if submitted > 0 => {
                world.cancel(&format!("s{}", u32::from(*number) % submitted));
            }
            Happening::Cancel(_) => {}
            Happening::TakeOver => {
                world.previous = None;
                world.take_over();
            }
            Happening::TakeOverBeside(length) => world.take_over_beside(*length),
            Happening::Crash(number) => world.restart_upstream(&format!("u{}", number % 4)),
            Happening::Cut(number, length) => {
                let id = format!("u{}", number % 4);
                world.cut.insert(id.as_str().into(), world.now + length);
            }
            Happening::Wait(pause) => {
                let end = world.now + pause;
                world.run_until(end);
            }
        }
    }
    world
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, ..ProptestConfig::default() })]

    /// No task runs twice at a time or after it is done, no upstream is over its capacity, and
    /// nothing accepted is lost.
    #[test]
    fn promise_nothing_is_doubled_or_lost(
        seed in any::<u64>(),
        trouble in trouble(),
        happenings in prop::collection::vec(happening(), 5..40),
    ) {
        let mut world = play(seed, trouble, &happenings);
        world.trouble = Trouble::default();
        world.cut.clear();
        let end = world.now + 60_000;
        world.run_until(end);
        world.check_capacity();

        prop_assert_eq!(&world.findings, &Vec::<String>::new());
        for id in world.submissions.keys() {
            let ended = world.state_of(id).is_some_and(SubmissionState::is_final);
            prop_assert!(ended, "{} is {:?}", id, world.state_of(id));
        }
    }
}
