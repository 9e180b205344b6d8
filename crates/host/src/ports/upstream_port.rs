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
    /// The upstream has seen a higher fencing token, from another owner or a later one from this
    /// owner.
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

/// Answer to an order to start or stop a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OrderAnswer<T> {
    /// Outcome.
    pub outcome: T,
    /// Reading of the upstream's clock, in milliseconds; `None` if the answer has none.
    pub clock_ms: Option<u64>,
}

impl<T> OrderAnswer<T> {
    /// Returns an outcome without a reading of the upstream's clock.
    #[must_use]
    pub fn without_clock(outcome: T) -> Self {
        Self {
            outcome,
            clock_ms: None,
        }
    }
}

/// Operations of upstreams and of the policy service.
#[derive(Clone)]
pub struct UpstreamPort {
    /// Renews the leases on an upstream and lists its runs.
    pub renew_leases: Port<RenewOrder, RenewOutcome>,
    /// Starts a task.
    pub start: Port<StartOrder, OrderAnswer<StartOutcome>>,
    /// Stops a run.
    pub stop: Port<StopOrder, OrderAnswer<StopOutcome>>,
    /// Queries the policy service.
    pub query_policy: Port<PolicyRequest, QueryOutcome>,
}
