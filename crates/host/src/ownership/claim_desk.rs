//! Claims of the ownership.
//!
//! A host claims when the store names no owner, when the owner does not answer although the
//! store answers this host, or when the owner has lost the store. A claim replaces the owner's
//! record under the condition of its revision, so one claim wins; the new revision is the epoch.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use serde_json::json;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::clock::{now_ms, unix_ms};
use crate::control::{ControlInput, ControlLink, HostView, OwnerRef, OwnershipGrant};
use crate::event::FleetEvent;
use crate::ownership::owner_watch::{OwnerContact, OwnerSight};
use crate::peer::PeerLinks;
use crate::ports::{LeaseGrant, PlatformPorts, StoreFault, WriteCall, WriteOutcome};
use crate::store::{GENERATION_KEY, OWNER_KEY, OwnerHistory, OwnerRecord, read_recovered};

/// Lease of the ownership in the store, in milliseconds.
pub(super) const OWNER_LEASE_MS: u64 = 6000;

/// Time between renewals of the ownership.
const RENEW_INTERVAL: Duration = Duration::from_secs(1);

/// Part of the lease that is never used, in milliseconds; orders take a while to arrive.
const LEASE_MARGIN_MS: u64 = 500;

/// Time between two looks at whether to claim.
const CLAIM_INTERVAL: Duration = Duration::from_millis(100);

/// Greetings in a row without an answer after which an owner counts as lost.
const LOST_GREETINGS: u32 = 3;

/// Time after a change of the owner in which nobody else claims, in milliseconds.
const SETTLE_MS: u64 = 1500;

/// Age of the store's last answer to the owner at which another host claims, in milliseconds.
const OWNER_STORE_AGE_MS: u64 = 2000;

/// Age of the store's last answer up to which a host may claim, in milliseconds.
const CLAIMANT_STORE_AGE_MS: u64 = 900;

/// Longest random pause before a claim, in milliseconds.
const CLAIM_SPREAD_MS: u64 = 80;

/// Pause before a claim of a host with much less processor than another, in milliseconds: time for
/// the other to find the owner lost, or to start.
const SMALL_HOST_PAUSE_MS: u64 = 1500;

/// Time after which an owner hands over to a host with much more processor.
const HANDOVER_AFTER: Duration = Duration::from_secs(4);

/// Pause before another try to read what the store holds.
const RECOVERY_PAUSE: Duration = Duration::from_millis(100);

/// What the tasks of the ownership share.
#[derive(Clone)]
pub struct OwnershipParts {
    /// Name of the host.
    pub host: Arc<str>,
    /// Its address for the hosts' own calls.
    pub address: Arc<str>,
    /// The platform.
    pub ports: PlatformPorts,
    /// Connections to other hosts.
    pub links: PeerLinks,
    /// What the host knows.
    pub view: HostView,
    /// The control actor.
    pub control: ControlLink,
    /// Processor of the host, in thousandths of a core; hosts with more claim first.
    pub processor_milli: u32,
    pub(super) sight: watch::Receiver<OwnerSight>,
    pub(super) sight_sender: Arc<watch::Sender<OwnerSight>>,
    pub(super) contact: watch::Receiver<OwnerContact>,
    pub(super) contact_sender: Arc<watch::Sender<OwnerContact>>,
}

/// Claims the ownership when it is this host's turn.
pub struct ClaimDesk {
    parts: OwnershipParts,
}

impl ClaimDesk {
    /// Makes a desk for a host.
    #[must_use]
    pub fn new(
        host: Arc<str>,
        address: Arc<str>,
        ports: PlatformPorts,
        links: PeerLinks,
        view: HostView,
        control: ControlLink,
        processor_milli: u32,
    ) -> Self {
        let (sight_sender, sight) = watch::channel(OwnerSight::default());
        let (contact_sender, contact) = watch::channel(OwnerContact::default());
        Self {
            parts: OwnershipParts {
                host,
                address,
                ports,
                links,
                view,
                control,
                processor_milli,
                sight,
                sight_sender: Arc::new(sight_sender),
                contact,
                contact_sender: Arc::new(contact_sender),
            },
        }
    }

    /// Follows the owner and claims until the task is dropped.
    pub async fn run(self) {
        tokio::spawn(self.parts.clone().follow_owner());
        tokio::spawn(self.parts.clone().greet_owner());
        loop {
            sleep(CLAIM_INTERVAL).await;
            let sight = self.parts.sight.borrow().clone();
            if self.parts.claim_reason().is_none() {
                continue;
            }
            let Some(history) = self.parts.read_history().await else {
                continue;
            };
            let pause_ms = self.parts.claim_pause_ms(&history.0);
            sleep(Duration::from_millis(pause_ms)).await;
            let unchanged = self.parts.sight.borrow().revision == sight.revision;
            if let Some(reason) = self.parts.claim_reason().filter(|_| unchanged) {
                self.parts.claim(reason, sight, history).await;
            }
        }
    }
}

impl OwnershipParts {
    /// Returns how long this host leaves the claim to others, in milliseconds.
    fn claim_pause_ms(&self, history: &OwnerHistory) -> u64 {
        let largest = self.view.largest_peer_milli();
        let largest = largest.max(history.largest_processor_milli);
        let small = is_much_smaller(self.processor_milli, largest);
        let pause_ms = if small { SMALL_HOST_PAUSE_MS } else { 0 };
        pause_ms + rand::random_range(0..CLAIM_SPREAD_MS)
    }

    /// Tells why this host should claim, if it should.
    fn claim_reason(&self) -> Option<&'static str> {
        let sight = self.sight.borrow().clone();
        let able = self.view.config().is_some()
            && !self.view.is_stopping()
            && self.view.store_age_ms() <= CLAIMANT_STORE_AGE_MS;
        if !sight.read || !able {
            return None;
        }
        let Some(record) = &sight.record else {
            return Some("no owner");
        };
        let now = now_ms();
        if record.host == self.host {
            return Some("an earlier process of this host was the owner");
        }
        if now.saturating_sub(sight.changed_at) < SETTLE_MS {
            return None;
        }
        let contact = *self.contact.borrow();
        if contact.epoch != sight.revision {
            return None;
        }
        if contact.failures >= LOST_GREETINGS {
            return Some("the owner does not answer");
        }
        let owner_store_age = contact.store_age_ms;
        (owner_store_age >= OWNER_STORE_AGE_MS).then_some("the owner has lost the store")
    }

    /// Replaces the owner's record as it was seen when the claim was decided.
    async fn claim(
        &self,
        reason: &'static str,
        sight: OwnerSight,
        (history, history_revision): (OwnerHistory, u64),
    ) {
        FleetEvent::OwnershipClaimed.emit(json!({"reason": reason, "replaces": sight.revision}));
        let asked_at = now_ms();
        let Ok(lease) = (self.ports.store.grant)(OWNER_LEASE_MS).await else {
            return;
        };
        let record = OwnerRecord {
            host: self.host.clone(),
            address: self.address.clone(),
            generation: history.owners,
            claim: rand::random(),
        };
        let previous = sight
            .record
            .as_ref()
            .filter(|previous| previous.host != self.host);
        let next = history.after_claim(
            previous.is_some(),
            unix_ms(),
            OWNER_LEASE_MS,
            self.processor_milli,
        );
        let (Ok(value), Ok(next_value)) = (serde_json::to_vec(&record), serde_json::to_vec(&next))
        else {
            return;
        };
        let call = WriteCall {
            expected: vec![
                (OWNER_KEY.to_owned(), sight.revision),
                (GENERATION_KEY.to_owned(), history_revision),
            ],
            set: vec![(GENERATION_KEY.to_owned(), Bytes::from(next_value))],
            set_leased: vec![(OWNER_KEY.to_owned(), Bytes::from(value))],
            lease: lease.lease,
            delete: Vec::new(),
        };
        let epoch = match (self.ports.store.write)(call).await {
            WriteOutcome::Done(revision) => Some(revision),
            WriteOutcome::Unknown => self.own_revision(&record).await,
            _ => None,
        };
        let Some(epoch) = epoch else {
            let _ = (self.ports.store.end)(lease.lease).await;
            return;
        };
        let yielded = match previous {
            Some(previous) => {
                let answer = self.links.yield_to(&previous.address, epoch).await;
                matches!(answer, Ok(true))
            }
            None => true,
        };
        let acting = if yielded { history } else { next };
        let previous_acts_ms = acting.acting_until_unix_ms.saturating_sub(unix_ms());
        self.own(epoch, &record, lease, asked_at, previous_acts_ms)
            .await;
    }

    /// Reads what is known of all owners so far, with the revision of its key.
    async fn read_history(&self) -> Option<(OwnerHistory, u64)> {
        match (self.ports.store.read)(GENERATION_KEY.to_owned()).await {
            Ok(item) => {
                let history = serde_json::from_slice(&item.value).ok()?;
                Some((history, item.revision))
            }
            Err(StoreFault::Missing) => Some((OwnerHistory::default(), 0)),
            Err(_) => None,
        }
    }

    /// Reads back a claim without an answer.
    async fn own_revision(&self, record: &OwnerRecord) -> Option<u64> {
        let item = (self.ports.store.read)(OWNER_KEY.to_owned()).await.ok()?;
        let found: OwnerRecord = serde_json::from_slice(&item.value).ok()?;
        (found == *record).then_some(item.revision)
    }

    /// Recovers, and renews the ownership until it is over.
    async fn own(
        &self,
        epoch: u64,
        record: &OwnerRecord,
        lease: LeaseGrant,
        asked_at: u64,
        previous_acts_ms: u64,
    ) {
        let valid_until = asked_at + lease.ttl_ms.saturating_sub(LEASE_MARGIN_MS);
        let renewing = tokio::spawn(self.clone().renew(epoch, lease));
        let (mut recovered, revision) = loop {
            match read_recovered(&self.ports.store).await {
                Ok(recovered) => break recovered,
                Err(_) if renewing.is_finished() => return,
                Err(_) => sleep(RECOVERY_PAUSE).await,
            }
        };
        if renewing.is_finished() {
            return;
        }
        recovered.previous_owner_active_ms = previous_acts_ms;
        let directory = self.read_directory().await;
        self.control
            .input(ControlInput::Granted(Box::new(OwnershipGrant {
                epoch,
                generation: record.generation,
                recovered,
                valid_until,
            })))
            .await;
        if let Some(reports) = directory {
            self.control.input(ControlInput::Directory(reports)).await;
        }
        self.view.set_owner(Some(OwnerRef {
            host: self.host.clone(),
            address: self.address.clone(),
            epoch,
        }));
        let directory = tokio::spawn(self.clone().follow_directory());
        let taken = tokio::spawn(self.clone().follow_taken(revision));
        let sweeping = tokio::spawn(self.clone().sweep_ends());
        let _ = renewing.await;
        directory.abort();
        taken.abort();
        sweeping.abort();
    }

    /// Renews the ownership; ends when it is over.
    async fn renew(self, epoch: u64, lease: LeaseGrant) {
        let mut owned = false;
        let began_at = Instant::now();
        loop {
            sleep(RENEW_INTERVAL).await;
            let owns = self.view.owned_epoch() == Some(epoch);
            if owned && !owns {
                self.resign(epoch, lease, "the host yielded").await;
                return;
            }
            owned |= owns;
            if self.view.is_stopping() {
                self.resign(epoch, lease, "the host is stopping").await;
                return;
            }
            let small = is_much_smaller(self.processor_milli, self.view.largest_peer_milli());
            if owns && small && began_at.elapsed() > HANDOVER_AFTER {
                let reason = "a host with more processor is there";
                self.resign(epoch, lease, reason).await;
                return;
            }
            if self.sight.borrow().revision > epoch {
                self.end(epoch, "another host is the owner").await;
                return;
            }
            let sent_at = now_ms();
            match (self.ports.store.renew)(lease.lease).await {
                Ok(renewed) => {
                    self.view.note_store(sent_at);
                    let ttl_ms = renewed.ttl_ms.saturating_sub(LEASE_MARGIN_MS);
                    let valid_until = sent_at + ttl_ms;
                    self.control
                        .input(ControlInput::Renewed { epoch, valid_until })
                        .await;
                }
                Err(StoreFault::Missing) => {
                    self.end(epoch, "the lease has run out").await;
                    return;
                }
                Err(_) => {}
            }
        }
    }

    /// Gives the ownership up in good order.
    async fn resign(&self, epoch: u64, lease: LeaseGrant, reason: &'static str) {
        self.end(epoch, reason).await;
        let call = WriteCall {
            expected: vec![(OWNER_KEY.to_owned(), epoch)],
            delete: vec![OWNER_KEY.to_owned()],
            ..WriteCall::default()
        };
        let _ = (self.ports.store.write)(call).await;
        let _ = (self.ports.store.end)(lease.lease).await;
    }

    async fn end(&self, epoch: u64, reason: &'static str) {
        self.control
            .input(ControlInput::Ended { epoch, reason })
            .await;
    }
}

/// Tells whether a host has much less processor than another.
#[must_use]
pub fn is_much_smaller(processor_milli: u32, other_milli: u32) -> bool {
    u64::from(processor_milli) * 3 < u64::from(other_milli) * 2
}
