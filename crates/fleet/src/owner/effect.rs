//! Effects that the owner asks its host to execute.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::model::{CrashScope, TaskName};
use crate::owner::{
    CommitBatch, DeferralReport, DoubtReason, HeldRuns, HeldRunsRelease, RecoveryBound,
    RestoreReport, StopReason,
};

/// An order to renew an upstream's leases; the reply lists running and finished runs.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RenewOrder {
    /// Identifier of the upstream.
    pub upstream: Arc<str>,
    /// Address of the upstream.
    pub address: Arc<str>,
    /// Failure domain of the upstream.
    pub failure_domain: Arc<str>,
    /// Epoch of the owner; only the owner needs it.
    #[serde(skip)]
    pub epoch: u64,
    /// Fencing token: at least the epoch. Upstreams reject orders with a lower one than they have
    /// seen.
    pub fence: u64,
    /// Highest number such that the changes of all finished runs up to it are stored.
    pub ack_number: u64,
    /// Expiry of the leases on the upstream's clock, in milliseconds; `None` lists runs without
    /// renewing leases.
    pub deadline_ms: Option<u64>,
    /// How long the upstream may wait for a run to finish before it replies, in milliseconds.
    pub wait_ms: u64,
}

/// An order to start a task.
#[derive(Clone, Debug, PartialEq)]
pub struct StartOrder {
    /// Task name.
    pub task: TaskName,
    /// Attempt number.
    pub attempt: u32,
    /// Identifier of the upstream.
    pub upstream: Arc<str>,
    /// Address of the upstream.
    pub address: Arc<str>,
    /// Epoch of the owner.
    pub epoch: u64,
    /// Fencing token, as of a renewal.
    pub fence: u64,
    /// Expiry of the lease on the upstream's clock, in milliseconds.
    pub deadline_ms: u64,
    /// Payload of the submission.
    pub payload: Arc<str>,
    /// Checkpoint to resume from.
    pub checkpoint: Option<Arc<str>>,
    /// Ticket issued by the policy service.
    pub ticket: Option<Arc<str>>,
}

/// An order to stop a run.
#[derive(Clone, Debug, PartialEq)]
pub struct StopOrder {
    /// Why the run is stopped.
    pub reason: StopReason,
    /// Task name.
    pub task: TaskName,
    /// Attempt number.
    pub attempt: u32,
    /// Identifier of the upstream.
    pub upstream: Arc<str>,
    /// Address of the upstream.
    pub address: Arc<str>,
    /// Epoch of the owner.
    pub epoch: u64,
    /// Fencing token, as of a renewal.
    pub fence: u64,
}

/// A query to the policy service, sent by one host.
#[derive(Clone, Debug, PartialEq)]
pub struct QueryOrder {
    /// Number of the query.
    pub query_id: u64,
    /// Host that sends the query.
    pub host: Arc<str>,
    /// Name of the step.
    pub step: String,
    /// Queue of the step.
    pub queue: Arc<str>,
    /// Number of the step's tasks that wait.
    pub waiting: usize,
    /// Upstreams that the query names.
    pub upstreams: Vec<Arc<str>>,
    /// Number of these that are known to be allowed.
    pub known_allowed: usize,
    /// Timeout of the query, in milliseconds.
    pub timeout_ms: u64,
}

/// A crash of an upstream and the tasks that were running there.
#[derive(Clone, Debug, PartialEq)]
pub struct CrashReport {
    /// Identifier of the upstream.
    pub upstream: Arc<str>,
    /// What may have caused the crash.
    pub scope: CrashScope,
    /// Tasks that were running.
    pub tasks: Vec<TaskName>,
    /// Tasks whose submissions are given up because of this and earlier crashes, with the upstreams
    /// that crashed.
    pub given_up: Vec<(TaskName, Vec<Arc<str>>)>,
}

/// The disappearance of a draining upstream's directory entry.
#[derive(Clone, Debug, PartialEq)]
pub struct UnlistedReport {
    /// Identifier of the upstream.
    pub upstream: Arc<str>,
    /// Maximum age of its last report, in milliseconds; `None` if it is unknown.
    pub max_report_age_ms: Option<u64>,
    /// Number of runs that were allocated there.
    pub run_count: usize,
    /// Whether the upstream has left, so that its runs are released. Otherwise they stay allocated,
    /// because the entry may have expired while the upstream was cut off from the store.
    pub has_left: bool,
}

/// The first answer of another incarnation under an upstream's identifier.
#[derive(Clone, Debug, PartialEq)]
pub struct RestartReport {
    /// Identifier of the upstream.
    pub upstream: Arc<str>,
    /// Start of the incarnation that answered before, in milliseconds since 1970; `None` if none
    /// did.
    pub earlier_incarnation_unix_ms: Option<u64>,
    /// Start of this incarnation, in milliseconds since 1970.
    pub incarnation_unix_ms: u64,
    /// Reading of its clock, in milliseconds.
    pub clock_ms: u64,
    /// Number of orders that granted leases on the earlier incarnation's clock and were sent after
    /// its last answer; this incarnation may have executed them.
    pub lease_orders: u32,
    /// Highest acknowledged number of a finished run in these and other renewals since then.
    pub ack_number: u64,
    /// Time until every lease has expired by the owner's bound, in milliseconds.
    pub leases_expire_in_ms: u64,
    /// Number of runs that are allocated on the upstream.
    pub run_count: usize,
}

/// The end of a doubt about the incarnation of an upstream that executes orders.
#[derive(Clone, Debug, PartialEq)]
pub struct IncarnationReport {
    /// Identifier of the upstream.
    pub upstream: Arc<str>,
    /// Why the doubt was raised.
    pub reason: DoubtReason,
    /// How long it lasted, in milliseconds; nothing was started on the upstream meanwhile.
    pub doubted_ms: u64,
    /// Whether the upstream is another incarnation.
    pub is_new: bool,
    /// Fencing token of the renewal that ended the doubt.
    pub fence: u64,
    /// Time until every lease has expired by the owner's bound, in milliseconds.
    pub leases_expire_in_ms: u64,
}

/// Finished runs that an upstream has forgotten although this owner has not seen them.
#[derive(Clone, Debug, PartialEq)]
pub struct MissingFinishedRuns {
    /// Identifier of the upstream.
    pub upstream: Arc<str>,
    /// Number of the last finished run that the owner has seen.
    pub last_seen_number: u64,
    /// Number of the first finished run in the list.
    pub first_listed_number: u64,
}

/// Why an upstream is quarantined.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuarantineReason {
    /// Runs failed there.
    Failed,
    /// A run stalled there.
    Stalled,
}

impl QuarantineReason {
    /// Returns the reason's name in logs and metrics.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Failed => "failed",
            Self::Stalled => "stalled",
        }
    }
}

/// The beginning of a time in which nothing is placed on an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct QuarantineReport {
    /// Identifier of the upstream.
    pub upstream: Arc<str>,
    /// Why it is quarantined.
    pub reason: QuarantineReason,
    /// How long the quarantine lasts, in milliseconds.
    pub duration_ms: u64,
    /// Number of quarantines since the last run that showed the upstream to be sound, including
    /// this one.
    pub count: u32,
    /// Submissions whose failed runs were counted since then.
    pub submissions: Vec<Arc<str>>,
}

/// The early end of a quarantine, because a step found no room in a pool that is mostly quarantined
/// and mostly idle.
#[derive(Clone, Debug, PartialEq)]
pub struct ShortenedQuarantine {
    /// Identifier of the upstream.
    pub upstream: Arc<str>,
    /// How long the quarantine has lasted, in milliseconds.
    pub lasted_ms: u64,
    /// How much longer it would have lasted, in milliseconds.
    pub shortened_by_ms: u64,
}

/// A delay before a long-running task that keeps failing is started again.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryDelayReport {
    /// Name of the task.
    pub task: TaskName,
    /// Number of its failed runs since its last sound one.
    pub failures: u32,
    /// How long it is not started, in milliseconds.
    pub delay_ms: u64,
}

/// An action that the owner's host executes.
#[derive(Clone, Debug, PartialEq)]
pub enum OwnerEffect {
    /// Renew an upstream's leases and list its runs.
    Renew(RenewOrder),
    /// Start a task.
    Start(StartOrder),
    /// Stop a run.
    Stop(StopOrder),
    /// Query the policy service.
    Query(QueryOrder),
    /// Write progress to the store.
    Commit(CommitBatch),
    /// Report a crash of an upstream.
    ReportCrash(CrashReport),
    /// Report that a draining upstream is no longer listed.
    ReportUnlisted(UnlistedReport),
    /// Report how long runs of silent upstreams are held after the takeover.
    ReportRecovery(RecoveryBound),
    /// Report that another incarnation of an upstream answers.
    ReportRestart(RestartReport),
    /// Report which incarnation of an upstream executes orders after it was unknown.
    ReportIncarnation(IncarnationReport),
    /// Report that an upstream has forgotten finished runs.
    ReportMissingFinished(MissingFinishedRuns),
    /// Report that an upstream is quarantined.
    ReportQuarantine(QuarantineReport),
    /// Report that a quarantine ends early.
    ReportShortenedQuarantine(ShortenedQuarantine),
    /// Report that a task that keeps failing is not started for a while.
    ReportRetryDelay(RetryDelayReport),
    /// Report that the runs of a silent upstream stay allocated.
    ReportHeldRuns(HeldRuns),
    /// Report that runs are no longer held.
    ReportRelease(HeldRunsRelease),
    /// Report that work of a team begins to be deferred.
    ReportDeferral(DeferralReport),
    /// Report that work of a team is no longer deferred.
    ReportRestore(RestoreReport),
    /// Stop acting as the owner: another host has used a higher epoch.
    StepDown,
}
