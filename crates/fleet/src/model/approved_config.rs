//! Approved configuration that is in force.

use std::collections::HashMap;
use std::sync::Arc;

use lagoonnotch::model::ResourceSize;
use serde::{Deserialize, Serialize};

/// Timing of the policy service that decides which upstreams may run the steps of a queue.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct PolicyTiming {
    /// Fixed duration of one query, in milliseconds.
    pub decision_ms: f64,
    /// Additional duration for each upstream that the query names, in milliseconds.
    pub per_upstream_ms: f64,
    /// Validity of a ticket, in milliseconds.
    pub valid_ms: u64,
}

/// Fixed duration above which a query counts as long, in milliseconds.
const LONG_QUERY_MS: f64 = 100.0;

impl PolicyTiming {
    /// Returns whether a query takes long, so that some hosts are kept free for shorter ones.
    #[must_use]
    pub fn is_long(self) -> bool {
        self.decision_ms > LONG_QUERY_MS
    }

    /// Returns the duration of a query about one upstream, in milliseconds.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "small positive times"
    )]
    #[must_use]
    pub fn query_ms(self) -> u64 {
        (self.decision_ms + self.per_upstream_ms).ceil() as u64
    }
}

/// A queue of the approved configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct QueuePolicy {
    /// Name of the queue.
    pub name: Arc<str>,
    /// Host name in the callers' requests.
    pub host: Arc<str>,
    /// Path prefix of the queue.
    pub prefix: Arc<str>,
    /// Pool of upstreams that runs the tasks.
    pub pool: Arc<str>,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Number of failed attempts of a task after which its submission fails.
    pub max_attempts: u32,
    /// Multiple of the estimated critical path that is added to the objective.
    pub stretch: f64,
    /// Constant part of the completion-time objective, in milliseconds.
    pub objective_ms: u64,
    /// Request timeout, in milliseconds.
    pub timeout_ms: u64,
    /// Whether callers need no key.
    pub open: bool,
    /// Timing of the policy service that is queried before a task starts; `None` if starts need no
    /// ticket. Stored as `policy_desk`.
    #[serde(rename = "policy_desk")]
    pub policy_service: Option<PolicyTiming>,
}

/// A pool of upstreams.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolPolicy {
    /// Name of the pool.
    pub name: Arc<str>,
    /// Whether the upstreams reject tasks that exceed their free capacity.
    pub enforces_capacity: bool,
}

/// A team of the approved configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamPolicy {
    /// Name of the team.
    pub name: Arc<str>,
    /// Relative share when the fleet is full.
    pub weight: u64,
    /// Maximum resources that run at the same time; 0 of a resource means no limit.
    pub upper_limit: ResourceSize,
}

/// Limits on callers' requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestLimits {
    /// Maximum body size, in bytes.
    pub max_body_bytes: usize,
    /// Maximum size of the header section, in bytes.
    pub max_header_bytes: usize,
    /// Maximum time to receive the header section, and again to receive the body, in milliseconds.
    pub header_timeout_ms: u64,
    /// Maximum idle time of a connection, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// The approved configuration.
#[derive(Clone, Debug)]
pub struct ApprovedConfig {
    /// Version number assigned by the operator.
    pub version: u64,
    /// Store revision at which it was written; increases with each version.
    pub revision: u64,
    /// Queues, sorted by descending prefix length.
    pub queues: Vec<Arc<QueuePolicy>>,
    /// Pools by name.
    pub pools: HashMap<Arc<str>, PoolPolicy>,
    /// Teams by name.
    pub teams: HashMap<Arc<str>, Arc<TeamPolicy>>,
    /// Team of each API key.
    pub keys: HashMap<Arc<str>, Arc<str>>,
    /// Limits on callers' requests.
    pub limits: RequestLimits,
}

impl ApprovedConfig {
    /// Returns the queue with the longest prefix that matches a host name and a path.
    #[must_use]
    pub fn find_queue(&self, host: &str, path: &str) -> Option<&Arc<QueuePolicy>> {
        self.queues
            .iter()
            .find(|queue| &*queue.host == host && path.starts_with(&*queue.prefix))
    }

    /// Returns the queue with this name.
    #[must_use]
    pub fn queue_named(&self, name: &str) -> Option<&Arc<QueuePolicy>> {
        self.queues.iter().find(|queue| &*queue.name == name)
    }
}
