//! Longer leases while the store is out of reach of every host.
//!
//! An owner that can't commit lets its leases expire after the usual bound, for which a successor
//! waits. While no host that could succeed it reaches the store, it uses a longer bound, so that runs
//! survive an outage. A host waits only for the usual bound if the owner would have asked it, and it
//! has reached the store since before the owner's last commit; each host tells from its own records
//! whether this holds.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use futures::{StreamExt, stream};
use lagoonnotch_fleet::owner::EXTENDED_LEASE_BOUND_MS;
use serde_json::json;
use tokio::time::sleep;

use crate::clock::now_ms;
use crate::control::ControlInput;
use crate::event::FleetEvent;
use crate::ownership::OwnershipContext;
use crate::store::{CONTACT_GAP_MS, ContactLog};

/// Time between two checks whether the store responds.
const OUTAGE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Time between two questions to the other hosts, in milliseconds. Hosts of earlier versions close the
/// connection on which they are asked.
const QUESTION_INTERVAL_MS: u64 = 1000;

/// Maximum age of the last heartbeat to an owner that would have asked this host, in milliseconds.
const MAX_HEARTBEAT_AGE_MS: u64 = 10_000;

/// Time for which a host that has sent a heartbeat is asked, in milliseconds: until no lease lasts
/// that the owner may have extended while the host counts as asked, and a margin.
const FOLLOWER_RETENTION_MS: u64 = MAX_HEARTBEAT_AGE_MS + EXTENDED_LEASE_BOUND_MS + 8000;

/// Time for which replies to heartbeats of other hosts than those asked say that this host does not
/// reach the store, in milliseconds: until no extended lease lasts.
const NEW_FOLLOWER_DELAY_MS: u64 = EXTENDED_LEASE_BOUND_MS;

/// Time for which a host that may have claimed does not answer the question, in milliseconds: until no
/// extended lease lasts, and a margin.
pub(crate) const CLAIM_MEMORY_MS: u64 = EXTENDED_LEASE_BOUND_MS + 3000;

/// Number of hosts that are asked at a time.
const PARALLEL_QUESTIONS: usize = 16;

/// What a host knows of the owner that it replaces.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReplacedOwner {
    /// Whether the owner had to ask this host before it extended its leases.
    pub had_to_ask: bool,
    /// When the last gap ended in this host's contact with the store, in milliseconds on its clock.
    pub gap_ended_at: u64,
}

impl ReplacedOwner {
    /// Returns what a host knows that sent its last heartbeat to the owner at `heartbeat_at`, among
    /// those whose reply showed that the owner reached the store.
    #[must_use]
    pub fn new(now: u64, heartbeat_at: Option<u64>, contacts: &ContactLog) -> Self {
        Self {
            had_to_ask: heartbeat_at.is_some_and(|sent_at| now < sent_at + MAX_HEARTBEAT_AGE_MS),
            gap_ended_at: contacts.gap_ended_at(now),
        }
    }

    /// Returns the same with a gap that has ended since, while this host claimed.
    #[must_use]
    pub fn with_later_gap(self, now: u64, contacts: &ContactLog) -> Self {
        Self {
            gap_ended_at: self.gap_ended_at.max(contacts.gap_ended_at(now)),
            ..self
        }
    }

    /// Returns whether leases may still last that the owner has extended, whenever its last commit was.
    #[must_use]
    pub fn extension_may_last(&self, now: u64, extended_bound_ms: u64) -> bool {
        !self.had_to_ask || self.gap_ended_at + extended_bound_ms >= now
    }

    /// Returns whether the leases of the owner may have the longer bound, if its last commit had been
    /// stored by a time.
    ///
    /// An owner that has extended its leases was told of a gap in this host's contact. If the host saw
    /// the last commit after the end of that gap, the usual bound from then on is the later one.
    #[must_use]
    pub fn may_be_extended(&self, committed_by: u64) -> bool {
        !self.had_to_ask || self.gap_ended_at >= committed_by
    }
}

impl OwnershipContext {
    /// Returns what this host knows of the owner of an epoch.
    pub(super) fn replaced_owner(&self, epoch: u64) -> ReplacedOwner {
        let health = *self.health.borrow();
        let heartbeat_at = health.heartbeat_in_contact_at;
        let heartbeat_at = heartbeat_at.filter(|_| health.epoch == epoch);
        let contacts = self.view.revision_log().contacts();
        ReplacedOwner::new(now_ms(), heartbeat_at, contacts)
    }

    /// Extends the bound on leases of this host as the owner while no host reaches the store, until
    /// the task is dropped.
    pub(super) async fn observe_outages(self, epoch: u64) {
        let delay_ms = self.lease_bounds.extended_ms - self.lease_bounds.usual_ms;
        let (mut is_extended, mut next_question_at) = (false, 0);
        loop {
            sleep(OUTAGE_CHECK_INTERVAL).await;
            let asked_at = now_ms();
            let age_ms = self.view.revision_log().contacts().age_ms(asked_at);
            if age_ms < delay_ms {
                is_extended = false;
                continue;
            }
            if asked_at < next_question_at {
                continue;
            }
            next_question_at = asked_at + QUESTION_INTERVAL_MS;
            if !self.is_store_unreachable_for_all(epoch).await {
                continue;
            }
            if !is_extended {
                is_extended = true;
                FleetEvent::LeasesExtended.emit(json!({"epoch": epoch, "outage_ms": age_ms}));
            }
            self.control
                .send(ControlInput::OutageObserved { epoch, asked_at })
                .await;
        }
    }

    /// Returns whether every host that may follow this owner has no contact with the store.
    async fn is_store_unreachable_for_all(&self, epoch: u64) -> bool {
        let followers = || self.view.followers(now_ms(), FOLLOWER_RETENTION_MS);
        let asked = followers();
        let answers = stream::iter(asked.iter().cloned())
            .map(|address| self.lacks_contact(address, epoch))
            .buffer_unordered(PARALLEL_QUESTIONS);
        if !answers.all(std::future::ready).await {
            return false;
        }
        // From here on, no heartbeat makes another host count as asked.
        let asked: HashSet<_> = asked.into_iter().collect();
        let until = now_ms() + NEW_FOLLOWER_DELAY_MS;
        self.view.report_outage_until(until, asked.clone());
        followers().iter().all(|address| asked.contains(address))
    }

    async fn lacks_contact(&self, address: Arc<str>, epoch: u64) -> bool {
        let reply = self.clients.store_contact_age(&address, epoch).await;
        matches!(reply, Ok(Some(age_ms)) if age_ms >= CONTACT_GAP_MS)
    }
}
