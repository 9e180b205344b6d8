//! Records of the journal.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::document::WorkClass;
use crate::model::{
    AttemptId, ResourceSize, ShardName, TaskId, TeamName, UpstreamName, WorkId, WorkloadName,
};

/// A work item as accepted.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AcceptedWork {
    /// Identifier of the work.
    pub id: WorkId,
    /// Team whose limit the work counts against.
    pub team: TeamName,
    /// Name of the workload policy.
    pub workload: WorkloadName,
    /// Work class at the time of acceptance.
    pub class: WorkClass,
    /// Whether a task may run more than once.
    pub idempotent: bool,
    /// Whether running tasks may be stopped for more urgent work; not used yet.
    pub preemptible: bool,
    /// Whether the work item is a job. Otherwise it is a quick request whose caller waits.
    pub lasting: bool,
    /// Size of one task.
    pub size: ResourceSize,
    /// Number of tasks; at least 1.
    pub tasks: u32,
    /// Number of failed attempts after which a task has failed.
    pub max_attempts: u32,
    /// Time from acceptance to the latest useful start, in milliseconds.
    pub deadline_ms: u64,
    /// Input of each task; empty for a quick request.
    pub payload: Arc<str>,
}

/// Final outcome of a task.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskOutcome {
    /// The task completed.
    Completed,
    /// The task failed and does not run again: it is not idempotent, was cancelled or has used up
    /// its attempts, or an entry host received the failed answer of a quick request.
    Failed,
    /// The task was cancelled.
    Cancelled,
    /// A non-idempotent attempt may or may not have run.
    Unknown,
    /// The task of a quick request did not run and was given up.
    NotRun,
}

/// An event in the history of a shard's work items.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "record")]
pub enum JournalRecord {
    /// An owner of a new epoch took over. Older owners cannot write to the journal any more.
    Sealed {
        /// The new epoch.
        epoch: u64,
    },
    /// A work item was accepted.
    Accepted {
        /// The work.
        work: AcceptedWork,
    },
    /// An attempt is about to start.
    Intended {
        /// The attempt.
        attempt: AttemptId,
        /// Upstream that the attempt will start at.
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
    /// A task reached its final state.
    Settled {
        /// The task.
        task: TaskId,
        /// Final outcome of the task.
        outcome: TaskOutcome,
        /// Answer of a job's task, if it is short and the upstream's report included it.
        answer: Option<Arc<str>>,
    },
    /// A work item that never started is offered to another shard and will not start here.
    Offered {
        /// The work.
        work: WorkId,
        /// Shard that takes the work item.
        to: ShardName,
    },
    /// The other shard has confirmed the work item.
    Moved {
        /// The work.
        work: WorkId,
    },
    /// Cancellation of a work item was requested.
    Cancelled {
        /// The work.
        work: WorkId,
    },
    /// The retention period of a work item has ended.
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
    /// Unique identifier, which tells after a lost reply whether this write succeeded.
    pub batch: Arc<str>,
    /// The records, in order.
    pub records: Vec<JournalRecord>,
}
