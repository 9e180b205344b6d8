//! Reads what the operator approved.
//!
//! The owner reads it at intervals; the other hosts learn with each greeting whether what they have
//! is what the owner read, and read it themselves when it is not, or when no greeting says so.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

use serde_json::json;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::clock::now_ms;
use crate::control::{ControlInput, ControlLink, HostView};
use crate::event::FleetEvent;
use crate::http::ServerLimits;
use crate::metrics::FleetMetrics;
use crate::ports::{PlatformPorts, StoreItem};
use crate::store::list_all;

/// Time between readings; a silent watch proves nothing, so the items themselves are read.
const READ_INTERVAL: Duration = Duration::from_millis(400);

/// Age of what a host knows at which it reads itself, in milliseconds.
const CONFIRMED_AGE_MS: u64 = 1000;

/// Longest time of a reading; a silent store must not hold back the next one.
const READ_TIMEOUT: Duration = Duration::from_millis(1200);

/// Longest time of a reading through a peer.
const RELAYED_TIMEOUT: Duration = Duration::from_millis(600);

/// Time between readings before the first configuration and after a fault.
const RETRY_INTERVAL: Duration = Duration::from_millis(150);

/// Reads what the operator approved, for one host.
pub(super) struct ConfigReader {
    pub ports: PlatformPorts,
    /// The same with a store that is reached through peers too.
    pub relayed: PlatformPorts,
    pub view: HostView,
    pub control: ControlLink,
    pub metrics: Arc<FleetMetrics>,
    pub limits: watch::Sender<ServerLimits>,
}

impl ConfigReader {
    /// Reads until the task is dropped.
    pub async fn run(self) {
        loop {
            let pause = if self.needs_reading() {
                self.read().await
            } else {
                self.ping().await;
                READ_INTERVAL
            };
            let known = self.view.config().is_some();
            let pause = if known { pause } else { RETRY_INTERVAL };
            let _ = timeout(pause, self.view.reading_wanted()).await;
        }
    }

    /// Tells whether no greeting has confirmed of late what this host knows.
    fn needs_reading(&self) -> bool {
        let read_at = self.view.config().map_or(0, |(_, read_at)| read_at);
        let old = now_ms().saturating_sub(read_at) > CONFIRMED_AGE_MS;
        old || self.view.takes_wanted_reading() || self.view.owned_epoch().is_some()
    }

    /// Finds out whether the store can be reached.
    async fn ping(&self) {
        let began_at = now_ms();
        if let Ok(Ok(())) = timeout(READ_TIMEOUT, (self.ports.store.ping)(())).await {
            self.view.note_store(began_at);
        }
    }

    /// Reads once; returns the pause until the next look.
    async fn read(&self) -> Duration {
        let began_at = now_ms();
        let Some(items) = self.read_items(began_at).await else {
            return RETRY_INTERVAL;
        };
        let read = (self.ports.read_operator)(&items);
        for finding in &read.findings {
            FleetEvent::OperatorItemUnreadable.emit(json!({"finding": finding}));
        }
        let config = read.config.clone();
        let digest = digest(&items);
        let evacuated = read.evacuated.clone();
        if self
            .view
            .set_config(began_at, digest, read.config, evacuated)
        {
            if let Some(config) = config {
                FleetEvent::ConfigInForce.emit(json!({
                    "version": config.version,
                    "revision": config.revision,
                    "queues": config.queues.len(),
                    "teams": config.teams.len(),
                    "evacuated": read.evacuated,
                }));
                self.metrics.set_config_version(config.version);
                self.limits.send_replace(ServerLimits {
                    max_body_bytes: config.limits.max_body_bytes,
                    max_head_bytes: config.limits.max_header_bytes,
                    head_timeout: Duration::from_millis(config.limits.header_timeout_ms),
                });
            }
            self.control.input(ControlInput::ConfigChanged).await;
        }
        READ_INTERVAL
    }

    /// Reads the operator's items, directly or else through a peer.
    async fn read_items(&self, began_at: u64) -> Option<Vec<StoreItem>> {
        let direct = list_all(&self.ports.store, &self.ports.operator_prefix);
        if let Ok(Ok((items, _))) = timeout(READ_TIMEOUT, direct).await {
            self.view.note_store(began_at);
            return Some(items);
        }
        let relayed = list_all(&self.relayed.store, &self.relayed.operator_prefix);
        let read = timeout(RELAYED_TIMEOUT, relayed).await.ok()?.ok()?;
        Some(read.0)
    }
}

/// Returns a digest that differs whenever an item was changed, added or removed.
fn digest(items: &[StoreItem]) -> u64 {
    let mut hasher = DefaultHasher::new();
    for item in items {
        (&item.key, item.revision).hash(&mut hasher);
    }
    hasher.finish()
}
