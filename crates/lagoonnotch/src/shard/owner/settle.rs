//! Ends of attempts and tasks.

use std::sync::Arc;

use crate::event::EventCode;
use crate::journal::{JournalRecord, TaskOutcome};
use crate::model::{AttemptId, TaskId, UpstreamName, WorkId};
use crate::shard::messages::{Refusal, RefusalCode, ShardReply};
use crate::shard::owner::commits::FollowUp;
use crate::shard::owner::state::WorkTimer;
use crate::shard::owner::upstream_entry::attempt_ref;
use crate::shard::owner::work_entry::{TaskEvent, TaskPhase};
use crate::shard::owner::{OwnerState, StepContext};

/// An attempt that ended, and the upstream that ran it.
#[derive(Clone, Debug)]
pub(super) struct EndedAttempt {
    pub upstream: UpstreamName,
    pub attempt: AttemptId,
}

impl OwnerState {
    /// Moves a task to its final state.
    ///
    /// If `ended` is given, its upstream is told to forget the attempt once the outcome is
    /// committed.
    pub(super) fn settle_task(
        &mut self,
        context: &mut StepContext<'_>,
        task: &TaskId,
        outcome: TaskOutcome,
        answer: Option<Arc<str>>,
        ended: Option<EndedAttempt>,
    ) {
        self.queue.remove(task);
        let Some(work) = self.works.get_mut(&task.work) else {
            return;
        };
        let in_journal = work.needs_journal() && work.in_journal;
        let Some(entry) = work.task(task.index) else {
            return;
        };
        if entry.phase() == TaskPhase::Settled && entry.outcome == Some(outcome) {
            return;
        }
        entry.advance(TaskEvent::Settle);
        entry.outcome = Some(outcome);
        entry.answer.clone_from(&answer);
        if outcome == TaskOutcome::Unknown {
            context
                .effects
                .log_event(EventCode::TaskUnknown, task.to_string());
        }
        if in_journal {
            self.record_settled(task, outcome, answer, ended);
        } else if let Some(ended) = ended {
            self.acknowledge(&ended.upstream, &ended.attempt);
        }
        self.finish_settled_work(context, &task.work);
    }

    fn record_settled(
        &mut self,
        task: &TaskId,
        outcome: TaskOutcome,
        answer: Option<Arc<str>>,
        ended: Option<EndedAttempt>,
    ) {
        let follow_up = ended.map(|ended| {
            self.uncommitted_ends.insert(ended.attempt.clone());
            FollowUp::Acknowledge {
                upstream: ended.upstream,
                attempt: ended.attempt,
            }
        });
        self.append(
            JournalRecord::Settled {
                task: task.clone(),
                outcome,
                answer,
            },
            follow_up,
        );
    }

    /// Starts the retention of a work item whose tasks have all ended, and replies to the commands
    /// that wait for a quick request.
    fn finish_settled_work(&mut self, context: &mut StepContext<'_>, work: &WorkId) {
        let Some(entry) = self.works.get_mut(work).filter(|entry| entry.is_settled()) else {
            return;
        };
        let is_job = entry.accepted.lasting;
        let retention_ms = if entry.needs_journal() {
            context.timing.durable_retention_ms
        } else {
            context.timing.quick_retention_ms
        };
        entry.settled_ms = Some(context.now_ms);
        self.retention_ends.insert(WorkTimer {
            at_ms: context.now_ms + retention_ms,
            work: work.clone(),
        });
        if !is_job {
            self.reply_with_outcome(context, work);
        }
    }

    /// Ends an attempt without an outcome for its task, which waits again.
    ///
    /// `failed` states whether the attempt ran and failed.
    pub(super) fn return_attempt(
        &mut self,
        context: &mut StepContext<'_>,
        attempt: &AttemptId,
        failed: bool,
    ) {
        let Some(upstream) = self.attempt_upstream(attempt) else {
            return;
        };
        self.release_reservation(&upstream, attempt);
        let Some(work) = self.works.get_mut(&attempt.task.work) else {
            return;
        };
        let (in_journal, cancelled, is_job) =
            (work.in_journal, work.cancelled, work.accepted.lasting);
        let abandoned = !is_job && work.waiters.is_empty();
        let max_attempts = work.accepted.max_attempts;
        let Some(entry) = work.task(attempt.task.index) else {
            return;
        };
        if !entry.advance(TaskEvent::Return) {
            return;
        }
        entry.attempt = None;
        entry.failures += u32::from(failed);
        let exhausted = failed && entry.failures >= max_attempts;
        if in_journal {
            self.append(
                JournalRecord::Returned {
                    attempt: attempt.clone(),
                    failed,
                },
                None,
            );
        }
        if cancelled {
            self.settle_task(context, &attempt.task, TaskOutcome::Cancelled, None, None);
        } else if exhausted {
            self.settle_task(context, &attempt.task, TaskOutcome::Failed, None, None);
        } else if abandoned {
            self.abandon(context, &attempt.task.work);
        } else {
            self.enqueue(&attempt.task, 1, context.now_ms);
        }
    }

    /// Ends an attempt that can no longer be followed, because its upstream is lost or no longer
    /// reports it.
    ///
    /// The task waits again if it is idempotent or its start was not permitted. Otherwise it
    /// becomes doubtful.
    pub(super) fn lose_attempt(&mut self, context: &mut StepContext<'_>, attempt: &AttemptId) {
        let idempotent = self
            .works
            .get(&attempt.task.work)
            .is_some_and(|work| work.accepted.idempotent);
        let Some(entry) = self.task_of_attempt(attempt) else {
            return;
        };
        if entry.phase() == TaskPhase::Intending {
            self.return_attempt(context, attempt, false);
            return;
        }
        entry.ran_before = true;
        if idempotent {
            self.return_attempt(context, attempt, false);
        } else {
            self.mark_doubtful(context, attempt);
        }
    }

    /// Marks a non-idempotent attempt as doubtful, because its end cannot be determined now.
    fn mark_doubtful(&mut self, context: &mut StepContext<'_>, attempt: &AttemptId) {
        let Some(upstream) = self.attempt_upstream(attempt) else {
            return;
        };
        self.release_reservation(&upstream, attempt);
        if let Some(entry) = self.upstreams.get_mut(&upstream) {
            entry.doubtful.insert(attempt.clone());
        }
        if let Some(entry) = self.task_of_attempt(attempt) {
            entry.advance(TaskEvent::Doubt);
        }
        let detail = format!(
            "attempt {} of {} can't be asked about",
            attempt.number, attempt.task
        );
        let refusal = Refusal::unknown(RefusalCode::OutcomeUnknown, detail);
        self.reply_to_waiters(
            context.effects,
            &attempt.task.work,
            &ShardReply::Refused(refusal),
        );
    }

    /// Returns the upstream of a task's current attempt.
    pub(super) fn attempt_upstream(&mut self, attempt: &AttemptId) -> Option<UpstreamName> {
        let entry = self.task_of_attempt(attempt)?;
        entry
            .attempt
            .as_ref()
            .map(|placement| placement.upstream.clone())
    }

    /// Tells an upstream with the next call that it may forget an attempt.
    pub(super) fn acknowledge(&mut self, upstream: &UpstreamName, attempt: &AttemptId) {
        self.uncommitted_ends.remove(attempt);
        if let Some(entry) = self.upstreams.get_mut(upstream) {
            let reference = attempt_ref(attempt);
            if !entry.to_acknowledge.contains(&reference) {
                entry.to_acknowledge.push(reference);
            }
        }
    }

    /// Forgets the work items whose retention has ended.
    pub(super) fn forget_ended_work(&mut self, context: &mut StepContext<'_>) {
        while let Some(timer) = self
            .retention_ends
            .first()
            .filter(|timer| timer.at_ms <= context.now_ms)
            .cloned()
        {
            self.retention_ends.remove(&timer);
            let settled = self
                .works
                .get(&timer.work)
                .is_some_and(super::work_entry::WorkEntry::is_settled);
            if settled {
                self.forget_work(&timer.work);
            }
        }
    }

    /// Forgets a work item.
    pub(super) fn forget_work(&mut self, work: &WorkId) {
        if let Some(entry) = self.works.remove(work)
            && entry.in_journal
        {
            self.append(JournalRecord::Forgotten { work: work.clone() }, None);
        }
    }
}
