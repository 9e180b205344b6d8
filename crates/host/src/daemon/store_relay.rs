//! Calls to the store through other hosts.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use crate::clock::now_ms;
use crate::control::HostView;
use crate::peer::{PeerClients, PeerError};
use crate::ports::{ListRequest, StoreError, WriteOutcome, WriteRequest, port};
use crate::store::RelayClient;

/// Pause after no peer could be reached, in milliseconds; callers are refused at once meanwhile.
const MISSED_PAUSE_MS: u64 = 1000;

/// Peers that are tried for one call.
const MAX_RELAYS: usize = 2;

/// Makes the calls of a host through its peers.
pub(super) fn relay_client(
    own_address: &str,
    view: &HostView,
    clients: &PeerClients,
) -> RelayClient {
    let own_address: Arc<str> = own_address.into();
    let missed = Arc::new(AtomicU64::new(0));
    let relays = {
        let (view, missed) = (view.clone(), missed.clone());
        move || {
            if now_ms().saturating_sub(missed.load(Ordering::Relaxed)) < MISSED_PAUSE_MS {
                return Vec::new();
            }
            let mut relays = view.relay_addresses(&own_address);
            relays.truncate(MAX_RELAYS);
            relays
        }
    };
    let down_view = view.clone();
    let (read_clients, list_clients, write_clients) =
        (clients.clone(), clients.clone(), clients.clone());
    let (read_relays, list_relays, write_relays) = (relays.clone(), relays.clone(), relays);
    RelayClient {
        is_direct_down: Arc::new(move || down_view.is_store_unresponsive()),
        latency: Arc::default(),
        read: port(move |key: String| {
            let (clients, relays) = (read_clients.clone(), read_relays());
            async move {
                for address in relays {
                    match clients.store_read(&address, key.clone()).await {
                        Ok(Err(StoreError::NotExecuted)) | Err(_) => {}
                        Ok(answer) => return Some(answer),
                    }
                }
                None
            }
        }),
        list: port(move |call: ListRequest| {
            let (clients, relays) = (list_clients.clone(), list_relays());
            async move {
                for address in relays {
                    match clients.store_list(&address, call.clone()).await {
                        Ok(Err(StoreError::NotExecuted)) | Err(_) => {}
                        Ok(answer) => return Some(answer),
                    }
                }
                None
            }
        }),
        write: port(move |call: WriteRequest| {
            let (clients, relays) = (write_clients.clone(), write_relays());
            let missed = missed.clone();
            let tried = !relays.is_empty();
            async move {
                for address in relays {
                    match clients.store_write(&address, call.clone()).await {
                        Ok(WriteOutcome::NotApplied) | Err(PeerError::NotSent) => {}
                        Ok(outcome) => return Some(outcome),
                        Err(PeerError::NoReply) => return None,
                    }
                }
                if tried {
                    missed.store(now_ms(), Ordering::Relaxed);
                }
                Some(WriteOutcome::NotApplied)
            }
        }),
    }
}
