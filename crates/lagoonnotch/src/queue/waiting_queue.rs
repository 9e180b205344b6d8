//! Waiting tasks by class and team.

use std::collections::BTreeMap;

use crate::document::WorkClass;
use crate::model::{ResourceSize, TaskId, TeamName};

/// A task, or a whole gang under its first task, that waits for a place.
#[derive(Clone, Debug, PartialEq)]
pub struct WaitingEntry {
    /// The task, or the first task of the gang.
    pub task: TaskId,
    /// Size of each task.
    pub size: ResourceSize,
    /// Number of tasks that start together.
    pub count: u32,
    /// Number of the work in the order of acceptance; earlier works go first within a team.
    pub sequence: u64,
    /// Time at which the entry began to wait, in milliseconds.
    pub since_ms: u64,
}

/// Order of entries within a class and team.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct QueueKey {
    sequence: u64,
    index: u32,
}

impl WaitingEntry {
    fn key(&self) -> QueueKey {
        QueueKey {
            sequence: self.sequence,
            index: self.task.index,
        }
    }
}

/// Where an entry stands.
#[derive(Clone, Debug)]
struct QueuePosition {
    class: WorkClass,
    team: TeamName,
    key: QueueKey,
}

/// Waiting entries of one class, by team and in the order of acceptance.
type ClassLane = BTreeMap<TeamName, BTreeMap<QueueKey, WaitingEntry>>;

/// All waiting entries of a shard.
#[derive(Clone, Debug, Default)]
pub struct WaitingQueue {
    /// No lane holds a team without entries.
    lanes: BTreeMap<WorkClass, ClassLane>,
    /// Every entry of the lanes, by task.
    positions: BTreeMap<TaskId, QueuePosition>,
}

impl WaitingQueue {
    /// Adds an entry at its place in the order of acceptance.
    pub fn push(&mut self, class: WorkClass, team: &TeamName, entry: WaitingEntry) {
        self.remove(&entry.task);
        let key = entry.key();
        let position = QueuePosition {
            class,
            team: team.clone(),
            key,
        };
        self.positions.insert(entry.task.clone(), position);
        let lane = self.lanes.entry(class).or_default();
        lane.entry(team.clone()).or_default().insert(key, entry);
    }

    /// Removes an entry.
    pub fn remove(&mut self, task: &TaskId) -> Option<WaitingEntry> {
        let position = self.positions.remove(task)?;
        let lane = self.lanes.get_mut(&position.class)?;
        let entries = lane.get_mut(&position.team)?;
        let entry = entries.remove(&position.key);
        if entries.is_empty() {
            lane.remove(&position.team);
        }
        entry
    }

    /// Returns the teams that wait in a class.
    pub fn teams(&self, class: WorkClass) -> impl Iterator<Item = &TeamName> {
        self.lanes
            .get(&class)
            .into_iter()
            .flat_map(|lane| lane.keys())
    }

    /// Returns the first entries of a team in a class.
    #[must_use]
    pub fn first(&self, class: WorkClass, team: &TeamName, count: usize) -> Vec<WaitingEntry> {
        let entries = self.lanes.get(&class).and_then(|lane| lane.get(team));
        entries
            .into_iter()
            .flat_map(|entries| entries.values())
            .take(count)
            .cloned()
            .collect()
    }

    /// Returns the number of waiting entries of a team in a class.
    #[must_use]
    pub fn count(&self, class: WorkClass, team: &TeamName) -> usize {
        self.lanes
            .get(&class)
            .and_then(|lane| lane.get(team))
            .map_or(0, BTreeMap::len)
    }

    /// Returns the number of waiting entries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Tells whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    /// Tells whether the task waits.
    #[must_use]
    pub fn contains(&self, task: &TaskId) -> bool {
        self.positions.contains_key(task)
    }
}
