//! Teams as the owner knows them.

use crate::limit::LimitRecord;
use crate::model::{ResourceSize, ShardName};

/// Usage and allotment of one team in the shard.
#[derive(Clone, Debug, Default)]
pub(super) struct TeamEntry {
    /// Sum of the team's bookings.
    pub running: ResourceSize,
    /// The store's record as it was last read or written.
    pub record: LimitRecord,
    /// Record of the write that is under way.
    pub written: LimitRecord,
    /// Revision of the record; 0 while it does not exist.
    pub revision: u64,
    /// Whether this owner wrote the record, so that no older owner's write can follow.
    pub confirmed: bool,
    /// Most that may run now: never above the record's allotment, lower while shrinking.
    pub allotment: ResourceSize,
    /// Amount that is needed in all, when the allotment is too small.
    pub wanted: ResourceSize,
    /// When the work that lacks allotment began to wait, in milliseconds.
    pub wanted_since_ms: Option<u64>,
    /// Until when a grown allotment stays whole, in milliseconds.
    pub kept_until_ms: u64,
    /// Whether a call about the record is under way.
    pub busy: bool,
    /// When the next call about the record may be made.
    pub next_call_ms: u64,
}

impl TeamEntry {
    /// Returns what may still start.
    pub fn room(&self) -> ResourceSize {
        if self.confirmed {
            self.allotment.saturating_sub(&self.running)
        } else {
            ResourceSize::ZERO
        }
    }

    /// Takes over a record from the store.
    pub fn set_record(&mut self, shard: &ShardName, record: LimitRecord, revision: u64) {
        self.allotment = record.allotment(shard);
        self.record = record;
        self.revision = revision;
    }

    /// Takes note of waiting work that the allotment has no room for.
    pub fn want(&mut self, needed: &ResourceSize, since_ms: u64) {
        self.wanted = self.wanted.max(&(self.running + *needed));
        let since = self
            .wanted_since_ms
            .map_or(since_ms, |known| known.min(since_ms));
        self.wanted_since_ms = Some(since);
    }

    /// Returns for how long work has waited for lack of allotment, in milliseconds.
    pub fn wanted_for_ms(&self, now_ms: u64) -> u64 {
        self.wanted_since_ms
            .map_or(0, |since_ms| now_ms.saturating_sub(since_ms))
    }

    /// Tells whether more allotment is needed.
    pub fn lacks(&self) -> bool {
        !self.wanted.fits(&self.allotment)
    }
}
