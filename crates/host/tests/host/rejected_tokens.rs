//! Fencing tokens that upstreams reject.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use lagoonnotch_fleet::model::{
    ApprovedConfig, DirectoryRead, RequestLimits, ResourceSize, UpstreamReport,
};
use lagoonnotch_fleet::owner::{OwnerSettings, RecoveredState, RenewOrder};
use lagoonnotch_host::clock::now_ms;
use lagoonnotch_host::control::{ControlActor, ControlInput, HostView, OwnershipGrant};
use lagoonnotch_host::forward::RenewalForwarder;
use lagoonnotch_host::peer::PeerClients;
use lagoonnotch_host::ports::RenewOutcome;

use crate::fixtures::idle_ports;

/// Maximum number of times that a test looks whether the ownership has ended.
const MAX_POLLS: u32 = 5000;

/// Epoch of the owner.
const EPOCH: u64 = 5;

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
            labels: Arc::from([]),
        }],
        unreadable: BTreeSet::new(),
        written_after: BTreeMap::new(),
        requested_at: now_ms(),
        revision: 1,
    }
}

/// Returns whether the host's ownership ends.
async fn ends(view: &HostView) -> bool {
    for _ in 0..MAX_POLLS {
        if view.owned_epoch().is_none() {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    false
}

/// Guards against an owner that goes on although an upstream has seen the token of a later owner.
#[tokio::test]
async fn rejection_of_the_present_token_ends_the_ownership() {
    let view = HostView::default();
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
    let grant = OwnershipGrant {
        epoch: EPOCH,
        generation: 1,
        recovered: RecoveredState::default(),
        valid_until: now_ms() + 3_600_000,
        known_until: now_ms(),
    };
    let order = RenewOrder {
        upstream: "u1".into(),
        address: "127.0.0.1:1".into(),
        failure_domain: "d1".into(),
        epoch: EPOCH,
        fence: EPOCH,
        ack_number: 0,
        deadline_ms: None,
        wait_ms: 0,
    };

    control
        .send(ControlInput::OwnershipGranted(Box::new(grant)))
        .await;
    control.send(ControlInput::DirectoryRead(directory())).await;
    control.submission_state("none".into()).await;
    let owned_before = view.owned_epoch();
    let rejection = ControlInput::RenewalFinished(order, now_ms(), RenewOutcome::Fenced);
    control.send(rejection).await;
    let has_ended = ends(&view).await;

    assert!(is_applied, "the configuration");
    assert_eq!(owned_before, Some(EPOCH));
    assert!(has_ended);
}
