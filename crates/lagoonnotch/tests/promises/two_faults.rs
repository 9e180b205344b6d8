//! Two faults at once, in fixed sequences.

use lagoonnotch::document::WorkClass;

use crate::history::{Fault, FaultKind, History, PlannedWork};
use crate::shard_promises::{lost_jobs, verdict};
use crate::world::World;

const SEEDS: [u64; 5] = [1, 2, 3, 4, 5];

fn fault(at_ms: u64, for_ms: u64, kind: FaultKind) -> Fault {
    Fault {
        at_ms,
        for_ms,
        kind,
    }
}

/// Returns works of every class, idempotent and not, around the time of the faults.
fn works() -> Vec<PlannedWork> {
    let classes = [
        WorkClass::Urgent,
        WorkClass::Batch,
        WorkClass::Gang,
        WorkClass::Service,
    ];
    (0..32_u64)
        .map(|index| {
            let class = classes[usize::try_from(index % 4).expect("a small number")];
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

/// Runs the sequence under several message orders and judges each.
fn try_sequence(faults: &[Fault], lost_answers: u32) {
    for seed in SEEDS {
        let history = History {
            seed,
            lost_answers,
            delay_ms: 60,
            faults: faults.to_vec(),
            works: works(),
        };

        let world = World::run(&history);

        let lost: Vec<String> = lost_jobs(&world).into_keys().collect();
        let verdict = verdict(&world);
        assert!(verdict.is_clean(), "seed {seed}: {verdict:?}");
        assert!(
            lost.is_empty(),
            "seed {seed}: {lost:?}\n{}",
            world.story(&lost)
        );
    }
}

#[test]
fn owner_is_paused_while_answers_of_the_store_are_lost() {
    let pauses = [
        fault(5000, 6000, FaultKind::Pause(0)),
        fault(5000, 6000, FaultKind::Pause(1)),
    ];

    for pause in pauses {
        try_sequence(&[pause], 30);
    }
}

#[test]
fn owner_dies_while_its_successor_is_cut_off_from_an_upstream() {
    try_sequence(
        &[
            fault(5000, 9000, FaultKind::Crash(0)),
            fault(4900, 12_000, FaultKind::UpstreamCut(1, 0)),
        ],
        0,
    );
    try_sequence(
        &[
            fault(5000, 9000, FaultKind::Crash(1)),
            fault(4900, 12_000, FaultKind::UpstreamCut(0, 0)),
        ],
        0,
    );
}

#[test]
fn peer_dies_while_the_store_is_down() {
    try_sequence(
        &[
            fault(4000, 15_000, FaultKind::StoreDown),
            fault(6000, 8000, FaultKind::Crash(0)),
        ],
        0,
    );
    try_sequence(
        &[
            fault(4000, 15_000, FaultKind::StoreDown),
            fault(6000, 8000, FaultKind::Crash(1)),
        ],
        0,
    );
}

#[test]
fn owner_dies_while_its_failure_domain_is_taken_out() {
    for at_ms in [5200, 5600, 6500] {
        try_sequence(
            &[
                fault(5000, 14_000, FaultKind::DomainOut),
                fault(at_ms, 5000, FaultKind::Crash(0)),
            ],
            0,
        );
        try_sequence(
            &[
                fault(5000, 14_000, FaultKind::DomainOut),
                fault(at_ms, 5000, FaultKind::Crash(1)),
            ],
            0,
        );
    }
}

#[test]
fn upstream_restarts_while_its_owner_is_paused() {
    for host in [0, 1] {
        let pause = fault(5000, 2500, FaultKind::Pause(host));
        try_sequence(
            &[
                pause.clone(),
                fault(6000, 100, FaultKind::UpstreamRestart(0)),
            ],
            0,
        );
        try_sequence(&[pause, fault(5200, 9000, FaultKind::UpstreamDown(1))], 0);
    }
}

#[test]
fn limit_is_lowered_while_a_shard_is_cut_off_from_the_store() {
    try_sequence(
        &[
            fault(5000, 12_000, FaultKind::LimitLowered),
            fault(4500, 9000, FaultKind::StoreCut(2)),
        ],
        0,
    );
}

#[test]
fn both_hosts_of_a_failure_domain_die_together() {
    try_sequence(
        &[
            fault(6000, 4000, FaultKind::Crash(0)),
            fault(6000, 7000, FaultKind::Crash(1)),
        ],
        10,
    );
}
