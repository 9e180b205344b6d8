//! Random scenarios of work and faults.

use lagoonnotch::document::WorkClass;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Number of scenarios unless `PROPTEST_CASES` is set.
const DEFAULT_CASES: u32 = 64;

/// Seed of the scenario generator.
const SEED: u64 = 0x1a90_0e07;

/// Period in which work is submitted and faults begin, in milliseconds.
pub const ACTIVE_MS: u64 = 30_000;

/// A fault of a scenario.
#[derive(Clone, Debug)]
pub struct Fault {
    pub at_ms: u64,
    pub duration_ms: u64,
    pub kind: FaultKind,
}

/// Kind of a fault, and the hosts or upstreams that it affects.
#[derive(Clone, Debug)]
pub enum FaultKind {
    /// A host crashes and restarts with a new incarnation.
    Crash(usize),
    /// A host is paused and then continues as if no time had passed.
    Pause(usize),
    /// A host shuts down gracefully and restarts with a new incarnation.
    Restart(usize),
    /// The store does not reply.
    StoreDown,
    /// A host and the store cannot reach each other.
    StoreCut(usize),
    /// A host and an upstream cannot reach each other.
    UpstreamCut(usize, usize),
    /// Two hosts cannot reach each other.
    PeerCut(usize, usize),
    /// An upstream restarts and loses its tasks.
    UpstreamRestart(usize),
    /// An upstream is down and returns without its tasks.
    UpstreamDown(usize),
    /// The platform lists an upstream as leaving.
    Leaving(usize),
    /// The operators take the failure domain out of service.
    DomainOut,
    /// The operators halve the limit of a team.
    LimitLowered,
}

/// A work item of a scenario.
#[derive(Clone, Debug)]
pub struct PlannedWork {
    pub at_ms: u64,
    pub class: WorkClass,
    pub quick: bool,
    pub idempotent: bool,
    pub team: usize,
    pub tasks: u32,
    pub cores: u64,
    pub run_ms: u64,
    /// Time from submission to cancellation, if the work item is cancelled.
    pub cancel_after_ms: Option<u64>,
}

/// A complete scenario.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Seed of message delays and losses.
    pub seed: u64,
    /// Probability that a reply of the store is lost, in percent.
    pub lost_reply_percent: u32,
    /// Maximum regular delay of a message, in milliseconds.
    pub delay_ms: u64,
    pub faults: Vec<Fault>,
    pub works: Vec<PlannedWork>,
}

/// Returns the configuration of every property test.
pub fn config() -> ProptestConfig {
    let cases = std::env::var("PROPTEST_CASES")
        .ok()
        .and_then(|text| text.parse().ok());
    ProptestConfig {
        cases: cases.unwrap_or(DEFAULT_CASES),
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        max_shrink_iters: 400,
        ..ProptestConfig::default()
    }
}

/// Generates scenarios with faults of every kind.
pub fn scenarios() -> impl Strategy<Value = Scenario> {
    scenarios_with(fault_kinds().boxed(), 8)
}

/// Generates scenarios with up to `max_faults` faults of the given kinds.
pub fn scenarios_with(
    kinds: BoxedStrategy<FaultKind>,
    max_faults: usize,
) -> impl Strategy<Value = Scenario> {
    let fault = (0..ACTIVE_MS, 200..12_000_u64, kinds);
    let fault = fault.prop_map(|(at_ms, duration_ms, kind)| Fault {
        at_ms,
        duration_ms,
        kind,
    });
    let header = (
        any::<u64>(),
        prop_oneof![Just(0), Just(10)],
        prop_oneof![Just(5_u64), Just(300)],
    );
    (header, vec(fault, 0..=max_faults), vec(works(), 1..40)).prop_map(|(header, faults, works)| {
        let (seed, lost_reply_percent, delay_ms) = header;
        Scenario {
            seed,
            lost_reply_percent,
            delay_ms,
            faults,
            works,
        }
    })
}

/// Generates scenarios in which one host of the first failure domain is cut off from the store and
/// its peers, the other host is cut off from an upstream, and tasks run longer than any lease.
pub fn isolated_owner_scenarios() -> impl Strategy<Value = Scenario> {
    let cut = (2000..10_000_u64, 6000..25_000_u64, 0..2_usize, 0..3_usize);
    (scenarios_with(fault_kinds().boxed(), 2), cut).prop_map(|(mut scenario, cut)| {
        let (at_ms, duration_ms, host, upstream) = cut;
        let other = 1 - host;
        let kinds = [
            FaultKind::StoreCut(host),
            FaultKind::PeerCut(host, other),
            FaultKind::PeerCut(host, 2),
            FaultKind::UpstreamCut(other, upstream),
        ];
        scenario.faults.extend(kinds.map(|kind| Fault {
            at_ms,
            duration_ms,
            kind,
        }));
        for work in &mut scenario.works {
            work.at_ms /= 2;
            work.run_ms *= 4;
        }
        scenario
    })
}

fn fault_kinds() -> impl Strategy<Value = FaultKind> {
    prop_oneof![
        3 => (0..3_usize).prop_map(FaultKind::Crash),
        3 => (0..3_usize).prop_map(FaultKind::Pause),
        1 => (0..3_usize).prop_map(FaultKind::Restart),
        2 => Just(FaultKind::StoreDown),
        2 => (0..3_usize).prop_map(FaultKind::StoreCut),
        3 => (0..3_usize, 0..4_usize).prop_map(|(host, upstream)| FaultKind::UpstreamCut(host, upstream)),
        2 => (0..3_usize, 0..3_usize).prop_map(|(one, other)| FaultKind::PeerCut(one, other)),
        1 => (0..4_usize).prop_map(FaultKind::UpstreamRestart),
        1 => (0..4_usize).prop_map(FaultKind::UpstreamDown),
        1 => (0..4_usize).prop_map(FaultKind::Leaving),
        1 => Just(FaultKind::DomainOut),
        1 => Just(FaultKind::LimitLowered),
    ]
}

fn works() -> impl Strategy<Value = PlannedWork> {
    let class = prop_oneof![
        4 => Just(WorkClass::Urgent),
        2 => Just(WorkClass::Batch),
        1 => Just(WorkClass::Gang),
        1 => Just(WorkClass::Service),
    ];
    let shape = (
        any::<bool>(),
        any::<bool>(),
        0..2_usize,
        1..4_u32,
        1..6_u64,
        20..4000_u64,
    );
    let cancel = prop_oneof![4 => Just(None), 1 => (0..6000_u64).prop_map(Some)];
    (0..ACTIVE_MS, class, shape, cancel).prop_map(|(at_ms, class, shape, cancel_after_ms)| {
        let (quick, idempotent, team, tasks, cores, run_ms) = shape;
        let quick = quick && class == WorkClass::Urgent;
        let tasks = if quick { 1 } else { tasks };
        let cancel_after_ms = cancel_after_ms.filter(|_| !quick);
        PlannedWork {
            at_ms,
            class,
            quick,
            idempotent,
            team,
            tasks,
            cores,
            run_ms,
            cancel_after_ms,
        }
    })
}
