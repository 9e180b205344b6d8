//! Finds runs that must not have happened.

use std::collections::{BTreeMap, BTreeSet};

use lagoonnotch_wire::upstream::{HostEntry, ResourceSize};

use crate::upstream::RunRecord;

/// What the runs show.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RunViolations {
    /// Tasks that ran in two places at once, or more than once although they must not.
    pub doubled: BTreeSet<String>,
    /// Upstreams that had more running than their capacity.
    pub overcommitted: BTreeSet<String>,
    /// Teams that had more running than their limit.
    pub beyond_limit: BTreeSet<String>,
}

impl RunViolations {
    /// Tells whether nothing was found.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        *self == Self::default()
    }
}

/// Judges runs by capacities and limits.
#[derive(Clone, Debug, Default)]
pub struct RunChecker {
    /// Capacity of each upstream.
    pub capacities: BTreeMap<String, ResourceSize>,
    /// Limit of each team.
    pub limits: BTreeMap<String, ResourceSize>,
    /// Works that may run at most once.
    pub at_most_once: BTreeSet<String>,
}

/// A start or an end of a run.
#[derive(Clone, Copy, Debug)]
struct RunChange<'a> {
    at_ms: u64,
    /// Ends come before starts at the same time.
    starts: bool,
    size: &'a ResourceSize,
}

impl RunChecker {
    /// Makes a judge of the given upstreams.
    #[must_use]
    pub fn new(hosts: &[HostEntry]) -> Self {
        let capacities = hosts
            .iter()
            .map(|host| (host.name.clone(), host.capacity.clone()))
            .collect();
        Self {
            capacities,
            ..Self::default()
        }
    }

    /// Judges all runs.
    #[must_use]
    pub fn check(&self, records: &[RunRecord]) -> RunViolations {
        RunViolations {
            doubled: self.doubled(records),
            overcommitted: exceeded(records, &self.capacities, |record| &record.upstream),
            beyond_limit: exceeded(records, &self.limits, |record| &record.team),
        }
    }

    fn doubled(&self, records: &[RunRecord]) -> BTreeSet<String> {
        let mut tasks: BTreeMap<&str, Vec<&RunRecord>> = BTreeMap::new();
        for record in records {
            tasks.entry(&record.task).or_default().push(record);
        }
        let doubled = tasks.into_iter().filter(|(task, runs)| {
            let work = task.rsplit_once('/').map_or(*task, |(work, _)| work);
            overlaps(runs) || (runs.len() > 1 && self.at_most_once.contains(work))
        });
        doubled.map(|(task, _)| task.to_owned()).collect()
    }
}

/// Tells whether two runs of a task overlap in time.
fn overlaps(runs: &[&RunRecord]) -> bool {
    let mut runs: Vec<&&RunRecord> = runs.iter().collect();
    runs.sort_by_key(|run| run.started_ms);
    runs.windows(2).any(|pair| {
        pair[0]
            .ended_ms
            .is_none_or(|ended| ended > pair[1].started_ms)
    })
}

/// Returns the names under which more ran at once than allowed.
fn exceeded(
    records: &[RunRecord],
    allowed: &BTreeMap<String, ResourceSize>,
    name: impl Fn(&RunRecord) -> &String,
) -> BTreeSet<String> {
    let mut changes: BTreeMap<&String, Vec<RunChange<'_>>> = BTreeMap::new();
    for record in records {
        let entry = changes.entry(name(record)).or_default();
        entry.push(RunChange {
            at_ms: record.started_ms,
            starts: true,
            size: &record.size,
        });
        if let Some(at_ms) = record.ended_ms {
            entry.push(RunChange {
                at_ms,
                starts: false,
                size: &record.size,
            });
        }
    }
    let over = changes.into_iter().filter(|(name, changes)| {
        allowed
            .get(*name)
            .is_some_and(|most| ever_above(changes.clone(), most))
    });
    over.map(|(name, _)| name.clone()).collect()
}

fn ever_above(mut changes: Vec<RunChange<'_>>, most: &ResourceSize) -> bool {
    changes.sort_by_key(|change| (change.at_ms, change.starts));
    let (mut cpu, mut memory, mut accelerators) = (0_i128, 0_i128, 0_i128);
    changes.into_iter().any(|change| {
        let sign = if change.starts { 1 } else { -1 };
        cpu += sign * i128::from(change.size.cpu_milli);
        memory += sign * i128::from(change.size.memory_mib);
        accelerators += sign * i128::from(change.size.accelerators);
        cpu > i128::from(most.cpu_milli)
            || memory > i128::from(most.memory_mib)
            || accelerators > i128::from(most.accelerators)
    })
}
