//! The state of an owner.

use std::collections::{BTreeMap, BTreeSet};

use lagoonnotch_wire::upstream::HostEntry;

use crate::journal::{JournalState, JournalWriter};
use crate::model::{AttemptId, ResourceSize, TaskId, TeamName, UpstreamName, WorkId};
use crate::placement::CapacityIndex;
use crate::queue::{WaitingEntry, WaitingQueue};
use crate::shard::effect_buffer::EffectBuffer;
use crate::shard::messages::{CommandId, Refusal, RefusalCode, ShardReply, ShardSummary};
use crate::shard::owner::StepContext;
use crate::shard::owner::commits::FollowUp;
use crate::shard::owner::snapshots::SnapshotState;
use crate::shard::owner::team_entry::TeamEntry;
use crate::shard::owner::upstream_entry::{Reservation, UpstreamEntry};
use crate::shard::owner::work_entry::{TaskEntry, TaskPhase, WorkEntry};

/// Time of a work item's deadline or end of retention.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct WorkTimer {
    pub at_ms: u64,
    pub work: WorkId,
}

/// State that a host keeps as the owner of a shard.
#[derive(Clone, Debug)]
pub struct OwnerState {
    pub(super) epoch: u64,
    /// When the journal was sealed, in milliseconds.
    pub(super) sealed_ms: u64,
    /// Number of attempts started in this epoch.
    pub(super) attempt_count: u64,
    pub(super) journal: JournalWriter<FollowUp>,
    /// When to repeat the write of the current segment, if it got no reply, in milliseconds.
    pub(super) journal_retry_at_ms: Option<u64>,
    /// State formed by the committed journal records.
    pub(super) committed: JournalState,
    pub(super) works: BTreeMap<WorkId, WorkEntry>,
    /// Commands that await the commit of a job's acceptance.
    pub(super) pending_submissions: BTreeMap<WorkId, Vec<CommandId>>,
    pub(super) next_sequence: u64,
    pub(super) queue: WaitingQueue,
    /// Times until which commands wait for quick requests.
    pub(super) deadlines: BTreeSet<WorkTimer>,
    /// Ends of the retention of ended work.
    pub(super) retention_ends: BTreeSet<WorkTimer>,
    pub(super) upstreams: BTreeMap<UpstreamName, UpstreamEntry>,
    /// Sum of the upstreams' capacities; the basis of the teams' dominant shares.
    pub(super) total_capacity: ResourceSize,
    /// Free capacity of exactly the schedulable upstreams.
    pub(super) capacity_index: CapacityIndex,
    pub(super) teams: BTreeMap<TeamName, TeamEntry>,
    /// Whether the limit records of all teams were read.
    pub(super) limits_loaded: bool,
    pub(super) limits_cursor: String,
    pub(super) limits_retry_at_ms: Option<u64>,
    /// Ended attempts whose outcome is not committed yet. They must not be acknowledged before
    /// that.
    pub(super) uncommitted_ends: BTreeSet<AttemptId>,
    pub(super) snapshot: SnapshotState,
    /// Reason for which this owner has to step down, if any.
    pub(super) step_down_reason: Option<String>,
    /// Whether the queue has to be searched again, because tasks, capacity or allotment may have
    /// been added.
    pub(super) dispatch_needed: bool,
    pub(super) next_maintenance_ms: u64,
}

impl OwnerState {
    /// Returns the epoch of the ownership.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the state formed by the committed journal records.
    #[must_use]
    pub fn committed(&self) -> &JournalState {
        &self.committed
    }

    /// Returns the number of waiting entries.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns the resources reserved for a team in the shard, and its allotment.
    #[must_use]
    pub fn team_usage(&self, team: &TeamName) -> Option<(ResourceSize, ResourceSize)> {
        self.teams
            .get(team)
            .map(|entry| (entry.reserved, entry.allotment))
    }

    /// Returns whether every journal record is committed.
    pub(in crate::shard) fn is_journal_committed(&self) -> bool {
        self.journal.is_idle()
    }

    /// Returns whether records are not committed yet or tasks wait to be placed.
    pub(in crate::shard) fn has_pending_work(&self) -> bool {
        !self.journal.is_idle() || !self.queue.is_empty()
    }

    /// Removes and returns the reason to step down, if there is one.
    pub(in crate::shard) fn take_step_down_reason(&mut self) -> Option<String> {
        self.step_down_reason.take()
    }

    /// Applies the platform's list of the shard's upstreams.
    pub(in crate::shard) fn set_listed_upstreams(
        &mut self,
        now_ms: u64,
        listed_upstreams: &BTreeMap<UpstreamName, HostEntry>,
    ) {
        for (name, listed) in listed_upstreams {
            let entry = self
                .upstreams
                .entry(name.clone())
                .or_insert_with(|| UpstreamEntry::new(listed));
            entry.update(listed);
        }
        for (name, entry) in &mut self.upstreams {
            if !listed_upstreams.contains_key(name) && entry.missing_since_ms.is_none() {
                entry.missing_since_ms = Some(now_ms);
            }
        }
        self.update_total_capacity();
        let names: Vec<UpstreamName> = self.upstreams.keys().cloned().collect();
        for name in &names {
            self.reindex(name);
        }
    }

    /// Recomputes the sum of the upstreams' capacities.
    pub(super) fn update_total_capacity(&mut self) {
        let capacities = self.upstreams.values().map(|entry| entry.capacity);
        self.total_capacity = capacities.fold(ResourceSize::ZERO, |sum, size| sum + size);
    }

    /// Does the work that is due at this time.
    pub(in crate::shard) fn tick(&mut self, context: &mut StepContext<'_>) {
        self.contact_upstreams(context);
        self.expire_deadlines(context);
        self.retry_limits(context);
        self.retry_journal(context);
        if context.owning && context.now_ms >= self.next_maintenance_ms {
            self.next_maintenance_ms = context.now_ms + MAINTENANCE_INTERVAL_MS;
            self.revoke_unused_tickets(context);
            self.update_allotments(context);
            self.update_handover(context);
            self.forget_ended_work(context);
            self.dispatch_needed = true;
        }
        self.write_journal(context);
    }

    /// Places waiting tasks, writes pending records and continues a snapshot. Called in the phase
    /// owning after every input.
    pub(in crate::shard) fn process_pending(&mut self, context: &mut StepContext<'_>) {
        if self.dispatch_needed && context.may_start {
            self.dispatch(context);
        }
        self.write_journal(context);
        self.advance_snapshot(context);
    }

    /// Returns the summary for the other entry hosts.
    pub(in crate::shard) fn summary(&self, now_ms: u64, starting: bool) -> ShardSummary {
        let capacity = self
            .upstreams
            .values()
            .filter(|entry| entry.is_schedulable())
            .map(|entry| entry.capacity);
        let short_teams = self.teams.iter().filter(|(_, entry)| entry.is_short());
        ShardSummary {
            free: self.capacity_index.total_free(),
            capacity: capacity.fold(ResourceSize::ZERO, |sum, size| sum + size),
            waiting: self.queue.len() as u64,
            starting,
            running: self
                .teams
                .iter()
                .map(|(team, entry)| (team.clone(), entry.reserved))
                .collect(),
            wanted_ms: short_teams
                .map(|(team, entry)| (team.clone(), entry.shortage_ms(now_ms)))
                .collect(),
        }
    }

    /// Refuses every waiting command when the ownership ends, stating what is known about its work.
    pub(in crate::shard) fn refuse_pending_commands(&mut self, effects: &mut EffectBuffer) {
        let unsent = self.journal.take_unsent();
        let never_sent: BTreeSet<WorkId> = unsent
            .iter()
            .filter_map(|entry| entry.follow_up.as_ref()?.accepted_job())
            .collect();
        for (work, command_ids) in std::mem::take(&mut self.pending_submissions) {
            let refusal = if never_sent.contains(&work) {
                Refusal::not_run(
                    RefusalCode::NotOwner,
                    "the owner changed before the job was accepted",
                )
            } else {
                Refusal::unknown(
                    RefusalCode::OutcomeUnknown,
                    format!("job {work} may have been accepted"),
                )
            };
            for command_id in command_ids {
                effects.refuse(command_id, refusal.clone());
            }
        }
        for work in self.works.values_mut() {
            let refusal = unplaced_refusal(work, RefusalCode::NotOwner, "the owner changed");
            for command_id in work.waiters.drain(..) {
                effects.refuse(command_id, refusal.clone());
            }
        }
    }

    /// Refuses the quick requests that have not been placed, when the release of the shard begins.
    pub(in crate::shard) fn refuse_waiting_requests(&mut self, context: &mut StepContext<'_>) {
        let waiting = self.works.values_mut().filter(|work| {
            !work.accepted.lasting
                && work
                    .tasks
                    .iter()
                    .all(|task| task.phase() == TaskPhase::Waiting)
        });
        for work in waiting {
            let refusal = unplaced_refusal(work, RefusalCode::NotOwner, "the shard is handed over");
            for command_id in work.waiters.drain(..) {
                context.effects.refuse(command_id, refusal.clone());
            }
        }
    }

    /// Returns a task.
    pub(super) fn task(&mut self, task: &TaskId) -> Option<&mut TaskEntry> {
        self.works.get_mut(&task.work)?.task(task.index)
    }

    /// Returns the task of an attempt, if the attempt is the task's current one.
    pub(super) fn task_of_attempt(&mut self, attempt: &AttemptId) -> Option<&mut TaskEntry> {
        self.task(&attempt.task)
            .filter(|task| task.attempt_number() == Some(attempt.number))
    }

    /// Adds a waiting task to the queue, or a whole gang under its first task.
    pub(super) fn enqueue(&mut self, task: &TaskId, count: u32, now_ms: u64) {
        let Some(work) = self.works.get(&task.work) else {
            return;
        };
        let entry = WaitingEntry {
            task: task.clone(),
            size: work.accepted.size,
            count,
            sequence: work.sequence,
            since_ms: now_ms,
        };
        self.queue
            .push(work.accepted.class, &work.accepted.team, entry);
        self.dispatch_needed = true;
    }

    /// Reserves capacity at an upstream for an attempt.
    pub(super) fn reserve(
        &mut self,
        upstream: &UpstreamName,
        attempt: &AttemptId,
        reservation: Reservation,
    ) {
        let Some(entry) = self.upstreams.get_mut(upstream) else {
            return;
        };
        let team = reservation.team.clone();
        let size = reservation.size;
        if entry.reserve(attempt, reservation) {
            self.teams.entry(team).or_default().reserved += size;
        }
        self.reindex(upstream);
    }

    /// Releases the capacity that an attempt holds at an upstream.
    pub(super) fn release_reservation(&mut self, upstream: &UpstreamName, attempt: &AttemptId) {
        let Some(reservation) = self
            .upstreams
            .get_mut(upstream)
            .and_then(|entry| entry.release_reservation(attempt))
        else {
            return;
        };
        if let Some(team) = self.teams.get_mut(&reservation.team) {
            team.reserved -= reservation.size;
        }
        self.reindex(upstream);
        self.dispatch_needed = true;
    }

    /// Updates the capacity index for one upstream.
    pub(super) fn reindex(&mut self, upstream: &UpstreamName) {
        match self.upstreams.get(upstream) {
            Some(entry) if entry.is_schedulable() => {
                let free = entry.free();
                self.capacity_index.set(upstream, free);
            }
            _ => self.capacity_index.remove(upstream),
        }
    }

    /// Replies to the commands that wait for a work item.
    pub(super) fn reply_to_waiters(
        &mut self,
        effects: &mut EffectBuffer,
        work: &WorkId,
        reply: &ShardReply,
    ) {
        if let Some(work) = self.works.get_mut(work) {
            for command_id in work.waiters.drain(..) {
                effects.reply(command_id, reply.clone());
            }
        }
    }
}

/// Interval between two maintenance rounds, in milliseconds.
const MAINTENANCE_INTERVAL_MS: u64 = 200;

/// Returns the refusal for commands that wait for an unplaced quick request. It states whether the
/// request is known not to have run.
pub(super) fn unplaced_refusal(work: &WorkEntry, code: RefusalCode, detail: &str) -> Refusal {
    let not_started = |task: &TaskEntry| {
        matches!(task.phase(), TaskPhase::Waiting | TaskPhase::Intending) && !task.ran_before
    };
    if work.tasks.iter().all(not_started) {
        Refusal::not_run(code, detail)
    } else {
        Refusal::unknown(RefusalCode::OutcomeUnknown, detail)
    }
}
