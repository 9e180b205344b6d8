//! Claims the ownership: replaces the owner's record, and asks the previous owner to step down.

use bytes::Bytes;
use serde_json::json;

use crate::clock::{now_ms, unix_ms};
use crate::event::FleetEvent;
use crate::ownership::claimed_ownership::ClaimedOwnership;
use crate::ownership::owner_watch::OwnerObservation;
use crate::ownership::{OwnershipContext, ReplacedOwner};
use crate::ports::{LeaseGrant, StoreError, WriteOutcome, WriteRequest};
use crate::store::{OWNER_KEY, OWNER_LEASE_MS, OWNERSHIP_TOTALS_KEY, OwnerRecord, OwnershipTotals};

impl OwnershipContext {
    /// Replaces the owner's record as it was observed when the claim was decided.
    pub(super) async fn claim(
        &self,
        reason: &'static str,
        observation: OwnerObservation,
        (totals, totals_revision): (OwnershipTotals, u64),
    ) {
        FleetEvent::OwnershipClaimed
            .emit(json!({"reason": reason, "replaces": observation.revision}));
        let requested_at = now_ms();
        self.view.record_possible_claim(requested_at);
        let Ok(lease) = (self.ports.store.grant)(OWNER_LEASE_MS).await else {
            return;
        };
        let record = OwnerRecord {
            host: self.host.clone(),
            address: self.address.clone(),
            generation: totals.owners,
            claim: rand::random(),
        };
        let previous_host_record = observation
            .record
            .as_ref()
            .filter(|previous_record| previous_record.host != self.host);
        let written_by = self.view.revision_log().written_by(totals_revision);
        let totals_written_by = written_by.unwrap_or(requested_at);
        let replaced_owner = self.replaced_owner(totals_revision);
        let replaces_other = previous_host_record.is_some();
        let new_totals =
            self.totals_after_claim(&totals, totals_written_by, replaces_other, replaced_owner);
        let revisions = (observation.revision, totals_revision);
        let Some(request) = claim_request(&record, &new_totals, revisions, lease) else {
            return;
        };
        let epoch = match (self.ports.store.write)(request).await {
            WriteOutcome::Applied(revision) => Some(revision),
            WriteOutcome::Unknown => self.read_back_claim(&record).await,
            _ => None,
        };
        let Some(epoch) = epoch else {
            let _ = (self.ports.store.revoke)(lease.lease_id).await;
            return;
        };
        // The predecessor can have renewed its lease until the claim was stored.
        let claimed_by = now_ms();
        let predecessor_stopped = match previous_host_record {
            Some(previous_record) => self.request_step_down(previous_record, epoch).await,
            None => true,
        };
        // If the predecessor did not confirm that it stepped down, it may act until its lease
        // expires, as the new totals say.
        let (effective_totals, written_by) = if predecessor_stopped {
            (totals, totals_written_by)
        } else {
            (new_totals, claimed_by)
        };
        let age_ms = now_ms().saturating_sub(written_by);
        let previous_owner_active_ms = effective_totals.remaining_acting_ms(age_ms);
        if let Some(previous_record) = previous_host_record {
            FleetEvent::StepDownRequested.emit(json!({
                "epoch": epoch,
                "predecessor": previous_record.host,
                "confirmed": predecessor_stopped,
                "waited_ms": now_ms().saturating_sub(claimed_by),
                "previous_owner_active_ms": previous_owner_active_ms,
            }));
        }
        self.maintain_ownership(ClaimedOwnership {
            epoch,
            record,
            lease,
            requested_at,
            claimed_by,
            previous_owner_active_ms,
            replaced_totals: totals,
            replaced_revision: totals_revision,
            replaced_owner,
        })
        .await;
    }

    /// Returns the totals that a claim of this host writes. The present ones had been written by a
    /// time; `replaces_other` means that the owner's record names another host.
    fn totals_after_claim(
        &self,
        totals: &OwnershipTotals,
        written_by: u64,
        replaces_other: bool,
        replaced_owner: ReplacedOwner,
    ) -> OwnershipTotals {
        let now = now_ms();
        let age_ms = now.saturating_sub(written_by);
        let extension_may_last =
            replaced_owner.extension_may_last(now, self.lease_bounds.extended_ms);
        let earlier_lease_ms = totals.lease_ms_at_claim(age_ms, extension_may_last);
        totals
            .after_claim(replaces_other, age_ms, unix_ms(), self.processor_milli)
            .with_lease_bounds(self.lease_bounds, earlier_lease_ms)
    }

    /// Asks the previous owner to step down; returns whether it confirmed that.
    async fn request_step_down(&self, previous_record: &OwnerRecord, epoch: u64) -> bool {
        let address = &previous_record.address;
        matches!(self.clients.step_down(address, epoch).await, Ok(true))
    }

    /// Reads the ownership totals and their revision.
    pub(super) async fn read_totals(&self) -> Option<(OwnershipTotals, u64)> {
        match (self.ports.store.read)(OWNERSHIP_TOTALS_KEY.to_owned()).await {
            Ok(item) => {
                let totals = serde_json::from_slice(&item.value).ok()?;
                Some((totals, item.revision))
            }
            Err(StoreError::NotFound) => Some((OwnershipTotals::default(), 0)),
            Err(_) => None,
        }
    }

    /// Reads back a claim whose write got no response; returns its revision if it was stored.
    async fn read_back_claim(&self, record: &OwnerRecord) -> Option<u64> {
        let item = (self.ports.store.read)(OWNER_KEY.to_owned()).await.ok()?;
        let found: OwnerRecord = serde_json::from_slice(&item.value).ok()?;
        (found == *record).then_some(item.revision)
    }
}

/// Returns the write of a claim that replaces the owner's record and the totals of these revisions.
fn claim_request(
    record: &OwnerRecord,
    totals: &OwnershipTotals,
    (record_revision, totals_revision): (u64, u64),
    lease: LeaseGrant,
) -> Option<WriteRequest> {
    let record = serde_json::to_vec(record).ok()?;
    let totals = serde_json::to_vec(totals).ok()?;
    Some(WriteRequest {
        expected: vec![
            (OWNER_KEY.to_owned(), record_revision),
            (OWNERSHIP_TOTALS_KEY.to_owned(), totals_revision),
        ],
        set: vec![(OWNERSHIP_TOTALS_KEY.to_owned(), Bytes::from(totals))],
        set_leased: vec![(OWNER_KEY.to_owned(), Bytes::from(record))],
        lease_id: lease.lease_id,
        delete: Vec::new(),
    })
}
