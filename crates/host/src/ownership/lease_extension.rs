//! Longer leases while the store is out of reach of every host.
//!
//! An owner that can't commit lets its leases expire after the usual bound, for which a successor
//! waits. While no host that could succeed it reaches the store, it uses a longer bound, so that runs
//! survive an outage. A host waits only for the usual bound if the owner would have asked it, and it
//! has reached the store all the while; each host tells from its own records whether this holds.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use futures::{StreamExt, stream};
use serde_json::json;
use tokio::time::sleep;

use crate::clock::now_ms;
use crate::control::ControlInput;
use crate::event::FleetEvent;
use crate::ownership::OwnershipContext;
use crate::store::{CONTACT_GAP_MS, ContactLog};

/// Time between two checks whether the store responds.
const OUTAGE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Time for which a host that has sent a heartbeat is asked, in milliseconds; longer than a host
/// counts as asked after a heartbeat, by more than leases last.
const FOLLOWER_RETENTION_MS: u64 = 30_000;

/// Maximum age of the last heartbeat to an owner that would have asked this host, in milliseconds.
const MAX_HEARTBEAT_AGE_MS: u64 = 10_000;

/// Time within which contact with the store must be unbroken, in milliseconds; longer than extended
/// leases last.
const UNBROKEN_CONTACT_MS: u64 = 12_000;

/// Time for which a host that has requested a claim does not answer the question, in milliseconds;
/// longer than extended leases last. The claim may be stored although the host does not know it.
pub(crate) const CLAIM_MEMORY_MS: u64 = 15_000;

/// Number of hosts that are asked at a time.
const PARALLEL_QUESTIONS: usize = 16;

/// Returns whether the leases of an owner may have the longer bound: it did not have to ask this host,
/// or this host may have said that it had no contact. `heartbeat_at` is when this host sent its last
/// heartbeat to that owner whose reply showed that the owner reached the store.
#[must_use]
pub fn may_be_extended(now: u64, heartbeat_at: Option<u64>, contacts: &ContactLog) -> bool {
    let had_to_ask = heartbeat_at.is_some_and(|sent_at| now < sent_at + MAX_HEARTBEAT_AGE_MS);
    !had_to_ask || !contacts.is_unbroken(now, UNBROKEN_CONTACT_MS)
}

impl OwnershipContext {
    /// Returns whether the leases of the owner of an epoch may have the longer bound, as far as this
    /// host knows.
    pub(super) fn may_be_extended(&self, epoch: u64) -> bool {
        let health = *self.health.borrow();
        let heartbeat_at = health.heartbeat_in_contact_at;
        let heartbeat_at = heartbeat_at.filter(|_| health.epoch == epoch);
        let contacts = self.view.revision_log().contacts();
        may_be_extended(now_ms(), heartbeat_at, contacts)
    }

    /// Extends the bound on leases of this host as the owner while no host reaches the store, until
    /// the task is dropped.
    pub(super) async fn observe_outages(self, epoch: u64) {
        let delay_ms = self.lease_bounds.extended_ms - self.lease_bounds.usual_ms;
        let mut is_extended = false;
        loop {
            sleep(OUTAGE_CHECK_INTERVAL).await;
            let asked_at = now_ms();
            let age_ms = self.view.revision_log().contacts().age_ms(asked_at);
            if age_ms < delay_ms {
                is_extended = false;
                continue;
            }
            if !is_extended && self.is_store_unreachable_for_all(epoch).await {
                is_extended = true;
                FleetEvent::LeasesExtended.emit(json!({"epoch": epoch, "outage_ms": age_ms}));
                self.control
                    .send(ControlInput::OutageObserved { epoch, asked_at })
                    .await;
            }
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
        let until = now_ms() + UNBROKEN_CONTACT_MS;
        self.view.report_outage_until(until);
        let asked: HashSet<_> = asked.into_iter().collect();
        followers().iter().all(|address| asked.contains(address))
    }

    async fn lacks_contact(&self, address: Arc<str>, epoch: u64) -> bool {
        let reply = self.clients.store_contact_age(&address, epoch).await;
        matches!(reply, Ok(Some(age_ms)) if age_ms >= CONTACT_GAP_MS)
    }
}
