//! Recovery of the previous owner's state.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use lagoonnotch_wire::store::{StoreCall, StoreEntry, StoreReply};
use lagoonnotch_wire::upstream::HostEntry;

use crate::journal::{JournalState, JournalWriter, SnapshotHead, TaskState, WorkState};
use crate::model::{AttemptId, ResourceSize, TaskId, TeamName, UpstreamName, WorkId};
use crate::placement::CapacityIndex;
use crate::queue::WaitingQueue;
use crate::shard::effect_buffer::CallPurpose;
use crate::shard::messages::CallFailure;
use crate::shard::owner::snapshots::SnapshotState;
use crate::shard::owner::state::WorkTimer;
use crate::shard::owner::upstream_entry::{Reservation, UpstreamEntry};
use crate::shard::owner::work_entry::{
    AttemptPlacement, JobLocation, TaskEvent, TaskPhase, WorkEntry,
};
use crate::shard::owner::{OwnerState, StepContext};
use crate::shard::timing::ShardTiming;

/// Maximum time that a fence call may take to arrive, in milliseconds. It is added to the wait for
/// silent upstreams.
const MAX_FENCE_CALL_MS: u64 = 500;

/// Maximum number of limit records that one store call reads.
const LIMITS_PER_CALL: u64 = 100;

/// Journal that a takeover has read and sealed.
#[derive(Clone, Debug)]
pub(in crate::shard) struct RecoveredJournal {
    pub epoch: u64,
    pub state: JournalState,
    /// Number of the segment that holds the seal.
    pub last_segment: u64,
    /// Keys and revisions of the segments since the snapshot.
    pub segments: Vec<StoreEntry>,
    pub head: Option<SnapshotHead>,
    /// Revision of the snapshot's head; 0 if there is none.
    pub head_revision: u64,
}

impl OwnerState {
    /// Restores the owner's state from a sealed journal.
    pub(in crate::shard) fn recover(
        now_ms: u64,
        journal: RecoveredJournal,
        listed_upstreams: &BTreeMap<UpstreamName, HostEntry>,
        timing: &ShardTiming,
    ) -> Self {
        let upstreams = listed_upstreams
            .iter()
            .map(|(name, listed)| (name.clone(), UpstreamEntry::new(listed)))
            .collect();
        let mut state = Self {
            epoch: journal.epoch,
            sealed_ms: now_ms,
            attempt_count: 0,
            journal: JournalWriter::new(
                journal.epoch,
                journal.last_segment + 1,
                timing.commit_interval_ms,
            ),
            journal_retry_at_ms: None,
            committed: JournalState::default(),
            works: BTreeMap::new(),
            pending_submissions: BTreeMap::new(),
            next_sequence: 0,
            queue: WaitingQueue::default(),
            deadlines: BTreeSet::new(),
            retention_ends: BTreeSet::new(),
            upstreams,
            total_capacity: ResourceSize::ZERO,
            capacity_index: CapacityIndex::default(),
            teams: BTreeMap::new(),
            limits_loaded: false,
            limits_cursor: String::new(),
            limits_retry_at_ms: None,
            uncommitted_ends: BTreeSet::new(),
            snapshot: SnapshotState::new(journal.segments, journal.head, journal.head_revision),
            step_down_reason: None,
            dispatch_needed: true,
            next_maintenance_ms: 0,
        };
        for work in journal.state.works.values() {
            state.restore_work(now_ms, work, timing);
        }
        state.committed = journal.state;
        state.update_total_capacity();
        state
    }

    /// Starts the recovery: fences the upstreams and reads the limits.
    pub(in crate::shard) fn begin_recovery(&mut self, context: &mut StepContext<'_>) {
        self.contact_upstreams(context);
        self.read_limits(context);
    }

    /// Returns whether every attempt that the previous owner may have started is accounted for.
    pub(in crate::shard) fn is_recovered(&self, now_ms: u64, timing: &ShardTiming) -> bool {
        let wait_ms = timing.fence_ttl_ms.max(timing.task_lease_ttl_ms)
            + timing.clock_drift_margin_ms
            + MAX_FENCE_CALL_MS;
        let fenced = self.upstreams.values().all(|entry| entry.fence.is_some());
        self.limits_loaded && (fenced || now_ms >= self.sealed_ms + wait_ms)
    }

    /// Completes the recovery: enqueues waiting jobs, and ends waiting quick requests because no
    /// command waits for them any more.
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
            } else if waits && self.works[&work].location == JobLocation::Local {
                self.enqueue_work(&work, context.now_ms);
            }
            self.resume_cancel(context, &work);
        }
    }

    /// Reads the next page of limit records.
    pub(super) fn read_limits(&mut self, context: &mut StepContext<'_>) {
        let after = self.limits_cursor.clone();
        let request = StoreCall::Range {
            prefix: "limits/".to_owned(),
            after,
            limit: LIMITS_PER_CALL,
        };
        context.effects.call_store(request, CallPurpose::ReadLimits);
    }

    /// Handles a page of limit records.
    pub(super) fn handle_limits(
        &mut self,
        context: &mut StepContext<'_>,
        result: Result<StoreReply, CallFailure>,
    ) {
        let Ok(StoreReply::Entries { entries, more }) = result else {
            self.limits_retry_at_ms = Some(context.now_ms + context.timing.store_retry_delay_ms);
            return;
        };
        for entry in &entries {
            let team = TeamName::from(entry.key.trim_start_matches("limits/"));
            self.apply_stored_record(context, &team, Some(entry));
        }
        if let Some(last) = entries.last() {
            self.limits_cursor.clone_from(&last.key);
        }
        if more {
            self.read_limits(context);
        } else {
            self.limits_loaded = true;
        }
    }

    /// Repeats the read of limit records after a call that got no reply.
    pub(super) fn retry_limits(&mut self, context: &mut StepContext<'_>) {
        if self
            .limits_retry_at_ms
            .take_if(|retry_at_ms| context.now_ms >= *retry_at_ms)
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
        entry.in_journal = true;
        entry.cancelled = work.cancelled;
        entry.location = restored_location(work);
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
            let at_ms = now_ms + timing.durable_retention_ms;
            self.retention_ends.insert(WorkTimer { at_ms, work: id });
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

    /// Reserves capacity for an attempt that may be running, until its upstream reports it or is
    /// gone.
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
        entry.attempt = Some(AttemptPlacement {
            number,
            upstream: upstream.clone(),
            incarnation: Arc::clone(incarnation),
            fence_number: 0,
            permitted_ms: now_ms,
            revoking: false,
        });
        let Some(work) = self.works.get(&id.work) else {
            return;
        };
        let reservation = Reservation {
            size: work.accepted.size,
            team: work.accepted.team.clone(),
            needs_journal: true,
        };
        let entry = self.upstreams.entry(upstream.clone());
        entry.or_insert_with(|| UpstreamEntry::unlisted(upstream.clone(), now_ms));
        self.reserve(
            upstream,
            &AttemptId {
                task: id.clone(),
                number,
            },
            reservation,
        );
    }
}

/// Returns which shard starts a job's tasks, according to the journal.
///
/// An offered job whose cancellation is in the journal was cancelled before the offer was sent,
/// since commands for an offered job are refused. It remains in this shard.
fn restored_location(work: &WorkState) -> JobLocation {
    match &work.offered_to {
        Some(to) if work.moved => JobLocation::Moved(to.clone()),
        Some(to) if !work.cancelled => JobLocation::Offered(to.clone()),
        _ => JobLocation::Local,
    }
}
