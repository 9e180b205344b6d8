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

/// Identifies a command until the reply to it.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct CommandId(pub u64);

/// Identifies a call to the store, to an upstream or to the owner of another shard until its result
/// arrives.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct CallId(pub u64);

/// Error of a call that got no reply. The call may still have taken effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallFailure;

/// Input to a shard's state machine.
#[derive(Clone, Debug)]
pub enum ShardInput {
    /// A periodic tick.
    Tick,
    /// An entry host sent a command.
    Command {
        /// Identifier that the reply must carry.
        command_id: CommandId,
        /// The command.
        command: ShardCommand,
    },
    /// The store replied to a call, or the call got no reply.
    Store {
        /// Identifier of the call that this is the result of.
        call_id: CallId,
        /// Its result.
        result: Result<StoreReply, CallFailure>,
    },
    /// The owner of another shard replied to a command, or the call got no reply.
    Shard {
        /// Identifier of the call that this is the result of.
        call_id: CallId,
        /// Its result.
        result: Result<ShardReply, CallFailure>,
    },
    /// An upstream replied to a call, or the call got no reply.
    Upstream {
        /// Identifier of the call that this is the result of.
        call_id: CallId,
        /// Its result.
        result: Result<UpstreamReply, CallFailure>,
    },
    /// A configuration came into force.
    Config(Arc<ApprovedConfig>),
    /// The platform listed the current upstreams.
    UpstreamList(Vec<HostEntry>),
    /// Information about the other entry hosts changed.
    PeerView(PeerView),
    /// The host is shutting down.
    Shutdown,
}

/// An action that the state machine requests from its driver.
#[derive(Clone, Debug)]
pub enum ShardEffect {
    /// A call to the store.
    Store {
        /// Identifier that the result must carry.
        call_id: CallId,
        /// The call.
        request: StoreCall,
    },
    /// A call to an upstream.
    Upstream {
        /// Identifier that the result must carry.
        call_id: CallId,
        /// Address of the upstream.
        address: Arc<str>,
        /// The call.
        request: UpstreamCall,
    },
    /// A command for the owner of another shard.
    Shard {
        /// Identifier that the result must carry.
        call_id: CallId,
        /// The other shard.
        shard: ShardName,
        /// The command.
        command: ShardCommand,
    },
    /// The reply to a command.
    Reply {
        /// Identifier of the command.
        command_id: CommandId,
        /// The reply.
        reply: ShardReply,
    },
    /// An event for the log.
    Event {
        /// Code of the event.
        code: EventCode,
        /// Human-readable detail.
        detail: String,
    },
}

/// A call to an upstream.
#[derive(Clone, Debug, PartialEq)]
pub enum UpstreamCall {
    /// Fences the upstream against older owners.
    Fence(FenceCall),
    /// Renews the fence and the task leases.
    Renew(RenewCall),
    /// Starts a task.
    Start(StartCall),
    /// Revokes an attempt.
    Revoke(RevokeCall),
}

/// Reply of an upstream to the [`UpstreamCall`] of the same name.
#[derive(Clone, Debug, PartialEq)]
pub enum UpstreamReply {
    /// Reply to a fence call.
    Fence(FenceReply),
    /// Reply to a renewal.
    Renew(RenewReply),
    /// Reply to a start call.
    Start(StartReply),
    /// Reply to a revocation.
    Revoke(RevokeReply),
}

/// The owner of a shard as reported by the other entry hosts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ObservedOwner {
    /// Host that owns the shard.
    pub host: HostName,
    /// Epoch of the ownership.
    pub epoch: u64,
    /// When the owner was last heard from, in milliseconds of this host's clock.
    pub heard_ms: u64,
}

/// Waiting work of another shard whose allotment is too small.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AllotmentShortage {
    /// The other shard.
    pub shard: ShardName,
    /// When that work began to wait, in milliseconds of this host's clock.
    pub since_ms: u64,
}

/// What a shard knows about the other entry hosts and their shards.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PeerView {
    /// The owner with the highest epoch that was reported.
    pub owner: Option<ObservedOwner>,
    /// Time until which every other live host of the failure domain has promised not to take over
    /// the shard, in milliseconds.
    pub peers_promised_until_ms: u64,
    /// Time until which this host has promised not to take over the shard, in milliseconds.
    pub own_promise_until_ms: u64,
    /// Time since which this host may have missed newer documents, in milliseconds; none while the
    /// configuration is fresh.
    pub config_stale_since_ms: Option<u64>,
    /// Resources reserved for each team in the other shards.
    pub remote_usage: BTreeMap<TeamName, ResourceSize>,
    /// Teams that lack allotment in other shards, each with the longest wait.
    pub shortages: BTreeMap<TeamName, AllotmentShortage>,
    /// Other shards that currently start tasks, in descending order of free capacity.
    pub available_shards: Vec<ShardName>,
    /// Number of shards in the fleet.
    pub shard_count: u64,
}

/// Command of an entry host to the owner of a shard.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum ShardCommand {
    /// Requests a ticket for a quick request.
    Place(PlaceRequest),
    /// Submits a job.
    Submit(AcceptedWork),
    /// Asks whether a job of another shard could run here.
    Probe(AcceptedWork),
    /// Hands over a job from another shard.
    Adopt(AcceptedWork),
    /// Requests the state of a job.
    Show {
        /// The job.
        work: WorkId,
        /// Team of the caller.
        team: TeamName,
    },
    /// Cancels a job.
    Cancel {
        /// The job.
        work: WorkId,
        /// Team of the caller.
        team: TeamName,
    },
    /// Requests the answer of one task of a job.
    Answer {
        /// The job.
        work: WorkId,
        /// Team of the caller.
        team: TeamName,
        /// Index of the task.
        index: u32,
    },
    /// Reports the end of an attempt whose complete answer an entry host has received.
    Report(AttemptReport),
}

/// A quick request to be placed on an upstream.
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
    /// Time left until the request's deadline, in milliseconds.
    pub remaining_ms: u64,
    /// Number of the attempt that the entry host could not finish, if any.
    pub failed_attempt: Option<u64>,
}

/// Report of how an attempt ended.
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
    /// It completed.
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
    /// Whether the attempt may have started already. If so, the entry host fetches its answer
    /// instead of sending the request.
    pub started: bool,
}

/// Why a command was not carried out.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCode {
    /// This host does not own the shard.
    NotOwner,
    /// The owner must not start tasks at present.
    StartsSuspended,
    /// The failure domain is out of service.
    DomainOut,
    /// Too many tasks of the team are waiting.
    QueueFull,
    /// No upstream is large enough for the task, or the team's limit is too low for it.
    Impossible,
    /// The workload does not exist.
    UnknownWorkload,
    /// The identifier belongs to another team.
    OtherTeam,
    /// There is no such work item.
    UnknownWork,
    /// The deadline passed before the request started.
    DeadlineExceeded,
    /// A non-idempotent request may or may not have run.
    OutcomeUnknown,
    /// The work ended, but its answer is no longer kept.
    AnswerGone,
    /// The work has not ended yet.
    NotFinished,
    /// The work was cancelled.
    Cancelled,
    /// The work ran and failed.
    TaskFailed,
}

impl RefusalCode {
    /// Returns whether the reason concerns this shard only, so that another shard may accept the
    /// work.
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
    /// Whether the work ran, as far as known.
    pub outcome: WorkOutcome,
    /// Human-readable detail.
    pub detail: String,
    /// Time after which a retry makes sense, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// Creates a refusal of work that is known not to have run.
    #[must_use]
    pub fn not_run(code: RefusalCode, detail: impl Into<String>) -> Self {
        Self {
            code,
            outcome: WorkOutcome::NotRun,
            detail: detail.into(),
            retry_after_ms: None,
        }
    }

    /// Creates a refusal of work that may or may not have run.
    #[must_use]
    pub fn unknown(code: RefusalCode, detail: impl Into<String>) -> Self {
        Self {
            code,
            outcome: WorkOutcome::Unknown,
            detail: detail.into(),
            retry_after_ms: None,
        }
    }

    /// Creates a refusal of work that ran.
    #[must_use]
    pub fn done(code: RefusalCode, detail: impl Into<String>) -> Self {
        Self {
            code,
            outcome: WorkOutcome::Done,
            detail: detail.into(),
            retry_after_ms: None,
        }
    }

    /// Sets the time after which a retry makes sense.
    #[must_use]
    pub fn retry_after(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }
}

/// Answer of one task of a job.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum WorkAnswer {
    /// The answer itself.
    Inline(Arc<str>),
    /// The upstream attempt that keeps the answer.
    AtUpstream(AttemptTicket),
}

/// The reply to a command.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ShardReply {
    /// The ticket of a quick request that was placed.
    Ticket(AttemptTicket),
    /// The acceptance of the job is committed to the journal.
    Accepted(WorkId),
    /// The state of a job.
    Status(JobStatus),
    /// The answer of a job's task.
    Answer(WorkAnswer),
    /// Another shard has the job.
    MovedTo(ShardName),
    /// The command succeeded and its reply carries no data: a report was received, or a probed job
    /// could run here.
    Noted,
    /// The command was not carried out.
    Refused(Refusal),
}

/// What an owner tells the other entry hosts about its shard.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ShardSummary {
    /// Free capacity.
    pub free: ResourceSize,
    /// Total capacity.
    pub capacity: ResourceSize,
    /// Number of waiting queue entries; a gang is one.
    pub waiting: u64,
    /// Whether the shard starts tasks.
    pub starting: bool,
    /// Resources reserved for each team.
    pub running: BTreeMap<TeamName, ResourceSize>,
    /// Time for which work has waited for lack of allotment, by team, in milliseconds.
    pub wanted_ms: BTreeMap<TeamName, u64>,
}
