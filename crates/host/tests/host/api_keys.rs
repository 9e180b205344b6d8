//! Tests of when a caller's key is accepted.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use lagoonnotch_fleet::model::{
    ApprovedConfig, QueuePolicy, RequestLimits, ResourceSize, TeamPolicy,
};
use lagoonnotch_fleet::owner::OwnerSettings;
use lagoonnotch_host::clock::now_ms;
use lagoonnotch_host::control::{ControlActor, HostView};
use lagoonnotch_host::entry::{
    EntryOperation, EntryRequest, EntryResponse, EntryService, OwnerNotifier, RefusalReason,
};
use lagoonnotch_host::forward::RenewalForwarder;
use lagoonnotch_host::metrics::FleetMetrics;
use lagoonnotch_host::peer::PeerClients;

use crate::fixtures::idle_ports;

const KEY: &str = "key-1";

/// Time within which a withdrawn key must stop working, in milliseconds.
const REVOKE_MS: u64 = 5000;

fn config(revision: u64, keys: &[&str]) -> Arc<ApprovedConfig> {
    let team: Arc<str> = "mist-maps".into();
    let queue = QueuePolicy {
        name: "batch".into(),
        host: "cell.example".into(),
        prefix: "/batch/".into(),
        pool: "harvest".into(),
        priority: 1,
        max_attempts: 2,
        stretch: 2.0,
        objective_ms: 1000,
        timeout_ms: 3000,
        open: false,
        policy_service: None,
    };
    let policy = TeamPolicy {
        name: team.clone(),
        weight: 1,
        upper_limit: ResourceSize::ZERO,
    };
    Arc::new(ApprovedConfig {
        version: revision,
        revision,
        queues: vec![Arc::new(queue)],
        pools: HashMap::new(),
        teams: HashMap::from([(team.clone(), Arc::new(policy))]),
        keys: keys
            .iter()
            .map(|key| (Arc::from(*key), team.clone()))
            .collect(),
        limits: RequestLimits {
            max_body_bytes: 65_536,
            max_header_bytes: 8192,
            header_timeout_ms: 3000,
            idle_timeout_ms: 15_000,
        },
    })
}

fn entry_service(view: &HostView) -> EntryService {
    let (ports, clients) = (idle_ports(), PeerClients::default());
    let metrics = Arc::new(FleetMetrics::default());
    let control = ControlActor::start(
        "h1".into(),
        OwnerSettings::default(),
        view.clone(),
        metrics.clone(),
        ports.clone(),
        clients.clone(),
        RenewalForwarder::new("h1".into(), "h1:1".into()),
    );
    let notifier = OwnerNotifier::start(view.clone(), control.clone(), clients.clone());
    EntryService::new(
        view.clone(),
        ports,
        notifier,
        control,
        clients,
        metrics,
        REVOKE_MS,
    )
}

/// Returns a request for the state of a submission that arrived at `received_at`.
fn show(received_at: u64) -> EntryRequest {
    EntryRequest {
        host: "cell.example".to_owned(),
        path: "/batch/5c0e7a21d94b36f8".to_owned(),
        key: Some(KEY.to_owned()),
        deadline_ms: Some(3000),
        operation: EntryOperation::Show,
        received_at,
    }
}

/// Guards against a key that works on although the host has read a configuration without it.
#[tokio::test]
async fn key_that_the_configuration_no_longer_has_is_rejected() {
    let (view, read_at) = (HostView::default(), now_ms());
    let entry = entry_service(&view);
    let _ = view.set_config(read_at, 1, Some(config(1, &[KEY])), BTreeSet::new());
    let before = entry.handle(show(read_at)).await;

    let _ = view.set_config(read_at, 2, Some(config(2, &[])), BTreeSet::new());
    let after = entry.handle(show(read_at)).await;

    assert_eq!(before, EntryResponse::NoSubmission);
    assert_eq!(after, EntryResponse::UnknownKey);
}

/// Guards against a withdrawn key that works on at a host that can't read the configuration.
#[tokio::test]
async fn keyed_request_is_refused_if_the_configuration_may_be_outdated() {
    let (view, read_at) = (HostView::default(), now_ms());
    let entry = entry_service(&view);
    let _ = view.set_config(read_at, 1, Some(config(1, &[KEY])), BTreeSet::new());

    let in_time = entry.handle(show(read_at + REVOKE_MS - 1000)).await;
    let outdated = entry.handle(show(read_at + REVOKE_MS - 999)).await;

    assert_eq!(in_time, EntryResponse::NoSubmission);
    assert!(
        matches!(
            outdated,
            EntryResponse::Refused(RefusalReason::StaleConfig, _)
        ),
        "{outdated:?}"
    );
}
