//! Free capacity of upstreams, indexed for best fit.

use std::collections::{BTreeMap, BTreeSet};

use crate::model::{ResourceSize, UpstreamName};

/// Candidates of one accelerator level that are looked at before the next level.
const PROBES_PER_LEVEL: usize = 32;

/// An upstream in the order of its free capacity.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct IndexEntry {
    cpu_milli: u64,
    memory_mib: u64,
    upstream: UpstreamName,
}

/// Upstreams that may take tasks, by free accelerators and then by free processor time.
///
/// A search walks the levels of free accelerators upward from the number that the task needs, so
/// that accelerators stay free for the tasks that need them.
#[derive(Clone, Debug, Default)]
pub struct CapacityIndex {
    /// Every upstream stands in exactly one level, under its present free capacity.
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

    /// Returns the upstream that the size fits most tightly.
    #[must_use]
    pub fn best_fit(&self, size: &ResourceSize) -> Option<UpstreamName> {
        let levels = self.levels.range(size.accelerators..);
        levels
            .map(|(_, level)| level)
            .find_map(|level| best_of_level(level, size))
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

    /// Tells whether there is no upstream.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.free.is_empty()
    }
}

/// Returns the tightest of the first fitting candidates, or any fitting one beyond them.
fn best_of_level(level: &BTreeSet<IndexEntry>, size: &ResourceSize) -> Option<UpstreamName> {
    let first = IndexEntry {
        cpu_milli: size.cpu_milli,
        memory_mib: 0,
        upstream: UpstreamName::from(""),
    };
    let candidates = level
        .range(first..)
        .filter(|entry| entry.memory_mib >= size.memory_mib);
    let best = candidates
        .take(PROBES_PER_LEVEL)
        .min_by_key(|entry| leftover(entry, size));
    best.map(|entry| entry.upstream.clone())
}

/// Returns what would stay free, as a sum of both resources in comparable units.
fn leftover(entry: &IndexEntry, size: &ResourceSize) -> u64 {
    let cpu = entry.cpu_milli - size.cpu_milli;
    let memory = entry.memory_mib - size.memory_mib;
    cpu * MIB_PER_CORE / MILLI_PER_CORE + memory
}

/// Memory that weighs as much as one core, in mebibytes.
const MIB_PER_CORE: u64 = 4096;

/// Thousandths in a core.
const MILLI_PER_CORE: u64 = 1000;

fn index_entry(upstream: &UpstreamName, free: &ResourceSize) -> IndexEntry {
    IndexEntry {
        cpu_milli: free.cpu_milli,
        memory_mib: free.memory_mib,
        upstream: upstream.clone(),
    }
}
