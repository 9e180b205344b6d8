//! Group commits to the journal and their follow-up actions.

use lagoonnotch_wire::store::{StoreCall, StoreReply};

use crate::journal::{AcceptedWork, CommitResult, JournalRecord, PendingRecord, SegmentWrite};
use crate::model::{AttemptId, TaskId, UpstreamName, WorkId};
use crate::shard::effect_buffer::CallPurpose;
use crate::shard::messages::{CallFailure, ShardReply};
use crate::shard::owner::work_entry::{TaskEvent, TaskPhase};
use crate::shard::owner::{OwnerState, StepContext};

/// Action to take once a record is committed.
#[derive(Clone, Debug)]
pub(super) enum FollowUp {
    /// Enqueue the tasks of an accepted job and reply to its submitters.
    AcceptJob(AcceptedWork),
    /// Start the attempt.
    Permit(AttemptId),
    /// Let the upstream forget the attempt.
    Acknowledge {
        upstream: UpstreamName,
        attempt: AttemptId,
    },
    /// Send the job to the shard that it was offered to.
    Offer(WorkId),
    /// Stop the tasks of the cancelled job.
    ApplyCancel(WorkId),
}

impl FollowUp {
    /// Returns the job whose acceptance this follows, if any.
    pub fn accepted_job(&self) -> Option<WorkId> {
        match self {
            Self::AcceptJob(accepted) => Some(accepted.id.clone()),
            _ => None,
        }
    }
}

impl OwnerState {
    /// Appends a record to the journal.
    pub(super) fn append(&mut self, record: JournalRecord, follow_up: Option<FollowUp>) {
        self.journal.append(record, follow_up);
    }

    /// Writes the next segment if one is due.
    pub(super) fn write_journal(&mut self, context: &mut StepContext<'_>) {
        if let Some(write) = self.journal.next_write(context.now_ms) {
            put_segment(context, write);
        }
    }

    /// Repeats the write of a segment that got no reply, once its retry is due.
    pub(super) fn retry_journal(&mut self, context: &mut StepContext<'_>) {
        if self
            .journal_retry_at_ms
            .is_none_or(|retry_at_ms| context.now_ms < retry_at_ms)
        {
            return;
        }
        self.journal_retry_at_ms = None;
        if let Some(write) = self.journal.retry_write() {
            put_segment(context, write);
        }
    }

    /// Handles the result of a store call that the owner made.
    pub(in crate::shard) fn handle_store_result(
        &mut self,
        context: &mut StepContext<'_>,
        purpose: &CallPurpose,
        result: Result<StoreReply, CallFailure>,
    ) {
        match purpose {
            CallPurpose::WriteSegment => self.handle_segment_write(context, &result),
            CallPurpose::Snapshot => self.handle_snapshot_result(context, &result),
            CallPurpose::ReadLimits => self.handle_limits(context, result),
            CallPurpose::ReadLimit { team } => self.handle_limit_read(context, team, &result),
            CallPurpose::WriteLimit { team } => self.handle_limit_write(context, team, &result),
            _ => {}
        }
    }

    fn handle_segment_write(
        &mut self,
        context: &mut StepContext<'_>,
        result: &Result<StoreReply, CallFailure>,
    ) {
        let number = self.journal.committed_through() + 1;
        let commit = match result {
            Ok(StoreReply::Written { revision }) => {
                self.snapshot
                    .add_segment(context.keys.segment(number), *revision);
                self.journal.confirm_written()
            }
            Ok(StoreReply::Conflict { entry }) => {
                if let Some(entry) = entry {
                    self.snapshot.add_segment(entry.key.clone(), entry.revision);
                }
                self.journal.resolve_conflict(entry.as_ref())
            }
            _ => {
                self.journal_retry_at_ms =
                    Some(context.now_ms + context.timing.store_retry_delay_ms);
                return;
            }
        };
        match commit {
            CommitResult::Committed(entries) => self.apply_commit(context, entries),
            CommitResult::Superseded => {
                self.step_down_reason = Some("another owner sealed the journal".to_owned());
            }
        }
    }

    fn apply_commit(
        &mut self,
        context: &mut StepContext<'_>,
        entries: Vec<PendingRecord<FollowUp>>,
    ) {
        for entry in &entries {
            self.committed.apply(&entry.record);
        }
        for entry in entries {
            match entry.follow_up {
                Some(FollowUp::AcceptJob(accepted)) => self.accept_job(context, accepted),
                Some(FollowUp::Permit(attempt)) => self.permit_attempt(context, &attempt),
                Some(FollowUp::Acknowledge { upstream, attempt }) => {
                    self.acknowledge(&upstream, &attempt);
                }
                Some(FollowUp::Offer(work)) => self.send_offer(context, &work),
                Some(FollowUp::ApplyCancel(work)) => self.apply_cancel(context, &work),
                None => {}
            }
        }
    }

    /// Enqueues an accepted job and replies to its submitters.
    fn accept_job(&mut self, context: &mut StepContext<'_>, accepted: AcceptedWork) {
        let work = accepted.id.clone();
        let command_ids = self.pending_submissions.remove(&work).unwrap_or_default();
        self.insert_work(accepted, u64::MAX);
        if let Some(entry) = self.works.get_mut(&work) {
            entry.in_journal = true;
        }
        self.enqueue_work(&work, context.now_ms);
        for command_id in command_ids {
            context
                .effects
                .reply(command_id, ShardReply::Accepted(work.clone()));
        }
    }

    /// Enqueues every waiting task of a work item. A gang becomes one entry.
    pub(super) fn enqueue_work(&mut self, work: &WorkId, now_ms: u64) {
        let Some(entry) = self.works.get(work) else {
            return;
        };
        let tasks = entry.accepted.tasks;
        let waiting = |index: &u32| entry.tasks[*index as usize].phase() == TaskPhase::Waiting;
        let indexes: Vec<u32> = (0..tasks).filter(waiting).collect();
        let whole_gang = entry.is_gang() && indexes.len() == entry.tasks.len();
        if whole_gang {
            for index in indexes {
                self.queue.remove(&TaskId {
                    work: work.clone(),
                    index,
                });
            }
            self.enqueue(
                &TaskId {
                    work: work.clone(),
                    index: 0,
                },
                tasks,
                now_ms,
            );
            return;
        }
        for index in indexes {
            self.enqueue(
                &TaskId {
                    work: work.clone(),
                    index,
                },
                1,
                now_ms,
            );
        }
    }

    /// Starts an attempt whose intent is committed, unless its upstream was fenced again, its job
    /// was cancelled or starts are suspended.
    fn permit_attempt(&mut self, context: &mut StepContext<'_>, attempt: &AttemptId) {
        let cancelled = self
            .works
            .get(&attempt.task.work)
            .is_some_and(|work| work.cancelled);
        let Some(task) = self
            .task_of_attempt(attempt)
            .filter(|task| task.phase() == TaskPhase::Intending)
        else {
            return;
        };
        let placement = task
            .attempt
            .clone()
            .expect("the task was found by its current attempt");
        let fence = self
            .upstreams
            .get(&placement.upstream)
            .and_then(|entry| entry.fence.as_ref());
        let fenced = fence.is_some_and(|fence| {
            fence.number == placement.fence_number && fence.incarnation == placement.incarnation
        });
        if !context.may_start || !fenced || cancelled {
            self.return_attempt(context, attempt, false);
            return;
        }
        self.start_attempt(context, attempt);
    }

    /// Starts an attempt: sends a job's task to the upstream, or the ticket of a quick request to
    /// its waiters.
    pub(super) fn start_attempt(&mut self, context: &mut StepContext<'_>, attempt: &AttemptId) {
        let Some(work) = self.works.get(&attempt.task.work) else {
            return;
        };
        let is_job = work.accepted.lasting;
        if !is_job && work.waiters.is_empty() {
            self.return_attempt(context, attempt, false);
            return;
        }
        let now_ms = context.now_ms;
        if let Some(task) = self.task_of_attempt(attempt) {
            task.advance(TaskEvent::Permit);
            if let Some(placement) = &mut task.attempt {
                placement.permitted_ms = now_ms;
            }
        }
        if is_job {
            self.send_start(context, attempt);
        } else {
            self.issue_tickets(context, &attempt.task.work);
        }
    }
}

fn put_segment(context: &mut StepContext<'_>, write: SegmentWrite) {
    let key = context.keys.segment(write.number);
    let request = StoreCall::Put {
        key,
        value: write.value,
        expect: 0,
        lease: None,
    };
    context
        .effects
        .call_store(request, CallPurpose::WriteSegment);
}
