//! Renewals that other hosts send for the owner.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use lagoonnotch_fleet::model::{RenewReply, StartOutcome, StopOutcome};
use lagoonnotch_fleet::owner::{QueryOutcome, RenewOrder};
use lagoonnotch_host::clock::now_ms;
use lagoonnotch_host::control::{HostView, OwnerInfo};
use lagoonnotch_host::forward::{
    BatchOrder, BatchReceipt, DelegateGate, DelegateTable, DelegatedOutcome, ForwardPeer,
    ForwardedRenewal, RenewalBatch, RenewalDelegate, RenewalForwarder, RenewalReport,
    ReportedRenewal,
};
use lagoonnotch_host::peer::PeerClients;
use lagoonnotch_host::ports::{OrderAnswer, RenewOutcome, UpstreamPort, port};

/// Epoch of the owner.
const EPOCH: u64 = 40;

/// Identifies the delegates' processes.
const INSTANCE: u64 = 7;

/// By how much the delegates' clocks are ahead of the owner's, in milliseconds.
const CLOCK_OFFSET_MS: u64 = 50_000;

/// Time at which the owner's clock starts in the tests, in milliseconds.
const START_MS: u64 = 10_000;

/// Until when the owner may act, in milliseconds of its clock.
const VALID_UNTIL: u64 = 60_000;

/// Number of upstreams in the tests; one core carries 1000.
const UPSTREAM_COUNT: usize = 800;

fn peer(host: &str, failure_domain: &str, processor_milli: u32) -> ForwardPeer {
    ForwardPeer {
        host: host.into(),
        address: format!("{host}:1").into(),
        failure_domain: failure_domain.into(),
        processor_milli,
    }
}

fn peers() -> Vec<ForwardPeer> {
    vec![
        peer("owner", "d0", 500),
        peer("small", "d0", 120),
        peer("large", "d0", 500),
        peer("other", "d1", 500),
    ]
}

fn order(upstream: usize) -> RenewOrder {
    RenewOrder {
        upstream: format!("u{upstream}").into(),
        address: "10.0.0.1:80".into(),
        failure_domain: format!("d{}", upstream % 2).into(),
        epoch: EPOCH,
        fence: EPOCH,
        ack_number: 57,
        deadline_ms: Some(9000),
        wait_ms: 1000,
    }
}

/// Returns a renewal that asks for the list of runs at once, and grants and acknowledges nothing.
fn question(upstream: usize) -> RenewOrder {
    RenewOrder {
        ack_number: 0,
        deadline_ms: None,
        wait_ms: 0,
        ..order(upstream)
    }
}

fn receipt(now: u64) -> BatchReceipt {
    BatchReceipt {
        instance: INSTANCE,
        clock_ms: now + CLOCK_OFFSET_MS,
        accepted: true,
    }
}

fn answer() -> DelegatedOutcome {
    DelegatedOutcome::Sent(RenewOutcome::Answered(RenewReply {
        clock_ms: 1,
        incarnation_unix_ms: 1,
        running: Vec::new(),
        finished: Vec::new(),
        finished_truncated: false,
    }))
}

fn report(batches: &[BatchOrder], outcome: &DelegatedOutcome) -> RenewalReport {
    let renewals = batches.iter().flat_map(|order| &order.batch.renewals);
    RenewalReport {
        epoch: EPOCH,
        renewals: renewals
            .map(|renewal| ReportedRenewal {
                number: renewal.number,
                outcome: outcome.clone(),
            })
            .collect(),
    }
}

/// Returns a forwarder that has chosen its delegates but has not read their clocks.
fn new_forwarder() -> RenewalForwarder {
    let mut forwarder = RenewalForwarder::new("owner".into(), "owner:1".into());
    forwarder.begin(EPOCH);
    forwarder.update(START_MS, &peers(), UPSTREAM_COUNT);
    forwarder
}

/// Returns a forwarder that knows the clocks of its delegates as of [`START_MS`].
fn ready_forwarder() -> RenewalForwarder {
    let mut forwarder = new_forwarder();
    for upstream in 0..2 {
        forwarder.enqueue(START_MS, order(upstream));
    }
    for request in forwarder.take_batches(START_MS, VALID_UNTIL) {
        forwarder.on_receipt(START_MS, &request.delegate, &[], Some(receipt(START_MS)));
    }
    forwarder
}

/// Queues the renewals of all upstreams, and takes their batches when they are due.
fn forward_all(forwarder: &mut RenewalForwarder, now: u64) -> Vec<BatchOrder> {
    for upstream in 0..UPSTREAM_COUNT {
        forwarder.enqueue(now, order(upstream));
    }
    forwarder.take_batches(forwarder.next_due_at(), VALID_UNTIL)
}

/// An owner with more upstreams than its processor carries must send no renewal itself, and one
/// call for each failure domain's delegate must carry all of them.
#[test]
fn large_fleet_is_renewed_by_delegates_alone() {
    let mut forwarder = ready_forwarder();

    let direct =
        (0..UPSTREAM_COUNT).filter_map(|upstream| forwarder.enqueue(START_MS, order(upstream)));
    let direct = direct.count();
    let batches = forwarder.take_batches(forwarder.next_due_at(), VALID_UNTIL);

    let sizes: Vec<_> = batches
        .iter()
        .map(|order| (&*order.delegate, order.batch.renewals.len()))
        .collect();
    assert_eq!(direct, 0);
    assert_eq!(
        sizes,
        [("large", UPSTREAM_COUNT / 2), ("other", UPSTREAM_COUNT / 2)]
    );
}

/// An owner whose processor carries its upstreams must go on without delegates.
#[test]
fn small_fleet_is_renewed_directly() {
    let mut forwarder = ready_forwarder();
    forwarder.update(START_MS, &peers(), 500);

    let direct = forwarder.enqueue(START_MS, order(0));

    assert_eq!(direct, Some(order(0)));
}

/// Without a recent reading of the delegate's clock no time limit can be given to it, so the owner
/// sends the renewal itself and asks for a reading.
#[test]
fn delegate_with_an_unknown_clock_gets_no_renewal() {
    let mut forwarder = new_forwarder();

    let direct = forwarder.enqueue(START_MS, order(0));
    let batches = forwarder.take_batches(START_MS, VALID_UNTIL);

    assert_eq!(direct, Some(order(0)));
    assert!(batches[0].batch.renewals.is_empty());
}

/// The loss of a delegate must cost each of its upstreams one retry by the owner that does not
/// wait, and no silent upstream; what the delegate reports later must be ignored.
#[test]
fn lost_delegate_costs_one_retry() {
    let mut forwarder = ready_forwarder();
    let batches = forward_all(&mut forwarder, START_MS);
    let lost = &batches[0];
    let numbers: Vec<_> = lost
        .batch
        .renewals
        .iter()
        .map(|renewal| renewal.number)
        .collect();

    forwarder.on_receipt(START_MS + 260, &lost.delegate, &numbers, None);
    let retries = forwarder.take_retries();
    let late = forwarder.on_report(START_MS + 300, report(&batches[..1], &answer()));

    assert_eq!(retries.len(), UPSTREAM_COUNT / 2);
    let asks_only =
        |retry: &RenewOrder| (retry.ack_number, retry.deadline_ms, retry.wait_ms) == (0, None, 0);
    assert!(retries.iter().all(asks_only));
    assert_eq!(late, Vec::new());
    assert_eq!(
        forwarder.take_lost_delegates(),
        [("large".into(), "no receipt")]
    );
}

/// A delegate that confirms batches but reports nothing must be given up when an outcome is
/// overdue.
#[test]
fn silent_delegate_is_given_up_when_an_outcome_is_overdue() {
    let mut forwarder = ready_forwarder();
    let batches = forward_all(&mut forwarder, START_MS);
    for order in &batches {
        forwarder.on_receipt(
            START_MS + 20,
            &order.delegate,
            &[],
            Some(receipt(START_MS + 20)),
        );
    }

    forwarder.check_overdue(START_MS + 1799);
    let early = forwarder.take_retries();
    forwarder.check_overdue(START_MS + 1800);

    assert_eq!(early, Vec::new());
    assert_eq!(forwarder.take_retries().len(), UPSTREAM_COUNT);
    assert_eq!(forwarder.next_due_at(), u64::MAX);
}

/// A failed renewal may be the fault of the delegate's links, so it must be retried directly before
/// the upstream counts as silent, and the upstream is renewed directly for some time.
#[test]
fn failed_renewal_is_retried_before_the_upstream_counts_as_silent() {
    let mut forwarder = ready_forwarder();
    forwarder.enqueue(START_MS, order(0));
    let batches = forwarder.take_batches(START_MS + 10, VALID_UNTIL);

    let failed = DelegatedOutcome::Sent(RenewOutcome::Failed);
    let settled = forwarder.on_report(START_MS + 1300, report(&batches, &failed));
    let retries = forwarder.take_retries();
    let next = forwarder.enqueue(START_MS + 1400, order(0));

    assert_eq!(settled, Vec::new());
    assert_eq!(retries, [question(0)]);
    assert_eq!(next, Some(order(0)));
}

/// Guards against an upstream that starts again while its renewal is with a delegate, and gets a
/// lease on the clock of its former incarnation, or forgets finished runs that nobody has seen.
#[test]
fn repeated_renewal_grants_and_acknowledges_nothing() {
    let dropped = DelegatedOutcome::Dropped;
    let failed = DelegatedOutcome::Sent(RenewOutcome::Failed);
    let not_accepted = BatchReceipt {
        accepted: false,
        ..receipt(START_MS + 20)
    };
    let retries_after = |lose: &dyn Fn(&mut RenewalForwarder, &BatchOrder, u64)| {
        let mut forwarder = ready_forwarder();
        forwarder.enqueue(START_MS, order(0));
        let batch = forwarder.take_batches(START_MS + 10, VALID_UNTIL).remove(0);
        lose(&mut forwarder, &batch, batch.batch.renewals[0].number);
        forwarder.take_retries()
    };

    let without_receipt = retries_after(&|forwarder, batch, number| {
        forwarder.on_receipt(START_MS + 260, &batch.delegate, &[number], None);
    });
    let without_outcome =
        retries_after(&|forwarder, _, _| forwarder.check_overdue(START_MS + 1800));
    let after_refusal = retries_after(&|forwarder, batch, number| {
        let receipt = Some(not_accepted);
        forwarder.on_receipt(START_MS + 20, &batch.delegate, &[number], receipt);
    });
    let after_drop = retries_after(&|forwarder, batch, _| {
        forwarder.on_report(START_MS + 20, report(std::slice::from_ref(batch), &dropped));
    });
    let after_failure = retries_after(&|forwarder, batch, _| {
        forwarder.on_report(START_MS + 20, report(std::slice::from_ref(batch), &failed));
    });

    assert_eq!(without_receipt, [question(0)], "no receipt");
    assert_eq!(without_outcome, [question(0)], "no outcome");
    assert_eq!(after_refusal, [question(0)], "batch not accepted");
    assert_eq!(after_drop, [question(0)], "dropped");
    assert_eq!(after_failure, [question(0)], "no answer");
}

/// The owner must be told which of its tokens an upstream has rejected, and decides whether that
/// was a later one of its own.
#[test]
fn rejected_renewal_is_settled_with_its_token() {
    let mut forwarder = ready_forwarder();
    forwarder.enqueue(START_MS, order(0));
    let batches = forwarder.take_batches(START_MS + 10, VALID_UNTIL);

    let fenced = DelegatedOutcome::Sent(RenewOutcome::Fenced);
    let settled = forwarder.on_report(START_MS + 100, report(&batches, &fenced));

    assert_eq!(settled.len(), 1);
    assert_eq!(settled[0].outcome, RenewOutcome::Fenced);
    assert_eq!(settled[0].order, order(0));
    assert_eq!(forwarder.take_retries(), Vec::new());
}

/// A list counts as requested when the owner handed the renewal over, which is before the delegate
/// requested it.
#[test]
fn settled_renewal_carries_the_time_of_its_hand_over() {
    let mut forwarder = ready_forwarder();
    forwarder.enqueue(START_MS, order(0));
    let batches = forwarder.take_batches(START_MS + 10, VALID_UNTIL);

    let settled = forwarder.on_report(START_MS + 900, report(&batches, &answer()));

    assert_eq!(settled.len(), 1);
    assert_eq!(settled[0].handed_over_at, START_MS);
}

/// What an earlier ownership of the same host has forwarded must not be taken for renewals of the
/// present one.
#[test]
fn report_of_an_earlier_epoch_settles_nothing() {
    let mut forwarder = ready_forwarder();
    let batches = forward_all(&mut forwarder, START_MS);
    forwarder.begin(EPOCH + 1);

    let settled = forwarder.on_report(START_MS + 100, report(&batches, &answer()));

    assert_eq!(settled, Vec::new());
}

/// A batch must expire on the delegate's clock before the owner's time to act ends.
#[test]
fn batch_expires_with_the_ownership() {
    let mut forwarder = ready_forwarder();
    forwarder.enqueue(START_MS, order(0));

    let batches = forwarder.take_batches(START_MS + 10, START_MS + 60);

    assert_eq!(batches[0].batch.expires_at, START_MS + 60 + CLOCK_OFFSET_MS);
}

/// The gate must stop renewals that are late, of an earlier epoch, or meant for another process.
#[test]
fn gate_rejects_late_and_outdated_batches() {
    let batch = RenewalBatch {
        epoch: EPOCH,
        owner_address: "owner:1".into(),
        instance: INSTANCE,
        expires_at: 500,
        renewals: Vec::new(),
    };
    let newer = RenewalBatch {
        epoch: EPOCH + 5,
        ..batch.clone()
    };
    let other = RenewalBatch {
        instance: INSTANCE + 1,
        ..batch.clone()
    };
    let admit = |now, known_epoch, batch: &RenewalBatch| {
        DelegateGate::new(INSTANCE).admit(now, known_epoch, batch)
    };
    let mut gate = DelegateGate::new(INSTANCE);

    let newer_first = (gate.admit(400, 0, &newer), gate.admit(401, 0, &batch));

    assert!(admit(499, EPOCH, &batch));
    assert!(!admit(500, EPOCH, &batch), "late");
    assert!(
        !admit(499, EPOCH + 1, &batch),
        "the store names a later owner"
    );
    assert!(!admit(499, EPOCH, &other), "another process");
    assert_eq!(newer_first, (true, false));
}

/// Delegates must stay the same while hosts come and go, and be the same for each owner.
#[test]
fn delegates_are_sticky_and_the_same_for_each_owner() {
    let hosts: Vec<_> = (0..6)
        .map(|index| peer(&format!("h{index}"), "d0", 500))
        .collect();
    let mut first = DelegateTable::default();
    first.update(0, &hosts, UPSTREAM_COUNT);
    let mut second = DelegateTable::default();
    second.update(0, &hosts, UPSTREAM_COUNT);
    let chosen = first.delegate("u1", "d0").cloned().expect("a delegate");

    let with_larger = [hosts.clone(), vec![peer("larger", "d0", 4000)]].concat();
    first.update(200, &with_larger, UPSTREAM_COUNT);
    let after_arrival = first.delegate("u1", "d0").cloned();
    first.remove(300, &chosen.host);
    first.update(400, &with_larger, UPSTREAM_COUNT);
    let after_loss = first.delegate("u1", "d0").cloned().expect("a delegate");

    assert_eq!(second.delegate("u1", "d0"), Some(&chosen));
    assert_eq!(after_arrival, Some(chosen.clone()));
    assert_ne!(after_loss.host, chosen.host);
}

/// Returns a port that counts renewals, gives each the same outcome, and answers nothing else.
fn counting_port(calls: &Arc<AtomicUsize>, outcome: RenewOutcome) -> UpstreamPort {
    let calls = calls.clone();
    UpstreamPort {
        renew_leases: port(move |_| {
            calls.fetch_add(1, Ordering::Relaxed);
            std::future::ready(outcome.clone())
        }),
        start: port(|_| std::future::ready(OrderAnswer::without_clock(StartOutcome::Unknown))),
        stop: port(|_| std::future::ready(OrderAnswer::without_clock(StopOutcome::Unknown))),
        query_policy: port(|_| std::future::ready(QueryOutcome::Failed)),
    }
}

/// Returns a batch with a renewal of one upstream for a delegate.
fn batch_of_one(upstream: usize, instance: u64, expires_at: u64) -> RenewalBatch {
    RenewalBatch {
        epoch: EPOCH,
        owner_address: "127.0.0.1:1".into(),
        instance,
        expires_at,
        renewals: vec![ForwardedRenewal {
            number: 1,
            order: order(upstream),
        }],
    }
}

/// A renewal that the delegate accepted must not be sent once its time has passed or another owner
/// is known, as after a suspension of the delegate.
#[tokio::test]
async fn accepted_renewal_is_dropped_when_a_later_owner_is_known() {
    let calls = Arc::default();
    let view = HostView::default();
    let upstreams = counting_port(&calls, RenewOutcome::Failed);
    let delegate = RenewalDelegate::new(view.clone(), upstreams, PeerClients::default());
    let instance = delegate.accept(batch_of_one(0, 0, 0)).instance;

    let in_time = delegate.accept(batch_of_one(0, instance, now_ms() + 60_000));
    view.set_owner(Some(OwnerInfo {
        host: "next".into(),
        address: "next:1".into(),
        epoch: EPOCH + 1,
    }));
    let outdated = delegate.accept(batch_of_one(0, instance, now_ms() + 60_000));
    tokio::task::yield_now().await;

    assert!(in_time.accepted);
    assert!(!outdated.accepted);
    assert_eq!(calls.load(Ordering::Relaxed), 0);
}

/// Guards against a delegate that refuses an owner for good because the owner itself has raised the
/// token of one upstream, where an earlier renewal then came late.
#[tokio::test]
async fn rejected_renewal_does_not_end_the_service_of_the_delegate() {
    let calls = Arc::default();
    let upstreams = counting_port(&calls, RenewOutcome::Fenced);
    let delegate = RenewalDelegate::new(HostView::default(), upstreams, PeerClients::default());
    let instance = delegate.accept(batch_of_one(0, 0, 0)).instance;

    let first = delegate.accept(batch_of_one(0, instance, now_ms() + 60_000));
    tokio::task::yield_now().await;
    let calls_before = calls.load(Ordering::Relaxed);
    let second = delegate.accept(batch_of_one(1, instance, now_ms() + 60_000));
    tokio::task::yield_now().await;

    assert!(first.accepted);
    assert_eq!(calls_before, 1);
    assert!(second.accepted);
    assert_eq!(calls.load(Ordering::Relaxed), 2);
}
