//! Clock readings in the answers to start and stop orders.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use lagoonnotch_fleet::model::{
    ApprovedConfig, DirectoryRead, PoolPolicy, QueuePolicy, RenewReply, RequestLimits,
    ResourceSize, RunReport, StartOutcome, StepSpec, StopOutcome, SubmissionRecord, UpstreamReport,
};
use lagoonnotch_fleet::owner::{
    OwnerSettings, QueryOutcome, RecoveredState, RenewOrder, StartOrder,
};
use lagoonnotch_host::clock::now_ms;
use lagoonnotch_host::control::{ControlActor, ControlInput, HostView, OwnershipGrant};
use lagoonnotch_host::forward::RenewalForwarder;
use lagoonnotch_host::peer::PeerClients;
use lagoonnotch_host::ports::{OrderAnswer, PlatformPorts, RenewOutcome, UpstreamPort, port};
use lagoonnotch_host::store::OWNER_KEY;

use crate::fake_store::FakeStore;
use crate::fixtures::idle_ports;

/// Maximum number of times that a test looks for a renewal.
const MAX_POLLS: u32 = 3000;

/// By how much the upstream's clock is ahead of the host's, in milliseconds.
const CLOCK_OFFSET_MS: u64 = 500_000;

/// Time that the upstream takes to answer a renewal.
const RENEWAL_TIME: Duration = Duration::from_millis(20);

/// An upstream that runs what it is ordered to run, and records renewals from the first start on.
#[derive(Clone, Default)]
struct FakeUpstream {
    running: Arc<Mutex<Vec<RunReport>>>,
    renewals: Arc<Mutex<Vec<RenewOrder>>>,
}

impl FakeUpstream {
    fn start(&self, order: &StartOrder) {
        self.running.lock().expect("runs lock").push(RunReport {
            task: order.task.to_string().into(),
            attempt: order.attempt,
            checkpoint: "".into(),
            percent: 1,
            recent_metric: 0,
        });
    }

    fn renew(&self, order: RenewOrder) -> RenewOutcome {
        let running = self.running.lock().expect("runs lock").clone();
        if !running.is_empty() {
            self.renewals.lock().expect("renewals lock").push(order);
        }
        RenewOutcome::Answered(RenewReply {
            clock_ms: now_ms() + CLOCK_OFFSET_MS,
            incarnation_unix_ms: 1,
            running,
            finished: Vec::new(),
            finished_truncated: false,
        })
    }

    /// Returns ports whose answers to start orders have a reading of the clock that is made by
    /// `clock`.
    fn ports(&self, store: &FakeStore, clock: fn() -> u64) -> PlatformPorts {
        let (starting, renewing) = (self.clone(), self.clone());
        PlatformPorts {
            store: store.port(),
            upstream: UpstreamPort {
                renew_leases: port(move |order| {
                    let outcome = renewing.renew(order);
                    async move {
                        tokio::time::sleep(RENEWAL_TIME).await;
                        outcome
                    }
                }),
                start: port(move |order| {
                    starting.start(&order);
                    std::future::ready(OrderAnswer {
                        outcome: StartOutcome::Started,
                        clock_ms: Some(clock()),
                    })
                }),
                stop: port(|_| {
                    std::future::ready(OrderAnswer::without_clock(StopOutcome::Accepted))
                }),
                query_policy: port(|_| std::future::ready(QueryOutcome::Failed)),
            },
            ..idle_ports()
        }
    }

    /// Returns whether a renewal after the first start grants nothing; waits until `count` were
    /// sent.
    async fn questions_among(&self, count: usize) -> Option<usize> {
        for _ in 0..MAX_POLLS {
            let renewals = self.renewals.lock().expect("renewals lock").clone();
            if renewals.len() >= count {
                let grants_nothing = |order: &&RenewOrder| order.deadline_ms.is_none();
                return Some(renewals.iter().filter(grants_nothing).count());
            }
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        None
    }
}

fn queue() -> QueuePolicy {
    QueuePolicy {
        name: "batch".into(),
        host: "cell.example".into(),
        prefix: "/batch/".into(),
        pool: "crew".into(),
        priority: 1,
        max_attempts: 2,
        stretch: 2.0,
        objective_ms: 1000,
        timeout_ms: 3000,
        open: true,
        policy_service: None,
    }
}

fn config() -> Arc<ApprovedConfig> {
    let pool = PoolPolicy {
        name: "crew".into(),
        enforces_capacity: false,
    };
    Arc::new(ApprovedConfig {
        version: 1,
        revision: 1,
        queues: vec![Arc::new(queue())],
        pools: HashMap::from([("crew".into(), pool)]),
        teams: HashMap::new(),
        keys: HashMap::new(),
        limits: RequestLimits {
            max_body_bytes: 1024,
            max_header_bytes: 1024,
            header_timeout_ms: 1000,
            idle_timeout_ms: 1000,
        },
    })
}

fn directory() -> DirectoryRead {
    DirectoryRead {
        reports: vec![UpstreamReport {
            id: "u1".into(),
            incarnation_unix_ms: 1,
            pool: "crew".into(),
            address: "127.0.0.1:1".into(),
            failure_domain: "d1".into(),
            draining: false,
            revision: 1,
            capacity: ResourceSize::new(4000, 16_384, 0),
            labels: Arc::from(["a".into(), "rack-1".into()]),
        }],
        unreadable: BTreeSet::new(),
        written_after: BTreeMap::new(),
        requested_at: now_ms(),
        revision: 1,
    }
}

fn submission() -> Arc<SubmissionRecord> {
    Arc::new(SubmissionRecord {
        id: "5c0e7a21d94b36f8".into(),
        team: None,
        queue: Arc::new(queue()),
        payload: "work".into(),
        steps: vec![StepSpec {
            count: 1,
            demand: ResourceSize::new(1000, 1024, 0),
            estimate_ms: 60_000,
            ..StepSpec::default()
        }],
        repeats: 0,
        first_due_unix_ms: 0,
        period_ms: 0,
        accepted_unix_ms: 0,
    })
}

/// Makes a host the owner of a fleet with one upstream, and submits one task.
async fn start_task(upstream: &FakeUpstream, clock: fn() -> u64) {
    let store = FakeStore::default();
    let epoch = store.put(OWNER_KEY, "{}");
    let view = HostView::default();
    let control = ControlActor::start(
        "host-1".into(),
        OwnerSettings::default(),
        view.clone(),
        Arc::default(),
        upstream.ports(&store, clock),
        PeerClients::default(),
        RenewalForwarder::new("host-1".into(), "host-1:1".into()),
    );
    let is_applied = view.set_config(now_ms(), 1, Some(config()), BTreeSet::new());
    assert!(is_applied, "the configuration");
    let grant = OwnershipGrant {
        epoch,
        generation: 1,
        recovered: RecoveredState::default(),
        valid_until: now_ms() + 3_600_000,
        known_until: now_ms(),
    };
    let submitted = vec![(submission(), epoch + 1)];
    control
        .send(ControlInput::OwnershipGranted(Box::new(grant)))
        .await;
    control.send(ControlInput::DirectoryRead(directory())).await;
    control
        .send(ControlInput::SubmissionsStored(submitted))
        .await;
}

/// Guards against leases on the clock of a former incarnation although the answer to a start has
/// shown that the upstream has started again.
#[tokio::test]
async fn start_answer_with_an_earlier_clock_stops_grants_until_the_next_list() {
    let upstream = FakeUpstream::default();

    start_task(&upstream, || 10).await;
    let questions = upstream.questions_among(4).await;

    assert!(
        questions.is_some_and(|count| count > 0),
        "{questions:?} of 4 renewals after the start grant nothing"
    );
}

/// A clock that goes on must not cost a renewal of the leases.
#[tokio::test]
async fn start_answer_with_a_later_clock_does_not_stop_grants() {
    let upstream = FakeUpstream::default();

    start_task(&upstream, || now_ms() + CLOCK_OFFSET_MS).await;
    let questions = upstream.questions_among(4).await;

    assert_eq!(questions, Some(0));
}
