//! Capacity claimed for gangs that are about to start.
//!
//! The load: gangs need room on many upstreams at the same moment, while thousands of short tasks a
//! second take every slot that becomes free. A claim keeps chosen slots free for one gang until its
//! tickets have arrived and the runs that occupy the slots have ended. Without it, preempted runs
//! would start again in the room that they were stopped for.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::model::ResourceSize;
use crate::owner::fleet_view::{FleetView, PoolView, UpstreamIndex};
use crate::owner::ready_list::ReadyStep;

/// Largest share of a pool's capacity that all claims together may hold, as a divisor. A single
/// claim may be larger.
const CLAIMED_CAPACITY_DIVISOR: u64 = 3;

/// Identifies a step of an occurrence of a submission.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct StepKey {
    submission: Arc<str>,
    occurrence: u32,
    step: u32,
}

impl From<&ReadyStep> for StepKey {
    fn from(ready: &ReadyStep) -> Self {
        Self {
            submission: ready.submission.clone(),
            occurrence: ready.occurrence,
            step: ready.step,
        }
    }
}

/// Slots claimed for one gang.
#[derive(Clone, Debug)]
pub(super) struct StepClaim {
    pub pool: Arc<str>,
    /// Claimed upstreams, and the number of tasks on each.
    pub slots: Vec<(UpstreamIndex, u64)>,
    /// Resources of one task.
    pub allocation: ResourceSize,
    pub expires_at: u64,
}

impl StepClaim {
    /// Returns the resources of all claimed slots.
    fn total(&self) -> ResourceSize {
        let tasks = self.slots.iter().map(|(_, tasks)| tasks).sum();
        self.allocation.saturating_mul(tasks)
    }

    /// Reserves the claimed slots in a snapshot, so that no other step is placed there.
    pub fn reserve_in(&self, view: &mut FleetView) {
        for (index, tasks) in &self.slots {
            if let Some(upstream) = view.upstream_mut(&self.pool, *index) {
                upstream.reserved += self.allocation.saturating_mul(*tasks);
            }
        }
    }

    /// Withdraws the reservation from a snapshot.
    pub fn release_in(&self, view: &mut FleetView) {
        for (index, tasks) in &self.slots {
            if let Some(upstream) = view.upstream_mut(&self.pool, *index) {
                let size = self.allocation.saturating_mul(*tasks);
                upstream.reserved = upstream.reserved.saturating_sub(&size);
            }
        }
    }
}

/// Claims of all gangs.
#[derive(Debug, Default)]
pub(super) struct ClaimTable {
    claims: BTreeMap<StepKey, StepClaim>,
}

impl ClaimTable {
    /// Adds the claim of a step.
    pub fn insert(&mut self, key: StepKey, claim: StepClaim) {
        self.claims.insert(key, claim);
    }

    /// Removes and returns the claim of a step.
    pub fn take(&mut self, key: &StepKey) -> Option<StepClaim> {
        self.claims.remove(key)
    }

    /// Removes the claims that have expired, and reserves the others in a snapshot.
    pub fn apply(&mut self, now: u64, view: &mut FleetView) {
        self.claims.retain(|_, claim| now < claim.expires_at);
        for claim in self.claims.values() {
            claim.reserve_in(view);
        }
    }

    /// Returns whether another claim in a pool stays within the share of its capacity that may be
    /// claimed.
    pub fn has_room(&self, pool: &PoolView, claim: &StepClaim) -> bool {
        let mut claimed = ResourceSize::ZERO;
        for other in self.claims.values() {
            if other.pool == claim.pool {
                claimed += other.total();
            }
        }
        if claimed == ResourceSize::ZERO {
            return true;
        }
        let capacity = pool
            .upstreams
            .iter()
            .fold(ResourceSize::ZERO, |sum, upstream| sum + upstream.capacity);
        (claimed + claim.total()).fits(&capacity.divided_by(CLAIMED_CAPACITY_DIVISOR))
    }

    /// Removes the claims of a submission that has ended.
    pub fn remove_submission(&mut self, submission: &Arc<str>) {
        let first = StepKey {
            submission: submission.clone(),
            occurrence: 0,
            step: 0,
        };
        let keys: Vec<_> = self
            .claims
            .range(first..)
            .take_while(|(key, _)| key.submission == *submission)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.claims.remove(&key);
        }
    }
}
