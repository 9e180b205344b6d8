//! Quick requests, whose callers wait for the answer.
//!
//! The entry host gets a start ticket from a shard owner, and then sends the request directly to
//! the upstream.

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

/// Pause between two tries.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Margin added to the time that an owner has for its reply.
const REPLY_MARGIN: Duration = Duration::from_millis(200);

/// Reply timeout of one try if only the home shard may run the request, and of the report of an
/// attempt's end. Other tries may use all the remaining time.
const TRY_TIMEOUT: Duration = Duration::from_secs(2);

/// A quick request in progress.
pub(super) struct QuickRequest {
    pub context: Arc<EntryContext>,
    pub work: WorkId,
    pub team: TeamName,
    pub workload: WorkloadName,
    pub non_idempotent: bool,
    /// Whether only the home shard may run the request.
    pub home_only: bool,
    pub body: Bytes,
    pub deadline: Instant,
}

/// Progress of a quick request.
#[derive(Debug, Default)]
struct RequestProgress {
    /// The shard that may have an attempt of the request; all further tries go to it.
    held_by: Option<ShardName>,
    failed_attempt: Option<u64>,
    /// Whether an attempt may have run.
    may_have_run: bool,
    last_refusal: Option<ProblemReport>,
    tries: u32,
}

/// Outcome of a try.
enum TryOutcome {
    /// Final result.
    Done(Result<AttemptAnswer, ProblemReport>),
    /// Try again after a pause.
    Retry,
    /// Try the next shard at once.
    NextShard,
}

impl QuickRequest {
    /// Runs the request and returns its complete answer.
    ///
    /// # Errors
    /// Fails when the request is refused, or when no answer arrives in time.
    pub async fn run(self) -> Result<AttemptAnswer, ProblemReport> {
        let mut progress = RequestProgress::default();
        self.context.retry_budget.record_request();
        while Instant::now() < self.deadline {
            if progress.tries > 0 && !self.may_retry(&progress) {
                break;
            }
            progress.tries += 1;
            match self.try_shards(&mut progress).await {
                TryOutcome::Done(result) => return result,
                TryOutcome::Retry | TryOutcome::NextShard => sleep(RETRY_INTERVAL).await,
            }
        }
        Err(self.timeout_problem(&progress))
    }

    /// Returns whether another try may be made.
    ///
    /// A retry after an attempt that can't have run is taken from the retry budget. Waiting for an
    /// owner is free, and so is a retry after an attempt that may have run, which asks for its
    /// outcome.
    fn may_retry(&self, progress: &RequestProgress) -> bool {
        let attempted = progress.failed_attempt.is_some();
        if attempted {
            self.context.metrics.count_retry();
        }
        !attempted || progress.may_have_run || self.context.retry_budget.try_spend()
    }

    /// Tries each shard that may run the request.
    async fn try_shards(&self, progress: &mut RequestProgress) -> TryOutcome {
        let shards = match (&progress.held_by, self.work.home()) {
            (Some(shard), _) => vec![shard.clone()],
            (None, Some(home)) if self.home_only => vec![home],
            _ => self.context.router.view().candidates(),
        };
        for shard in shards {
            match self.try_shard(&shard, progress).await {
                TryOutcome::NextShard => {}
                outcome => return outcome,
            }
        }
        match progress.last_refusal.clone() {
            Some(report) if is_permanent(&report) => TryOutcome::Done(Err(report)),
            _ => TryOutcome::Retry,
        }
    }

    async fn try_shard(&self, shard: &ShardName, progress: &mut RequestProgress) -> TryOutcome {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        let request = PlaceRequest {
            work: self.work.clone(),
            team: self.team.clone(),
            workload: self.workload.clone(),
            non_idempotent: self.non_idempotent,
            remaining_ms: u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX),
            failed_attempt: progress.failed_attempt,
        };
        let time_limit = if self.home_only {
            remaining.min(TRY_TIMEOUT)
        } else {
            remaining
        } + REPLY_MARGIN;
        let sent = self
            .context
            .router
            .send(shard, ShardCommand::Place(request), time_limit)
            .await;
        match sent {
            Ok(ShardReply::Ticket(ticket)) => self.run_attempt(shard, ticket, progress).await,
            Ok(ShardReply::Refused(refusal)) => {
                let retry = matches!(
                    refusal.code,
                    RefusalCode::NotOwner | RefusalCode::StartsSuspended
                );
                let next_shard = refusal.code.is_shard_specific()
                    && !self.home_only
                    && progress.held_by.is_none();
                let report = ProblemReport::from(refusal).with_id(self.work.as_str());
                progress.last_refusal = Some(report.clone());
                match (next_shard, retry) {
                    (true, _) => TryOutcome::NextShard,
                    (false, true) => TryOutcome::Retry,
                    (false, false) => TryOutcome::Done(Err(progress.with_actual_outcome(report))),
                }
            }
            Err(RouteError::NoOwner | RouteError::NoReply)
                if progress.held_by.is_none() && !self.home_only =>
            {
                TryOutcome::NextShard
            }
            Ok(_) | Err(_) => TryOutcome::Retry,
        }
    }

    /// Sends the request to the upstream, or fetches the answer of an attempt that may have started
    /// already.
    async fn run_attempt(
        &self,
        shard: &ShardName,
        ticket: AttemptTicket,
        progress: &mut RequestProgress,
    ) -> TryOutcome {
        progress.held_by = Some(shard.clone());
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        let upstream_client = &self.context.upstream_client;
        let result = if ticket.started {
            upstream_client.answer(&ticket, remaining).await
        } else {
            upstream_client
                .run(&ticket, self.body.clone(), remaining)
                .await
        };
        match result {
            Ok(answer) => {
                self.report_end(shard, &ticket, answer.failed);
                TryOutcome::Done(Ok(answer))
            }
            Err(error) => {
                let started = ticket.started || error != AttemptError::Refused;
                progress.may_have_run |= started;
                progress.failed_attempt = Some(ticket.ticket.attempt);
                TryOutcome::Retry
            }
        }
    }

    /// Reports the end of the attempt to the owner, without waiting for the reply.
    fn report_end(&self, shard: &ShardName, ticket: &AttemptTicket, failed: bool) {
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
            let _ = router.send(&shard, command, TRY_TIMEOUT).await;
        });
    }

    /// Returns the error for a request whose deadline passed or whose retries are exhausted.
    fn timeout_problem(&self, progress: &RequestProgress) -> ProblemReport {
        let known = progress
            .last_refusal
            .clone()
            .filter(|_| !progress.may_have_run);
        let detail = "the time for the request is over, or its retries are";
        let report = known.unwrap_or_else(|| ProblemReport::not_run(ProblemCode::NoOwner, detail));
        progress
            .with_actual_outcome(report)
            .with_id(self.work.as_str())
    }
}

impl RequestProgress {
    /// Returns the report, with the outcome changed to unknown if an attempt may have run.
    fn with_actual_outcome(&self, report: ProblemReport) -> ProblemReport {
        let not_run = report.outcome == lagoonnotch_wire::caller::WorkOutcome::NotRun;
        if self.may_have_run && not_run {
            ProblemReport::unknown(ProblemCode::OutcomeUnknown, report.detail)
        } else {
            report
        }
    }
}

/// Returns whether the refusal is final. Only a missing owner and suspended starts are expected to
/// pass.
fn is_permanent(report: &ProblemReport) -> bool {
    !matches!(
        report.code,
        ProblemCode::NoOwner | ProblemCode::StartsSuspended
    )
}
