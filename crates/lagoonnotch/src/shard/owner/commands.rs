//! Handling of commands from entry hosts.

use std::sync::Arc;

use crate::journal::{AcceptedWork, JournalRecord, TaskOutcome};
use crate::model::{AttemptId, TaskId, TeamName, WorkId};
use crate::shard::messages::{
    AttemptEnd, AttemptReport, CommandId, PlaceRequest, Refusal, RefusalCode, ShardCommand,
    ShardReply, WorkAnswer,
};
use crate::shard::owner::commits::FollowUp;
use crate::shard::owner::settle::EndedAttempt;
use crate::shard::owner::state::{WorkTimer, unplaced_refusal};
use crate::shard::owner::work_entry::{JobLocation, TaskPhase, WorkEntry};
use crate::shard::owner::{OwnerState, StepContext};

/// Time after which a command about a job that is being handed over may be retried, in
/// milliseconds.
const HANDOVER_RETRY_AFTER_MS: u64 = 500;

impl OwnerState {
    /// Handles a command.
    pub(in crate::shard) fn handle_command(
        &mut self,
        context: &mut StepContext<'_>,
        command_id: CommandId,
        command: ShardCommand,
    ) {
        match command {
            ShardCommand::Place(request) => self.place_request(context, command_id, &request),
            ShardCommand::Submit(accepted) => self.submit_job(context, command_id, accepted),
            ShardCommand::Probe(accepted) => self.probe(context, command_id, &accepted),
            ShardCommand::Adopt(accepted) => self.adopt_job(context, command_id, accepted),
            ShardCommand::Show { work, .. }
            | ShardCommand::Cancel { work, .. }
            | ShardCommand::Answer { work, .. }
                if self.is_handed_over(&work) =>
            {
                self.redirect(context, command_id, &work);
            }
            ShardCommand::Show { work, team } => match self.find_job(&work, &team) {
                Ok(entry) => context
                    .effects
                    .reply(command_id, ShardReply::Status(entry.status())),
                Err(refusal) => context.effects.refuse(command_id, refusal),
            },
            ShardCommand::Cancel { work, team } => {
                self.cancel_job(context, command_id, &work, &team);
            }
            ShardCommand::Answer { work, team, index } => {
                match self.find_answer(context, &work, &team, index) {
                    Ok(answer) => context
                        .effects
                        .reply(command_id, ShardReply::Answer(answer)),
                    Err(refusal) => context.effects.refuse(command_id, refusal),
                }
            }
            ShardCommand::Report(report) => {
                self.apply_report(context, &report);
                context.effects.reply(command_id, ShardReply::Noted);
            }
        }
    }

    /// Adds a work item whose tasks are all waiting.
    pub(super) fn insert_work(&mut self, accepted: AcceptedWork, wait_until_ms: u64) {
        self.next_sequence += 1;
        let work = accepted.id.clone();
        self.works.insert(
            work,
            WorkEntry::new(accepted, self.next_sequence, wait_until_ms),
        );
    }

    /// Refuses the commands that have waited for a quick request until its deadline, and ends the
    /// request if it is not placed.
    pub(super) fn expire_deadlines(&mut self, context: &mut StepContext<'_>) {
        while let Some(timer) = self
            .deadlines
            .first()
            .filter(|timer| timer.at_ms <= context.now_ms)
            .cloned()
        {
            self.deadlines.remove(&timer);
            let Some(work) = self.works.get_mut(&timer.work) else {
                continue;
            };
            if work.wait_until_ms > context.now_ms {
                continue;
            }
            let refusal = unplaced_refusal(
                work,
                RefusalCode::DeadlineExceeded,
                "the time for the request is over",
            );
            for command_id in work.waiters.drain(..) {
                context.effects.refuse(command_id, refusal.clone());
            }
            if work.tasks[0].phase() == TaskPhase::Waiting {
                self.abandon(context, &timer.work);
            }
        }
    }

    /// Ends a waiting quick request that no command waits for.
    pub(super) fn abandon(&mut self, context: &mut StepContext<'_>, work: &WorkId) {
        let task = TaskId {
            work: work.clone(),
            index: 0,
        };
        self.queue.remove(&task);
        let in_journal = self.works.get(work).is_some_and(|entry| entry.in_journal);
        if in_journal {
            self.settle_task(context, &task, TaskOutcome::NotRun, None, None);
        } else {
            self.works.remove(work);
        }
    }

    fn place_request(
        &mut self,
        context: &mut StepContext<'_>,
        command_id: CommandId,
        request: &PlaceRequest,
    ) {
        if let Some(entry) = self.works.get(&request.work) {
            if entry.accepted.team != request.team {
                let refusal = Refusal::not_run(
                    RefusalCode::OtherTeam,
                    "the identifier belongs to another team",
                );
                return context.effects.refuse(command_id, refusal);
            }
            let task = &entry.tasks[0];
            let failed =
                request.failed_attempt.is_some() && request.failed_attempt == task.attempt_number();
            let answer_gone =
                failed && task.phase() == TaskPhase::Settled && !entry.needs_journal();
            if answer_gone || task.outcome == Some(TaskOutcome::NotRun) {
                self.forget_work(&request.work);
            } else {
                return self.join_request(context, command_id, request);
            }
        }
        match self.admit_request(context, request) {
            Ok(accepted) => {
                let wait_until_ms = context.now_ms + request.remaining_ms;
                self.insert_work(accepted, wait_until_ms);
                self.deadlines.insert(WorkTimer {
                    at_ms: wait_until_ms,
                    work: request.work.clone(),
                });
                self.add_waiter(&request.work, command_id);
                self.enqueue_work(&request.work, context.now_ms);
            }
            Err(refusal) => context.effects.refuse(command_id, refusal),
        }
    }

    /// Adds a command to the waiters of a request that is already known.
    fn join_request(
        &mut self,
        context: &mut StepContext<'_>,
        command_id: CommandId,
        request: &PlaceRequest,
    ) {
        let wait_until_ms = context.now_ms + request.remaining_ms;
        self.add_waiter(&request.work, command_id);
        self.deadlines.insert(WorkTimer {
            at_ms: wait_until_ms,
            work: request.work.clone(),
        });
        let Some(entry) = self.works.get_mut(&request.work) else {
            return;
        };
        entry.wait_until_ms = entry.wait_until_ms.max(wait_until_ms);
        let task = &entry.tasks[0];
        let failed =
            request.failed_attempt.is_some() && request.failed_attempt == task.attempt_number();
        match task.phase() {
            TaskPhase::Starting | TaskPhase::Running if failed => {
                let task = entry.task_id(0);
                self.revoke_attempt(context, &task);
            }
            TaskPhase::Starting | TaskPhase::Running | TaskPhase::Settled => {
                self.reply_with_outcome(context, &request.work);
            }
            TaskPhase::Waiting | TaskPhase::Intending | TaskPhase::Doubtful => {}
        }
    }

    /// Replies to the commands that wait for a quick request that is running or has ended.
    pub(super) fn reply_with_outcome(&mut self, context: &mut StepContext<'_>, work: &WorkId) {
        let Some(entry) = self.works.get(work) else {
            return;
        };
        let task = &entry.tasks[0];
        let refusal = match task.outcome {
            Some(TaskOutcome::Unknown) => Refusal::unknown(
                RefusalCode::OutcomeUnknown,
                "the request may or may not have run",
            ),
            Some(TaskOutcome::Cancelled) => {
                Refusal::unknown(RefusalCode::Cancelled, "the work was cancelled")
            }
            Some(TaskOutcome::NotRun) => {
                Refusal::not_run(RefusalCode::DeadlineExceeded, "the request did not run")
            }
            _ => Refusal::done(RefusalCode::AnswerGone, "the answer is no longer kept"),
        };
        let ended = task.phase() == TaskPhase::Settled;
        let answer_kept = matches!(
            task.outcome,
            None | Some(TaskOutcome::Completed | TaskOutcome::Failed)
        );
        let reply = match self.ticket(context, &entry.task_id(0), true) {
            Some(ticket) if answer_kept => ShardReply::Ticket(ticket),
            _ if ended => ShardReply::Refused(refusal),
            _ => return,
        };
        self.reply_to_waiters(context.effects, work, &reply);
    }

    fn add_waiter(&mut self, work: &WorkId, command_id: CommandId) {
        if let Some(entry) = self.works.get_mut(work) {
            entry.waiters.push(command_id);
        }
    }

    /// Returns whether a job was handed over to another shard, or is being handed over.
    fn is_handed_over(&self, work: &WorkId) -> bool {
        self.works
            .get(work)
            .is_some_and(|entry| entry.location != JobLocation::Local)
    }

    /// Replies to a command about a job that was, or is being, handed over.
    fn redirect(&self, context: &mut StepContext<'_>, command_id: CommandId, work: &WorkId) {
        let location = self.works.get(work).map(|entry| &entry.location);
        if let Some(JobLocation::Moved(to)) = location {
            return context
                .effects
                .reply(command_id, ShardReply::MovedTo(to.clone()));
        }
        let refusal = Refusal::unknown(RefusalCode::NotOwner, "the job is being handed over");
        context
            .effects
            .refuse(command_id, refusal.retry_after(HANDOVER_RETRY_AFTER_MS));
    }

    fn find_job(&self, work: &WorkId, team: &TeamName) -> Result<&WorkEntry, Refusal> {
        let entry = self
            .works
            .get(work)
            .filter(|entry| entry.accepted.team == *team);
        entry.ok_or_else(|| {
            Refusal::unknown(
                RefusalCode::UnknownWork,
                format!("team {team} has no job {work}, or no longer"),
            )
        })
    }

    fn cancel_job(
        &mut self,
        context: &mut StepContext<'_>,
        command_id: CommandId,
        work: &WorkId,
        team: &TeamName,
    ) {
        let entry = match self.find_job(work, team) {
            Ok(entry) => entry,
            Err(refusal) => return context.effects.refuse(command_id, refusal),
        };
        if entry.is_settled() {
            let status = entry.status();
            return context
                .effects
                .reply(command_id, ShardReply::Status(status));
        }
        self.add_waiter(work, command_id);
        let record = JournalRecord::Cancelled { work: work.clone() };
        self.append(record, Some(FollowUp::ApplyCancel(work.clone())));
    }

    /// Stops the tasks of a cancelled job and replies to the cancel commands.
    pub(super) fn apply_cancel(&mut self, context: &mut StepContext<'_>, work: &WorkId) {
        let Some(entry) = self.works.get_mut(work) else {
            return;
        };
        entry.cancelled = true;
        let tasks: Vec<TaskId> = (0..entry.accepted.tasks)
            .map(|index| entry.task_id(index))
            .collect();
        for task in tasks {
            self.cancel_task(context, &task);
        }
        if let Some(entry) = self.works.get(work) {
            let reply = ShardReply::Status(entry.status());
            self.reply_to_waiters(context.effects, work, &reply);
        }
    }

    fn cancel_task(&mut self, context: &mut StepContext<'_>, task: &TaskId) {
        let Some(entry) = self.task(task) else {
            return;
        };
        match entry.phase() {
            TaskPhase::Waiting => {
                self.settle_task(context, task, TaskOutcome::Cancelled, None, None);
            }
            TaskPhase::Starting | TaskPhase::Running => self.order_stop(task),
            TaskPhase::Intending | TaskPhase::Doubtful | TaskPhase::Settled => {}
        }
    }

    fn find_answer(
        &self,
        context: &StepContext<'_>,
        work: &WorkId,
        team: &TeamName,
        index: u32,
    ) -> Result<WorkAnswer, Refusal> {
        let entry = self.find_job(work, team)?;
        let Some(task) = entry.tasks.get(index as usize) else {
            let detail = format!("job {work} has {} tasks", entry.accepted.tasks);
            return Err(Refusal::unknown(RefusalCode::UnknownWork, detail));
        };
        match (task.outcome, &task.answer) {
            (_, Some(answer)) => Ok(WorkAnswer::Inline(answer.clone())),
            (None, None) => Err(Refusal::unknown(
                RefusalCode::NotFinished,
                "the task has not ended",
            )),
            (Some(TaskOutcome::Completed), None) => {
                let ticket = self.ticket(context, &entry.task_id(index), true);
                let gone = Refusal::done(RefusalCode::AnswerGone, "the answer is no longer kept");
                ticket.map(WorkAnswer::AtUpstream).ok_or(gone)
            }
            (Some(TaskOutcome::Failed), None) => {
                Err(Refusal::done(RefusalCode::TaskFailed, "the task failed"))
            }
            (Some(TaskOutcome::Cancelled), None) => Err(Refusal::unknown(
                RefusalCode::Cancelled,
                "the job was cancelled",
            )),
            (Some(TaskOutcome::Unknown), None) => Err(Refusal::unknown(
                RefusalCode::OutcomeUnknown,
                "the task may or may not have run",
            )),
            (Some(TaskOutcome::NotRun), None) => Err(Refusal::not_run(
                RefusalCode::Cancelled,
                "the task did not run",
            )),
        }
    }

    /// Applies the report of an attempt whose complete answer an entry host has received.
    fn apply_report(&mut self, context: &mut StepContext<'_>, report: &AttemptReport) {
        if self.task_of_attempt(&report.attempt).is_none() {
            return;
        }
        let outcome = match report.end {
            AttemptEnd::Completed => TaskOutcome::Completed,
            AttemptEnd::Failed => TaskOutcome::Failed,
        };
        self.end_attempt(context, &report.attempt, outcome, None);
    }

    /// Ends a task's current attempt and the task with it.
    pub(super) fn end_attempt(
        &mut self,
        context: &mut StepContext<'_>,
        attempt: &AttemptId,
        outcome: TaskOutcome,
        answer: Option<Arc<str>>,
    ) {
        let Some(upstream) = self.attempt_upstream(attempt) else {
            return;
        };
        self.release_reservation(&upstream, attempt);
        self.settle_task(
            context,
            &attempt.task,
            outcome,
            answer,
            Some(EndedAttempt {
                upstream,
                attempt: attempt.clone(),
            }),
        );
    }
}
