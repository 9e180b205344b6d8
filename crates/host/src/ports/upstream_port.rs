//! Orders to upstreams and questions to the policy service.

use std::sync::Arc;

use lagoonnotch_fleet::model::{RenewReply, StartOutcome, StopOutcome};
use lagoonnotch_fleet::owner::{QueryOutcome, RenewOrder, StartOrder, StopOrder};

use crate::ports::Port;

/// Outcome of a renewal.
#[derive(Clone, Debug, PartialEq)]
pub enum HoldOutcome {
    /// The upstream answered.
    Answered(RenewReply),
    /// Another owner has used a higher epoch.
    Fenced,
    /// Another incarnation answers at the address.
    OtherIncarnation,
    /// No usable answer.
    Failed,
}

/// A question to the policy service.
#[derive(Clone, Debug, PartialEq)]
pub struct AskCall {
    /// Name of the step.
    pub step: String,
    /// Upstreams in question.
    pub upstreams: Vec<Arc<str>>,
    /// Longest time to wait for the answer, in milliseconds.
    pub timeout_ms: u64,
}

/// Calls to upstreams and the policy service.
#[derive(Clone)]
pub struct UpstreamPort {
    /// Renews leases and lists runs.
    pub hold: Port<RenewOrder, HoldOutcome>,
    /// Starts a task.
    pub start: Port<StartOrder, StartOutcome>,
    /// Stops a run.
    pub stop: Port<StopOrder, StopOutcome>,
    /// Asks the policy service.
    pub ask: Port<AskCall, QueryOutcome>,
}
