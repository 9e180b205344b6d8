//! Histories in which random tests found a failure, written out.

use crate::promises::HistoryEvent::{
    self, OverlappingTakeOver, Partition, RestartUpstream, Submit, ToggleDraining, Wait,
};
use crate::promises::{check_history, new_simulation, run_history};
use crate::simulation::FaultRates;

const NO_FAULTS: FaultRates = FaultRates {
    lost_replies: 0,
    late_orders: 0,
    late_renewals: 0,
    failures: 0,
    lost_commits: 0,
    failed_queries: 0,
};

fn submit(count: u32, chained: bool) -> HistoryEvent {
    Submit { count, chained }
}

fn assert_breaks_no_promise(seed: u64, faults: FaultRates, events: &[HistoryEvent]) {
    let mut simulation = new_simulation(seed, faults);

    run_history(&mut simulation, events);

    check_history(&mut simulation).expect("the history breaks no promise");
}

/// Guards against counting an order as a start although the upstream rejects it: a replaced owner
/// repeats an order that got no reply.
#[test]
fn rejected_order_of_replaced_owner_is_no_start() {
    let faults = FaultRates {
        lost_replies: 1,
        late_orders: 6,
        lost_commits: 8,
        ..NO_FAULTS
    };
    let events = [
        submit(2, false),
        Wait(491),
        ToggleDraining(106),
        submit(3, true),
        submit(4, true),
        OverlappingTakeOver(100),
        Wait(836),
        Wait(946),
        Wait(156),
        RestartUpstream(102),
        Wait(456),
        RestartUpstream(28),
        OverlappingTakeOver(101),
        Wait(380),
        OverlappingTakeOver(3781),
        Wait(721),
    ];

    assert_breaks_no_promise(14_537_736_099_014_862_854, faults, &events);
}

#[test]
fn restarts_and_partitions_break_no_promise() {
    let faults = FaultRates {
        late_orders: 1,
        ..NO_FAULTS
    };
    let events = [
        Partition(0, 500),
        Partition(14, 500),
        submit(4, true),
        RestartUpstream(0),
        submit(4, true),
        Partition(44, 500),
        Wait(631),
        RestartUpstream(69),
        submit(1, false),
        Partition(0, 500),
    ];

    assert_breaks_no_promise(14_747_965_581_021_684_023, faults, &events);
}

#[test]
fn long_partitions_with_lost_replies_break_no_promise() {
    let faults = FaultRates {
        lost_replies: 6,
        ..NO_FAULTS
    };
    let mut events = vec![
        submit(1, true),
        Wait(86),
        Partition(52, 6986),
        Partition(72, 6986),
    ];
    events.extend([316, 1466, 1421, 1126, 1021, 47, 283, 1278].map(Wait));

    assert_breaks_no_promise(1_586_726_212_589_798_568, faults, &events);
}

#[test]
fn restart_after_overlapping_takeover_with_lost_commits_breaks_no_promise() {
    let faults = FaultRates {
        lost_commits: 14,
        ..NO_FAULTS
    };
    let events = [
        Partition(225, 500),
        Wait(421),
        submit(2, false),
        RestartUpstream(98),
        submit(5, true),
        Wait(1406),
        Wait(501),
        submit(4, false),
        submit(4, false),
        submit(2, false),
        submit(4, false),
        OverlappingTakeOver(100),
        submit(2, true),
        Wait(636),
        Wait(861),
        RestartUpstream(193),
        Partition(0, 500),
    ];

    assert_breaks_no_promise(1_377_111_834_956_017_976, faults, &events);
}

#[test]
fn restarts_with_failures_and_lost_commits_break_no_promise() {
    let faults = FaultRates {
        lost_replies: 1,
        late_orders: 2,
        failures: 5,
        lost_commits: 10,
        ..NO_FAULTS
    };
    let events = [
        OverlappingTakeOver(100),
        submit(2, false),
        submit(5, false),
        submit(2, false),
        Wait(1076),
        RestartUpstream(253),
        Wait(20),
        RestartUpstream(0),
    ];

    assert_breaks_no_promise(14_941_425_073_530_561_837, faults, &events);
}
