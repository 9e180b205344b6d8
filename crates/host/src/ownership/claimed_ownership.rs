//! A stored claim, and what it says of the leases of earlier owners.

use crate::clock::now_ms;
use crate::ownership::ReplacedOwner;
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
    /// What this host knows of the last owner.
    pub replaced_owner: ReplacedOwner,
}

/// By when the leases of earlier owners have expired.
#[derive(Clone, Copy, Debug)]
pub(super) struct EarlierLeases {
    /// A time by which all have expired, in milliseconds on this host's clock; `None` if it does not
    /// follow from the last commits.
    pub expire_by: Option<u64>,
    /// Whether that time allows for extended leases.
    pub may_be_extended: bool,
}

impl ClaimedOwnership {
    /// Returns by when the leases of earlier owners have expired. `last_commit_revision` was read after
    /// the claim had been stored, since when they can't commit.
    pub fn earlier_leases(&self, log: &RevisionLog, last_commit_revision: u64) -> EarlierLeases {
        let written_by = |revision| log.written_by(revision).unwrap_or(self.claimed_by);
        let committed_by = written_by(last_commit_revision.max(self.replaced_revision));
        let replaced_owner = self.replaced_owner.with_later_gap(now_ms(), log.contacts());
        let may_be_extended = replaced_owner.may_be_extended(committed_by);
        let totals_written_by = written_by(self.replaced_revision);
        let totals = &self.replaced_totals;
        EarlierLeases {
            expire_by: totals.leases_expire_by(totals_written_by, committed_by, may_be_extended),
            may_be_extended,
        }
    }
}
