//! Follows the owner's record in the store, and greets the owner.

use std::time::Duration;

use serde_json::json;
use tokio::time::sleep;

use crate::clock::now_ms;
use crate::control::OwnerInfo;
use crate::event::FleetEvent;
use crate::ownership::OwnershipContext;
use crate::peer::HeartbeatRequest;
use crate::ports::{ListRequest, StoreError, StoreItem, WatchRequest};
use crate::store::{OWNER_KEY, OwnerRecord};

/// How long a watch of the owner's record waits, in milliseconds; a connection may go silent.
const WATCH_WAIT_MS: u64 = 2000;

/// Watches of the owner's record before it is read again; watches may miss changes.
const WATCHES_PER_READING: u32 = 4;

/// Pause after a call to the store that failed.
const FAULT_PAUSE: Duration = Duration::from_millis(200);

/// Time between greetings.
const HELLO_INTERVAL: Duration = Duration::from_millis(400);

/// Time between greetings while the owner does not answer.
const HELLO_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// The owner's record as it was read last.
#[derive(Clone, Debug, Default)]
pub(super) struct OwnerObservation {
    /// Whether the record was read at all.
    pub read: bool,
    /// Revision of the record; 0 if there is none.
    pub revision: u64,
    /// The record, if there is one.
    pub record: Option<OwnerRecord>,
    /// When the record last changed, as this host saw it.
    pub changed_at: u64,
}

/// How the owner answers this host.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct OwnerHealth {
    /// Epoch that the contact is about.
    pub epoch: u64,
    /// When the owner answered last.
    pub answered_at: u64,
    /// Greetings without an answer since then.
    pub failures: u32,
    /// Time since the store answered the owner, in milliseconds, as of its last answer.
    pub store_age_ms: u64,
}

impl OwnershipContext {
    /// Follows the owner's record until the task is dropped.
    pub(super) async fn follow_owner(self) {
        loop {
            let began_at = now_ms();
            let call = ListRequest {
                prefix: OWNER_KEY.to_owned(),
                after: None,
            };
            let Ok(page) = (self.ports.store.list)(call).await else {
                sleep(FAULT_PAUSE).await;
                continue;
            };
            self.view.record_store_response(began_at);
            self.see(page.items.iter().find(|item| item.key == OWNER_KEY));
            let mut revision = page.revision;
            for _ in 0..WATCHES_PER_READING {
                let Some(seen) = self.watch_changes(revision).await else {
                    break;
                };
                revision = seen;
            }
        }
    }

    /// Waits for a change after a revision; returns the revision from which to go on.
    async fn watch_changes(&self, revision: u64) -> Option<u64> {
        let began_at = now_ms();
        let call = WatchRequest {
            prefix: OWNER_KEY.to_owned(),
            after: revision,
            wait_ms: WATCH_WAIT_MS,
        };
        match (self.ports.store.watch)(call).await {
            Ok(answer) => {
                self.view.record_store_response(began_at);
                if let Some(item) = answer.items.last() {
                    self.see((!item.deleted).then_some(item));
                }
                Some(answer.revision)
            }
            Err(StoreError::Compacted) => None,
            Err(_) => {
                sleep(FAULT_PAUSE).await;
                None
            }
        }
    }

    fn see(&self, item: Option<&StoreItem>) {
        let record: Option<OwnerRecord> =
            item.and_then(|item| serde_json::from_slice(&item.value).ok());
        let revision = item.map_or(0, |item| item.revision);
        let mut sight = self.sight.borrow().clone();
        if sight.read && sight.revision == revision {
            return;
        }
        sight.read = true;
        sight.revision = revision;
        sight.changed_at = now_ms();
        sight.record = record;
        if let Some(record) = &sight.record {
            self.view.set_owner(Some(OwnerInfo {
                host: record.host.clone(),
                address: record.address.clone(),
                epoch: revision,
            }));
        }
        let _ = self.sight_sender.send(sight);
    }

    /// Greets the owner until the task is dropped.
    pub(super) async fn greet_owner(self) {
        let mut lost = false;
        loop {
            let Some(owner) = self.view.owner() else {
                sleep(HELLO_RETRY_INTERVAL).await;
                continue;
            };
            let call = HeartbeatRequest {
                host: self.host.clone(),
                address: self.address.clone(),
                can_query_policy: !self.view.is_stopping(),
                processor_milli: self.processor_milli,
            };
            let sent_at = now_ms();
            let reply = if owner.host == self.host {
                Ok(self.control.heartbeat(call).await)
            } else {
                self.clients.heartbeat(&owner.address, call).await
            };
            let mut contact = *self.contact.borrow();
            if contact.epoch != owner.epoch {
                contact = OwnerHealth {
                    epoch: owner.epoch,
                    ..OwnerHealth::default()
                };
            }
            if let Ok(reply) = reply {
                contact.answered_at = now_ms();
                contact.failures = 0;
                contact.store_age_ms = reply.store_age_ms;
                self.view.set_peers(reply.peers);
                if let Some(config) = reply.config {
                    let read_at = sent_at.saturating_sub(config.age_ms);
                    self.view.confirm_config(config.digest, read_at);
                }
                if reply.epoch == Some(owner.epoch) {
                    self.view.set_waiting_counts(reply.waiting);
                }
                if lost {
                    lost = false;
                    FleetEvent::OwnerRegained.emit(json!({"owner": owner.host}));
                }
            } else {
                contact.failures += 1;
                if !lost {
                    lost = true;
                    FleetEvent::OwnerLost.emit(json!({"owner": owner.host, "epoch": owner.epoch}));
                }
            }
            let failed = contact.failures > 0;
            let _ = self.contact_sender.send(contact);
            sleep(if failed {
                HELLO_RETRY_INTERVAL
            } else {
                HELLO_INTERVAL
            })
            .await;
        }
    }
}
