//! Sections of the configuration.

use std::sync::Arc;

use lagoonnotch_wire::document;
use serde::{Deserialize, Serialize};

use crate::model::{ResourceSize, TeamName};

/// Scheduling class of a workload, most urgent first.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkClass {
    /// Work whose caller waits for the answer, or that must start immediately.
    Urgent,
    /// Long-running work that ends only when it is cancelled.
    Service,
    /// Work whose tasks are all started together or not at all.
    Gang,
    /// Work that can wait.
    Batch,
}

impl WorkClass {
    /// All classes, most urgent first.
    pub const ALL: [Self; 4] = [Self::Urgent, Self::Service, Self::Gang, Self::Batch];
}

impl From<document::WorkClass> for WorkClass {
    fn from(class: document::WorkClass) -> Self {
        match class {
            document::WorkClass::Urgent => Self::Urgent,
            document::WorkClass::Service => Self::Service,
            document::WorkClass::Gang => Self::Gang,
            document::WorkClass::Batch => Self::Batch,
        }
    }
}

/// Fair share and resource limit of a team.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TeamPolicy {
    /// Weight of the team when it competes for capacity in a full cell; at least 1.
    pub share: u32,
    /// Maximum resources that the team's running tasks may use in the whole cell.
    pub limit: ResourceSize,
}

/// An API key and the team that it belongs to.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct KeyGrant {
    /// Team that the key authenticates.
    pub team: TeamName,
    /// SHA-256 of the key, in hexadecimal.
    pub sha256: Arc<str>,
}

/// Admission rules of a queue.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct QueuePolicy {
    /// Whether all teams may submit; otherwise only the listed teams.
    pub open: bool,
    /// Teams that may submit if the queue is not open.
    pub teams: Vec<TeamName>,
    /// Maximum number of waiting tasks of one team in one shard.
    pub max_waiting: u32,
    /// How long a host that may lack newer documents keeps admitting work, in seconds.
    pub when_cut_off_s: u32,
}

/// Configuration of a failure domain.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct DomainPolicy {
    /// Whether tasks may start in the failure domain.
    pub in_service: bool,
    /// Number of shards, at least 1; it can't be changed later.
    pub shards: u32,
    /// How long a host that may lack newer documents keeps starting tasks, in seconds.
    pub when_cut_off_s: u32,
}

/// Scheduling policy of a workload.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WorkloadPolicy {
    /// Scheduling class.
    pub class: WorkClass,
    /// Queue that admits the workload.
    pub queue: Arc<str>,
    /// Deadline for the start, counted from acceptance, in milliseconds.
    pub deadline_ms: u64,
    /// Resources of one task.
    pub size: ResourceSize,
    /// Whether a task may run again after an attempt with an unknown outcome.
    pub idempotent: bool,
    /// Whether running tasks may be preempted by more urgent work.
    pub preemptible: bool,
    /// Number of failed attempts after which the task is marked as failed.
    pub max_attempts: u32,
}
