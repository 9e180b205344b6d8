//! Relays requests to the store through other hosts.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use crate::clock::now_ms;
use crate::control::HostView;
use crate::peer::{PeerClients, PeerError};
use crate::ports::{ListRequest, StoreError, WriteOutcome, WriteRequest, port};
use crate::store::HedgeContext;

/// Time for which no request is relayed after a write that no peer could relay, in milliseconds.
/// During this time relayed requests fail immediately.
const RELAY_BACKOFF_MS: u64 = 1000;

/// Maximum number of peers that are tried per request.
const MAX_RELAY_PEERS: usize = 2;

/// Creates the context in which a host hedges its store requests through its peers.
pub(super) fn hedge_context(
    own_address: &str,
    view: &HostView,
    clients: &PeerClients,
) -> HedgeContext {
    let own_address: Arc<str> = own_address.into();
    let last_failure = Arc::new(AtomicU64::new(0));
    let relays = {
        let (view, last_failure) = (view.clone(), last_failure.clone());
        move || {
            if now_ms().saturating_sub(last_failure.load(Ordering::Relaxed)) < RELAY_BACKOFF_MS {
                return Vec::new();
            }
            let mut relays = view.relay_addresses(&own_address);
            relays.truncate(MAX_RELAY_PEERS);
            relays
        }
    };
    let context_view = view.clone();
    let (read_clients, list_clients, write_clients) =
        (clients.clone(), clients.clone(), clients.clone());
    let (read_relays, list_relays, write_relays) = (relays.clone(), relays.clone(), relays);
    HedgeContext {
        is_store_unresponsive: Arc::new(move || context_view.is_store_unresponsive()),
        latency: Arc::default(),
        read: port(move |key: String| {
            let (clients, relays) = (read_clients.clone(), read_relays());
            async move {
                for address in relays {
                    match clients.store_read(&address, key.clone()).await {
                        Ok(Err(StoreError::NotExecuted)) | Err(_) => {}
                        Ok(response) => return Some(response),
                    }
                }
                None
            }
        }),
        list: port(move |request: ListRequest| {
            let (clients, relays) = (list_clients.clone(), list_relays());
            async move {
                for address in relays {
                    match clients.store_list(&address, request.clone()).await {
                        Ok(Err(StoreError::NotExecuted)) | Err(_) => {}
                        Ok(response) => return Some(response),
                    }
                }
                None
            }
        }),
        write: port(move |request: WriteRequest| {
            let (clients, relays) = (write_clients.clone(), write_relays());
            let last_failure = last_failure.clone();
            let tried = !relays.is_empty();
            async move {
                for address in relays {
                    match clients.store_write(&address, request.clone()).await {
                        Ok(WriteOutcome::NotApplied) | Err(PeerError::NotSent) => {}
                        Ok(outcome) => return Some(outcome),
                        Err(PeerError::NoReply) => return None,
                    }
                }
                if tried {
                    last_failure.store(now_ms(), Ordering::Relaxed);
                }
                Some(WriteOutcome::NotApplied)
            }
        }),
    }
}
