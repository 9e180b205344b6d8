//! Identifiers of work items, tasks and attempts.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::names::define_name;
use crate::model::ShardName;

/// Separates the home shard from the rest of a work item's identifier.
const HOME_SEPARATOR: char = '~';

/// Number of low bits of an attempt number that hold the counter within an epoch.
const ATTEMPT_COUNTER_BITS: u32 = 24;

define_name! {
    /// Identifier of a work item, which is a quick request or a job.
    ///
    /// An identifier that the system issues has the form `HOME~REST`, where `HOME` is the home
    /// shard, the shard that the work item was assigned to when its identifier was issued.
    WorkId
}

impl WorkId {
    /// Creates an identifier with the given home shard.
    #[must_use]
    pub fn with_home(home: &ShardName, rest: &str) -> Self {
        Self::from(format!("{home}{HOME_SEPARATOR}{rest}"))
    }

    /// Returns the name of the home shard, if the identifier carries one.
    #[must_use]
    pub fn home(&self) -> Option<ShardName> {
        self.as_str()
            .split_once(HOME_SEPARATOR)
            .map(|(home, _)| ShardName::from(home))
    }

    /// Returns the part after the home shard, or the whole identifier if it has no home.
    #[must_use]
    pub fn local_part(&self) -> &str {
        self.as_str()
            .split_once(HOME_SEPARATOR)
            .map_or(self.as_str(), |(_, rest)| rest)
    }
}

/// Identifier of one task of a work item.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TaskId {
    /// The work item that the task belongs to.
    pub work: WorkId,
    /// Index of the task in its work item, from 0.
    pub index: u32,
}

impl TaskId {
    /// Parses the form `WORK/INDEX`; returns none if the text is malformed.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let (work, index) = text.rsplit_once('/')?;
        let index = index.parse().ok()?;
        Some(Self {
            work: WorkId::from(work),
            index,
        })
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.work, self.index)
    }
}

/// Identifier of one attempt to run a task.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct AttemptId {
    /// The task.
    pub task: TaskId,
    /// Number of the attempt, unique across all epochs of a shard.
    pub number: u64,
}

impl AttemptId {
    /// Returns the number of the `count`-th attempt that an owner of the given epoch starts.
    #[must_use]
    pub fn number_for(epoch: u64, count: u64) -> u64 {
        (epoch << ATTEMPT_COUNTER_BITS) | count
    }
}
