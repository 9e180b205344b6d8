//! Store requests that are hedged through a peer.

use std::sync::Arc;

use bytes::Bytes;
use lagoonnotch_host::control::{HostView, OwnerInfo};
use lagoonnotch_host::peer::PeerInfo;
use lagoonnotch_host::ports::{
    ListRequest, StoreError, StorePort, WriteOutcome, WriteRequest, port,
};
use lagoonnotch_host::store::{
    HedgeContext, StoreOutcome, SubmissionStore, hedged_store, submission_key,
};

use crate::fake_store::{FakeStore, WriteMode};

/// Returns a context whose peer reaches the given store, or that reaches no peer.
fn hedge_context(store: Option<&FakeStore>, is_store_unresponsive: bool) -> HedgeContext {
    let reachable = store.map(FakeStore::port);
    let (read, write) = (reachable.clone(), reachable);
    HedgeContext {
        is_store_unresponsive: Arc::new(move || is_store_unresponsive),
        latency: Arc::default(),
        read: port(move |key: String| {
            let store = read.clone();
            async move {
                match store {
                    Some(store) => Some((store.read)(key).await),
                    None => None,
                }
            }
        }),
        list: port(|_: ListRequest| std::future::ready(Some(Err(StoreError::NotExecuted)))),
        write: port(move |request: WriteRequest| {
            let store = write.clone();
            async move {
                match store {
                    Some(store) => Some((store.write)(request).await),
                    None => Some(WriteOutcome::NotApplied),
                }
            }
        }),
    }
}

/// A direct write that is dropped without a response must succeed through a peer.
#[tokio::test]
async fn dropped_write_succeeds_through_a_peer() {
    let direct = FakeStore::default();
    direct.set_write_mode(WriteMode::Dropped);
    let reachable = FakeStore::default();
    let store = hedged_store(&direct.port(), &hedge_context(Some(&reachable), false));

    let outcome = SubmissionStore::new(store)
        .create("s1", Bytes::from_static(b"{}"))
        .await;

    assert!(matches!(outcome, StoreOutcome::Stored(_)));
}

/// If neither the direct connection nor a peer is available, nothing was sent, so the write must be
/// reported as not stored rather than unknown.
#[tokio::test]
async fn write_without_any_connection_is_not_stored() {
    let direct = FakeStore::default();
    let store = hedged_store(&direct.port(), &hedge_context(None, true));

    let outcome = SubmissionStore::new(store)
        .create("s1", Bytes::from_static(b"{}"))
        .await;

    assert_eq!(outcome, StoreOutcome::NotStored);
}

/// A direct write that may still be applied leaves the outcome unknown, although the relayed write
/// was certainly not applied.
#[tokio::test]
async fn unanswered_direct_write_is_unknown_without_a_peer() {
    let direct = FakeStore::default();
    direct.set_write_mode(WriteMode::Delayed);
    let store = hedged_store(&direct.port(), &hedge_context(None, false));

    let outcome = SubmissionStore::new(store)
        .create("s1", Bytes::from_static(b"{}"))
        .await;

    assert_eq!(outcome, StoreOutcome::Unknown);
}

/// Only one of several hedged requests of a write is applied. The others conflict with it, and the
/// conflict must be recognized as the host's own write.
#[tokio::test]
async fn hedged_write_recognizes_its_first_request() {
    let store = FakeStore::default();
    let direct = store.port();
    let context = hedge_context(Some(&store), false);
    let store_port = hedged_store(&losing_responses(&direct), &context);

    let outcome = SubmissionStore::new(store_port)
        .create("s1", Bytes::from_static(b"{}"))
        .await;

    let create_revision = (direct.read)(submission_key("s1"))
        .await
        .map(|item| item.create_revision);
    assert_eq!(Ok(outcome), create_revision.map(StoreOutcome::Stored));
}

/// Returns a store that applies writes without responding.
fn losing_responses(store: &StorePort) -> StorePort {
    let write = store.write.clone();
    StorePort {
        write: port(move |request: WriteRequest| {
            let write_future = write(request);
            async move {
                write_future.await;
                WriteOutcome::Unknown
            }
        }),
        ..store.clone()
    }
}

/// Guards against a host that asks the owner twice and one peer fewer, because the owner is also
/// among the peers.
#[test]
fn owner_that_is_also_a_peer_is_one_relay() {
    let view = HostView::default();
    let peer = |address: &str| PeerInfo {
        address: address.into(),
        processor_milli: 1000,
    };
    view.set_owner(Some(OwnerInfo {
        host: "h3".into(),
        address: "a3".into(),
        epoch: 7,
    }));
    view.set_peers(vec![peer("a1"), peer("a2"), peer("a3"), peer("a4")]);

    let relays = view.relay_addresses("a2");

    assert_eq!(relays, ["a3", "a1", "a4"].map(Arc::from));
}
