//! The approved configuration that is in force.

use std::collections::HashMap;
use std::sync::Arc;

use lagoonnotch::model::ResourceSize;
use serde::{Deserialize, Serialize};

/// The policy service that says which upstreams may run a step of a queue.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct PolicyService {
    /// Time of one call, in milliseconds.
    pub decision_ms: f64,
    /// Additional time for each upstream that the call names, in milliseconds.
    pub per_upstream_ms: f64,
    /// How long a ticket is valid, in milliseconds.
    pub valid_ms: u64,
}

/// A queue of the approved configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct QueuePolicy {
    /// Name of the queue.
    pub name: Arc<str>,
    /// Host name that callers ask for.
    pub host: Arc<str>,
    /// First part of the paths of the queue.
    pub prefix: Arc<str>,
    /// Pool of upstreams that runs the tasks.
    pub pool: Arc<str>,
    /// Priority; 0 comes first.
    pub priority: u32,
    /// Runs of a task that may fail.
    pub max_attempts: u32,
    /// Factor of the longest chain of work in the objective.
    pub stretch: f64,
    /// Constant part of the objective, in milliseconds.
    pub objective_ms: u64,
    /// Longest time of a request, in milliseconds.
    pub timeout_ms: u64,
    /// Whether calls need no key.
    pub open: bool,
    /// Policy service to ask before a start.
    #[serde(rename = "policy_desk")]
    pub policy_service: Option<PolicyService>,
}

/// A pool of upstreams.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolPolicy {
    /// Name of the pool.
    pub name: Arc<str>,
    /// Whether its upstreams refuse what does not fit.
    pub enforces_capacity: bool,
}

/// A team of the approved configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamPolicy {
    /// Name of the team.
    pub name: Arc<str>,
    /// Share when the fleet is full.
    pub weight: u64,
    /// What may run at a time; 0 of a resource means no limit.
    pub upper_limit: ResourceSize,
}

/// Limits of callers' requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestLimits {
    /// Longest body, in bytes.
    pub max_body_bytes: usize,
    /// Longest head, in bytes.
    pub max_header_bytes: usize,
    /// Longest time until a head is complete, in milliseconds.
    pub header_timeout_ms: u64,
    /// Longest idle time of a connection, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// The approved configuration.
#[derive(Clone, Debug)]
pub struct ApprovedConfig {
    /// Version that the operator gave it.
    pub version: u64,
    /// Revision of the store at which it was written; grows with each version.
    pub revision: u64,
    /// Queues, longest prefix first.
    pub queues: Vec<Arc<QueuePolicy>>,
    /// Pools by name.
    pub pools: HashMap<Arc<str>, PoolPolicy>,
    /// Teams by name.
    pub teams: HashMap<Arc<str>, Arc<TeamPolicy>>,
    /// Team of each key.
    pub keys: HashMap<Arc<str>, Arc<str>>,
    /// Limits of requests.
    pub limits: RequestLimits,
}

impl ApprovedConfig {
    /// Finds the queue of a host name and a path.
    #[must_use]
    pub fn find_queue(&self, host: &str, path: &str) -> Option<&Arc<QueuePolicy>> {
        self.queues
            .iter()
            .find(|queue| &*queue.host == host && path.starts_with(&*queue.prefix))
    }

    /// Finds a queue by its name.
    #[must_use]
    pub fn queue_named(&self, name: &str) -> Option<&Arc<QueuePolicy>> {
        self.queues.iter().find(|queue| &*queue.name == name)
    }
}
