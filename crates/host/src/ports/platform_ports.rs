//! All ports of a host.

use std::collections::BTreeSet;
use std::pin::Pin;
use std::sync::Arc;

use bytes::Bytes;
use lagoonnotch_fleet::model::{ApprovedConfig, StepSpec, UpstreamReport};

use crate::ports::{StoreItem, StorePort, UpstreamPort};

/// Future of a call through a port.
pub type PortFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// One call of a port.
pub type Port<In, Out> = Arc<dyn Fn(In) -> PortFuture<Out> + Send + Sync>;

/// Makes a port from an asynchronous closure.
pub fn port<In, Out, F, Fut>(call: F) -> Port<In, Out>
where
    F: Fn(In) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Out> + Send + 'static,
{
    Arc::new(move |input| Box::pin(call(input)))
}

/// What the operator has approved, as one reading found it.
#[derive(Clone, Debug)]
pub struct OperatorState {
    /// Newest configuration; none before the first.
    pub config: Option<Arc<ApprovedConfig>>,
    /// Failure domains that are out of service.
    pub evacuated: BTreeSet<Arc<str>>,
    /// Items that could not be read, with the reason.
    pub findings: Vec<String>,
}

/// A submission as its caller sent it.
#[derive(Clone, Debug, PartialEq)]
pub struct SubmissionDraft {
    /// Text that each start of a task carries.
    pub payload: Arc<str>,
    /// Steps.
    pub steps: Vec<StepSpec>,
    /// Number of occurrences; 0 for one that is due at once.
    pub repeats: u32,
    /// When the first occurrence is due, in milliseconds since 1970.
    pub first_due_unix_ms: u64,
    /// Time between occurrences, in milliseconds.
    pub period_ms: u64,
}

/// Reads an upstream's entry of the directory; none if it names no usable upstream.
pub type ReportReader = Arc<dyn Fn(&StoreItem) -> Option<UpstreamReport> + Send + Sync>;

/// Reads what the operator wrote.
pub type OperatorReader = Arc<dyn Fn(&[StoreItem]) -> OperatorState + Send + Sync>;

/// Reads a caller's submission; the error names the place.
pub type DraftReader = Arc<dyn Fn(&Bytes) -> Result<SubmissionDraft, String> + Send + Sync>;

/// Everything that a host needs from the platform.
#[derive(Clone)]
pub struct PlatformPorts {
    /// The platform's store.
    pub store: StorePort,
    /// Orders to upstreams, and the policy service.
    pub upstream: UpstreamPort,
    /// First part of the keys that the operator writes.
    pub operator_prefix: Arc<str>,
    /// First part of the keys under which upstreams register.
    pub directory_prefix: Arc<str>,
    /// Reads what the operator wrote.
    pub read_operator: OperatorReader,
    /// Reads an entry of the directory.
    pub read_report: ReportReader,
    /// Reads a caller's submission.
    pub read_draft: DraftReader,
}
