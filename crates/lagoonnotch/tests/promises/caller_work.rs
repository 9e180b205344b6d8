//! A caller's view of its work, and the commands that its entry host sends, without sockets.

use std::collections::BTreeMap;

use lagoonnotch::journal::AcceptedWork;
use lagoonnotch::model::{ShardName, TeamName, WorkId, WorkloadName};
use lagoonnotch::shard::{AttemptTicket, PlaceRequest, RefusalCode, ShardCommand, ShardReply};
use lagoonnotch_wire::caller::{JobState, JobStatus, WorkOutcome};

use crate::scenario::PlannedWork;

/// Time for which a caller waits for a quick request, in milliseconds.
pub const REQUEST_TIMEOUT_MS: u64 = 20_000;

/// Interval at which an entry host repeats a command, in milliseconds.
pub const RETRY_INTERVAL_MS: u64 = 500;

/// What a caller was last told about its work.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerOutcome {
    /// Nothing yet.
    Nothing,
    /// The job is accepted.
    Accepted,
    /// The caller received the complete answer.
    Answered,
    /// The work is known not to have run.
    NotRun,
    /// The work may or may not have run.
    Unknown,
    /// The job ended in this state.
    Ended(JobState),
}

/// One work item from its caller's point of view.
#[derive(Clone, Debug)]
pub struct CallerWork {
    pub plan: PlannedWork,
    pub id: WorkId,
    /// Shard that has the work item.
    pub home: ShardName,
    pub outcome: CallerOutcome,
    /// Last job status that the caller received.
    pub status: Option<JobStatus>,
    pub failed_attempt: Option<u64>,
    pub may_have_run: bool,
    pub cancelled: bool,
    pub next_command_ms: u64,
    /// Number of submissions without a reply. One of them may still be accepted.
    pub submissions_without_reply: u32,
    /// Whether the request is at an upstream: it was sent, and neither its answer nor a failure has
    /// arrived.
    pub at_upstream: bool,
}

impl CallerWork {
    pub fn new(plan: PlannedWork, id: WorkId) -> Self {
        Self {
            next_command_ms: plan.at_ms,
            plan,
            home: id.home().expect("the identifier has a home shard"),
            id,
            outcome: CallerOutcome::Nothing,
            status: None,
            failed_attempt: None,
            may_have_run: false,
            cancelled: false,
            submissions_without_reply: 0,
            at_upstream: false,
        }
    }

    pub fn team(&self) -> TeamName {
        TeamName::from(format!("team-{}", self.plan.team))
    }

    /// Returns the next command to the owner, if one is due.
    pub fn next_command(&mut self, now_ms: u64) -> Option<ShardCommand> {
        if now_ms < self.next_command_ms || self.at_upstream {
            return None;
        }
        self.next_command_ms = now_ms + RETRY_INTERVAL_MS;
        if self.plan.quick {
            self.place_command(now_ms)
        } else {
            self.job_command(now_ms)
        }
    }

    /// Handles a reply; returns a ticket to use, if the reply holds one.
    pub fn handle_reply(&mut self, reply: ShardReply) -> Option<AttemptTicket> {
        match reply {
            ShardReply::Ticket(ticket) if self.outcome == CallerOutcome::Nothing => {
                return Some(ticket);
            }
            ShardReply::Accepted(_) if self.outcome == CallerOutcome::Nothing => {
                self.outcome = CallerOutcome::Accepted;
            }
            ShardReply::Status(status) => self.apply_status(status),
            ShardReply::MovedTo(shard) => self.home = shard,
            ShardReply::Refused(refusal) if self.outcome == CallerOutcome::Nothing => {
                self.submissions_without_reply = self.submissions_without_reply.saturating_sub(1);
                let retryable = matches!(
                    refusal.code,
                    RefusalCode::NotOwner | RefusalCode::StartsSuspended
                );
                let unsettled = refusal.outcome == WorkOutcome::Unknown && !self.plan.quick;
                if !retryable && !unsettled && self.submissions_without_reply > 0 {
                    self.outcome = CallerOutcome::Unknown;
                } else if !retryable && !unsettled {
                    self.give_up(refusal.outcome);
                }
            }
            ShardReply::Refused(refusal) if refusal.code == RefusalCode::UnknownWork => {
                self.status = None;
            }
            _ => {}
        }
        None
    }

    /// Ends the work item for its caller.
    pub fn give_up(&mut self, outcome: WorkOutcome) {
        let unknown = self.may_have_run || outcome == WorkOutcome::Unknown;
        self.outcome = if unknown {
            CallerOutcome::Unknown
        } else {
            CallerOutcome::NotRun
        };
    }

    fn place_command(&mut self, now_ms: u64) -> Option<ShardCommand> {
        if self.outcome != CallerOutcome::Nothing {
            return None;
        }
        let deadline_ms = self.plan.at_ms + REQUEST_TIMEOUT_MS;
        if now_ms >= deadline_ms {
            self.give_up(WorkOutcome::NotRun);
            return None;
        }
        Some(ShardCommand::Place(PlaceRequest {
            work: self.id.clone(),
            team: self.team(),
            workload: WorkloadName::from(format!("quick-{}", self.plan.cores)),
            non_idempotent: !self.plan.idempotent,
            remaining_ms: deadline_ms - now_ms,
            failed_attempt: self.failed_attempt,
        }))
    }

    fn job_command(&mut self, now_ms: u64) -> Option<ShardCommand> {
        let (work, team) = (self.id.clone(), self.team());
        match &self.outcome {
            CallerOutcome::Nothing => {
                self.submissions_without_reply += 1;
                Some(ShardCommand::Submit(self.accepted_work()))
            }
            CallerOutcome::Accepted => {
                let cancel = self
                    .plan
                    .cancel_after_ms
                    .is_some_and(|after| now_ms >= self.plan.at_ms + after);
                let cancel_service = self
                    .status
                    .as_ref()
                    .is_some_and(|status| status.state == JobState::Running)
                    && self.plan.class == lagoonnotch::document::WorkClass::Service;
                if cancel || cancel_service {
                    self.cancelled = true;
                    return Some(ShardCommand::Cancel { work, team });
                }
                Some(ShardCommand::Show { work, team })
            }
            _ => None,
        }
    }

    fn accepted_work(&self) -> AcceptedWork {
        AcceptedWork {
            id: self.id.clone(),
            team: self.team(),
            workload: WorkloadName::from("job"),
            class: self.plan.class,
            idempotent: self.plan.idempotent,
            preemptible: false,
            lasting: true,
            size: crate::scenario_config::cores(self.plan.cores),
            tasks: self.plan.tasks,
            max_attempts: 3,
            deadline_ms: 1000,
            payload: self.plan.run_ms.to_string().into(),
        }
    }

    fn apply_status(&mut self, status: JobStatus) {
        let ended = !matches!(status.state, JobState::Waiting | JobState::Running);
        let unsettled = status.state == JobState::Unknown;
        if ended && !unsettled {
            self.outcome = CallerOutcome::Ended(status.state);
        }
        self.status = Some(status);
    }
}

/// Work items of a scenario by identifier.
pub type CallerWorks = BTreeMap<WorkId, CallerWork>;
