//! What the owner asks its host to do.

use std::sync::Arc;

use crate::model::TaskName;
use crate::owner::CommitBatch;

/// A renewal of an upstream's leases, which also lists runs and ends.
#[derive(Clone, Debug, PartialEq)]
pub struct RenewOrder {
    /// Identifier of the upstream.
    pub upstream: Arc<str>,
    /// Address of the upstream.
    pub address: Arc<str>,
    /// Epoch of the owner.
    pub epoch: u64,
    /// Last end that is journaled.
    pub ack_number: u64,
    /// End of the leases on the upstream's clock; none only looks.
    pub deadline_ms: Option<u64>,
    /// How long the answer may wait for an end, in milliseconds.
    pub wait_ms: u64,
}

/// An order to start a task.
#[derive(Clone, Debug, PartialEq)]
pub struct StartOrder {
    /// Name of the task.
    pub task: TaskName,
    /// Number of the attempt.
    pub attempt: u32,
    /// Identifier of the upstream.
    pub upstream: Arc<str>,
    /// Address of the upstream.
    pub address: Arc<str>,
    /// Epoch of the owner.
    pub epoch: u64,
    /// End of the lease on the upstream's clock, in milliseconds.
    pub deadline_ms: u64,
    /// Text of the submission.
    pub payload: Arc<str>,
    /// Checkpoint to resume from.
    pub checkpoint: Option<Arc<str>>,
    /// Ticket of the policy service.
    pub ticket: Option<Arc<str>>,
}

/// An order to stop a run.
#[derive(Clone, Debug, PartialEq)]
pub struct StopOrder {
    /// Name of the task as the upstream knows it.
    pub task: TaskName,
    /// Number of the attempt.
    pub attempt: u32,
    /// Identifier of the upstream.
    pub upstream: Arc<str>,
    /// Address of the upstream.
    pub address: Arc<str>,
    /// Epoch of the owner.
    pub epoch: u64,
}

/// A question to the policy service, asked by one host.
#[derive(Clone, Debug, PartialEq)]
pub struct QueryOrder {
    /// Number of the question.
    pub query_id: u64,
    /// Host that asks.
    pub host: Arc<str>,
    /// Name of the step.
    pub step: String,
    /// Upstreams in question.
    pub upstreams: Vec<Arc<str>>,
    /// Longest time to wait for the answer, in milliseconds.
    pub timeout_ms: u64,
}

/// Something to be done by the owner's host.
#[derive(Clone, Debug, PartialEq)]
pub enum OwnerEffect {
    /// Renew leases and list runs.
    Renew(RenewOrder),
    /// Start a task.
    Start(StartOrder),
    /// Stop a run.
    Stop(StopOrder),
    /// Ask the policy service.
    Query(QueryOrder),
    /// Write progress to the store.
    Commit(CommitBatch),
    /// Stop being the owner: another host used a higher epoch.
    StepDown,
}
