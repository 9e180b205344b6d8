//! Store keys of one shard.

use crate::model::ShardName;

/// Builds the store keys of one shard.
#[derive(Clone, Debug)]
pub struct ShardKeys {
    prefix: String,
}

impl ShardKeys {
    /// Creates the key builder of a shard.
    #[must_use]
    pub fn new(shard: &ShardName) -> Self {
        Self {
            prefix: format!("shards/{shard}"),
        }
    }

    /// Returns the key that the owner creates under its lease.
    #[must_use]
    pub fn owner(&self) -> String {
        format!("{}/owner", self.prefix)
    }

    /// Returns the key that stores the newest epoch.
    #[must_use]
    pub fn epoch(&self) -> String {
        format!("{}/epoch", self.prefix)
    }

    /// Returns the key prefix of all journal segments.
    #[must_use]
    pub fn journal(&self) -> String {
        format!("{}/journal/", self.prefix)
    }

    /// Returns the key of one journal segment.
    #[must_use]
    pub fn segment(&self, number: u64) -> String {
        format!("{}{number:020}", self.journal())
    }

    /// Returns the key of the head of the newest snapshot.
    #[must_use]
    pub fn snapshot_head(&self) -> String {
        format!("{}/snapshot-head", self.prefix)
    }

    /// Returns the key prefix of the parts of the snapshot that includes the journal up to segment
    /// `last_segment`.
    #[must_use]
    pub fn snapshot_parts(&self, last_segment: u64) -> String {
        format!("{}/snapshot/{last_segment:020}/", self.prefix)
    }

    /// Returns the key of one part of the snapshot that includes the journal up to segment
    /// `last_segment`.
    #[must_use]
    pub fn snapshot_part(&self, last_segment: u64, part: usize) -> String {
        format!("{}{part:04}", self.snapshot_parts(last_segment))
    }
}

/// Returns the number of a journal segment from its key, or none if the key has no number.
#[must_use]
pub fn segment_number(key: &str) -> Option<u64> {
    key.rsplit('/').next()?.parse().ok()
}
