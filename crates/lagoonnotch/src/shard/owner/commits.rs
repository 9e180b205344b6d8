//! Group commits and what follows them.

use lagoonnotch_wire::store::{StoreCall, StoreReply};

use crate::journal::{AcceptedWork, CommitResult, JournalRecord, PendingRecord, SegmentWrite};
use crate::model::{AttemptId, TaskId, UpstreamName, WorkId};
use crate::shard::effect_desk::CallPurpose;
use crate::shard::messages::{CallFailure, ShardReply};
use crate::shard::owner::work_entry::{TaskEvent, TaskPhase};
use crate::shard::owner::{OwnerState, StepContext};

/// What follows once a record is committed.
#[derive(Clone, Debug)]
pub(super) enum FollowUp {
    /// The job lasts, and its tasks may be placed.
    AcceptJob(AcceptedWork),
    /// The attempt may start.
    Permit(AttemptId),
    /// The upstream may forget the attempt.
    Acknowledge {
        upstream: UpstreamName,
        attempt: AttemptId,
    },
    /// The job is sent to the shard that it is offered to.
    Offer(WorkId),
    /// The job's tasks are stopped.
    ApplyCancel(WorkId),
}

impl FollowUp {
    /// Returns the job whose acceptance the record holds.
    pub fn submitted(&self) -> Option<WorkId> {
        match self {
            Self::AcceptJob(accepted) => Some(accepted.id.clone()),
            _ => None,
        }
    }
}

impl OwnerState {
    /// Adds a record to the journal.
    pub(super) fn append(&mut self, record: JournalRecord, follow_up: Option<FollowUp>) {
        self.journal.append(record, follow_up);
    }

    /// Writes the next segment if it is time and the ownership surely holds.
    pub(super) fn write_journal(&mut self, context: &mut StepContext<'_>) {
        if let Some(write) = self.journal.next_write(context.now_ms) {
            put_segment(context, write);
        }
    }

    /// Writes the present segment again after a call without an answer.
    pub(super) fn retry_journal(&mut self, context: &mut StepContext<'_>) {
        if self
            .journal_retry_ms
            .is_none_or(|retry_ms| context.now_ms < retry_ms)
        {
            return;
        }
        self.journal_retry_ms = None;
        if let Some(write) = self.journal.retry_write() {
            put_segment(context, write);
        }
    }

    /// Takes the result of a store call that belongs to the owner.
    pub(in crate::shard) fn store_result(
        &mut self,
        context: &mut StepContext<'_>,
        purpose: &CallPurpose,
        result: Result<StoreReply, CallFailure>,
    ) {
        match purpose {
            CallPurpose::WriteSegment => self.segment_written(context, &result),
            CallPurpose::Snapshot => self.snapshot_result(context, &result),
            CallPurpose::ReadLimits => self.limits_read(context, result),
            CallPurpose::ReadLimit { team } => self.limit_read(context, team, &result),
            CallPurpose::WriteLimit { team } => self.limit_written(context, team, &result),
            _ => {}
        }
    }

    fn segment_written(
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
                self.journal_retry_ms = Some(context.now_ms + context.timing.store_retry_ms);
                return;
            }
        };
        match commit {
            CommitResult::Committed(entries) => self.commit(context, entries),
            CommitResult::Deposed => {
                self.deposed = Some("another owner sealed the journal".to_owned());
            }
        }
    }

    fn commit(&mut self, context: &mut StepContext<'_>, entries: Vec<PendingRecord<FollowUp>>) {
        for entry in &entries {
            self.ledger.apply(&entry.record);
        }
        for entry in entries {
            match entry.follow_up {
                Some(FollowUp::AcceptJob(accepted)) => self.accept_job(context, accepted),
                Some(FollowUp::Permit(attempt)) => self.permit(context, &attempt),
                Some(FollowUp::Acknowledge { upstream, attempt }) => {
                    self.acknowledge(&upstream, &attempt);
                }
                Some(FollowUp::Offer(work)) => self.send_offer(context, &work),
                Some(FollowUp::ApplyCancel(work)) => self.apply_cancel(context, &work),
                None => {}
            }
        }
    }

    /// Takes an accepted job into the queue and answers its submitters.
    fn accept_job(&mut self, context: &mut StepContext<'_>, accepted: AcceptedWork) {
        let work = accepted.id.clone();
        let commands = self.submits.remove(&work).unwrap_or_default();
        self.insert_work(accepted, u64::MAX);
        if let Some(entry) = self.works.get_mut(&work) {
            entry.recorded = true;
        }
        self.enqueue_work(&work, context.now_ms);
        for command in commands {
            context
                .desk
                .reply(command, ShardReply::Accepted(work.clone()));
        }
    }

    /// Puts every waiting task of a work into the queue; a gang as one entry.
    pub(super) fn enqueue_work(&mut self, work: &WorkId, now_ms: u64) {
        let Some(entry) = self.works.get(work) else {
            return;
        };
        let tasks = entry.accepted.tasks;
        let waiting = |index: &u32| entry.tasks[*index as usize].phase() == TaskPhase::Waiting;
        let indexes: Vec<u32> = (0..tasks).filter(waiting).collect();
        let whole = entry.is_gang() && indexes.len() == entry.tasks.len();
        if whole {
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

    /// Lets an attempt start whose intent is committed, unless something changed meanwhile.
    fn permit(&mut self, context: &mut StepContext<'_>, attempt: &AttemptId) {
        let cancelled = self
            .works
            .get(&attempt.task.work)
            .is_some_and(|work| work.cancelled);
        let Some(task) = self
            .attempt_task(attempt)
            .filter(|task| task.phase() == TaskPhase::Intending)
        else {
            return;
        };
        let place = task.attempt.clone().expect("the attempt was just compared");
        let fence = self
            .upstreams
            .get(&place.upstream)
            .and_then(|entry| entry.fence.as_ref());
        let fenced = fence.is_some_and(|fence| {
            fence.number == place.fence && fence.incarnation == place.incarnation
        });
        if !context.may_start || !fenced || cancelled {
            self.return_attempt(context, attempt, false);
            return;
        }
        self.start_attempt(context, attempt);
    }

    /// Starts an attempt: sends a job's task, and hands a quick request its ticket.
    pub(super) fn start_attempt(&mut self, context: &mut StepContext<'_>, attempt: &AttemptId) {
        let Some(work) = self.works.get(&attempt.task.work) else {
            return;
        };
        let lasting = work.accepted.lasting;
        if !lasting && work.waiters.is_empty() {
            self.return_attempt(context, attempt, false);
            return;
        }
        let now_ms = context.now_ms;
        if let Some(task) = self.attempt_task(attempt) {
            task.advance(TaskEvent::Permit);
            if let Some(place) = &mut task.attempt {
                place.permitted_ms = now_ms;
            }
        }
        if lasting {
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
    context.desk.call_store(request, CallPurpose::WriteSegment);
}
