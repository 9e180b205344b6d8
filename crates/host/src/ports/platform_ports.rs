//! The complete set of ports of a host.

use std::collections::BTreeSet;
use std::pin::Pin;
use std::sync::Arc;

use bytes::Bytes;
use lagoonnotch_fleet::model::{ApprovedConfig, StepSpec, UpstreamReport};

use crate::ports::{StoreItem, StorePort, UpstreamPort};

/// Future returned by a port.
pub type PortFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// One asynchronous operation that the platform provides.
pub type Port<In, Out> = Arc<dyn Fn(In) -> PortFuture<Out> + Send + Sync>;

/// Creates a port from an asynchronous closure.
pub fn port<In, Out, F, Fut>(call: F) -> Port<In, Out>
where
    F: Fn(In) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Out> + Send + 'static,
{
    Arc::new(move |input| Box::pin(call(input)))
}

/// The operator's items, as parsed from one read of the store.
#[derive(Clone, Debug)]
pub struct OperatorState {
    /// Newest configuration; `None` if there is none or it can't be parsed.
    pub config: Option<Arc<ApprovedConfig>>,
    /// Failure domains taken out of service.
    pub evacuated_domains: BTreeSet<Arc<str>>,
    /// Items that could not be parsed, with the reason.
    pub findings: Vec<String>,
}

/// A submission as sent by its caller.
#[derive(Clone, Debug, PartialEq)]
pub struct SubmissionDraft {
    /// Text that is passed to each start of a task.
    pub payload: Arc<str>,
    /// Steps.
    pub steps: Vec<StepSpec>,
    /// Number of occurrences; 0 for a single one that is due immediately.
    pub repeats: u32,
    /// When the first occurrence is due, in milliseconds since the Unix epoch.
    pub first_due_unix_ms: u64,
    /// Time between occurrences, in milliseconds.
    pub period_ms: u64,
}

/// Parses a directory entry; the error says why it describes no usable upstream.
pub type ReportParser = Arc<dyn Fn(&StoreItem) -> Result<UpstreamReport, String> + Send + Sync>;

/// Parses the items written by the operator.
pub type OperatorParser = Arc<dyn Fn(&[StoreItem]) -> OperatorState + Send + Sync>;

/// Parses a caller's submission; the error names the location.
pub type DraftParser = Arc<dyn Fn(&Bytes) -> Result<SubmissionDraft, String> + Send + Sync>;

/// Everything that a host requires from the platform.
#[derive(Clone)]
pub struct PlatformPorts {
    /// The platform's store.
    pub store: StorePort,
    /// Orders to upstreams, and the policy service.
    pub upstream: UpstreamPort,
    /// Prefix of the keys that the operator writes.
    pub operator_prefix: Arc<str>,
    /// Prefix of the keys under which upstreams register.
    pub directory_prefix: Arc<str>,
    /// Parses the items written by the operator.
    pub parse_operator_items: OperatorParser,
    /// Parses a directory entry.
    pub parse_report: ReportParser,
    /// Parses a caller's submission.
    pub parse_submission: DraftParser,
}
