//! Quick requests: a place from the owner, then the upstream itself.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use tokio::time::sleep;

use crate::dispatch::{AttemptAnswer, AttemptError};
use crate::entry::caller_api::EntryContext;
use crate::entry::shard_router::RouteError;
use crate::model::{AttemptId, ShardName, TaskId, TeamName, WorkId, WorkloadName};
use crate::problem::{ProblemCode, ProblemReport};
use crate::shard::{
    AttemptEnd, AttemptReport, AttemptTicket, PlaceRequest, RefusalCode, ShardCommand, ShardReply,
};

/// Time between two tries while no owner can be reached.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Added to the time that an owner has for its answer.
const ANSWER_ALLOWANCE: Duration = Duration::from_millis(200);

/// Longest time that one try waits for an owner.
const TRY_TIME: Duration = Duration::from_secs(2);

/// A quick request on its way.
pub(super) struct QuickRequest {
    pub context: Arc<EntryContext>,
    pub work: WorkId,
    pub team: TeamName,
    pub workload: WorkloadName,
    pub non_idempotent: bool,
    /// Whether only the home shard may run the request.
    pub homed: bool,
    pub body: Bytes,
    pub deadline: Instant,
}

/// Progress of a quick request.
#[derive(Debug, Default)]
struct RequestProgress {
    /// The shard that may hold an attempt; the request stays with it.
    held_by: Option<ShardName>,
    failed_attempt: Option<u64>,
    /// Whether an attempt may have run.
    may_have_run: bool,
    last_refusal: Option<ProblemReport>,
    tries: u32,
}

/// What a try led to.
enum TryEnd {
    Done(Result<AttemptAnswer, ProblemReport>),
    Again,
    Elsewhere,
}

impl QuickRequest {
    /// Runs the request and returns its whole answer.
    ///
    /// # Errors
    /// Fails when the request was refused, failed, or has no answer in time.
    pub async fn run(self) -> Result<AttemptAnswer, ProblemReport> {
        let mut progress = RequestProgress::default();
        self.context.retries.record_request();
        while Instant::now() < self.deadline {
            if progress.tries > 0 && !self.may_retry(&progress) {
                break;
            }
            progress.tries += 1;
            match self.try_shards(&mut progress).await {
                TryEnd::Done(result) => return result,
                TryEnd::Again | TryEnd::Elsewhere => sleep(RETRY_PAUSE).await,
            }
        }
        Err(self.timed_out(&progress))
    }

    /// Tells whether another try may be made; waiting for an owner is free, asking again is not.
    fn may_retry(&self, progress: &RequestProgress) -> bool {
        let asked = progress.failed_attempt.is_some();
        if asked {
            self.context.metrics.count_retry();
        }
        !asked || progress.may_have_run || self.context.retries.try_spend()
    }

    /// Asks each shard that may take the request.
    async fn try_shards(&self, progress: &mut RequestProgress) -> TryEnd {
        let shards = match (&progress.held_by, self.work.home()) {
            (Some(shard), _) => vec![shard.clone()],
            (None, Some(home)) if self.homed => vec![home],
            _ => self.context.router.view().candidates(),
        };
        for shard in shards {
            match self.try_shard(&shard, progress).await {
                TryEnd::Elsewhere => {}
                end => return end,
            }
        }
        match progress.last_refusal.clone() {
            Some(report) if is_final(&report) => TryEnd::Done(Err(report)),
            _ => TryEnd::Again,
        }
    }

    async fn try_shard(&self, shard: &ShardName, progress: &mut RequestProgress) -> TryEnd {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        let request = PlaceRequest {
            work: self.work.clone(),
            team: self.team.clone(),
            workload: self.workload.clone(),
            non_idempotent: self.non_idempotent,
            remaining_ms: u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX),
            failed_attempt: progress.failed_attempt,
        };
        let time = if self.homed {
            remaining.min(TRY_TIME)
        } else {
            remaining
        } + ANSWER_ALLOWANCE;
        let sent = self
            .context
            .router
            .send(shard, ShardCommand::Place(request), time)
            .await;
        match sent {
            Ok(ShardReply::Ticket(ticket)) => self.use_ticket(shard, ticket, progress).await,
            Ok(ShardReply::Refused(refusal)) => {
                let retry = matches!(
                    refusal.code,
                    RefusalCode::NotOwner | RefusalCode::StartsSuspended
                );
                let elsewhere =
                    refusal.code.is_shard_specific() && !self.homed && progress.held_by.is_none();
                let report = ProblemReport::from(refusal).with_id(self.work.as_str());
                progress.last_refusal = Some(report.clone());
                match (elsewhere, retry) {
                    (true, _) => TryEnd::Elsewhere,
                    (false, true) => TryEnd::Again,
                    (false, false) => TryEnd::Done(Err(progress.truthful(report))),
                }
            }
            Err(RouteError::NoOwner | RouteError::NoAnswer)
                if progress.held_by.is_none() && !self.homed =>
            {
                TryEnd::Elsewhere
            }
            Ok(_) | Err(_) => TryEnd::Again,
        }
    }

    /// Sends the request to the upstream, or fetches the answer of an attempt that has started.
    async fn use_ticket(
        &self,
        shard: &ShardName,
        ticket: AttemptTicket,
        progress: &mut RequestProgress,
    ) -> TryEnd {
        progress.held_by = Some(shard.clone());
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        let upstreams = &self.context.upstreams;
        let result = if ticket.started {
            upstreams.answer(&ticket, remaining).await
        } else {
            upstreams.run(&ticket, self.body.clone(), remaining).await
        };
        match result {
            Ok(answer) => {
                self.report(shard, &ticket, answer.failed);
                TryEnd::Done(Ok(answer))
            }
            Err(fault) => {
                let started = ticket.started || fault != AttemptError::Refused;
                progress.may_have_run |= started;
                progress.failed_attempt = Some(ticket.ticket.attempt);
                TryEnd::Again
            }
        }
    }

    /// Tells the owner that the attempt has ended, without waiting for it.
    fn report(&self, shard: &ShardName, ticket: &AttemptTicket, failed: bool) {
        let Some(task) = TaskId::parse(&ticket.ticket.task) else {
            return;
        };
        let end = if failed {
            AttemptEnd::Failed
        } else {
            AttemptEnd::Completed
        };
        let attempt = AttemptId {
            task,
            number: ticket.ticket.attempt,
        };
        let command = ShardCommand::Report(AttemptReport { attempt, end });
        let (router, shard) = (self.context.router.clone(), shard.clone());
        tokio::spawn(async move {
            let _ = router.send(&shard, command, TRY_TIME).await;
        });
    }

    /// Returns the error of a request whose time is over.
    fn timed_out(&self, progress: &RequestProgress) -> ProblemReport {
        let known = progress
            .last_refusal
            .clone()
            .filter(|_| !progress.may_have_run);
        let detail = "the time for the request is over, or its retries are";
        let report = known.unwrap_or_else(|| ProblemReport::not_run(ProblemCode::NoOwner, detail));
        progress.truthful(report).with_id(self.work.as_str())
    }
}

impl RequestProgress {
    /// Returns the report, with an unknown outcome if an attempt may have run.
    fn truthful(&self, report: ProblemReport) -> ProblemReport {
        let not_run = report.outcome == lagoonnotch_wire::caller::WorkOutcome::NotRun;
        if self.may_have_run && not_run {
            ProblemReport::unknown(ProblemCode::OutcomeUnknown, report.detail)
        } else {
            report
        }
    }
}

/// Tells whether waiting would not change the refusal.
fn is_final(report: &ProblemReport) -> bool {
    !matches!(
        report.code,
        ProblemCode::NoOwner | ProblemCode::StartsSuspended
    )
}
