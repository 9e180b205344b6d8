//! Reads the operator's items: the configuration and the evacuated failure domains.
//!
//! The owner reads them periodically. The other hosts learn from the reply to each heartbeat
//! whether their last read equals the owner's, and read the items themselves if it differs or if no
//! reply confirms it.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

use serde_json::json;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::clock::now_ms;
use crate::control::{ControlHandle, ControlInput, HostView};
use crate::event::FleetEvent;
use crate::http::ServerLimits;
use crate::metrics::FleetMetrics;
use crate::ports::{PlatformPorts, StoreItem};
use crate::store::list_all;

/// Time between reads. The items are read instead of watched, because a watch without events does
/// not prove that nothing changed.
const READ_INTERVAL: Duration = Duration::from_millis(400);

/// A host reads the items itself if its last confirmation is older than this, in milliseconds.
const MAX_CONFIRMED_AGE_MS: u64 = 1400;

/// Maximum time of a read; an unresponsive store must not delay the next read.
const READ_TIMEOUT: Duration = Duration::from_millis(1200);

/// Maximum time of a hedged read, which follows a failed direct read.
const HEDGED_READ_TIMEOUT: Duration = Duration::from_millis(600);

/// Time between reads before the first configuration is known and after a failure.
const RETRY_INTERVAL: Duration = Duration::from_millis(150);

/// Keeps the host's copy of the operator's items up to date.
pub(super) struct ConfigReader {
    pub ports: PlatformPorts,
    /// The same ports, with store requests hedged through peers.
    pub hedged: PlatformPorts,
    pub view: HostView,
    pub control: ControlHandle,
    pub metrics: Arc<FleetMetrics>,
    pub limits: watch::Sender<ServerLimits>,
}

impl ConfigReader {
    /// Reads until the task is dropped.
    pub async fn run(self) {
        loop {
            let delay = if self.needs_read() {
                self.read().await
            } else {
                self.check_store().await;
                READ_INTERVAL
            };
            let has_config = self.view.config().is_some();
            let delay = if has_config { delay } else { RETRY_INTERVAL };
            let _ = timeout(delay, self.view.wait_for_read_request()).await;
        }
    }

    /// Returns whether this host must read the items itself.
    fn needs_read(&self) -> bool {
        let read_at = self.view.config().map_or(0, |(_, read_at)| read_at);
        let is_outdated = now_ms().saturating_sub(read_at) > MAX_CONFIRMED_AGE_MS;
        is_outdated || self.view.take_read_request() || self.view.owned_epoch().is_some()
    }

    /// Checks whether the store is reachable.
    async fn check_store(&self) {
        let began_at = now_ms();
        if let Ok(Ok(())) = timeout(READ_TIMEOUT, (self.ports.store.ping)(())).await {
            self.view.record_store_response(began_at);
        }
    }

    /// Reads the operator's items once; returns the delay until the next check.
    async fn read(&self) -> Duration {
        let began_at = now_ms();
        let Some(items) = self.read_items(began_at).await else {
            return RETRY_INTERVAL;
        };
        let read = (self.ports.parse_operator_items)(&items);
        for finding in &read.findings {
            FleetEvent::OperatorItemUnreadable.emit(json!({"finding": finding}));
        }
        let config = read.config.clone();
        let digest = digest(&items);
        let evacuated_domains = read.evacuated_domains.clone();
        if self
            .view
            .set_config(began_at, digest, read.config, evacuated_domains)
        {
            if let Some(config) = config {
                FleetEvent::ConfigInForce.emit(json!({
                    "version": config.version,
                    "revision": config.revision,
                    "queues": config.queues.len(),
                    "teams": config.teams.len(),
                    "evacuated": read.evacuated_domains,
                }));
                self.metrics.set_config_version(config.version);
                self.limits.send_replace(ServerLimits {
                    max_body_bytes: config.limits.max_body_bytes,
                    max_header_bytes: config.limits.max_header_bytes,
                    receive_timeout: Duration::from_millis(config.limits.header_timeout_ms),
                    idle_timeout: Duration::from_millis(config.limits.idle_timeout_ms),
                });
            }
            self.control.send(ControlInput::ConfigChanged).await;
        }
        READ_INTERVAL
    }

    /// Reads the operator's items directly or, if that fails, with hedged requests.
    async fn read_items(&self, began_at: u64) -> Option<Vec<StoreItem>> {
        let direct = list_all(&self.ports.store, &self.ports.operator_prefix);
        if let Ok(Ok((items, _))) = timeout(READ_TIMEOUT, direct).await {
            self.view.record_store_response(began_at);
            return Some(items);
        }
        let hedged = list_all(&self.hedged.store, &self.hedged.operator_prefix);
        let read = timeout(HEDGED_READ_TIMEOUT, hedged).await.ok()?.ok()?;
        Some(read.0)
    }
}

/// Returns a digest that changes whenever an item is changed, added or removed.
fn digest(items: &[StoreItem]) -> u64 {
    let mut hasher = DefaultHasher::new();
    for item in items {
        (&item.key, item.revision).hash(&mut hasher);
    }
    hasher.finish()
}
