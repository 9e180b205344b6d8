//! A stored claim, and what it says of the leases of earlier owners.

use crate::ports::LeaseGrant;
use crate::store::{OwnerRecord, OwnershipTotals, RevisionLog};

/// A claim that the store has accepted.
#[derive(Clone, Debug)]
pub(super) struct ClaimedOwnership {
    /// Revision of the owner's record.
    pub epoch: u64,
    /// Record of the new owner.
    pub record: OwnerRecord,
    /// Lease of the record in the store.
    pub lease: LeaseGrant,
    /// When the claim was requested, in milliseconds on this host's clock.
    pub requested_at: u64,
    /// A time by which it had been stored, in milliseconds on this host's clock.
    pub claimed_by: u64,
    /// How long earlier owners may still act, in milliseconds from the end of the claim.
    pub previous_owner_active_ms: u64,
    /// Totals that the claim replaced.
    pub replaced_totals: OwnershipTotals,
    /// Revision of the replaced totals, which is the epoch of the last owner.
    pub replaced_revision: u64,
    /// Whether the last owner may have observed that no host reached the store.
    pub may_be_extended: bool,
}

impl ClaimedOwnership {
    /// Returns a time by which every lease of earlier owners has expired, in milliseconds on this
    /// host's clock; `None` if it does not follow from their last commits. `last_commit_revision` was
    /// read after the claim had been stored, since when they can't commit.
    pub fn leases_expire_by(&self, log: &RevisionLog, last_commit_revision: u64) -> Option<u64> {
        let written_by = |revision| log.written_by(revision).unwrap_or(self.claimed_by);
        let confirmed_revision = last_commit_revision.max(self.replaced_revision);
        self.replaced_totals.leases_expire_by(
            written_by(self.replaced_revision),
            written_by(confirmed_revision),
            self.may_be_extended,
        )
    }
}
