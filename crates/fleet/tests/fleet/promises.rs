//! Property tests on random histories with several faults at once.

use lagoonnotch_fleet::model::{ResourceSize, StepSpec, SubmissionState};
use proptest::prelude::*;

use crate::fixtures::{config, queue, step, submission};
use crate::simulation::{FaultRates, FleetSimulation};

/// An event of a random history.
#[derive(Clone, Debug)]
enum HistoryEvent {
    Submit {
        count: u32,
        chained: bool,
    },
    /// Number of the submission, modulo the number of submissions.
    Cancel(u8),
    TakeOver,
    /// Time for which the previous owner continues to act, in milliseconds.
    OverlappingTakeOver(u64),
    /// Number of the upstream, modulo 4.
    RestartUpstream(u8),
    /// Number of the upstream, modulo 4, and time for which no message reaches it, in milliseconds.
    Partition(u8, u64),
    /// Time until the next event, in milliseconds.
    Wait(u64),
    /// Number of the upstream that starts or stops draining, modulo 4.
    ToggleDraining(u8),
    /// Number of the upstream whose reports no longer reach the store, modulo 4.
    CutOffFromStore(u8),
    /// Time for which the owner cannot read the directory, in milliseconds.
    DirectoryUnreadable(u64),
}

fn history_event() -> impl Strategy<Value = HistoryEvent> {
    prop_oneof![
        4 => (1..6_u32, any::<bool>()).prop_map(|(count, chained)| HistoryEvent::Submit { count, chained }),
        1 => any::<u8>().prop_map(HistoryEvent::Cancel),
        1 => Just(HistoryEvent::TakeOver),
        1 => (100..5000_u64).prop_map(HistoryEvent::OverlappingTakeOver),
        1 => any::<u8>().prop_map(HistoryEvent::RestartUpstream),
        1 => (any::<u8>(), 500..9000_u64).prop_map(|(number, length)| HistoryEvent::Partition(number, length)),
        4 => (20..1500_u64).prop_map(HistoryEvent::Wait),
    ]
}

/// An event of a history in which upstreams drain while their reports may be missing or read late.
fn directory_event() -> impl Strategy<Value = HistoryEvent> {
    prop_oneof![
        12 => history_event(),
        2 => any::<u8>().prop_map(HistoryEvent::ToggleDraining),
        2 => any::<u8>().prop_map(HistoryEvent::CutOffFromStore),
        1 => (500..5000_u64).prop_map(HistoryEvent::DirectoryUnreadable),
    ]
}

fn faults() -> impl Strategy<Value = FaultRates> {
    (0..15_u64, 0..10_u64, 0..15_u64, 0..20_u64).prop_map(
        |(lost_replies, late_orders, failures, lost_commits)| FaultRates {
            lost_replies,
            late_orders,
            failures,
            lost_commits,
        },
    )
}

fn new_simulation(seed: u64, faults: FaultRates) -> FleetSimulation {
    let policy = queue("ledger", 2);
    let mut simulation = FleetSimulation::new(seed, config(vec![policy], ResourceSize::ZERO), 4);
    simulation.faults = faults;
    simulation
}

fn run_history(simulation: &mut FleetSimulation, events: &[HistoryEvent]) {
    let policy = queue("ledger", 2);
    simulation.take_over();
    let mut submitted = 0_u32;
    for event in events {
        match event {
            HistoryEvent::Submit { count, chained } => {
                let mut steps = vec![step(*count)];
                if *chained {
                    steps.push(StepSpec {
                        after: vec![0],
                        ..step(*count)
                    });
                }
                simulation.submit(&submission(&format!("s{submitted}"), &policy, steps));
                submitted += 1;
            }
            HistoryEvent::Cancel(number) if submitted > 0 => {
                simulation.cancel(&format!("s{}", u32::from(*number) % submitted));
            }
            HistoryEvent::Cancel(_) => {}
            HistoryEvent::TakeOver => {
                simulation.previous = None;
                simulation.take_over();
            }
            HistoryEvent::OverlappingTakeOver(length) => simulation.take_over_with_overlap(*length),
            HistoryEvent::RestartUpstream(number) => {
                simulation.restart_upstream(&format!("u{}", number % 4));
            }
            HistoryEvent::Partition(number, length) => {
                let id = format!("u{}", number % 4);
                simulation
                    .partitioned
                    .insert(id.as_str().into(), simulation.now + length);
            }
            HistoryEvent::ToggleDraining(number) => {
                let id = format!("u{}", number % 4);
                if let Some(upstream) = simulation.upstreams.get_mut(id.as_str()) {
                    upstream.draining = !upstream.draining;
                }
            }
            HistoryEvent::CutOffFromStore(number) => {
                let id = format!("u{}", number % 4);
                let now = simulation.now;
                simulation
                    .cut_off_from_store
                    .entry(id.as_str().into())
                    .or_insert(now);
            }
            HistoryEvent::DirectoryUnreadable(length) => {
                simulation.directory_unreadable_until = simulation.now + length;
            }
            HistoryEvent::Wait(pause) => {
                let end = simulation.now + pause;
                simulation.run_until(end);
            }
        }
    }
}

/// Ends all faults of a history, lets the fleet run for a minute, and checks it.
fn check_history(simulation: &mut FleetSimulation) -> Result<(), TestCaseError> {
    simulation.faults = FaultRates::default();
    simulation.partitioned.clear();
    simulation.cut_off_from_store.clear();
    for upstream in simulation.upstreams.values_mut() {
        upstream.draining = false;
    }
    let end = simulation.now + 60_000;
    simulation.run_until(end);
    simulation.check_capacity();

    prop_assert_eq!(&simulation.violations, &Vec::<String>::new());
    for id in simulation.submissions.keys() {
        let ended = simulation
            .state_of(id)
            .is_some_and(SubmissionState::is_final);
        prop_assert!(ended, "{} is {:?}", id, simulation.state_of(id));
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, ..ProptestConfig::default() })]

    /// Guards against tasks that run twice at the same time or again after they are done, upstreams
    /// that exceed their capacity, and accepted submissions that are lost, under any combination of
    /// faults.
    #[test]
    fn promise_no_task_runs_twice_or_is_lost(
        seed in any::<u64>(),
        faults in faults(),
        events in prop::collection::vec(history_event(), 5..40),
    ) {
        let mut simulation = new_simulation(seed, faults);
        run_history(&mut simulation, &events);
        check_history(&mut simulation)?;
    }

    /// Guards against starting the tasks of a draining upstream twice because its directory entry
    /// expires while it is cut off from the store, or is read late.
    #[test]
    fn promise_expired_directory_entry_is_no_departure(
        seed in any::<u64>(),
        faults in faults(),
        events in prop::collection::vec(directory_event(), 5..40),
    ) {
        let mut simulation = new_simulation(seed, faults);
        run_history(&mut simulation, &events);
        check_history(&mut simulation)?;
    }
    /// Guards against starting finished tasks again while upstreams list only some of their finished
    /// runs at a time.
    #[test]
    fn promise_truncated_lists_hide_no_run(
        seed in any::<u64>(),
        faults in faults(),
        events in prop::collection::vec(history_event(), 5..40),
    ) {
        let mut simulation = new_simulation(seed, faults);
        for upstream in simulation.upstreams.values_mut() {
            upstream.max_listed_finished = 2;
        }
        run_history(&mut simulation, &events);
        check_history(&mut simulation)?;
    }
}
