//! The store through a peer.

use std::sync::Arc;

use bytes::Bytes;
use lagoonnotch_host::ports::{
    ListRequest, StoreError, StorePort, WriteOutcome, WriteRequest, port,
};
use lagoonnotch_host::store::{
    RelayClient, StoreOutcome, SubmissionStore, relayed_store, submission_key,
};

use crate::fake_store::{FakeStore, Fate};

/// Calls through a peer that reaches the store, or through none.
fn relay(store: Option<&FakeStore>, is_direct_down: bool) -> RelayClient {
    let reached = store.map(FakeStore::port);
    let (read, write) = (reached.clone(), reached);
    RelayClient {
        is_direct_down: Arc::new(move || is_direct_down),
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
        write: port(move |call: WriteRequest| {
            let store = write.clone();
            async move {
                match store {
                    Some(store) => Some((store.write)(call).await),
                    None => Some(WriteOutcome::NotApplied),
                }
            }
        }),
    }
}

/// A direct write without an answer is settled by the same write through a peer.
#[tokio::test]
async fn write_without_an_answer_is_settled_through_a_peer() {
    let direct = FakeStore::default();
    direct.set_fate(Fate::Dropped);
    let reached = FakeStore::default();
    let store = relayed_store(&direct.port(), &relay(Some(&reached), false));

    let answer = SubmissionStore::new(store)
        .create("s1", Bytes::from_static(b"{}"))
        .await;

    assert!(matches!(answer, StoreOutcome::Stored(_)));
}

/// Without any way to the store nothing was written, and the caller may be told so.
#[tokio::test]
async fn nothing_is_stored_without_any_way() {
    let direct = FakeStore::default();
    let store = relayed_store(&direct.port(), &relay(None, true));

    let answer = SubmissionStore::new(store)
        .create("s1", Bytes::from_static(b"{}"))
        .await;

    assert_eq!(answer, StoreOutcome::NotStored);
}

/// A direct write that may still be done leaves the outcome open, although no peer was reached.
#[tokio::test]
async fn direct_write_without_an_answer_stays_open_without_a_peer() {
    let direct = FakeStore::default();
    direct.set_fate(Fate::Late);
    let store = relayed_store(&direct.port(), &relay(None, false));

    let answer = SubmissionStore::new(store)
        .create("s1", Bytes::from_static(b"{}"))
        .await;

    assert_eq!(answer, StoreOutcome::Unknown);
}

/// Of several calls of the same write one is done; the others find it.
#[tokio::test]
async fn repeated_write_finds_its_first_call() {
    let store = FakeStore::default();
    let direct = store.port();
    let relay = relay(Some(&store), false);
    let store_port = relayed_store(&losing_answers(&direct), &relay);

    let answer = SubmissionStore::new(store_port)
        .create("s1", Bytes::from_static(b"{}"))
        .await;

    let created = (direct.read)(submission_key("s1"))
        .await
        .map(|item| item.create_revision);
    assert_eq!(Ok(answer), created.map(StoreOutcome::Stored));
}

/// The store, with writes that are done and not answered.
fn losing_answers(store: &StorePort) -> StorePort {
    let write = store.write.clone();
    StorePort {
        write: port(move |call: WriteRequest| {
            let done = write(call);
            async move {
                done.await;
                WriteOutcome::Unknown
            }
        }),
        ..store.clone()
    }
}
