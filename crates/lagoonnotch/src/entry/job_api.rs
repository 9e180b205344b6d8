//! Jobs: work whose caller does not wait.

use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use lagoonnotch_wire::CALLER_SCHEMA;
use lagoonnotch_wire::caller::{
    JobAccepted, JobSubmission, RequestIdCall, RequestIds, WorkOutcome,
};
use tokio::time::sleep;

use crate::document::WorkloadPolicy;
use crate::entry::answers::{bytes_answer, json_answer};
use crate::entry::caller_api::CallerApi;
use crate::entry::http_server::FullResponse;
use crate::entry::request_ids::{derive_id, issue_id, issued_age_s};
use crate::entry::request_parts::{idempotency_key, parameter, read_body};
use crate::entry::shard_router::RouteError;
use crate::finding::SchemaCheck;
use crate::journal::AcceptedWork;
use crate::model::{ResourceSize, ShardName, TeamName, WorkId, WorkloadName};
use crate::problem::{ProblemCode, ProblemReport};
use crate::shard::{Refusal, RefusalCode, ShardCommand, ShardReply, WorkAnswer};

/// Largest description of a job, in bytes; it has to fit the journal.
const MAX_JOB_BYTES: usize = 256 * 1024;

/// Longest time that a command to an owner may take, with retries.
const COMMAND_TIME: Duration = Duration::from_secs(8);

/// Longest time of one try.
const TRY_TIME: Duration = Duration::from_secs(3);

/// Time between two tries.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

impl CallerApi {
    /// Issues identifiers whose home is the nearest shard.
    pub(super) async fn issue_ids(
        &self,
        request: Request<Incoming>,
    ) -> Result<FullResponse, ProblemReport> {
        static CHECK: OnceLock<SchemaCheck> = OnceLock::new();
        let check = CHECK.get_or_init(|| SchemaCheck::new(CALLER_SCHEMA, "RequestIdCall"));
        self.team(&request)?;
        let body = read_body(request.into_body(), MAX_JOB_BYTES).await?;
        let call: RequestIdCall = parse_body(check, &body)?;
        let home = self.home()?;
        let ids = (0..call.count)
            .map(|_| issue_id(&home).to_string())
            .collect();
        Ok(json_answer(StatusCode::OK, &RequestIds { ids }))
    }

    /// Accepts a job; the answer is sent only once the job lasts.
    pub(super) async fn submit_job(
        &self,
        request: Request<Incoming>,
    ) -> Result<FullResponse, ProblemReport> {
        static CHECK: OnceLock<SchemaCheck> = OnceLock::new();
        let check = CHECK.get_or_init(|| SchemaCheck::new(CALLER_SCHEMA, "JobSubmission"));
        self.check_open()?;
        let team = self.team(&request)?;
        let key = idempotency_key(request.headers())?.map(str::to_owned);
        let body = read_body(request.into_body(), MAX_JOB_BYTES).await?;
        let submission: JobSubmission = parse_body(check, &body)?;
        check_team(&submission, &team)?;
        let workload = WorkloadName::from(submission.workload.as_str());
        let policy = self.admit(&team, &workload)?;
        let id = self.job_id(&team, key.as_deref())?;
        let accepted = accepted_job(id.clone(), team, workload, &policy, submission);
        match self.send_homed(&id, ShardCommand::Submit(accepted)).await? {
            ShardReply::Accepted(id) => Ok(json_answer(
                StatusCode::ACCEPTED,
                &JobAccepted { id: id.to_string() },
            )),
            reply => Err(unexpected(&id, reply)),
        }
    }

    /// Returns the state of a job.
    pub(super) async fn show_job(
        &self,
        request: &Request<Incoming>,
        id: &str,
    ) -> Result<FullResponse, ProblemReport> {
        let (team, work) = (self.team(request)?, WorkId::from(id));
        let command = ShardCommand::Show {
            work: work.clone(),
            team,
        };
        match self.send_homed(&work, command).await? {
            ShardReply::Status(status) => Ok(json_answer(StatusCode::OK, &status)),
            reply => Err(unexpected(&work, reply)),
        }
    }

    /// Cancels a job.
    pub(super) async fn cancel_job(
        &self,
        request: &Request<Incoming>,
        id: &str,
    ) -> Result<FullResponse, ProblemReport> {
        let (team, work) = (self.team(request)?, WorkId::from(id));
        let command = ShardCommand::Cancel {
            work: work.clone(),
            team,
        };
        match self.send_homed(&work, command).await? {
            ShardReply::Status(status) => Ok(json_answer(StatusCode::OK, &status)),
            reply => Err(unexpected(&work, reply)),
        }
    }

    /// Returns the answer of one of a job's tasks.
    pub(super) async fn job_answer(
        &self,
        request: &Request<Incoming>,
        id: &str,
    ) -> Result<FullResponse, ProblemReport> {
        let (team, work) = (self.team(request)?, WorkId::from(id));
        let index = match parameter(request.uri(), "task").map(str::parse) {
            None => 0,
            Some(Ok(index)) => index,
            Some(Err(_)) => {
                let detail = "task: expected the index of a task, from 0";
                return Err(ProblemReport::not_run(
                    ProblemCode::InvalidParameter,
                    detail,
                ));
            }
        };
        let command = ShardCommand::Answer {
            work: work.clone(),
            team,
            index,
        };
        match self.send_homed(&work, command).await? {
            ShardReply::Answer(WorkAnswer::Inline(text)) => {
                Ok(bytes_answer(Bytes::from(text.to_string())))
            }
            ShardReply::Answer(WorkAnswer::AtUpstream(ticket)) => {
                let answer = self.context.upstreams.answer(&ticket, TRY_TIME).await;
                let gone =
                    || ProblemReport::done(ProblemCode::AnswerGone, "the answer is no longer kept");
                answer
                    .map(|answer| bytes_answer(answer.body))
                    .map_err(|_| gone().with_id(id))
            }
            reply => Err(unexpected(&work, reply)),
        }
    }

    /// Returns the identifier of a new job.
    fn job_id(&self, team: &TeamName, key: Option<&str>) -> Result<WorkId, ProblemReport> {
        let view = self.view();
        let Some(key) = key else {
            return Ok(issue_id(&self.home()?));
        };
        let issued = WorkId::from(key);
        if issued_age_s(&view.config, &issued).is_some() {
            return Ok(issued);
        }
        let no_shard = || ProblemReport::not_run(ProblemCode::NoOwner, "no shard is known yet");
        derive_id(&view.config, team, key).ok_or_else(no_shard)
    }

    /// Returns the shard that new work is homed to.
    fn home(&self) -> Result<ShardName, ProblemReport> {
        let view = self.view();
        let in_service = |shard: &ShardName| {
            let domain = shard
                .as_str()
                .rsplit_once('.')
                .map_or("", |(domain, _)| domain);
            view.config
                .domains
                .get(domain)
                .is_some_and(|policy| policy.in_service)
        };
        let candidates = view.candidates();
        let home = candidates
            .iter()
            .find(|shard| in_service(shard))
            .or(candidates.first());
        let no_owner = || {
            ProblemReport::not_run(ProblemCode::NoOwner, "no owner is known yet").retry_after(500)
        };
        home.cloned().ok_or_else(no_owner)
    }

    /// Sends a command to the owner of a job's home, again while the owner changes.
    ///
    /// Every command about a job is idempotent, since it names the job.
    async fn send_homed(
        &self,
        work: &WorkId,
        command: ShardCommand,
    ) -> Result<ShardReply, ProblemReport> {
        let Some(mut home) = work.home() else {
            let detail = format!("{work} is no identifier of this system");
            return Err(ProblemReport::not_run(ProblemCode::UnknownWork, detail));
        };
        let deadline = Instant::now() + COMMAND_TIME;
        let mut sent = false;
        while Instant::now() < deadline {
            match self
                .context
                .router
                .send(&home, command.clone(), TRY_TIME)
                .await
            {
                Ok(ShardReply::Refused(refusal)) if refusal.code == RefusalCode::NotOwner => {}
                Ok(ShardReply::Refused(refusal)) if refusal.code == RefusalCode::OutcomeUnknown => {
                    sent = true;
                }
                Ok(ShardReply::MovedTo(shard)) => {
                    home = shard;
                    continue;
                }
                Ok(ShardReply::Refused(refusal)) if sent => {
                    return Err(after_silence(work, refusal));
                }
                Ok(reply) => return Ok(reply),
                Err(RouteError::NoOwner) => {}
                Err(RouteError::NoAnswer) => sent = true,
            }
            sleep(RETRY_PAUSE).await;
        }
        let report = if sent {
            ProblemReport::unknown(ProblemCode::OutcomeUnknown, "the owner did not answer")
        } else {
            ProblemReport::not_run(ProblemCode::NoOwner, format!("no owner of {home} is known"))
        };
        Err(report.with_id(work.as_str()).retry_after(1000))
    }
}

fn parse_body<T: serde::de::DeserializeOwned>(
    check: &SchemaCheck,
    body: &[u8],
) -> Result<T, ProblemReport> {
    let body = if body.is_empty() { b"{}" } else { body };
    check
        .parse(body)
        .map_err(|findings| ProblemReport::invalid(ProblemCode::InvalidBody, findings))
}

fn check_team(submission: &JobSubmission, team: &TeamName) -> Result<(), ProblemReport> {
    match &submission.team {
        Some(named) if named.as_str() != team.as_str() => {
            let detail = format!("the key is of team {team}, and the job names team {named}");
            Err(ProblemReport::not_run(ProblemCode::OtherTeam, detail))
        }
        _ => Ok(()),
    }
}

fn accepted_job(
    id: WorkId,
    team: TeamName,
    workload: WorkloadName,
    policy: &WorkloadPolicy,
    submission: JobSubmission,
) -> AcceptedWork {
    AcceptedWork {
        id,
        team,
        workload,
        class: policy.class,
        idempotent: policy.idempotent,
        preemptible: policy.preemptible,
        lasting: true,
        size: submission.size.map_or(policy.size, ResourceSize::from),
        tasks: submission.tasks,
        max_attempts: policy.max_attempts,
        deadline_ms: policy.deadline_ms,
        payload: Arc::from(submission.payload),
    }
}

fn unexpected(work: &WorkId, reply: ShardReply) -> ProblemReport {
    match reply {
        ShardReply::Refused(refusal) => ProblemReport::from(refusal).with_id(work.as_str()),
        _ => ProblemReport::unknown(
            ProblemCode::OutcomeUnknown,
            "the owner gave another kind of answer",
        ),
    }
}

/// Returns the refusal of a command of which an earlier copy got no answer, and may be carried out
/// yet.
fn after_silence(work: &WorkId, refusal: Refusal) -> ProblemReport {
    let report = ProblemReport::from(refusal);
    let report = match report.outcome {
        WorkOutcome::NotRun => ProblemReport::unknown(ProblemCode::OutcomeUnknown, report.detail),
        WorkOutcome::Unknown | WorkOutcome::Done => report,
    };
    report.with_id(work.as_str())
}
