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

/// An attempt at the upstream that ran it.
#[derive(Clone, Debug)]
pub(super) struct PlacedAttempt {
    pub upstream: UpstreamName,
    pub attempt: AttemptId,
}

impl OwnerState {
    /// Ends a task for good.
    ///
    /// The upstream of the attempt is told to forget it once the outcome is committed.
    pub(super) fn settle(
        &mut self,
        context: &mut StepContext<'_>,
        task: &TaskId,
        outcome: TaskOutcome,
        answer: Option<Arc<str>>,
        ended: Option<PlacedAttempt>,
    ) {
        self.queue.remove(task);
        let Some(work) = self.works.get_mut(&task.work) else {
            return;
        };
        let journaled = work.journaled() && work.recorded;
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
            context.desk.event(EventCode::TaskUnknown, task.to_string());
        }
        if journaled {
            self.record_settled(task, outcome, answer, ended);
        } else if let Some(ended) = ended {
            self.acknowledge(&ended.upstream, &ended.attempt);
        }
        self.work_progressed(context, &task.work);
    }

    fn record_settled(
        &mut self,
        task: &TaskId,
        outcome: TaskOutcome,
        answer: Option<Arc<str>>,
        ended: Option<PlacedAttempt>,
    ) {
        let follow_up = ended.map(|ended| {
            self.uncommitted.insert(ended.attempt.clone());
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

    /// Answers waiting commands and starts the retention once a work has ended.
    fn work_progressed(&mut self, context: &mut StepContext<'_>, work: &WorkId) {
        let Some(entry) = self.works.get_mut(work).filter(|entry| entry.is_settled()) else {
            return;
        };
        let lasting = entry.accepted.lasting;
        let kept_ms = if entry.journaled() {
            context.timing.lasting_retention_ms
        } else {
            context.timing.quick_retention_ms
        };
        entry.settled_ms = Some(context.now_ms);
        self.retention.insert(WorkTimer {
            at_ms: context.now_ms + kept_ms,
            work: work.clone(),
        });
        if !lasting {
            self.answer_joined(context, work);
        }
    }

    /// Ends an attempt without an outcome for its task, which waits again.
    ///
    /// `failed` tells that the attempt ran and failed.
    pub(super) fn return_attempt(
        &mut self,
        context: &mut StepContext<'_>,
        attempt: &AttemptId,
        failed: bool,
    ) {
        let Some(upstream) = self.attempt_upstream(attempt) else {
            return;
        };
        self.unbook(&upstream, attempt);
        let Some(work) = self.works.get_mut(&attempt.task.work) else {
            return;
        };
        let (recorded, cancelled, lasting) = (work.recorded, work.cancelled, work.accepted.lasting);
        let unwanted = !lasting && work.waiters.is_empty();
        let most = work.accepted.max_attempts;
        let Some(entry) = work.task(attempt.task.index) else {
            return;
        };
        if !entry.advance(TaskEvent::Return) {
            return;
        }
        entry.attempt = None;
        entry.failures += u32::from(failed);
        let exhausted = failed && entry.failures >= most;
        if recorded {
            self.append(
                JournalRecord::Returned {
                    attempt: attempt.clone(),
                    failed,
                },
                None,
            );
        }
        if cancelled {
            self.settle(context, &attempt.task, TaskOutcome::Cancelled, None, None);
        } else if exhausted {
            self.settle(context, &attempt.task, TaskOutcome::Failed, None, None);
        } else if unwanted {
            self.abandon(context, &attempt.task.work);
        } else {
            self.enqueue(&attempt.task, 1, context.now_ms);
        }
    }

    /// Ends an attempt that ran in part, or may have, at an upstream whose leases have run out.
    pub(super) fn lose_attempt(&mut self, context: &mut StepContext<'_>, attempt: &AttemptId) {
        let idempotent = self
            .works
            .get(&attempt.task.work)
            .is_some_and(|work| work.accepted.idempotent);
        let Some(entry) = self.attempt_task(attempt) else {
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
            self.doubt_attempt(context, attempt);
        }
    }

    /// Keeps a non-idempotent attempt whose end can't be known at present.
    fn doubt_attempt(&mut self, context: &mut StepContext<'_>, attempt: &AttemptId) {
        let Some(upstream) = self.attempt_upstream(attempt) else {
            return;
        };
        self.unbook(&upstream, attempt);
        if let Some(entry) = self.upstreams.get_mut(&upstream) {
            entry.doubtful.insert(attempt.clone());
        }
        if let Some(entry) = self.attempt_task(attempt) {
            entry.advance(TaskEvent::Doubt);
        }
        let detail = format!(
            "attempt {} of {} can't be asked about",
            attempt.number, attempt.task
        );
        let refusal = Refusal::unknown(RefusalCode::OutcomeUnknown, detail);
        self.reply_waiters(
            context.desk,
            &attempt.task.work,
            &ShardReply::Refused(refusal),
        );
    }

    /// Returns the upstream of a task's present attempt.
    pub(super) fn attempt_upstream(&mut self, attempt: &AttemptId) -> Option<UpstreamName> {
        let entry = self.attempt_task(attempt)?;
        entry.attempt.as_ref().map(|place| place.upstream.clone())
    }

    /// Lets an upstream forget an attempt.
    pub(super) fn acknowledge(&mut self, upstream: &UpstreamName, attempt: &AttemptId) {
        self.uncommitted.remove(attempt);
        if let Some(entry) = self.upstreams.get_mut(upstream) {
            let known = attempt_ref(attempt);
            if !entry.acknowledge.contains(&known) {
                entry.acknowledge.push(known);
            }
        }
    }

    /// Forgets the works whose retention is over.
    pub(super) fn forget_old_works(&mut self, context: &mut StepContext<'_>) {
        while let Some(timer) = self
            .retention
            .first()
            .filter(|timer| timer.at_ms <= context.now_ms)
            .cloned()
        {
            self.retention.remove(&timer);
            let settled = self
                .works
                .get(&timer.work)
                .is_some_and(super::work_entry::WorkEntry::is_settled);
            if settled {
                self.forget(&timer.work);
            }
        }
    }

    /// Forgets a work.
    pub(super) fn forget(&mut self, work: &WorkId) {
        if let Some(entry) = self.works.remove(work)
            && entry.recorded
        {
            self.append(JournalRecord::Forgotten { work: work.clone() }, None);
        }
    }
}
