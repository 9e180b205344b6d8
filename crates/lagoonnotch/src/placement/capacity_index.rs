//! Index of the upstreams' free capacity for best-fit placement.

use std::collections::{BTreeMap, BTreeSet};

use crate::model::{ResourceSize, UpstreamName};

/// Maximum number of candidates per accelerator level that are compared for the best fit.
const MAX_CANDIDATES_PER_LEVEL: usize = 32;

/// An upstream, ordered by its free capacity.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct IndexEntry {
    cpu_milli: u64,
    memory_mib: u64,
    upstream: UpstreamName,
}

/// Upstreams that may take tasks, ordered by free accelerators and then by free processor capacity.
///
/// A search visits the levels of free accelerators in ascending order, from the number that the
/// task needs, so that accelerators stay free for the tasks that need them.
#[derive(Clone, Debug, Default)]
pub struct CapacityIndex {
    /// Upstreams by number of free accelerators. Each one is in exactly one level, under its
    /// current free capacity.
    levels: BTreeMap<u64, BTreeSet<IndexEntry>>,
    free: BTreeMap<UpstreamName, ResourceSize>,
}

impl CapacityIndex {
    /// Sets the free capacity of an upstream.
    pub fn set(&mut self, upstream: &UpstreamName, free: ResourceSize) {
        self.remove(upstream);
        self.levels
            .entry(free.accelerators)
            .or_default()
            .insert(index_entry(upstream, &free));
        self.free.insert(upstream.clone(), free);
    }

    /// Removes an upstream.
    pub fn remove(&mut self, upstream: &UpstreamName) {
        let Some(free) = self.free.remove(upstream) else {
            return;
        };
        if let Some(level) = self.levels.get_mut(&free.accelerators) {
            level.remove(&index_entry(upstream, &free));
            if level.is_empty() {
                self.levels.remove(&free.accelerators);
            }
        }
    }

    /// Returns an upstream that leaves little capacity over, from the lowest level with enough free
    /// capacity. At most `MAX_CANDIDATES_PER_LEVEL` upstreams of a level are compared.
    #[must_use]
    pub fn best_fit(&self, size: &ResourceSize) -> Option<UpstreamName> {
        let levels = self.levels.range(size.accelerators..);
        levels
            .map(|(_, level)| level)
            .find_map(|level| best_in_level(level, size))
    }

    /// Returns the total free capacity.
    #[must_use]
    pub fn total_free(&self) -> ResourceSize {
        self.free
            .values()
            .fold(ResourceSize::ZERO, |total, free| total + *free)
    }

    /// Returns the number of upstreams.
    #[must_use]
    pub fn len(&self) -> usize {
        self.free.len()
    }

    /// Returns whether there is no upstream.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.free.is_empty()
    }
}

/// Returns the best fit among the first `MAX_CANDIDATES_PER_LEVEL` entries with enough free capacity.
fn best_in_level(level: &BTreeSet<IndexEntry>, size: &ResourceSize) -> Option<UpstreamName> {
    let first = IndexEntry {
        cpu_milli: size.cpu_milli,
        memory_mib: 0,
        upstream: UpstreamName::from(""),
    };
    let candidates = level
        .range(first..)
        .filter(|entry| entry.memory_mib >= size.memory_mib);
    let best = candidates
        .take(MAX_CANDIDATES_PER_LEVEL)
        .min_by_key(|entry| leftover(entry, size));
    best.map(|entry| entry.upstream.clone())
}

/// Returns the capacity that would stay free, as a weighted sum of processor capacity and memory.
fn leftover(entry: &IndexEntry, size: &ResourceSize) -> u64 {
    let cpu = entry.cpu_milli - size.cpu_milli;
    let memory = entry.memory_mib - size.memory_mib;
    cpu * MIB_PER_CORE / MILLI_PER_CORE + memory
}

/// Amount of memory with the same weight as one core, in mebibytes.
const MIB_PER_CORE: u64 = 4096;

/// Number of thousandths in a core.
const MILLI_PER_CORE: u64 = 1000;

fn index_entry(upstream: &UpstreamName, free: &ResourceSize) -> IndexEntry {
    IndexEntry {
        cpu_milli: free.cpu_milli,
        memory_mib: free.memory_mib,
        upstream: upstream.clone(),
    }
}
