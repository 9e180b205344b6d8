//! Job endpoints, for work whose caller does not wait for the answer.

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
use crate::entry::caller_api::CallerApi;
use crate::entry::http_server::FullResponse;
use crate::entry::request_ids::{derive_id, issue_id, issued_age_s};
use crate::entry::request_parts::{idempotency_key, query_parameter, read_body};
use crate::entry::responses::{bytes_response, json_response};
use crate::entry::shard_router::RouteError;
use crate::finding::SchemaCheck;
use crate::journal::AcceptedWork;
use crate::model::{ResourceSize, ShardName, TeamName, WorkId, WorkloadName};
use crate::problem::{ProblemCode, ProblemReport};
use crate::shard::{Refusal, RefusalCode, ShardCommand, ShardReply, WorkAnswer};

/// Maximum size of a job submission, in bytes; it must fit into the journal. Also limits calls for
/// identifiers.
const MAX_JOB_BYTES: usize = 256 * 1024;

/// Timeout of a command to an owner, including retries.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(8);

/// Reply timeout of one try, and timeout of fetching an answer from an upstream.
const TRY_TIMEOUT: Duration = Duration::from_secs(3);

/// Pause between tries.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

impl CallerApi {
    /// Issues identifiers with the preferred home shard for new work.
    pub(super) async fn issue_ids(
        &self,
        request: Request<Incoming>,
    ) -> Result<FullResponse, ProblemReport> {
        static CHECK: OnceLock<SchemaCheck> = OnceLock::new();
        let check = CHECK.get_or_init(|| SchemaCheck::new(CALLER_SCHEMA, "RequestIdCall"));
        self.team(&request)?;
        let body = read_body(request.into_body(), MAX_JOB_BYTES).await?;
        let call: RequestIdCall = parse_body(check, &body)?;
        let home_shard = self.home_shard()?;
        let ids = (0..call.count)
            .map(|_| issue_id(&home_shard).to_string())
            .collect();
        Ok(json_response(StatusCode::OK, &RequestIds { ids }))
    }

    /// Accepts a job, and responds only after the job has been stored durably.
    pub(super) async fn submit_job(
        &self,
        request: Request<Incoming>,
    ) -> Result<FullResponse, ProblemReport> {
        static CHECK: OnceLock<SchemaCheck> = OnceLock::new();
        let check = CHECK.get_or_init(|| SchemaCheck::new(CALLER_SCHEMA, "JobSubmission"));
        self.check_accepting()?;
        let team = self.team(&request)?;
        let key = idempotency_key(request.headers())?.map(str::to_owned);
        let body = read_body(request.into_body(), MAX_JOB_BYTES).await?;
        let submission: JobSubmission = parse_body(check, &body)?;
        check_team(&submission, &team)?;
        let workload = WorkloadName::from(submission.workload.as_str());
        let policy = self.admit(&team, &workload)?;
        let id = self.job_id(&team, key.as_deref())?;
        let accepted = accepted_job(id.clone(), team, workload, &policy, submission);
        match self
            .send_to_home(&id, ShardCommand::Submit(accepted))
            .await?
        {
            ShardReply::Accepted(id) => Ok(json_response(
                StatusCode::ACCEPTED,
                &JobAccepted { id: id.to_string() },
            )),
            reply => Err(reply_problem(&id, reply)),
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
        match self.send_to_home(&work, command).await? {
            ShardReply::Status(status) => Ok(json_response(StatusCode::OK, &status)),
            reply => Err(reply_problem(&work, reply)),
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
        match self.send_to_home(&work, command).await? {
            ShardReply::Status(status) => Ok(json_response(StatusCode::OK, &status)),
            reply => Err(reply_problem(&work, reply)),
        }
    }

    /// Returns the answer of one task of a job.
    pub(super) async fn job_answer(
        &self,
        request: &Request<Incoming>,
        id: &str,
    ) -> Result<FullResponse, ProblemReport> {
        let (team, work) = (self.team(request)?, WorkId::from(id));
        let index = match query_parameter(request.uri(), "task").map(str::parse) {
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
        match self.send_to_home(&work, command).await? {
            ShardReply::Answer(WorkAnswer::Inline(text)) => {
                Ok(bytes_response(Bytes::from(text.to_string())))
            }
            ShardReply::Answer(WorkAnswer::AtUpstream(ticket)) => {
                let answer = self
                    .context
                    .upstream_client
                    .answer(&ticket, TRY_TIMEOUT)
                    .await;
                let gone =
                    || ProblemReport::done(ProblemCode::AnswerGone, "the answer is no longer kept");
                answer
                    .map(|answer| bytes_response(answer.body))
                    .map_err(|_| gone().with_id(id))
            }
            reply => Err(reply_problem(&work, reply)),
        }
    }

    /// Returns the identifier for a new job.
    fn job_id(&self, team: &TeamName, key: Option<&str>) -> Result<WorkId, ProblemReport> {
        let view = self.view();
        let Some(key) = key else {
            return Ok(issue_id(&self.home_shard()?));
        };
        let issued = WorkId::from(key);
        if issued_age_s(&view.config, &issued).is_some() {
            return Ok(issued);
        }
        let no_shard = || ProblemReport::not_run(ProblemCode::NoOwner, "no shard is known yet");
        derive_id(&view.config, team, key).ok_or_else(no_shard)
    }

    /// Returns the home shard for new work.
    fn home_shard(&self) -> Result<ShardName, ProblemReport> {
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
        let home_shard = candidates
            .iter()
            .find(|shard| in_service(shard))
            .or(candidates.first());
        let no_owner = || {
            ProblemReport::not_run(ProblemCode::NoOwner, "no owner is known yet").retry_after(500)
        };
        home_shard.cloned().ok_or_else(no_owner)
    }

    /// Sends a command to the owner of a job's home shard, and retries while the owner changes.
    ///
    /// Retries are safe: commands about a job are idempotent because they name the job.
    async fn send_to_home(
        &self,
        work: &WorkId,
        command: ShardCommand,
    ) -> Result<ShardReply, ProblemReport> {
        let Some(mut home_shard) = work.home() else {
            let detail = format!("{work} is no identifier of this system");
            return Err(ProblemReport::not_run(ProblemCode::UnknownWork, detail));
        };
        let deadline = Instant::now() + COMMAND_TIMEOUT;
        let mut sent = false;
        while Instant::now() < deadline {
            match self
                .context
                .router
                .send(&home_shard, command.clone(), TRY_TIMEOUT)
                .await
            {
                Ok(ShardReply::Refused(refusal)) if refusal.code == RefusalCode::NotOwner => {}
                Ok(ShardReply::Refused(refusal)) if refusal.code == RefusalCode::OutcomeUnknown => {
                    sent = true;
                }
                Ok(ShardReply::MovedTo(shard)) => {
                    home_shard = shard;
                    continue;
                }
                Ok(ShardReply::Refused(refusal)) if sent => {
                    return Err(refusal_after_lost_reply(work, refusal));
                }
                Ok(reply) => return Ok(reply),
                Err(RouteError::NoOwner) => {}
                Err(RouteError::NoReply) => sent = true,
            }
            sleep(RETRY_INTERVAL).await;
        }
        let report = if sent {
            ProblemReport::unknown(ProblemCode::OutcomeUnknown, "the owner did not answer")
        } else {
            ProblemReport::not_run(
                ProblemCode::NoOwner,
                format!("no owner of {home_shard} is known"),
            )
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

fn reply_problem(work: &WorkId, reply: ShardReply) -> ProblemReport {
    match reply {
        ShardReply::Refused(refusal) => ProblemReport::from(refusal).with_id(work.as_str()),
        _ => ProblemReport::unknown(
            ProblemCode::OutcomeUnknown,
            "the owner gave another kind of answer",
        ),
    }
}

/// Returns the problem for a refused command after an earlier copy of it got no reply, and may
/// still be executed.
fn refusal_after_lost_reply(work: &WorkId, refusal: Refusal) -> ProblemReport {
    let report = ProblemReport::from(refusal);
    let report = match report.outcome {
        WorkOutcome::NotRun => ProblemReport::unknown(ProblemCode::OutcomeUnknown, report.detail),
        WorkOutcome::Unknown | WorkOutcome::Done => report,
    };
    report.with_id(work.as_str())
}
