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
pub(super) fn relay_client(own: &str, view: &HostView, links: &PeerClients) -> RelayClient {
    let own: Arc<str> = own.into();
    let missed = Arc::new(AtomicU64::new(0));
    let relays = {
        let (view, missed) = (view.clone(), missed.clone());
        move || {
            if now_ms().saturating_sub(missed.load(Ordering::Relaxed)) < MISSED_PAUSE_MS {
                return Vec::new();
            }
            let mut relays = view.relay_addresses(&own);
            relays.truncate(MAX_RELAYS);
            relays
        }
    };
    let down_view = view.clone();
    let (read_links, list_links, write_links) = (links.clone(), links.clone(), links.clone());
    let (read_relays, list_relays, write_relays) = (relays.clone(), relays.clone(), relays);
    RelayClient {
        is_direct_down: Arc::new(move || down_view.is_store_unresponsive()),
        latency: Arc::default(),
        read: port(move |key: String| {
            let (links, relays) = (read_links.clone(), read_relays());
            async move {
                for address in relays {
                    match links.store_read(&address, key.clone()).await {
                        Ok(Err(StoreError::NotExecuted)) | Err(_) => {}
                        Ok(answer) => return Some(answer),
                    }
                }
                None
            }
        }),
        list: port(move |call: ListRequest| {
            let (links, relays) = (list_links.clone(), list_relays());
            async move {
                for address in relays {
                    match links.store_list(&address, call.clone()).await {
                        Ok(Err(StoreError::NotExecuted)) | Err(_) => {}
                        Ok(answer) => return Some(answer),
                    }
                }
                None
            }
        }),
        write: port(move |call: WriteRequest| {
            let (links, relays) = (write_links.clone(), write_relays());
            let missed = missed.clone();
            let tried = !relays.is_empty();
            async move {
                for address in relays {
                    match links.store_write(&address, call.clone()).await {
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
