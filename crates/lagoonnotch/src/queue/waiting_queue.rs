//! Waiting tasks, grouped by class and team.

use std::collections::BTreeMap;

use crate::document::WorkClass;
use crate::model::{ResourceSize, TaskId, TeamName};

/// A waiting task, or a whole waiting gang under its first task.
#[derive(Clone, Debug, PartialEq)]
pub struct WaitingEntry {
    /// The task, or the first task of the gang.
    pub task: TaskId,
    /// Size of each task.
    pub size: ResourceSize,
    /// Number of tasks, which are placed together.
    pub count: u32,
    /// Sequence number of the work item in the order of acceptance. Within a team, lower numbers go
    /// first.
    pub sequence: u64,
    /// When the entry began to wait, in milliseconds.
    pub since_ms: u64,
}

/// Sort key of entries within a class and team.
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

/// Position of an entry in the queue.
#[derive(Clone, Debug)]
struct QueuePosition {
    class: WorkClass,
    team: TeamName,
    key: QueueKey,
}

/// Waiting entries of one class, by team and in the order of acceptance.
type ClassQueue = BTreeMap<TeamName, BTreeMap<QueueKey, WaitingEntry>>;

/// All waiting entries of a shard.
#[derive(Clone, Debug, Default)]
pub struct WaitingQueue {
    /// Entries by class. A team without entries has no map here.
    classes: BTreeMap<WorkClass, ClassQueue>,
    /// Position of every entry, by task.
    positions: BTreeMap<TaskId, QueuePosition>,
}

impl WaitingQueue {
    /// Adds an entry at its position in the order of acceptance, and removes an older entry of the
    /// same task.
    pub fn push(&mut self, class: WorkClass, team: &TeamName, entry: WaitingEntry) {
        self.remove(&entry.task);
        let key = entry.key();
        let position = QueuePosition {
            class,
            team: team.clone(),
            key,
        };
        self.positions.insert(entry.task.clone(), position);
        let class_queue = self.classes.entry(class).or_default();
        class_queue
            .entry(team.clone())
            .or_default()
            .insert(key, entry);
    }

    /// Removes an entry.
    pub fn remove(&mut self, task: &TaskId) -> Option<WaitingEntry> {
        let position = self.positions.remove(task)?;
        let class_queue = self.classes.get_mut(&position.class)?;
        let entries = class_queue.get_mut(&position.team)?;
        let entry = entries.remove(&position.key);
        if entries.is_empty() {
            class_queue.remove(&position.team);
        }
        entry
    }

    /// Returns the teams with waiting entries in a class.
    pub fn teams(&self, class: WorkClass) -> impl Iterator<Item = &TeamName> {
        self.classes
            .get(&class)
            .into_iter()
            .flat_map(|class_queue| class_queue.keys())
    }

    /// Returns the first entries of a team in a class, at most `max_entries`.
    #[must_use]
    pub fn first(
        &self,
        class: WorkClass,
        team: &TeamName,
        max_entries: usize,
    ) -> Vec<WaitingEntry> {
        let entries = self
            .classes
            .get(&class)
            .and_then(|class_queue| class_queue.get(team));
        entries
            .into_iter()
            .flat_map(|entries| entries.values())
            .take(max_entries)
            .cloned()
            .collect()
    }

    /// Returns the number of waiting entries of a team in a class.
    #[must_use]
    pub fn entry_count(&self, class: WorkClass, team: &TeamName) -> usize {
        self.classes
            .get(&class)
            .and_then(|class_queue| class_queue.get(team))
            .map_or(0, BTreeMap::len)
    }

    /// Returns the number of waiting entries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Returns whether the queue is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    /// Returns whether the queue has an entry under the task.
    #[must_use]
    pub fn contains(&self, task: &TaskId) -> bool {
        self.positions.contains_key(task)
    }
}
