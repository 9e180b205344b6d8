//! What upstreams say of themselves and of their runs.

use std::sync::Arc;

use lagoonnotch::model::ResourceSize;

/// An upstream's entry in the directory.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamReport {
    /// Identifier of the upstream.
    pub id: Arc<str>,
    /// Start of its present incarnation, in milliseconds since 1970.
    pub incarnation_unix_ms: u64,
    /// Pool that it belongs to.
    pub pool: Arc<str>,
    /// Address for orders.
    pub address: Arc<str>,
    /// Failure domain.
    pub failure_domain: Arc<str>,
    /// Whether it is about to leave.
    pub draining: bool,
    /// Number of its last report; it grows with each.
    pub sequence: u64,
    /// What it can run at a time.
    pub capacity: ResourceSize,
    /// Labels: its kind and its rack.
    pub labels: Arc<[Arc<str>]>,
}

/// A run that an upstream lists as present.
#[derive(Clone, Debug, PartialEq)]
pub struct RunReport {
    /// Name of the task.
    pub task: Arc<str>,
    /// Number of the attempt.
    pub attempt: u32,
    /// Newest checkpoint; empty for none.
    pub checkpoint: Arc<str>,
    /// Progress, in hundredths.
    pub percent: u32,
    /// Tail of response times in milliseconds, or the processor time in use.
    pub recent_metric: u64,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunOutcome {
    /// It did its work.
    Done,
    /// It failed.
    Failed,
    /// It was stopped by an order.
    Stopped,
    /// Its lease ran out.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not come.
    Alone,
}

/// An end that an upstream lists until it is acknowledged.
#[derive(Clone, Debug, PartialEq)]
pub struct FinishedRun {
    /// Number of the end in this incarnation of the upstream.
    pub number: u64,
    /// Name of the task.
    pub task: Arc<str>,
    /// Number of the attempt.
    pub attempt: u32,
    /// How it ended.
    pub outcome: RunOutcome,
    /// Newest checkpoint; empty for none.
    pub checkpoint: Arc<str>,
}

/// Answer to a renewal of an upstream's leases.
#[derive(Clone, Debug, PartialEq)]
pub struct RenewReply {
    /// Clock of the upstream, in milliseconds.
    pub clock_ms: u64,
    /// Start of its present incarnation, in milliseconds since 1970.
    pub incarnation_unix_ms: u64,
    /// Runs that are present.
    pub running: Vec<RunReport>,
    /// Ends that are not acknowledged yet.
    pub finished: Vec<FinishedRun>,
}

/// Why an upstream rejected an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RejectReason {
    /// Another owner has used a higher epoch.
    Fenced,
    /// The attempt is not higher than one that has ended there.
    OldAttempt,
    /// The lease had run out when the order arrived.
    Late,
    /// There is no room.
    NoRoom,
    /// The ticket is missing or not valid any more.
    Ticket,
    /// The order could not be read.
    Invalid,
}

/// Outcome of an order to start a task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartOutcome {
    /// The run is present.
    Started,
    /// The upstream rejected the order.
    Rejected(RejectReason),
    /// The upstream is unhealthy and did nothing.
    Unhealthy,
    /// Another incarnation answers at the address.
    OtherIncarnation,
    /// No answer: the order may be carried out, also later.
    Unknown,
}

/// Outcome of an order to stop a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StopOutcome {
    /// The upstream took the order: the attempt ends, or never starts.
    Accepted,
    /// Another owner has used a higher epoch.
    Fenced,
    /// Another incarnation answers at the address.
    OtherIncarnation,
    /// No usable answer.
    Unknown,
}
