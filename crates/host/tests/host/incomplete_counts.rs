//! Tests of counts by an owner that may not know all that hosts accepted.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use lagoonnotch_fleet::model::{ApprovedConfig, RequestLimits};
use lagoonnotch_fleet::owner::{OwnerSettings, RecoveredState};
use lagoonnotch_host::clock::now_ms;
use lagoonnotch_host::control::{
    ControlActor, ControlHandle, ControlInput, HostView, OwnershipGrant, WaitingCount,
};
use lagoonnotch_host::forward::RenewalForwarder;
use lagoonnotch_host::peer::PeerClients;

use crate::fixtures::idle_ports;

/// Maximum number of times that a test looks whether the owner has counted.
const MAX_POLLS: u32 = 5000;

fn far_future() -> u64 {
    now_ms() + 3_600_000
}

fn config() -> Arc<ApprovedConfig> {
    Arc::new(ApprovedConfig {
        version: 1,
        revision: 1,
        queues: Vec::new(),
        pools: HashMap::new(),
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

/// Epoch of the ownership in the tests below.
const EPOCH: u64 = 5;

/// Makes a host the owner, with a state that was listed from the time `known_until` on, and waits for
/// the first tick.
async fn owner_recovered_from(known_until: u64, view: &HostView) -> ControlHandle {
    let control = ControlActor::start(
        "host-1".into(),
        OwnerSettings::default(),
        view.clone(),
        Arc::default(),
        idle_ports(),
        PeerClients::default(),
        RenewalForwarder::new("host-1".into(), "host-1:1".into()),
    );
    let is_applied = view.set_config(now_ms(), 1, Some(config()), BTreeSet::new());
    assert!(is_applied, "the configuration");
    let grant = OwnershipGrant {
        epoch: EPOCH,
        generation: 1,
        recovered: RecoveredState::default(),
        valid_until: far_future(),
        known_until,
    };
    control
        .send(ControlInput::OwnershipGranted(Box::new(grant)))
        .await;
    // The tick is queued before the second lookup.
    for _ in 0..2 {
        control.submission_state("none".into()).await;
    }
    control
}

/// Returns the owner's count once it has one.
async fn next_count(view: &HostView) -> Option<WaitingCount> {
    for _ in 0..MAX_POLLS {
        if let Some(count) = view.waiting_count("check") {
            return Some(count);
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    None
}

/// Guards against callers being told that few submissions wait after a long recovery: the owner does
/// not know yet what hosts accepted since it listed the store.
#[tokio::test]
async fn owner_with_an_old_listing_reports_no_counts() {
    let view = HostView::default();

    let control = owner_recovered_from(now_ms().saturating_sub(3001), &view).await;
    let early = view.heartbeat_reply("10.0.0.2:7180", 0);
    let until = far_future();
    control
        .send(ControlInput::AcceptedKnown {
            epoch: EPOCH,
            until,
        })
        .await;
    let count = next_count(&view).await;

    assert_eq!(early.epoch, None);
    assert_eq!(count.map(|count| count.epoch), Some(EPOCH));
}

/// Counts must not be refused after a short recovery.
#[tokio::test]
async fn owner_with_a_recent_listing_reports_counts() {
    let view = HostView::default();

    let _control = owner_recovered_from(far_future(), &view).await;

    assert_eq!(view.heartbeat_reply("10.0.0.2:7180", 0).epoch, Some(EPOCH));
}

/// A report about another epoch's reads says nothing about what the present owner knows.
#[tokio::test]
async fn report_of_another_epoch_does_not_complete_counts() {
    let view = HostView::default();
    let control = owner_recovered_from(now_ms().saturating_sub(3001), &view).await;

    let (epoch, until) = (EPOCH - 1, far_future());
    control
        .send(ControlInput::AcceptedKnown { epoch, until })
        .await;
    for _ in 0..2 {
        control.submission_state("none".into()).await;
    }

    assert_eq!(view.heartbeat_reply("10.0.0.2:7180", 0).epoch, None);
}
