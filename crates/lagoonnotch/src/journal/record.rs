//! Records of the journal.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::document::WorkClass;
use crate::model::{
    AttemptId, ResourceSize, ShardName, TaskId, TeamName, UpstreamName, WorkId, WorkloadName,
};

/// A work as it was accepted.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AcceptedWork {
    /// Identifier of the work.
    pub id: WorkId,
    /// Team that the work counts for.
    pub team: TeamName,
    /// Name of the workload policy.
    pub workload: WorkloadName,
    /// Class at the time of acceptance.
    pub class: WorkClass,
    /// Whether a task may run again after an attempt with an unclear end.
    pub idempotent: bool,
    /// Whether running tasks may be stopped for more urgent work.
    pub preemptible: bool,
    /// Whether the work is a job; otherwise it is a quick request whose caller waits.
    pub lasting: bool,
    /// Size of one task.
    pub size: ResourceSize,
    /// Number of tasks; at least 1.
    pub tasks: u32,
    /// Failed attempts after which a task counts as failed.
    pub max_attempts: u32,
    /// Time from acceptance to the latest useful start, in milliseconds.
    pub deadline_ms: u64,
    /// Input of each task; empty for a quick request.
    pub payload: Arc<str>,
}

/// How a task ended for good.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskOutcome {
    /// The task ran to its end.
    Completed,
    /// Every permitted attempt failed.
    Failed,
    /// The task was cancelled.
    Cancelled,
    /// A non-idempotent attempt may or may not have run.
    Unknown,
    /// The task surely never ran, and its caller was told that it is not known.
    NotRun,
}

/// One fact about a shard's works.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "record")]
pub enum JournalRecord {
    /// An owner of a new epoch took over; it ends every older owner's journal.
    Sealed {
        /// The new epoch.
        epoch: u64,
    },
    /// A work was accepted.
    Accepted {
        /// The work.
        work: AcceptedWork,
    },
    /// An attempt is about to start.
    Intended {
        /// The attempt.
        attempt: AttemptId,
        /// Where it is to start.
        upstream: UpstreamName,
        /// Incarnation of the upstream at that time.
        incarnation: Arc<str>,
    },
    /// An attempt ended without an outcome for its task, which waits again.
    Returned {
        /// The attempt.
        attempt: AttemptId,
        /// Whether the attempt ran and failed.
        failed: bool,
    },
    /// A task ended for good.
    Settled {
        /// The task.
        task: TaskId,
        /// How it ended.
        outcome: TaskOutcome,
        /// Its answer, when it is short and no caller waited for it.
        answer: Option<Arc<str>>,
    },
    /// A work that never started is offered to another shard, and will not start here.
    Offered {
        /// The work.
        work: WorkId,
        /// The other shard.
        to: ShardName,
    },
    /// The other shard has the work.
    Moved {
        /// The work.
        work: WorkId,
    },
    /// A work is to be cancelled.
    Cancelled {
        /// The work.
        work: WorkId,
    },
    /// A work's retention period is over.
    Forgotten {
        /// The work.
        work: WorkId,
    },
}

/// One group commit.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct JournalSegment {
    /// Epoch of the owner that wrote the segment.
    pub epoch: u64,
    /// Unique identifier, by which a lost answer is settled.
    pub batch: Arc<str>,
    /// The records, in order.
    pub records: Vec<JournalRecord>,
}
