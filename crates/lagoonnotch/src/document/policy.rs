//! The sections of the configuration.

use std::sync::Arc;

use lagoonnotch_wire::document;
use serde::{Deserialize, Serialize};

use crate::model::{ResourceSize, TeamName};

/// Policy class of a workload, most urgent first.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkClass {
    /// Quick work whose caller waits, or that must start at once.
    Urgent,
    /// Work that runs until it is cancelled.
    Service,
    /// Work whose tasks all start together or not at all.
    Gang,
    /// Work that may wait.
    Batch,
}

impl WorkClass {
    /// Every class, most urgent first.
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

/// Share and upper limit of a team.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TeamPolicy {
    /// Weight of the team when the cell is full; at least 1.
    pub share: u32,
    /// Most that the team may have running in the whole fleet.
    pub limit: ResourceSize,
}

/// The team that a key belongs to.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct KeyGrant {
    /// Team that the key stands for.
    pub team: TeamName,
    /// SHA-256 of the key, in hexadecimal.
    pub sha256: Arc<str>,
}

/// Admission to a queue.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct QueuePolicy {
    /// Whether every team may submit; otherwise only the named teams.
    pub open: bool,
    /// Teams that may submit to a queue that is not open.
    pub teams: Vec<TeamName>,
    /// Most tasks of one team that may wait in one shard.
    pub max_waiting: u32,
    /// Seconds for which admission goes on without fresh configuration.
    pub when_cut_off_s: u32,
}

/// State of a failure domain.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct DomainPolicy {
    /// Whether tasks may start in the failure domain.
    pub in_service: bool,
    /// Number of shards; fixed once set, at least 1.
    pub shards: u32,
    /// Seconds for which starts go on without fresh configuration.
    pub when_cut_off_s: u32,
}

/// Policy of a workload.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WorkloadPolicy {
    /// Class that decides the order of work.
    pub class: WorkClass,
    /// Queue that admits the workload.
    pub queue: Arc<str>,
    /// Time from acceptance to the latest useful start, in milliseconds.
    pub deadline_ms: u64,
    /// Size of one task.
    pub size: ResourceSize,
    /// Whether a task may run again after an attempt with an unclear end.
    pub idempotent: bool,
    /// Whether running tasks may be stopped for more urgent work.
    pub preemptible: bool,
    /// Failed attempts after which a task counts as failed.
    pub max_attempts: u32,
}
