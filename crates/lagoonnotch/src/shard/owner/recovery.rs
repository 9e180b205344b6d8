//! Taking over what the previous owner left.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use lagoonnotch_wire::store::{StoreCall, StoreEntry, StoreReply};
use lagoonnotch_wire::upstream::HostEntry;

use crate::journal::{JournalState, JournalWriter, SnapshotHead, TaskState, WorkState};
use crate::model::{AttemptId, ResourceSize, TaskId, TeamName, UpstreamName, WorkId};
use crate::placement::CapacityIndex;
use crate::queue::WaitingQueue;
use crate::shard::effect_desk::CallPurpose;
use crate::shard::messages::CallFailure;
use crate::shard::owner::snapshots::SnapshotState;
use crate::shard::owner::state::WorkTimer;
use crate::shard::owner::upstream_entry::{Booking, UpstreamEntry};
use crate::shard::owner::work_entry::{JobPlace, TaskAttempt, TaskEvent, TaskPhase, WorkEntry};
use crate::shard::owner::{OwnerState, StepContext};
use crate::shard::timing::ShardTiming;

/// Time that a fence may take on its way, which adds to the wait for silent upstreams, in milliseconds.
const CALL_TIME_MS: u64 = 500;

/// Number of limit records that one call reads.
const LIMITS_PER_CALL: u64 = 100;

/// What a take-over read and sealed.
#[derive(Clone, Debug)]
pub(in crate::shard) struct RecoveredJournal {
    pub epoch: u64,
    pub ledger: JournalState,
    /// Number of the seal.
    pub through: u64,
    /// Keys and revisions of the segments since the snapshot.
    pub segments: Vec<StoreEntry>,
    pub head: Option<SnapshotHead>,
    /// Revision of the snapshot's head; 0 while there is none.
    pub head_revision: u64,
}

impl OwnerState {
    /// Builds the state from a sealed journal.
    pub(in crate::shard) fn recover(
        now_ms: u64,
        journal: RecoveredJournal,
        hosts: &BTreeMap<UpstreamName, HostEntry>,
        timing: &ShardTiming,
    ) -> Self {
        let upstreams = hosts
            .iter()
            .map(|(name, host)| (name.clone(), UpstreamEntry::new(host)))
            .collect();
        let mut state = Self {
            epoch: journal.epoch,
            sealed_ms: now_ms,
            attempts: 0,
            journal: JournalWriter::new(
                journal.epoch,
                journal.through + 1,
                timing.commit_interval_ms,
            ),
            journal_retry_ms: None,
            ledger: JournalState::default(),
            works: BTreeMap::new(),
            submits: BTreeMap::new(),
            next_sequence: 0,
            queue: WaitingQueue::default(),
            deadlines: BTreeSet::new(),
            retention: BTreeSet::new(),
            upstreams,
            capacity: ResourceSize::ZERO,
            index: CapacityIndex::default(),
            teams: BTreeMap::new(),
            limits_read: false,
            limits_after: String::new(),
            limits_retry_ms: None,
            uncommitted: BTreeSet::new(),
            snapshot: SnapshotState::new(journal.segments, journal.head, journal.head_revision),
            deposed: None,
            dirty: true,
            next_upkeep_ms: 0,
        };
        for work in journal.ledger.works.values() {
            state.restore_work(now_ms, work, timing);
        }
        state.ledger = journal.ledger;
        state.sum_capacity();
        state
    }

    /// Fences the upstreams and reads the limits.
    pub(in crate::shard) fn begin_recovery(&mut self, context: &mut StepContext<'_>) {
        self.contact_upstreams(context);
        self.read_limits(context);
    }

    /// Tells whether everything that the previous owner may have started is accounted for.
    pub(in crate::shard) fn is_recovered(&self, now_ms: u64, timing: &ShardTiming) -> bool {
        let wait_ms =
            timing.fence_ms.max(timing.task_lease_ms) + timing.drift_margin_ms + CALL_TIME_MS;
        let fenced = self.upstreams.values().all(|entry| entry.fence.is_some());
        self.limits_read && (fenced || now_ms >= self.sealed_ms + wait_ms)
    }

    /// Queues what waits.
    pub(in crate::shard) fn complete_recovery(&mut self, context: &mut StepContext<'_>) {
        let works: Vec<WorkId> = self.works.keys().cloned().collect();
        for work in works {
            let quick = self
                .works
                .get(&work)
                .is_some_and(|entry| !entry.accepted.lasting);
            let waits = self.works[&work]
                .tasks
                .iter()
                .any(|task| task.phase() == TaskPhase::Waiting);
            if quick && waits {
                self.abandon(context, &work);
            } else if waits && self.works[&work].place == JobPlace::Here {
                self.enqueue_work(&work, context.now_ms);
            }
            self.resume_cancel(context, &work);
        }
    }

    /// Reads the next records of team limits.
    pub(super) fn read_limits(&mut self, context: &mut StepContext<'_>) {
        let after = self.limits_after.clone();
        let request = StoreCall::Range {
            prefix: "limits/".to_owned(),
            after,
            limit: LIMITS_PER_CALL,
        };
        context.desk.call_store(request, CallPurpose::ReadLimits);
    }

    /// Takes the records of team limits.
    pub(super) fn limits_read(
        &mut self,
        context: &mut StepContext<'_>,
        result: Result<StoreReply, CallFailure>,
    ) {
        let Ok(StoreReply::Entries { entries, more }) = result else {
            self.limits_retry_ms = Some(context.now_ms + context.timing.store_retry_ms);
            return;
        };
        for entry in &entries {
            let team = TeamName::from(entry.key.trim_start_matches("limits/"));
            self.take_limit_entry(context, &team, Some(entry));
        }
        if let Some(last) = entries.last() {
            self.limits_after.clone_from(&last.key);
        }
        if more {
            self.read_limits(context);
        } else {
            self.limits_read = true;
        }
    }

    /// Reads the limits again after a call without an answer.
    pub(super) fn retry_limits(&mut self, context: &mut StepContext<'_>) {
        if self
            .limits_retry_ms
            .take_if(|retry_ms| context.now_ms >= *retry_ms)
            .is_some()
        {
            self.read_limits(context);
        }
    }

    fn resume_cancel(&mut self, context: &mut StepContext<'_>, work: &WorkId) {
        if self
            .works
            .get(work)
            .is_some_and(|entry| entry.cancelled && !entry.is_settled())
        {
            self.apply_cancel(context, work);
        }
    }

    fn restore_work(&mut self, now_ms: u64, work: &WorkState, timing: &ShardTiming) {
        self.next_sequence += 1;
        let id = work.accepted.id.clone();
        let mut entry = WorkEntry::new(work.accepted.clone(), self.next_sequence, 0);
        entry.recorded = true;
        entry.cancelled = work.cancelled;
        entry.place = restored_place(work);
        self.works.insert(id.clone(), entry);
        for (index, task) in (0..).zip(&work.tasks) {
            self.restore_task(
                now_ms,
                &TaskId {
                    work: id.clone(),
                    index,
                },
                task,
            );
        }
        let settled = self.works.get_mut(&id).filter(|entry| entry.is_settled());
        if let Some(entry) = settled {
            entry.settled_ms = Some(now_ms);
            let at_ms = now_ms + timing.lasting_retention_ms;
            self.retention.insert(WorkTimer { at_ms, work: id });
        }
    }

    fn restore_task(&mut self, now_ms: u64, id: &TaskId, task: &TaskState) {
        let Some(entry) = self.task(id) else {
            return;
        };
        entry.failures = task.failures();
        match task {
            TaskState::Waiting { .. } => {}
            TaskState::Settled { outcome, answer } => {
                entry.advance(TaskEvent::Settle);
                entry.outcome = Some(*outcome);
                entry.answer.clone_from(answer);
            }
            TaskState::Intended {
                number,
                upstream,
                incarnation,
                ..
            } => {
                self.restore_attempt(now_ms, id, *number, upstream, incarnation);
            }
        }
    }

    /// Books an attempt that may run, until its upstream tells or is gone.
    fn restore_attempt(
        &mut self,
        now_ms: u64,
        id: &TaskId,
        number: u64,
        upstream: &UpstreamName,
        incarnation: &Arc<str>,
    ) {
        let Some(entry) = self.task(id) else {
            return;
        };
        entry.advance(TaskEvent::Place);
        entry.advance(TaskEvent::Permit);
        entry.attempt = Some(TaskAttempt {
            number,
            upstream: upstream.clone(),
            incarnation: Arc::clone(incarnation),
            fence: 0,
            permitted_ms: now_ms,
            revoking: false,
        });
        let Some(work) = self.works.get(&id.work) else {
            return;
        };
        let booking = Booking {
            size: work.accepted.size,
            team: work.accepted.team.clone(),
            journaled: true,
        };
        let entry = self.upstreams.entry(upstream.clone());
        entry.or_insert_with(|| UpstreamEntry::unlisted(upstream.clone(), now_ms));
        self.book(
            upstream,
            &AttemptId {
                task: id.clone(),
                number,
            },
            booking,
        );
    }
}

/// Returns which shard is to start a job's tasks, from the journal.
///
/// A job that is cancelled here was cancelled before its offer was sent, since later commands go
/// to the other shard.
fn restored_place(work: &WorkState) -> JobPlace {
    match &work.offered_to {
        Some(to) if work.moved => JobPlace::Moved(to.clone()),
        Some(to) if !work.cancelled => JobPlace::Offered(to.clone()),
        _ => JobPlace::Here,
    }
}
