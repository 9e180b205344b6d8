//! Selection of the teams whose usage a heartbeat carries.

use std::collections::BTreeMap;

use crate::model::{ResourceSize, ShardName, TeamName};
use crate::shard::ShardSummary;

/// Maximum number of teams that a heartbeat lists as lacking allotment.
const MAX_SHORT_TEAMS: usize = 8;

/// Selects the teams whose usage a heartbeat carries.
///
/// Half of them are the teams whose usage changed most since it was last sent. The other half
/// rotates through all teams, so that usage lost with a heartbeat is sent again eventually.
#[derive(Clone, Debug, Default)]
pub(super) struct SummarySelector {
    /// Usage as last sent, by shard and team.
    sent: BTreeMap<ShardName, BTreeMap<TeamName, ResourceSize>>,
    next_index: usize,
}

impl SummarySelector {
    /// Returns a copy of a summary with the usage of at most `max_teams` teams.
    pub fn select(
        &mut self,
        shard: &ShardName,
        summary: &ShardSummary,
        max_teams: usize,
    ) -> ShardSummary {
        let sent = self.sent.entry(shard.clone()).or_default();
        let mut changed: Vec<&TeamName> = summary.running.keys().collect();
        changed.sort_by_key(|team| {
            let before = sent.get(*team).copied().unwrap_or_default();
            std::cmp::Reverse(difference(&before, &summary.running[*team]))
        });
        changed.truncate(max_teams / 2);
        let count = summary.running.len();
        let rotation = (0..(max_teams - changed.len()).min(count))
            .map(|offset| (self.next_index + offset) % count);
        let names: Vec<&TeamName> = summary.running.keys().collect();
        let chosen = changed
            .into_iter()
            .chain(rotation.map(|index| names[index]));
        let running: BTreeMap<TeamName, ResourceSize> = chosen
            .map(|team| (team.clone(), summary.running[team]))
            .collect();
        self.next_index = self.next_index.wrapping_add(max_teams / 2);
        sent.extend(
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

/// Returns the teams that have lacked allotment longest, with their waiting times.
fn longest_waits(summary: &ShardSummary) -> BTreeMap<TeamName, u64> {
    let mut waits: Vec<(&TeamName, &u64)> = summary.wanted_ms.iter().collect();
    waits.sort_by_key(|(_, wait_ms)| std::cmp::Reverse(**wait_ms));
    waits.truncate(MAX_SHORT_TEAMS);
    waits
        .into_iter()
        .map(|(team, wait_ms)| (team.clone(), *wait_ms))
        .collect()
}

/// Returns the difference between two amounts, as a weighted sum over the resources.
fn difference(before: &ResourceSize, now: &ResourceSize) -> u64 {
    let cpu = before.cpu_milli.abs_diff(now.cpu_milli);
    let memory = before.memory_mib.abs_diff(now.memory_mib);
    let accelerators = before.accelerators.abs_diff(now.accelerators) * ACCELERATOR_WEIGHT;
    cpu + memory + accelerators
}

/// Weight of one accelerator relative to a millicore or a mebibyte.
const ACCELERATOR_WEIGHT: u64 = 8000;
