//! Stored record of one team's limit.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::model::{ResourceSize, ShardName, TeamName};

/// A shard's part of a team's limit.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ShardAllotment {
    /// Maximum that the shard may use for the team.
    pub size: ResourceSize,
    /// Epoch of the owner that last confirmed the allotment. A write by an older owner can no
    /// longer succeed, since the confirmation changed the record's revision.
    pub epoch: u64,
}

/// Division of a team's limit among the shards.
///
/// The record is changed only by compare-and-swap, and a shard's allotment only by the shard's
/// owner. A shard starts tasks only within its own allotment. The limit therefore holds even if the
/// shards know nothing of each other's usage.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LimitRecord {
    /// Approved limit, as known to the last writer.
    pub limit: ResourceSize,
    /// Document revision that set the limit; it never decreases.
    pub limit_revision: u64,
    /// Allotment of each shard. Growth never raises the sum above the limit. After the limit was
    /// lowered, the sum may exceed it until the shards have shrunk.
    pub shards: BTreeMap<ShardName, ShardAllotment>,
}

impl LimitRecord {
    /// Returns the store key of a team's record.
    #[must_use]
    pub fn key(team: &TeamName) -> String {
        format!("limits/{team}")
    }

    /// Applies an approved limit, unless a newer one is already recorded.
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

    /// Returns the part of the limit that is not allotted to any shard.
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

    /// Confirms a shard's allotment for an owner's epoch.
    pub fn confirm(&mut self, shard: &ShardName, epoch: u64) {
        self.shards.entry(shard.clone()).or_default().epoch = epoch;
    }

    /// Grows a shard's allotment by `wanted`, or by what is unallotted if that is less.
    pub fn grow(&mut self, shard: &ShardName, wanted: &ResourceSize) {
        let added = wanted.min(&self.unallotted());
        self.shards.entry(shard.clone()).or_default().size += added;
    }

    /// Shrinks a shard's allotment to at most `max_size`; never grows it.
    pub fn shrink(&mut self, shard: &ShardName, max_size: &ResourceSize) {
        if let Some(allotment) = self.shards.get_mut(shard) {
            allotment.size = allotment.size.min(max_size);
        }
    }

    /// Returns the allotment that a shard may keep under the limit.
    ///
    /// Every allotment is scaled by the same factor, so that the sum falls to a lowered limit.
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

/// Returns `amount * limit / total`, or the whole amount if the total is within the limit.
fn scaled(amount: u64, limit: u64, total: u64) -> u64 {
    if total <= limit {
        return amount;
    }
    let scaled = u128::from(amount) * u128::from(limit) / u128::from(total);
    u64::try_from(scaled).unwrap_or(amount)
}
