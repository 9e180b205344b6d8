//! Finds duplicate runs and exceeded capacities and limits in run records.

use std::collections::{BTreeMap, BTreeSet};

use lagoonnotch_wire::upstream::{HostEntry, ResourceSize};

use crate::upstream::RunRecord;

/// Violations found in run records.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RunViolations {
    /// Tasks whose runs overlapped, or that ran more than once although they may run at most once.
    pub doubled: BTreeSet<String>,
    /// Upstreams whose running tasks exceeded their capacity at some time.
    pub overcommitted: BTreeSet<String>,
    /// Teams whose running tasks exceeded their limit at some time.
    pub beyond_limit: BTreeSet<String>,
}

impl RunViolations {
    /// Returns whether there are no violations.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        *self == Self::default()
    }
}

/// Checks run records against capacities, limits and at-most-once execution.
#[derive(Clone, Debug, Default)]
pub struct RunChecker {
    /// Capacity of each upstream.
    pub capacities: BTreeMap<String, ResourceSize>,
    /// Limit of each team.
    pub limits: BTreeMap<String, ResourceSize>,
    /// Identifiers of submissions whose tasks may run at most once.
    pub at_most_once: BTreeSet<String>,
}

/// Change of the resources in use when a run starts or ends.
#[derive(Clone, Copy, Debug)]
struct UsageChange<'a> {
    at_ms: u64,
    /// Whether the run starts; at equal times ends sort before starts.
    starts: bool,
    size: &'a ResourceSize,
}

impl RunChecker {
    /// Creates a checker for the given upstreams, without limits and at-most-once submissions.
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

    /// Returns the violations in the given runs.
    #[must_use]
    pub fn check(&self, records: &[RunRecord]) -> RunViolations {
        RunViolations {
            doubled: self.doubled(records),
            overcommitted: names_over_limit(records, &self.capacities, |record| &record.upstream),
            beyond_limit: names_over_limit(records, &self.limits, |record| &record.team),
        }
    }

    fn doubled(&self, records: &[RunRecord]) -> BTreeSet<String> {
        let mut tasks: BTreeMap<&str, Vec<&RunRecord>> = BTreeMap::new();
        for record in records {
            tasks.entry(&record.task).or_default().push(record);
        }
        let doubled = tasks.into_iter().filter(|(task, runs)| {
            let submission = task.rsplit_once('/').map_or(*task, |(id, _)| id);
            overlaps(runs) || (runs.len() > 1 && self.at_most_once.contains(submission))
        });
        doubled.map(|(task, _)| task.to_owned()).collect()
    }
}

/// Returns whether any two of a task's runs overlap in time.
fn overlaps(runs: &[&RunRecord]) -> bool {
    let mut runs: Vec<&&RunRecord> = runs.iter().collect();
    runs.sort_by_key(|run| run.started_ms);
    runs.windows(2).any(|pair| {
        pair[0]
            .ended_ms
            .is_none_or(|ended| ended > pair[1].started_ms)
    })
}

/// Returns the names whose running tasks exceeded their limit at some time.
fn names_over_limit(
    records: &[RunRecord],
    limits: &BTreeMap<String, ResourceSize>,
    name: impl Fn(&RunRecord) -> &String,
) -> BTreeSet<String> {
    let mut changes: BTreeMap<&String, Vec<UsageChange<'_>>> = BTreeMap::new();
    for record in records {
        let entry = changes.entry(name(record)).or_default();
        entry.push(UsageChange {
            at_ms: record.started_ms,
            starts: true,
            size: &record.size,
        });
        if let Some(at_ms) = record.ended_ms {
            entry.push(UsageChange {
                at_ms,
                starts: false,
                size: &record.size,
            });
        }
    }
    let over = changes.into_iter().filter(|(name, changes)| {
        limits
            .get(*name)
            .is_some_and(|limit| exceeds(changes.clone(), limit))
    });
    over.map(|(name, _)| name.clone()).collect()
}

fn exceeds(mut changes: Vec<UsageChange<'_>>, limit: &ResourceSize) -> bool {
    changes.sort_by_key(|change| (change.at_ms, change.starts));
    let (mut cpu, mut memory, mut accelerators) = (0_i128, 0_i128, 0_i128);
    changes.into_iter().any(|change| {
        let sign = if change.starts { 1 } else { -1 };
        cpu += sign * i128::from(change.size.cpu_milli);
        memory += sign * i128::from(change.size.memory_mib);
        accelerators += sign * i128::from(change.size.accelerators);
        cpu > i128::from(limit.cpu_milli)
            || memory > i128::from(limit.memory_mib)
            || accelerators > i128::from(limit.accelerators)
    })
}
