//! Follows the owner's record in the store, and greets the owner.

use std::time::Duration;

use serde_json::json;
use tokio::time::sleep;

use crate::clock::now_ms;
use crate::control::OwnerRef;
use crate::event::FleetEvent;
use crate::ownership::OwnershipParts;
use crate::peer::{HelloCall, HelloReply, PeerFault};
use crate::ports::{ListCall, StoreFault, StoreItem, WatchCall};
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
pub(super) struct OwnerSight {
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
pub(super) struct OwnerContact {
    /// Epoch that the contact is about.
    pub epoch: u64,
    /// When the owner answered last.
    pub answered_at: u64,
    /// Greetings without an answer since then.
    pub failures: u32,
    /// Time since the store answered the owner, in milliseconds, as of its last answer.
    pub store_age_ms: u64,
}

impl OwnershipParts {
    /// Follows the owner's record until the task is dropped.
    pub(super) async fn follow_owner(self) {
        loop {
            let began_at = now_ms();
            let call = ListCall {
                prefix: OWNER_KEY.to_owned(),
                after: None,
            };
            let Ok(page) = (self.ports.store.list)(call).await else {
                sleep(FAULT_PAUSE).await;
                continue;
            };
            self.view.note_store(began_at);
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
        let call = WatchCall {
            prefix: OWNER_KEY.to_owned(),
            after: revision,
            wait_ms: WATCH_WAIT_MS,
        };
        match (self.ports.store.watch)(call).await {
            Ok(answer) => {
                self.view.note_store(began_at);
                if let Some(item) = answer.items.last() {
                    self.see((!item.deleted).then_some(item));
                }
                Some(answer.revision)
            }
            Err(StoreFault::HistoryGone) => None,
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
            self.view.set_owner(Some(OwnerRef {
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
            let call = HelloCall {
                host: self.host.clone(),
                address: self.address.clone(),
                can_ask: !self.view.is_stopping(),
                processor_milli: self.processor_milli,
            };
            let sent_at = now_ms();
            let (reply, is_owner) = self.greet(&owner, call).await;
            let mut contact = *self.contact.borrow();
            if contact.epoch != owner.epoch {
                contact = OwnerContact {
                    epoch: owner.epoch,
                    ..OwnerContact::default()
                };
            }
            if let Ok(reply) = reply {
                contact.answered_at = now_ms();
                contact.failures = 0;
                contact.store_age_ms = if is_owner { reply.store_age_ms } else { 0 };
                self.view.set_peers(reply.peers);
                if let Some(config) = reply.config {
                    let read_at = sent_at.saturating_sub(config.age_ms);
                    self.view.confirm_config(config.digest, read_at);
                }
                let counted_at = sent_at.saturating_sub(reply.waiting_age_ms);
                self.view.set_waiting(reply.waiting, counted_at);
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

    /// Greets the owner, or where many hosts do that one of these; tells whether the owner answered.
    async fn greet(
        &self,
        owner: &OwnerRef,
        call: HelloCall,
    ) -> (Result<HelloReply, PeerFault>, bool) {
        if owner.host == self.host {
            return (Ok(self.control.hello(call).await), true);
        }
        if let Some(peer) = self.view.greeted_peer(&self.address)
            && let Ok(reply) = self.links.hello(&peer, call.clone()).await
        {
            return (Ok(reply), false);
        }
        (self.links.hello(&owner.address, call).await, true)
    }
}
