//! The store's record of one team's limit.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::model::{ResourceSize, ShardName, TeamName};

/// What one shard may have running for a team.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ShardAllotment {
    /// Most that the shard may have running.
    pub size: ResourceSize,
    /// Epoch of the owner that last confirmed the allotment. A write by an older owner can no
    /// longer succeed, since the confirmation changed the record's revision.
    pub epoch: u64,
}

/// How a team's upper limit is divided among the shards.
///
/// The record changes only by compare-and-swap, and only a shard's owner changes the shard's
/// allotment. A shard starts tasks only inside its own allotment, so that the limit holds
/// whatever the shards know of each other.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LimitRecord {
    /// The approved limit that the last writer knew.
    pub limit: ResourceSize,
    /// Revision of the team's section that set the limit; it never falls.
    pub limit_revision: u64,
    /// Allotment of each shard. The sum never grows beyond the limit; after a lowered limit it
    /// may stay above until the shards have shrunk.
    pub shards: BTreeMap<ShardName, ShardAllotment>,
}

impl LimitRecord {
    /// Returns the store's key of a team's record.
    #[must_use]
    pub fn key(team: &TeamName) -> String {
        format!("limits/{team}")
    }

    /// Takes over a newer approved limit.
    pub fn set_limit(&mut self, limit: ResourceSize, revision: u64) {
        if revision > self.limit_revision {
            self.limit = limit;
            self.limit_revision = revision;
        }
    }

    /// Returns the sum of all allotments.
    #[must_use]
    pub fn allotted(&self) -> ResourceSize {
        self.shards
            .values()
            .fold(ResourceSize::ZERO, |sum, allotment| sum + allotment.size)
    }

    /// Returns what no shard holds.
    #[must_use]
    pub fn unallotted(&self) -> ResourceSize {
        self.limit.saturating_sub(&self.allotted())
    }

    /// Returns the allotment of a shard.
    #[must_use]
    pub fn allotment(&self, shard: &ShardName) -> ResourceSize {
        self.shards
            .get(shard)
            .map_or(ResourceSize::ZERO, |allotment| allotment.size)
    }

    /// Confirms the allotment of a shard for an owner's epoch.
    pub fn confirm(&mut self, shard: &ShardName, epoch: u64) {
        self.shards.entry(shard.clone()).or_default().epoch = epoch;
    }

    /// Grows the allotment of a shard by what is wanted and still unallotted.
    pub fn grow(&mut self, shard: &ShardName, wanted: &ResourceSize) {
        let added = wanted.min(&self.unallotted());
        self.shards.entry(shard.clone()).or_default().size += added;
    }

    /// Shrinks the allotment of a shard to the given amount; never grows it.
    pub fn shrink(&mut self, shard: &ShardName, kept: &ResourceSize) {
        if let Some(allotment) = self.shards.get_mut(shard) {
            allotment.size = allotment.size.min(kept);
        }
    }

    /// Returns the allotment that a shard may keep under the limit.
    ///
    /// Every shard keeps the same part, so that the sum comes down to a lowered limit.
    #[must_use]
    pub fn scaled_allotment(&self, shard: &ShardName) -> ResourceSize {
        let allotment = self.allotment(shard);
        let allotted = self.allotted();
        ResourceSize {
            cpu_milli: scaled(
                allotment.cpu_milli,
                self.limit.cpu_milli,
                allotted.cpu_milli,
            ),
            memory_mib: scaled(
                allotment.memory_mib,
                self.limit.memory_mib,
                allotted.memory_mib,
            ),
            accelerators: scaled(
                allotment.accelerators,
                self.limit.accelerators,
                allotted.accelerators,
            ),
        }
    }
}

/// Returns `amount * limit / total`, or the whole amount when the total is within the limit.
fn scaled(amount: u64, limit: u64, total: u64) -> u64 {
    if total <= limit {
        return amount;
    }
    let scaled = u128::from(amount) * u128::from(limit) / u128::from(total);
    u64::try_from(scaled).unwrap_or(amount)
}
