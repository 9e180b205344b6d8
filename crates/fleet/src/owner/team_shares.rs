//! Weighted max-min shares of the teams with work in a pool.
//!
//! The load: a pool is short of one resource, mostly accelerators, while one team sends several
//! times its usual rate. Each resource is divided by itself: a team that needs less than its
//! weighted part leaves the rest to the others.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::model::ResourceSize;

/// Largest share of a pool's capacity that is free while the pool counts as full, as a divisor.
/// Work that waits for tickets or for its first pass can exceed what is free for a moment, while
/// nothing is kept from starting by a lack of room.
const FULL_FREE_DIVISOR: u64 = 8;

/// Time for which a pool may be short of a resource after it was full, in milliseconds. Runs that
/// end together leave much free for a moment, and the order of the waiting work then decides.
const FULL_MEMORY_MS: u64 = 1000;

/// A resource that is shared by weight.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SharedResource {
    /// Whole accelerators.
    Accelerators,
    /// CPU, in thousandths of a core.
    Cpu,
    /// Memory, in mebibytes.
    Memory,
}

impl SharedResource {
    /// All resources.
    pub const ALL: [Self; 3] = [Self::Accelerators, Self::Cpu, Self::Memory];

    /// Returns the resource's name in logs.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Accelerators => "accelerators",
            Self::Cpu => "cpu_milli",
            Self::Memory => "memory_mib",
        }
    }

    /// Returns the amount of this resource.
    #[must_use]
    pub fn of(self, size: &ResourceSize) -> u64 {
        match self {
            Self::Accelerators => size.accelerators,
            Self::Cpu => size.cpu_milli,
            Self::Memory => size.memory_mib,
        }
    }

    fn set(self, size: &mut ResourceSize, amount: u64) {
        match self {
            Self::Accelerators => size.accelerators = amount,
            Self::Cpu => size.cpu_milli = amount,
            Self::Memory => size.memory_mib = amount,
        }
    }
}

/// What one team wants of a resource.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ResourceClaim {
    /// Weight of the team; 0 gives it no share.
    pub weight: u64,
    /// What it uses and waits for.
    pub demand: u64,
}

/// Returns the weighted max-min shares of a capacity, in the order of the claims.
///
/// No team gets more than its demand, and what it leaves goes to the others by weight. Shares are
/// rounded down: if they exceeded the capacity together, some teams could keep another one below
/// its share.
#[must_use]
pub fn weighted_shares(capacity: u64, claims: &[ResourceClaim]) -> Vec<u64> {
    let mut shares = vec![0; claims.len()];
    let mut by_need: Vec<_> = (0..claims.len())
        .filter(|index| claims[*index].weight > 0)
        .collect();
    // a.demand / a.weight < b.demand / b.weight, without fractions.
    by_need.sort_by(|a, b| {
        let (a, b) = (claims[*a], claims[*b]);
        let a_need = u128::from(a.demand) * u128::from(b.weight);
        a_need.cmp(&(u128::from(b.demand) * u128::from(a.weight)))
    });
    let mut left = u128::from(capacity);
    let mut weights: u128 = by_need.iter().map(|i| u128::from(claims[*i].weight)).sum();
    for index in by_need {
        let (weight, demand) = (claims[index].weight, claims[index].demand);
        if u128::from(demand) * weights <= left * u128::from(weight) {
            shares[index] = demand;
            left -= u128::from(demand);
            weights -= u128::from(weight);
        } else {
            // All that follow need more than their part as well.
            let part = left * u128::from(weight) / weights;
            shares[index] = u64::try_from(part).unwrap_or(u64::MAX);
        }
    }
    shares
}

/// The claim of one team on a pool.
#[derive(Clone, Debug, Default)]
pub(super) struct TeamClaim {
    pub weight: u64,
    pub used: ResourceSize,
    pub waiting: ResourceSize,
    pub share: ResourceSize,
}

impl TeamClaim {
    /// Returns whether the team uses its share of a resource. One that uses nothing does not, even
    /// if its share is less than one accelerator.
    pub fn is_at_share(&self, resource: SharedResource) -> bool {
        let used = resource.of(&self.used);
        used > 0 && used >= resource.of(&self.share)
    }

    /// Returns how much more the team may use of a resource until it uses its share.
    fn left_of_share(&self, resource: SharedResource) -> u64 {
        let share = resource.of(&self.share);
        share.saturating_sub(resource.of(&self.used))
    }

    /// Returns the largest part of the pool that the team uses of any resource, divided by its
    /// weight, in billionths.
    pub fn weighted_use(&self, capacity: &ResourceSize) -> u64 {
        let part = |resource: SharedResource| {
            let used = u128::from(resource.of(&self.used)) * 1_000_000_000;
            used / u128::from(resource.of(capacity).max(1)) / u128::from(self.weight.max(1))
        };
        let largest = SharedResource::ALL.map(part).into_iter().max();
        u64::try_from(largest.unwrap_or(0)).unwrap_or(u64::MAX)
    }
}

/// Claims of the teams on one pool, and what the pool is short of.
#[derive(Debug, Default)]
pub(super) struct PoolShares {
    /// Capacity of the upstreams that accept starts.
    pub capacity: ResourceSize,
    /// What is not allocated of it.
    pub free: ResourceSize,
    /// What work without a team waits for.
    pub waiting_without_team: ResourceSize,
    pub teams: BTreeMap<Arc<str>, TeamClaim>,
    /// Last time at which the pool was found to be full, for each resource.
    pub full_at: [Option<u64>; 3],
    /// Whether more waits for a resource than is free, and the pool has been full lately.
    short: [bool; 3],
    /// Whether steps that are not deferred wait for a resource.
    awaited: [bool; 3],
}

impl PoolShares {
    /// Returns the claim of a team, which is empty at first.
    pub fn team_mut(&mut self, team: &Arc<str>) -> &mut TeamClaim {
        self.teams.entry(team.clone()).or_default()
    }

    /// Computes the shares and which resources are short from the use and the waiting work.
    pub fn divide(&mut self, now: u64) {
        let states = self.short.iter_mut().zip(&mut self.full_at);
        for (resource, (short, full_at)) in SharedResource::ALL.into_iter().zip(states) {
            let claims: Vec<_> = self
                .teams
                .values()
                .map(|claim| ResourceClaim {
                    weight: claim.weight,
                    demand: resource.of(&claim.used) + resource.of(&claim.waiting),
                })
                .collect();
            let shares = weighted_shares(resource.of(&self.capacity), &claims);
            let mut waiting = resource.of(&self.waiting_without_team);
            for (claim, share) in self.teams.values_mut().zip(shares) {
                resource.set(&mut claim.share, share);
                waiting = waiting.saturating_add(resource.of(&claim.waiting));
            }
            let free = resource.of(&self.free);
            if free <= resource.of(&self.capacity) / FULL_FREE_DIVISOR {
                *full_at = Some(now);
            }
            let was_full = full_at.is_some_and(|at| now < at + FULL_MEMORY_MS);
            *short = was_full && waiting > free;
        }
    }

    /// Returns whether the pool is short of any resource.
    pub fn is_short(&self) -> bool {
        self.short.contains(&true)
    }

    /// Returns the resource of which the pool is short and the team uses its share, among those
    /// that a task of this size needs.
    pub fn exhausted_share(&self, team: &str, size: &ResourceSize) -> Option<SharedResource> {
        let claim = self.teams.get(team).filter(|claim| claim.weight > 0)?;
        let resources = SharedResource::ALL.into_iter().zip(self.short);
        let mut short = resources.filter(|(resource, short)| *short && resource.of(size) > 0);
        let found = short.find(|(resource, _)| claim.is_at_share(*resource));
        found.map(|(resource, _)| resource)
    }

    /// Returns how many items of this size a team may add within its shares of the resources of
    /// which the pool is short.
    pub fn items_in_share(&self, team: &str, size: &ResourceSize) -> u64 {
        let Some(claim) = self.teams.get(team).filter(|claim| claim.weight > 0) else {
            return u64::MAX;
        };
        let resources = SharedResource::ALL.into_iter().zip(self.short);
        let short = resources.filter(|(_, short)| *short);
        let items = short.filter_map(|(resource, _)| {
            let left = claim.left_of_share(resource);
            left.checked_div(resource.of(size))
        });
        items.min().unwrap_or(u64::MAX)
    }

    /// Returns whether an item of this size would bring a team that uses some of a resource beyond
    /// its share of it, among the resources of which the pool is short.
    pub fn exceeds_share(&self, team: &str, size: &ResourceSize) -> bool {
        let Some(claim) = self.teams.get(team).filter(|claim| claim.weight > 0) else {
            return false;
        };
        let resources = SharedResource::ALL.into_iter().zip(self.short);
        let mut short = resources.filter(|(_, short)| *short);
        short.any(|(resource, _)| {
            resource.of(&claim.used) > 0 && claim.left_of_share(resource) < resource.of(size)
        })
    }

    /// Records that a step that is not deferred waits for the resources of a task of this size.
    pub fn mark_awaited(&mut self, size: &ResourceSize) {
        for (resource, awaited) in SharedResource::ALL.into_iter().zip(&mut self.awaited) {
            *awaited |= resource.of(size) > 0;
        }
    }

    /// Returns whether a step that is not deferred waits for a resource of which the pool is short
    /// and the team uses its share, among those that a task of this size needs.
    pub fn is_share_awaited(&self, team: &str, size: &ResourceSize) -> bool {
        let Some(claim) = self.teams.get(team) else {
            return false;
        };
        let resources = SharedResource::ALL.into_iter();
        let mut states = resources.zip(self.short.into_iter().zip(self.awaited));
        states.any(|(resource, (short, awaited))| {
            short && awaited && resource.of(size) > 0 && claim.is_at_share(resource)
        })
    }
}

/// Claims of the teams on all pools.
#[derive(Debug, Default)]
pub(super) struct ShareTable {
    pub pools: BTreeMap<Arc<str>, PoolShares>,
    /// Earliest time at which the claims are counted again.
    pub next_refresh_at: u64,
}

impl ShareTable {
    /// Adds a run to the use of its team.
    pub fn add_use(&mut self, pool: &str, team: Option<&Arc<str>>, size: &ResourceSize) {
        if let Some(claim) = self.claim_mut(pool, team) {
            claim.used += *size;
        }
    }

    /// Removes a run from the use of its team.
    pub fn remove_use(&mut self, pool: &str, team: Option<&Arc<str>>, size: &ResourceSize) {
        if let Some(claim) = self.claim_mut(pool, team) {
            claim.used = claim.used.saturating_sub(size);
        }
    }

    fn claim_mut(&mut self, pool: &str, team: Option<&Arc<str>>) -> Option<&mut TeamClaim> {
        self.pools.get_mut(pool)?.teams.get_mut(team?)
    }
}
