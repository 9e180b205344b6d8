//! Interface of the upstreams and of the policy service.

use std::sync::Arc;

use lagoonnotch_fleet::model::{RenewReply, StartOutcome, StopOutcome};
use lagoonnotch_fleet::owner::{QueryOutcome, RenewOrder, StartOrder, StopOrder};
use serde::{Deserialize, Serialize};

use crate::ports::Port;

/// Outcome of a lease renewal.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum RenewOutcome {
    /// The upstream responded.
    Answered(RenewReply),
    /// The upstream has seen a higher epoch from another owner.
    Fenced,
    /// Another incarnation responds at the address.
    OtherIncarnation,
    /// No usable response.
    Failed,
}

/// A query to the policy service.
#[derive(Clone, Debug, PartialEq)]
pub struct PolicyRequest {
    /// Name of the step.
    pub step: String,
    /// Candidate upstreams.
    pub upstreams: Vec<Arc<str>>,
    /// Maximum time to wait for the decision, in milliseconds.
    pub timeout_ms: u64,
}

/// Operations of upstreams and of the policy service.
#[derive(Clone)]
pub struct UpstreamPort {
    /// Renews the leases on an upstream and lists its runs.
    pub renew_leases: Port<RenewOrder, RenewOutcome>,
    /// Starts a task.
    pub start: Port<StartOrder, StartOutcome>,
    /// Stops a run.
    pub stop: Port<StopOrder, StopOutcome>,
    /// Queries the policy service.
    pub query_policy: Port<PolicyRequest, QueryOutcome>,
}
