//! Watches the owner's record in the store, and sends heartbeats to the owner.

use std::time::Duration;

use serde_json::json;
use tokio::time::sleep;

use crate::clock::now_ms;
use crate::control::{MAX_REPORTED_COUNT_AGE_MS, OwnerInfo, WaitingCounts};
use crate::event::FleetEvent;
use crate::ownership::{OwnershipContext, is_much_smaller};
use crate::peer::HeartbeatRequest;
use crate::ports::{ListRequest, StoreError, StoreItem, WatchRequest};
use crate::store::{OWNER_KEY, OwnerRecord};

/// Maximum time that a watch of the owner's record waits, in milliseconds; bounded because a
/// connection may stop responding.
const WATCH_TIMEOUT_MS: u64 = 2000;

/// Number of watches before the owner's record is read again; watches may miss changes.
const WATCHES_PER_READ: u32 = 4;

/// Delay after a failed request to the store.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Time between heartbeats of a host that would succeed the owner.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);

/// Time between heartbeats of a host with much less CPU capacity than others, which claims the
/// ownership only if no other host does. It is longer because such hosts are many.
const SMALL_HOST_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(800);

/// Time between heartbeats while the owner does not respond.
const HEARTBEAT_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum age of the store's last response to an owner that reaches the store, in milliseconds.
pub(crate) const MAX_CONTACT_AGE_MS: u64 = 1000;

/// The owner's record as last read.
#[derive(Clone, Debug, Default)]
pub(super) struct OwnerObservation {
    /// Whether the record has been read at least once.
    pub has_been_read: bool,
    /// Revision of the record; 0 if there is none.
    pub revision: u64,
    /// The record, if it exists.
    pub record: Option<OwnerRecord>,
    /// When this host observed the last change of the record.
    pub changed_at: u64,
}

/// Responsiveness of the owner to this host's heartbeats.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct OwnerHealth {
    /// Epoch of the owner.
    pub epoch: u64,
    /// When the last reply arrived.
    pub answered_at: u64,
    /// Number of unanswered heartbeats since then.
    pub failures: u32,
    /// When the first of them was sent; `None` if the last one was answered.
    pub silent_since: Option<u64>,
    /// Time since the owner sent the last request that the store answered, in milliseconds,
    /// according to the owner's last reply.
    pub store_response_age_ms: u64,
    /// When the last heartbeat was sent whose reply showed that the process is the owner of this epoch
    /// and reached the store.
    pub heartbeat_in_contact_at: Option<u64>,
}

impl OwnershipContext {
    /// Watches the owner's record until the task is dropped.
    pub(super) async fn watch_owner(self) {
        loop {
            let began_at = now_ms();
            let request = ListRequest {
                prefix: OWNER_KEY.to_owned(),
                after: None,
            };
            let Ok(page) = (self.ports.store.list)(request).await else {
                sleep(STORE_RETRY_DELAY).await;
                continue;
            };
            self.view.record_store_response(began_at);
            self.observe(page.items.iter().find(|item| item.key == OWNER_KEY));
            let mut revision = page.revision;
            for _ in 0..WATCHES_PER_READ {
                let Some(seen_revision) = self.watch_changes(revision).await else {
                    break;
                };
                revision = seen_revision;
            }
        }
    }

    /// Waits for a change after a revision; returns the revision from which to continue, or `None`
    /// if the record must be read again.
    async fn watch_changes(&self, revision: u64) -> Option<u64> {
        let began_at = now_ms();
        let request = WatchRequest {
            prefix: OWNER_KEY.to_owned(),
            after: revision,
            wait_ms: WATCH_TIMEOUT_MS,
        };
        match (self.ports.store.watch)(request).await {
            Ok(response) => {
                self.view.record_store_response(began_at);
                if let Some(item) = response.items.last() {
                    self.observe((!item.deleted).then_some(item));
                }
                Some(response.revision)
            }
            Err(StoreError::Compacted) => None,
            Err(_) => {
                sleep(STORE_RETRY_DELAY).await;
                None
            }
        }
    }

    /// Updates the observation if the record's revision changed.
    fn observe(&self, item: Option<&StoreItem>) {
        let record: Option<OwnerRecord> =
            item.and_then(|item| serde_json::from_slice(&item.value).ok());
        let revision = item.map_or(0, |item| item.revision);
        let mut observation = self.observation.borrow().clone();
        if observation.has_been_read && observation.revision == revision {
            return;
        }
        observation.has_been_read = true;
        observation.revision = revision;
        observation.changed_at = now_ms();
        observation.record = record;
        if let Some(record) = &observation.record {
            self.view.set_owner(Some(OwnerInfo {
                host: record.host.clone(),
                address: record.address.clone(),
                epoch: revision,
            }));
        }
        let _ = self.observation_sender.send(observation);
    }

    /// Sends heartbeats to the owner until the task is dropped.
    pub(super) async fn send_heartbeats(self) {
        let mut unanswered = false;
        loop {
            let Some(owner) = self.view.owner() else {
                sleep(HEARTBEAT_RETRY_INTERVAL).await;
                continue;
            };
            let request = HeartbeatRequest {
                host: self.host.clone(),
                address: self.address.clone(),
                accepts_work: !self.view.is_stopping(),
                processor_milli: self.processor_milli,
                peers_digest: self.view.peers_digest(),
            };
            let sent_at = now_ms();
            let reply = if owner.host == self.host {
                Ok(self.control.own_heartbeat(request).await)
            } else {
                self.clients.heartbeat(&owner.address, request).await
            };
            let mut health = *self.health.borrow();
            if health.epoch != owner.epoch {
                health = OwnerHealth {
                    epoch: owner.epoch,
                    ..OwnerHealth::default()
                };
            }
            if let Ok(reply) = reply {
                health.answered_at = now_ms();
                health.failures = 0;
                health.silent_since = None;
                health.store_response_age_ms = reply.store_response_age_ms;
                let is_owner = reply.epoch == Some(owner.epoch);
                if is_owner && reply.store_response_age_ms <= MAX_CONTACT_AGE_MS {
                    health.heartbeat_in_contact_at = Some(sent_at);
                }
                if let Some(peers) = reply.peers {
                    self.view.set_peers(peers);
                }
                if let Some(config) = reply.config {
                    let read_at = sent_at.saturating_sub(config.age_ms);
                    self.view.confirm_config(config.digest, read_at);
                }
                if reply.epoch == Some(owner.epoch) {
                    self.view.set_waiting_counts(WaitingCounts {
                        epoch: owner.epoch,
                        by_queue: reply.waiting_counts,
                        counted_at: sent_at.saturating_sub(MAX_REPORTED_COUNT_AGE_MS),
                        known_until: None,
                    });
                }
                if unanswered {
                    unanswered = false;
                    FleetEvent::OwnerRegained.emit(json!({"owner": owner.host}));
                }
            } else {
                health.failures += 1;
                health.silent_since.get_or_insert(sent_at);
                if !unanswered {
                    unanswered = true;
                    FleetEvent::OwnerLost.emit(json!({"owner": owner.host, "epoch": owner.epoch}));
                }
            }
            let failed = health.failures > 0;
            let _ = self.health_sender.send(health);
            sleep(self.heartbeat_delay(failed)).await;
        }
    }

    /// Returns the delay before the next heartbeat.
    fn heartbeat_delay(&self, failed: bool) -> Duration {
        let largest = self.view.largest_peer_processor_milli();
        if failed {
            HEARTBEAT_RETRY_INTERVAL
        } else if is_much_smaller(self.processor_milli, largest) {
            SMALL_HOST_HEARTBEAT_INTERVAL
        } else {
            HEARTBEAT_INTERVAL
        }
    }
}
