//! Reports that upstreams write or send about themselves and their runs, and their answers to
//! orders.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use lagoonnotch::model::ResourceSize;
use serde::{Deserialize, Serialize};

/// The latest report that an upstream wrote about itself to the directory, the store's list of
/// upstreams.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamReport {
    /// Identifier of the upstream.
    pub id: Arc<str>,
    /// Start of the current incarnation, in milliseconds since 1970; identifies the incarnation.
    pub incarnation_unix_ms: u64,
    /// Pool of the upstream.
    pub pool: Arc<str>,
    /// Address that accepts orders.
    pub address: Arc<str>,
    /// Failure domain.
    pub failure_domain: Arc<str>,
    /// Whether the upstream is about to leave the fleet.
    pub draining: bool,
    /// Store revision at which the report was written; increases with each report.
    pub revision: u64,
    /// Resources available to runs in total.
    pub capacity: ResourceSize,
    /// Labels: the kind of upstream, then its rack.
    pub labels: Arc<[Arc<str>]>,
}

/// A complete read of the directory.
#[derive(Clone, Debug, PartialEq)]
pub struct DirectoryRead {
    /// The latest report of each listed upstream.
    pub reports: Vec<UpstreamReport>,
    /// Upstreams whose entries describe no usable upstream; each may be the entry of a running
    /// upstream that another writer has replaced.
    pub unreadable: BTreeSet<Arc<str>>,
    /// Times before the latest reports of draining upstreams were written, for those known, in
    /// milliseconds on the reading host's clock.
    pub written_after: BTreeMap<Arc<str>, u64>,
    /// Time at which the read was requested, in milliseconds on the reading host's clock.
    pub requested_at: u64,
    /// Store revision at the read; every report with a higher revision was written after
    /// `requested_at`.
    pub revision: u64,
}

/// A run that is present on an upstream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RunReport {
    /// Task name.
    pub task: Arc<str>,
    /// Attempt number.
    pub attempt: u32,
    /// Latest checkpoint; empty if there is none.
    pub checkpoint: Arc<str>,
    /// Progress, in percent.
    pub percent: u32,
    /// For a long-running task with a target, its tail latency in milliseconds; otherwise the CPU
    /// time in use. The owner does not use it.
    pub recent_metric: u64,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RunOutcome {
    /// It completed its work.
    Done,
    /// It failed.
    Failed,
    /// A stop order ended it.
    Stopped,
    /// Its lease expired.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not start.
    Alone,
}

/// A finished run, listed by the upstream until it is acknowledged.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct FinishedRun {
    /// Sequence number of the finished run in this incarnation of the upstream.
    pub number: u64,
    /// Task name.
    pub task: Arc<str>,
    /// Attempt number.
    pub attempt: u32,
    /// How the run ended.
    pub outcome: RunOutcome,
    /// Latest checkpoint; empty if there is none.
    pub checkpoint: Arc<str>,
}

/// Reply to a renewal of an upstream's leases.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RenewReply {
    /// Current reading of the upstream's clock, in milliseconds.
    pub clock_ms: u64,
    /// Start of the current incarnation, in milliseconds since 1970; identifies the incarnation.
    pub incarnation_unix_ms: u64,
    /// Runs that are present on the upstream.
    pub running: Vec<RunReport>,
    /// Finished runs that are not acknowledged yet, the oldest first.
    pub finished: Vec<FinishedRun>,
    /// Whether `finished` may be incomplete: the upstream lists a limited number, and the others
    /// only after these are acknowledged.
    pub finished_truncated: bool,
}

/// Why an upstream rejected an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RejectReason {
    /// It has seen a higher fencing token, from another owner or a later one from this owner.
    Fenced,
    /// The attempt number is not higher than that of an attempt that has ended there.
    OldAttempt,
    /// The lease had expired when the order arrived.
    Late,
    /// Not enough free capacity.
    NoRoom,
    /// The ticket is missing or no longer valid.
    Ticket,
    /// The order could not be parsed.
    Invalid,
}

/// Outcome of a start order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartOutcome {
    /// The run is present on the upstream.
    Started,
    /// The upstream rejected the order.
    Rejected(RejectReason),
    /// The order was certainly not executed: the upstream is overloaded or unhealthy, or the host
    /// did not send it because its ownership may have expired.
    Unhealthy,
    /// The order was certainly not sent: no connection could be made.
    NotSent,
    /// A different incarnation answers at the address.
    OtherIncarnation,
    /// No answer: the order may still be executed, possibly later.
    Unknown,
}

/// Outcome of a stop order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StopOutcome {
    /// The upstream accepted the order: the attempt ends or will never start.
    Accepted,
    /// It has seen a higher fencing token, from another owner or a later one from this owner.
    Fenced,
    /// A different incarnation answers at the address.
    OtherIncarnation,
    /// No usable answer.
    Unknown,
}
