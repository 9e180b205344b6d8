//! The state of an owner.

use std::collections::{BTreeMap, BTreeSet};

use lagoonnotch_wire::upstream::HostEntry;

use crate::journal::{JournalState, JournalWriter};
use crate::model::{AttemptId, ResourceSize, TaskId, TeamName, UpstreamName, WorkId};
use crate::placement::CapacityIndex;
use crate::queue::{WaitingEntry, WaitingQueue};
use crate::shard::effect_desk::EffectDesk;
use crate::shard::messages::{CommandId, Refusal, RefusalCode, ShardReply, ShardSummary};
use crate::shard::owner::StepContext;
use crate::shard::owner::commits::FollowUp;
use crate::shard::owner::snapshots::SnapshotState;
use crate::shard::owner::team_entry::TeamEntry;
use crate::shard::owner::upstream_entry::{Booking, UpstreamEntry};
use crate::shard::owner::work_entry::{TaskEntry, TaskPhase, WorkEntry};

/// A time at which a work needs attention.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct WorkTimer {
    pub at_ms: u64,
    pub work: WorkId,
}

/// Everything that one host knows as the owner of a shard.
#[derive(Clone, Debug)]
pub struct OwnerState {
    pub(super) epoch: u64,
    /// When the journal was sealed.
    pub(super) sealed_ms: u64,
    /// Number of attempts of this epoch so far.
    pub(super) attempts: u64,
    pub(super) journal: JournalWriter<FollowUp>,
    /// When to write the present segment again after a call without an answer.
    pub(super) journal_retry_ms: Option<u64>,
    /// The fold of the committed records.
    pub(super) ledger: JournalState,
    pub(super) works: BTreeMap<WorkId, WorkEntry>,
    /// Jobs whose acceptance is not committed yet.
    pub(super) submits: BTreeMap<WorkId, Vec<CommandId>>,
    pub(super) next_sequence: u64,
    pub(super) queue: WaitingQueue,
    /// Deadlines of quick requests.
    pub(super) deadlines: BTreeSet<WorkTimer>,
    /// Ends of retention.
    pub(super) retention: BTreeSet<WorkTimer>,
    pub(super) upstreams: BTreeMap<UpstreamName, UpstreamEntry>,
    /// Sum of the upstreams' capacities, by which shares are weighed.
    pub(super) capacity: ResourceSize,
    /// Exactly the placeable upstreams.
    pub(super) index: CapacityIndex,
    pub(super) teams: BTreeMap<TeamName, TeamEntry>,
    /// Whether the records of all limits are read.
    pub(super) limits_read: bool,
    pub(super) limits_after: String,
    pub(super) limits_retry_ms: Option<u64>,
    /// Ended attempts whose outcome is not committed yet; they are not acknowledged before.
    pub(super) uncommitted: BTreeSet<AttemptId>,
    pub(super) snapshot: SnapshotState,
    /// Why this owner has to step down.
    pub(super) deposed: Option<String>,
    /// Whether a task may have become placeable since the last pass.
    pub(super) dirty: bool,
    pub(super) next_upkeep_ms: u64,
}

impl OwnerState {
    /// Returns the epoch.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the committed ledger.
    #[must_use]
    pub fn ledger(&self) -> &JournalState {
        &self.ledger
    }

    /// Returns the number of waiting entries.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns what runs for a team and what may.
    #[must_use]
    pub fn team_usage(&self, team: &TeamName) -> Option<(ResourceSize, ResourceSize)> {
        self.teams
            .get(team)
            .map(|entry| (entry.running, entry.allotment))
    }

    /// Tells whether the journal is complete.
    pub(in crate::shard) fn is_idle(&self) -> bool {
        self.journal.is_idle()
    }

    /// Tells whether records wait to be written or tasks to be placed.
    pub(in crate::shard) fn is_busy(&self) -> bool {
        !self.journal.is_idle() || !self.queue.is_empty()
    }

    /// Takes the reason to step down, if there is one.
    pub(in crate::shard) fn take_deposed(&mut self) -> Option<String> {
        self.deposed.take()
    }

    /// Takes over the platform's list of the shard's upstreams.
    pub(in crate::shard) fn set_hosts(
        &mut self,
        now_ms: u64,
        hosts: &BTreeMap<UpstreamName, HostEntry>,
    ) {
        for (name, host) in hosts {
            let entry = self
                .upstreams
                .entry(name.clone())
                .or_insert_with(|| UpstreamEntry::new(host));
            entry.update(host);
        }
        for (name, entry) in &mut self.upstreams {
            if !hosts.contains_key(name) && entry.missing_since_ms.is_none() {
                entry.missing_since_ms = Some(now_ms);
            }
        }
        self.sum_capacity();
        let names: Vec<UpstreamName> = self.upstreams.keys().cloned().collect();
        for name in &names {
            self.reindex(name);
        }
    }

    /// Brings the sum of the capacities up to date.
    pub(super) fn sum_capacity(&mut self) {
        let capacities = self.upstreams.values().map(|entry| entry.capacity);
        self.capacity = capacities.fold(ResourceSize::ZERO, |sum, size| sum + size);
    }

    /// Does what is due at this time.
    pub(in crate::shard) fn tick(&mut self, context: &mut StepContext<'_>) {
        self.contact_upstreams(context);
        self.expire_deadlines(context);
        self.retry_limits(context);
        self.retry_journal(context);
        if context.owning && context.now_ms >= self.next_upkeep_ms {
            self.next_upkeep_ms = context.now_ms + UPKEEP_MS;
            self.revoke_unused_tickets(context);
            self.tend_allotments(context);
            self.tend_handover(context);
            self.forget_old_works(context);
            self.dirty = true;
        }
        self.write_journal(context);
    }

    /// Starts what can start and writes what is to be written; runs after every input.
    pub(in crate::shard) fn run(&mut self, context: &mut StepContext<'_>) {
        if self.dirty && context.may_start {
            self.dispatch(context);
        }
        self.write_journal(context);
        self.tend_snapshot(context);
    }

    /// Returns what the other entry hosts are told.
    pub(in crate::shard) fn summary(&self, now_ms: u64, starting: bool) -> ShardSummary {
        let capacity = self
            .upstreams
            .values()
            .filter(|entry| entry.placeable())
            .map(|entry| entry.capacity);
        let lacking = self.teams.iter().filter(|(_, entry)| entry.lacks());
        ShardSummary {
            free: self.index.total_free(),
            capacity: capacity.fold(ResourceSize::ZERO, |sum, size| sum + size),
            waiting: self.queue.len() as u64,
            starting,
            running: self
                .teams
                .iter()
                .map(|(team, entry)| (team.clone(), entry.running))
                .collect(),
            wanted_ms: lacking
                .map(|(team, entry)| (team.clone(), entry.wanted_for_ms(now_ms)))
                .collect(),
        }
    }

    /// Answers every command that waits, when the ownership ends.
    pub(in crate::shard) fn answer_waiters(&mut self, desk: &mut EffectDesk) {
        let unsent = self.journal.take_unsent();
        let never_sent: BTreeSet<WorkId> = unsent
            .iter()
            .filter_map(|entry| entry.follow_up.as_ref()?.submitted())
            .collect();
        for (work, commands) in std::mem::take(&mut self.submits) {
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
            for command in commands {
                desk.refuse(command, refusal.clone());
            }
        }
        for work in self.works.values_mut() {
            let refusal = end_refusal(work, RefusalCode::NotOwner, "the owner changed");
            for command in work.waiters.drain(..) {
                desk.refuse(command, refusal.clone());
            }
        }
    }

    /// Refuses the quick requests that still wait, when a hand-over begins.
    pub(in crate::shard) fn refuse_waiting(&mut self, context: &mut StepContext<'_>) {
        let waiting = self.works.values_mut().filter(|work| {
            !work.accepted.lasting
                && work
                    .tasks
                    .iter()
                    .all(|task| task.phase() == TaskPhase::Waiting)
        });
        for work in waiting {
            let refusal = end_refusal(work, RefusalCode::NotOwner, "the shard is handed over");
            for command in work.waiters.drain(..) {
                context.desk.refuse(command, refusal.clone());
            }
        }
    }

    /// Returns a task.
    pub(super) fn task(&mut self, task: &TaskId) -> Option<&mut TaskEntry> {
        self.works.get_mut(&task.work)?.task(task.index)
    }

    /// Returns a task whose present attempt has the given number.
    pub(super) fn attempt_task(&mut self, attempt: &AttemptId) -> Option<&mut TaskEntry> {
        self.task(&attempt.task)
            .filter(|task| task.attempt_number() == Some(attempt.number))
    }

    /// Puts a waiting task into the queue.
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
        self.dirty = true;
    }

    /// Books capacity at an upstream for an attempt.
    pub(super) fn book(&mut self, upstream: &UpstreamName, attempt: &AttemptId, booking: Booking) {
        let Some(entry) = self.upstreams.get_mut(upstream) else {
            return;
        };
        let team = booking.team.clone();
        let size = booking.size;
        if entry.book(attempt, booking) {
            self.teams.entry(team).or_default().running += size;
        }
        self.reindex(upstream);
    }

    /// Frees the capacity that an attempt holds at an upstream.
    pub(super) fn unbook(&mut self, upstream: &UpstreamName, attempt: &AttemptId) {
        let Some(booking) = self
            .upstreams
            .get_mut(upstream)
            .and_then(|entry| entry.unbook(attempt))
        else {
            return;
        };
        if let Some(team) = self.teams.get_mut(&booking.team) {
            team.running -= booking.size;
        }
        self.reindex(upstream);
        self.dirty = true;
    }

    /// Brings the index up to date with one upstream.
    pub(super) fn reindex(&mut self, upstream: &UpstreamName) {
        match self.upstreams.get(upstream) {
            Some(entry) if entry.placeable() => {
                let free = entry.free();
                self.index.set(upstream, free);
            }
            _ => self.index.remove(upstream),
        }
    }

    /// Answers the commands that wait for a work.
    pub(super) fn reply_waiters(
        &mut self,
        desk: &mut EffectDesk,
        work: &WorkId,
        reply: &ShardReply,
    ) {
        if let Some(work) = self.works.get_mut(work) {
            for command in work.waiters.drain(..) {
                desk.reply(command, reply.clone());
            }
        }
    }
}

/// Time between two rounds of upkeep, in milliseconds.
const UPKEEP_MS: u64 = 200;

/// Returns the true refusal for commands that wait for a quick request and get no place.
pub(super) fn end_refusal(work: &WorkEntry, code: RefusalCode, detail: &str) -> Refusal {
    let untouched = |task: &TaskEntry| {
        matches!(task.phase(), TaskPhase::Waiting | TaskPhase::Intending) && !task.ran_before
    };
    if work.tasks.iter().all(untouched) {
        Refusal::not_run(code, detail)
    } else {
        Refusal::unknown(RefusalCode::OutcomeUnknown, detail)
    }
}
