//! Inputs, effects and commands of a shard.

use std::collections::BTreeMap;
use std::sync::Arc;

use lagoonnotch_wire::caller::{JobStatus, WorkOutcome};
use lagoonnotch_wire::store::{StoreCall, StoreReply};
use lagoonnotch_wire::upstream::{
    FenceCall, FenceReply, HostEntry, RenewCall, RenewReply, RevokeCall, RevokeReply, StartCall,
    StartReply, StartTicket,
};
use serde::{Deserialize, Serialize};

use crate::document::ApprovedConfig;
use crate::event::EventCode;
use crate::journal::AcceptedWork;
use crate::model::{AttemptId, HostName, ResourceSize, ShardName, TeamName, WorkId, WorkloadName};

/// Identifies a command until it is answered.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct CommandId(pub u64);

/// Identifies a call to the store or to an upstream until it is answered.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct CallId(pub u64);

/// A call that got no answer; it may have taken effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallFailure;

/// What a shard is told.
#[derive(Clone, Debug)]
pub enum ShardInput {
    /// Time has passed.
    Tick,
    /// An entry host wants something.
    Command {
        /// Identifier for the reply.
        command: CommandId,
        /// What is wanted.
        request: ShardCommand,
    },
    /// The store answered, or did not.
    Store {
        /// The call.
        call: CallId,
        /// Its result.
        result: Result<StoreReply, CallFailure>,
    },
    /// The owner of another shard answered, or did not.
    Peer {
        /// The call.
        call: CallId,
        /// Its result.
        result: Result<ShardReply, CallFailure>,
    },
    /// An upstream answered, or did not.
    Upstream {
        /// The call.
        call: CallId,
        /// Its result.
        result: Result<UpstreamReply, CallFailure>,
    },
    /// A configuration came into force.
    Config(Arc<ApprovedConfig>),
    /// The platform listed the upstreams.
    Hosts(Vec<HostEntry>),
    /// The view of the other entry hosts changed.
    Peers(PeerView),
    /// The host shuts down.
    Shutdown,
}

/// What a shard wants done.
#[derive(Clone, Debug)]
pub enum ShardEffect {
    /// A call to the store.
    Store {
        /// Identifier for the result.
        call: CallId,
        /// The call.
        request: StoreCall,
    },
    /// A call to an upstream.
    Upstream {
        /// Identifier for the result.
        call: CallId,
        /// Address of the upstream.
        address: Arc<str>,
        /// The call.
        request: UpstreamCall,
    },
    /// A command for the owner of another shard.
    Peer {
        /// Identifier for the result.
        call: CallId,
        /// The other shard.
        shard: ShardName,
        /// The command.
        request: ShardCommand,
    },
    /// The answer to a command.
    Reply {
        /// The command.
        command: CommandId,
        /// The answer.
        reply: ShardReply,
    },
    /// An event for the log.
    Event {
        /// The kind of event.
        code: EventCode,
        /// Details for a reader.
        detail: String,
    },
}

/// A call to an upstream.
#[derive(Clone, Debug, PartialEq)]
pub enum UpstreamCall {
    /// Claims the upstream.
    Fence(FenceCall),
    /// Renews fence and leases.
    Renew(RenewCall),
    /// Starts a task.
    Start(StartCall),
    /// Withdraws an attempt.
    Revoke(RevokeCall),
}

/// An upstream's answer to the call of the same name.
#[derive(Clone, Debug, PartialEq)]
pub enum UpstreamReply {
    /// Answer to a fence.
    Fence(FenceReply),
    /// Answer to a renewal.
    Renew(RenewReply),
    /// Answer to a start.
    Start(StartReply),
    /// Answer to a revocation.
    Revoke(RevokeReply),
}

/// An owner as the other entry hosts report it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ObservedOwner {
    /// The owner.
    pub host: HostName,
    /// Its epoch.
    pub epoch: u64,
    /// When it was last heard, in milliseconds.
    pub heard_ms: u64,
}

/// Work of another shard that waits for lack of allotment.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AllotmentShortage {
    /// The other shard.
    pub shard: ShardName,
    /// When the work began to wait, in milliseconds of this host's clock.
    pub since_ms: u64,
}

/// What a shard knows of the other entry hosts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PeerView {
    /// The newest owner that was heard of.
    pub owner: Option<ObservedOwner>,
    /// Until when every other live host of the failure domain promised not to take over.
    pub peers_promised_until_ms: u64,
    /// Until when this host promised not to take over.
    pub own_promise_until_ms: u64,
    /// Since when newer documents may exist unheard of; none while the configuration is fresh.
    pub config_stale_since_ms: Option<u64>,
    /// What the other shards have running for each team.
    pub remote_usage: BTreeMap<TeamName, ResourceSize>,
    /// Teams for which other shards lack allotment, with the longest wait.
    pub shortages: BTreeMap<TeamName, AllotmentShortage>,
    /// Other shards that start tasks, those with the most free capacity first.
    pub available_shards: Vec<ShardName>,
    /// Number of shards in the fleet.
    pub shard_count: u64,
}

/// What an entry host wants of a shard.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum ShardCommand {
    /// A place for a quick request.
    Place(PlaceRequest),
    /// Acceptance of a job.
    Submit(AcceptedWork),
    /// Whether a job of another shard could run here.
    Probe(AcceptedWork),
    /// Acceptance of a job that another shard hands over.
    Adopt(AcceptedWork),
    /// The state of a job.
    Show {
        /// The job.
        work: WorkId,
        /// Team of the caller.
        team: TeamName,
    },
    /// Cancellation of a job.
    Cancel {
        /// The job.
        work: WorkId,
        /// Team of the caller.
        team: TeamName,
    },
    /// The answer of a job's task.
    Answer {
        /// The job.
        work: WorkId,
        /// Team of the caller.
        team: TeamName,
        /// Index of the task.
        index: u32,
    },
    /// The end of an attempt whose answer an entry host has received whole.
    Report(AttemptReport),
}

/// A quick request that needs a place.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PlaceRequest {
    /// Identifier of the request.
    pub work: WorkId,
    /// Team of the caller.
    pub team: TeamName,
    /// Name of the workload policy.
    pub workload: WorkloadName,
    /// Whether the caller marked the request as non-idempotent.
    pub non_idempotent: bool,
    /// Time that is left for the request, in milliseconds.
    pub remaining_ms: u64,
    /// Attempt that the entry host could not finish, if any.
    pub failed_attempt: Option<u64>,
}

/// The end of an attempt.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct AttemptReport {
    /// The attempt.
    pub attempt: AttemptId,
    /// How it ended.
    pub end: AttemptEnd,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum AttemptEnd {
    /// It ran to its end.
    Completed,
    /// It ran and failed.
    Failed,
}

/// Permission to send a request to an upstream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AttemptTicket {
    /// Address of the upstream.
    pub address: Arc<str>,
    /// The ticket that the upstream checks.
    pub ticket: StartTicket,
    /// Whether the attempt may have started already, so that its answer is to be fetched.
    pub started: bool,
}

/// Why a command was not carried out.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCode {
    /// This host does not own the shard.
    NotOwner,
    /// The owner may start nothing at present.
    StartsSuspended,
    /// The failure domain is out of service.
    DomainOut,
    /// Too many tasks of the team wait.
    QueueFull,
    /// No upstream could ever take the task, or the team's limit is too low for it.
    Impossible,
    /// The workload does not exist.
    UnknownWorkload,
    /// The identifier belongs to another team.
    OtherTeam,
    /// There is no such work.
    UnknownWork,
    /// The time for the request ran out before it started.
    DeadlineExceeded,
    /// A non-idempotent request may or may not have run.
    OutcomeUnknown,
    /// The work ended, and its answer is no longer kept.
    AnswerGone,
    /// The work has not ended.
    NotFinished,
    /// The work was cancelled.
    Cancelled,
    /// The work ran and failed.
    TaskFailed,
}

impl RefusalCode {
    /// Tells whether another shard may take the work.
    #[must_use]
    pub fn is_shard_specific(self) -> bool {
        matches!(
            self,
            Self::NotOwner
                | Self::StartsSuspended
                | Self::DomainOut
                | Self::QueueFull
                | Self::Impossible
        )
    }
}

/// A command that was not carried out.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Refusal {
    /// The reason.
    pub code: RefusalCode,
    /// What is known of the work.
    pub outcome: WorkOutcome,
    /// Details for a reader.
    pub detail: String,
    /// Time after which another try makes sense, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// Makes a refusal of work that surely did not run.
    #[must_use]
    pub fn not_run(code: RefusalCode, detail: impl Into<String>) -> Self {
        Self {
            code,
            outcome: WorkOutcome::NotRun,
            detail: detail.into(),
            retry_after_ms: None,
        }
    }

    /// Makes a refusal of work that may or may not have run.
    #[must_use]
    pub fn unknown(code: RefusalCode, detail: impl Into<String>) -> Self {
        Self {
            code,
            outcome: WorkOutcome::Unknown,
            detail: detail.into(),
            retry_after_ms: None,
        }
    }

    /// Makes a refusal of work that ran.
    #[must_use]
    pub fn done(code: RefusalCode, detail: impl Into<String>) -> Self {
        Self {
            code,
            outcome: WorkOutcome::Done,
            detail: detail.into(),
            retry_after_ms: None,
        }
    }

    /// Sets the time after which another try makes sense.
    #[must_use]
    pub fn retry_after(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }
}

/// The answer of a job's task.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum WorkAnswer {
    /// The answer itself.
    Inline(Arc<str>),
    /// The upstream attempt that keeps the answer.
    AtUpstream(AttemptTicket),
}

/// The answer to a command.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ShardReply {
    /// A quick request has a place.
    Ticket(AttemptTicket),
    /// The job lasts.
    Accepted(WorkId),
    /// The state of a job.
    Status(JobStatus),
    /// The answer of a job's task.
    Answer(WorkAnswer),
    /// Another shard has the job.
    MovedTo(ShardName),
    /// A report was taken note of.
    Noted,
    /// The command was not carried out.
    Refused(Refusal),
}

/// What an owner tells the other entry hosts of its shard.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ShardSummary {
    /// Free capacity.
    pub free: ResourceSize,
    /// Total capacity.
    pub capacity: ResourceSize,
    /// Number of waiting tasks.
    pub waiting: u64,
    /// Whether the shard starts tasks.
    pub starting: bool,
    /// What runs for each team.
    pub running: BTreeMap<TeamName, ResourceSize>,
    /// Time for which work has waited for lack of allotment, by team, in milliseconds.
    pub wanted_ms: BTreeMap<TeamName, u64>,
}
