//! Fixed sequences of two overlapping faults. The test of pauses has one fault, and random losses
//! of the store's replies.

use lagoonnotch::document::WorkClass;

use crate::scenario::{Fault, FaultKind, PlannedWork, Scenario};
use crate::shard_promises::{lost_jobs, violations};
use crate::simulation::Simulation;

const SEEDS: [u64; 5] = [1, 2, 3, 4, 5];

fn fault(at_ms: u64, duration_ms: u64, kind: FaultKind) -> Fault {
    Fault {
        at_ms,
        duration_ms,
        kind,
    }
}

/// Returns work items of every class, idempotent and not, that are submitted around the time of the
/// faults.
fn works() -> Vec<PlannedWork> {
    let classes = [
        WorkClass::Urgent,
        WorkClass::Batch,
        WorkClass::Gang,
        WorkClass::Service,
    ];
    (0..32_u64)
        .map(|index| {
            let class = classes[usize::try_from(index % 4).expect("the index fits into usize")];
            let quick = class == WorkClass::Urgent && index % 8 < 4;
            PlannedWork {
                at_ms: 2000 + index * 300,
                class,
                quick,
                idempotent: index % 3 > 0,
                team: usize::from(index % 2 == 0),
                tasks: if quick { 1 } else { 2 },
                cores: 1 + index % 3,
                run_ms: 200 + index * 150,
                cancel_after_ms: (index % 11 == 0 && !quick).then_some(1500),
            }
        })
        .collect()
}

/// Runs the sequence with several message orders and checks the result of each run.
fn check_sequence(faults: &[Fault], lost_reply_percent: u32) {
    for seed in SEEDS {
        let scenario = Scenario {
            seed,
            lost_reply_percent,
            delay_ms: 60,
            faults: faults.to_vec(),
            works: works(),
        };

        let simulation = Simulation::run(&scenario);

        let lost: Vec<String> = lost_jobs(&simulation).into_keys().collect();
        let violations = violations(&simulation);
        assert!(violations.is_clean(), "seed {seed}: {violations:?}");
        assert!(
            lost.is_empty(),
            "seed {seed}: {lost:?}\n{}",
            simulation.trace_of(&lost)
        );
    }
}

/// Guards against an owner that resumes after its lease expired and cannot tell which of its writes
/// succeeded.
#[test]
fn owner_is_paused_while_replies_of_the_store_are_lost() {
    let pauses = [
        fault(5000, 6000, FaultKind::Pause(0)),
        fault(5000, 6000, FaultKind::Pause(1)),
    ];

    for pause in pauses {
        check_sequence(&[pause], 30);
    }
}

/// Guards against a successor that reuses capacity at an upstream that it cannot fence.
#[test]
fn owner_dies_while_its_successor_is_cut_off_from_an_upstream() {
    check_sequence(
        &[
            fault(5000, 9000, FaultKind::Crash(0)),
            fault(4900, 12_000, FaultKind::UpstreamCut(1, 0)),
        ],
        0,
    );
    check_sequence(
        &[
            fault(5000, 9000, FaultKind::Crash(1)),
            fault(4900, 12_000, FaultKind::UpstreamCut(0, 0)),
        ],
        0,
    );
}

/// Guards against two failures while no lease can be renewed: an owner that relies on the promise
/// of a dead peer, and work lost when the owner dies.
#[test]
fn peer_dies_while_the_store_is_down() {
    check_sequence(
        &[
            fault(4000, 15_000, FaultKind::StoreDown),
            fault(6000, 8000, FaultKind::Crash(0)),
        ],
        0,
    );
    check_sequence(
        &[
            fault(4000, 15_000, FaultKind::StoreDown),
            fault(6000, 8000, FaultKind::Crash(1)),
        ],
        0,
    );
}

/// Guards against jobs that are lost or run twice when the owner dies during their handover.
#[test]
fn owner_dies_while_its_failure_domain_is_taken_out() {
    for at_ms in [5200, 5600, 6500] {
        check_sequence(
            &[
                fault(5000, 14_000, FaultKind::DomainOut),
                fault(at_ms, 5000, FaultKind::Crash(0)),
            ],
            0,
        );
        check_sequence(
            &[
                fault(5000, 14_000, FaultKind::DomainOut),
                fault(at_ms, 5000, FaultKind::Crash(1)),
            ],
            0,
        );
    }
}

/// Guards against an owner that misses the loss of tasks because the upstream restarts, or is down,
/// during its pause.
#[test]
fn upstream_restarts_while_its_owner_is_paused() {
    for host in [0, 1] {
        let pause = fault(5000, 2500, FaultKind::Pause(host));
        check_sequence(
            &[
                pause.clone(),
                fault(6000, 100, FaultKind::UpstreamRestart(0)),
            ],
            0,
        );
        check_sequence(&[pause, fault(5200, 9000, FaultKind::UpstreamDown(1))], 0);
    }
}

/// Guards against a lowered limit that the shards exceed because one of them cannot update its
/// allotment.
#[test]
fn limit_is_lowered_while_a_shard_is_cut_off_from_the_store() {
    check_sequence(
        &[
            fault(5000, 12_000, FaultKind::LimitLowered),
            fault(4500, 9000, FaultKind::StoreCut(2)),
        ],
        0,
    );
}

/// Guards against accepted work that is lost when no host is left to take over until one restarts.
#[test]
fn both_hosts_of_a_failure_domain_die_together() {
    check_sequence(
        &[
            fault(6000, 4000, FaultKind::Crash(0)),
            fault(6000, 7000, FaultKind::Crash(1)),
        ],
        10,
    );
}
