//! What an upstream ran.

use lagoonnotch_wire::upstream::{FinishOutcome, ResourceSize};
use serde::{Deserialize, Serialize};

/// One run of one attempt, as the upstream saw it.
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
    /// Resources that were booked.
    pub size: ResourceSize,
    /// Time of the start, in milliseconds of the judge's clock.
    pub started_ms: u64,
    /// Time of the end; none while the task runs.
    pub ended_ms: Option<u64>,
    /// How the run ended.
    pub outcome: Option<FinishOutcome>,
}

/// Every run of an upstream, with the time at which they were read.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RunHistory {
    /// Present time of the judge's clock, in milliseconds.
    pub now_ms: u64,
    /// The runs.
    pub records: Vec<RunRecord>,
}
