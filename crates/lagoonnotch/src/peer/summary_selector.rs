//! Bounded parts of what runs for teams.

use std::collections::BTreeMap;

use crate::model::{ResourceSize, ShardName, TeamName};
use crate::shard::ShardSummary;

/// Most teams that a heartbeat names as lacking allotment.
const MAX_WANTED: usize = 8;

/// Chooses the teams that a heartbeat tells of.
///
/// Half of them are those whose total changed most since it was last told. The other half goes
/// through all teams in turn, so that a lost heartbeat leaves no total wrong for ever.
#[derive(Clone, Debug, Default)]
pub(super) struct SummarySelector {
    told: BTreeMap<ShardName, BTreeMap<TeamName, ResourceSize>>,
    next_turn: usize,
}

impl SummarySelector {
    /// Returns a summary that tells of at most the given number of teams.
    pub fn take(&mut self, shard: &ShardName, summary: &ShardSummary, most: usize) -> ShardSummary {
        let told = self.told.entry(shard.clone()).or_default();
        let mut changed: Vec<&TeamName> = summary.running.keys().collect();
        changed.sort_by_key(|team| {
            let before = told.get(*team).copied().unwrap_or_default();
            std::cmp::Reverse(change(&before, &summary.running[*team]))
        });
        changed.truncate(most / 2);
        let count = summary.running.len();
        let turn =
            (0..(most - changed.len()).min(count)).map(|offset| (self.next_turn + offset) % count);
        let names: Vec<&TeamName> = summary.running.keys().collect();
        let chosen = changed.into_iter().chain(turn.map(|index| names[index]));
        let running: BTreeMap<TeamName, ResourceSize> = chosen
            .map(|team| (team.clone(), summary.running[team]))
            .collect();
        self.next_turn = self.next_turn.wrapping_add(most / 2);
        told.extend(
            running
                .iter()
                .map(|(team, running)| (team.clone(), *running)),
        );
        ShardSummary {
            running,
            wanted_ms: longest_waits(summary),
            ..summary.clone()
        }
    }
}

/// Returns the teams that have lacked allotment for longest.
fn longest_waits(summary: &ShardSummary) -> BTreeMap<TeamName, u64> {
    let mut waits: Vec<(&TeamName, &u64)> = summary.wanted_ms.iter().collect();
    waits.sort_by_key(|(_, wait_ms)| std::cmp::Reverse(**wait_ms));
    waits.truncate(MAX_WANTED);
    waits
        .into_iter()
        .map(|(team, wait_ms)| (team.clone(), *wait_ms))
        .collect()
}

/// Returns how far two totals are apart, as a sum over the resources.
fn change(before: &ResourceSize, now: &ResourceSize) -> u64 {
    let cpu = before.cpu_milli.abs_diff(now.cpu_milli);
    let memory = before.memory_mib.abs_diff(now.memory_mib);
    let accelerators = before.accelerators.abs_diff(now.accelerators) * ACCELERATOR_WEIGHT;
    cpu + memory + accelerators
}

/// Weight of an accelerator against a thousandth of a core or a mebibyte.
const ACCELERATOR_WEIGHT: u64 = 8000;
