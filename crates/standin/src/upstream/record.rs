//! Records of the runs at an upstream.

use lagoonnotch_wire::upstream::{FinishOutcome, ResourceSize};
use serde::{Deserialize, Serialize};

/// One run of a task attempt, as the upstream recorded it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RunRecord {
    /// Name of the upstream.
    pub upstream: String,
    /// Name of the task.
    pub task: String,
    /// Number of the attempt.
    pub attempt: u64,
    /// Team that the task belongs to.
    pub team: String,
    /// Resources that the run occupied.
    pub size: ResourceSize,
    /// Start time, in milliseconds of the upstream's clock.
    pub started_ms: u64,
    /// End time on the same clock; `None` while the task runs.
    pub ended_ms: Option<u64>,
    /// How the run ended; `None` while the task runs.
    pub outcome: Option<FinishOutcome>,
}

/// All runs of an upstream, with the time at which they were read.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RunHistory {
    /// Time of the read, in milliseconds of the upstream's clock.
    pub now_ms: u64,
    /// All runs, in order of their starts.
    pub records: Vec<RunRecord>,
}
