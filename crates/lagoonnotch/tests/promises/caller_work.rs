//! What an entry host does with a request, without sockets.

use std::collections::BTreeMap;

use lagoonnotch::journal::AcceptedWork;
use lagoonnotch::model::{ShardName, TeamName, WorkId, WorkloadName};
use lagoonnotch::shard::{AttemptTicket, PlaceRequest, RefusalCode, ShardCommand, ShardReply};
use lagoonnotch_wire::caller::{JobState, JobStatus, WorkOutcome};

use crate::history::PlannedWork;

/// Time for which a caller waits for a quick request, in milliseconds.
pub const REQUEST_MS: u64 = 20_000;

/// Time after which an entry host asks again, in milliseconds.
pub const ASK_AGAIN_MS: u64 = 500;

/// What a caller was last told.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerKnows {
    /// Nothing yet.
    Nothing,
    /// The job is accepted.
    Accepted,
    /// The whole answer.
    Answered,
    /// The work certainly did not run.
    NotRun,
    /// The work may or may not have run.
    Unknown,
    /// The job ended, with its last state.
    Ended(JobState),
}

/// One work from its caller's side.
#[derive(Clone, Debug)]
pub struct CallerWork {
    pub plan: PlannedWork,
    pub id: WorkId,
    /// The shard that has the work.
    pub home: ShardName,
    pub knows: CallerKnows,
    /// The last state that was shown for a job.
    pub status: Option<JobStatus>,
    pub failed_attempt: Option<u64>,
    pub may_have_run: bool,
    pub cancelled: bool,
    pub next_ask_ms: u64,
    /// Submissions without an answer; one of them may still be accepted.
    pub unanswered: u32,
    /// Whether the payload is on its way to an upstream.
    pub running: bool,
}

impl CallerWork {
    pub fn new(plan: PlannedWork, id: WorkId) -> Self {
        Self {
            next_ask_ms: plan.at_ms,
            plan,
            home: id.home().expect("the identifier names its home"),
            id,
            knows: CallerKnows::Nothing,
            status: None,
            failed_attempt: None,
            may_have_run: false,
            cancelled: false,
            unanswered: 0,
            running: false,
        }
    }

    pub fn team(&self) -> TeamName {
        TeamName::from(format!("team-{}", self.plan.team))
    }

    /// Returns the next command for the owner, if there is anything to ask.
    pub fn next_command(&mut self, now_ms: u64) -> Option<ShardCommand> {
        if now_ms < self.next_ask_ms || self.running {
            return None;
        }
        self.next_ask_ms = now_ms + ASK_AGAIN_MS;
        if self.plan.quick {
            self.ask_place(now_ms)
        } else {
            self.ask_job(now_ms)
        }
    }

    /// Takes a reply; returns a ticket to use.
    pub fn take_reply(&mut self, reply: ShardReply) -> Option<AttemptTicket> {
        match reply {
            ShardReply::Ticket(ticket) if self.knows == CallerKnows::Nothing => {
                return Some(ticket);
            }
            ShardReply::Accepted(_) if self.knows == CallerKnows::Nothing => {
                self.knows = CallerKnows::Accepted;
            }
            ShardReply::Status(status) => self.take_status(status),
            ShardReply::MovedTo(shard) => self.home = shard,
            ShardReply::Refused(refusal) if self.knows == CallerKnows::Nothing => {
                self.unanswered = self.unanswered.saturating_sub(1);
                let again = matches!(
                    refusal.code,
                    RefusalCode::NotOwner | RefusalCode::StartsSuspended
                );
                let open = refusal.outcome == WorkOutcome::Unknown && !self.plan.quick;
                if !again && !open && self.unanswered > 0 {
                    self.knows = CallerKnows::Unknown;
                } else if !again && !open {
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

    /// Ends the work for its caller.
    pub fn give_up(&mut self, outcome: WorkOutcome) {
        let unknown = self.may_have_run || outcome == WorkOutcome::Unknown;
        self.knows = if unknown {
            CallerKnows::Unknown
        } else {
            CallerKnows::NotRun
        };
    }

    fn ask_place(&mut self, now_ms: u64) -> Option<ShardCommand> {
        if self.knows != CallerKnows::Nothing {
            return None;
        }
        let deadline_ms = self.plan.at_ms + REQUEST_MS;
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

    fn ask_job(&mut self, now_ms: u64) -> Option<ShardCommand> {
        let (work, team) = (self.id.clone(), self.team());
        match &self.knows {
            CallerKnows::Nothing => {
                self.unanswered += 1;
                Some(ShardCommand::Submit(self.accepted_work()))
            }
            CallerKnows::Accepted => {
                let cancel = self
                    .plan
                    .cancel_after_ms
                    .is_some_and(|after| now_ms >= self.plan.at_ms + after);
                let service = self
                    .status
                    .as_ref()
                    .is_some_and(|status| status.state == JobState::Running)
                    && self.plan.class == lagoonnotch::document::WorkClass::Service;
                if cancel || service {
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
            size: crate::cell_config::cores(self.plan.cores),
            tasks: self.plan.tasks,
            max_attempts: 3,
            deadline_ms: 1000,
            payload: self.plan.run_ms.to_string().into(),
        }
    }

    fn take_status(&mut self, status: JobStatus) {
        let ended = !matches!(status.state, JobState::Waiting | JobState::Running);
        let open = status.state == JobState::Unknown;
        if ended && !open {
            self.knows = CallerKnows::Ended(status.state);
        }
        self.status = Some(status);
    }
}

/// The work items of a history by identifier.
pub type CallerWorks = BTreeMap<WorkId, CallerWork>;
