//! The owner's view of teams.

use crate::limit::LimitRecord;
use crate::model::{ResourceSize, ShardName};

/// Usage and allotment of one team in the shard.
#[derive(Clone, Debug, Default)]
pub(super) struct TeamEntry {
    /// Sum of the team's reservations.
    pub reserved: ResourceSize,
    /// Stored record of the limit as last read or written.
    pub record: LimitRecord,
    /// Record that is being written.
    pub pending_record: LimitRecord,
    /// Store revision of the record; 0 if it does not exist.
    pub revision: u64,
    /// Whether the record contains a write of this owner. If so, no write of an older owner can
    /// succeed any more.
    pub confirmed: bool,
    /// Maximum that may be reserved now: never above the record's allotment, and below it while
    /// shrinking.
    pub allotment: ResourceSize,
    /// Total amount needed by the reserved and the waiting work, if the allotment is too small.
    pub required: ResourceSize,
    /// When the work that lacks allotment began to wait, in milliseconds.
    pub short_since_ms: Option<u64>,
    /// Time until which a grown allotment does not shrink for other shards, in milliseconds.
    pub no_shrink_until_ms: u64,
    /// Whether a store call about the record is in flight.
    pub call_pending: bool,
    /// Earliest time of the next store call about the record, in milliseconds.
    pub next_call_ms: u64,
}

impl TeamEntry {
    /// Returns the part of the allotment that is not in use; nothing while the record is
    /// unconfirmed.
    pub fn headroom(&self) -> ResourceSize {
        if self.confirmed {
            self.allotment.saturating_sub(&self.reserved)
        } else {
            ResourceSize::ZERO
        }
    }

    /// Applies a record from the store.
    pub fn set_record(&mut self, shard: &ShardName, record: LimitRecord, revision: u64) {
        self.allotment = record.allotment(shard);
        self.record = record;
        self.revision = revision;
    }

    /// Records that waiting work does not fit the allotment.
    pub fn record_shortage(&mut self, needed: &ResourceSize, since_ms: u64) {
        self.required = self.required.max(&(self.reserved + *needed));
        let since = self
            .short_since_ms
            .map_or(since_ms, |known| known.min(since_ms));
        self.short_since_ms = Some(since);
    }

    /// Returns how long work has waited for lack of allotment, in milliseconds.
    pub fn shortage_ms(&self, now_ms: u64) -> u64 {
        self.short_since_ms
            .map_or(0, |since_ms| now_ms.saturating_sub(since_ms))
    }

    /// Returns whether more allotment is needed.
    pub fn is_short(&self) -> bool {
        !self.required.fits(&self.allotment)
    }
}
