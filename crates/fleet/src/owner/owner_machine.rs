//! State of the owner, and its inputs.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

use crate::model::{
    ApprovedConfig, QueuePolicy, ResourceSize, SubmissionRecord, SubmissionState, TaskName,
    UpstreamReport,
};
use crate::owner::advice_desk::AdviceDesk;
use crate::owner::commit_queue::CommitQueue;
use crate::owner::fleet_view::UpstreamSlot;
use crate::owner::ready_list::ReadyList;
use crate::owner::submission_entry::{SubmissionEntry, TaskEntry, TaskPhase};
use crate::owner::upstream_entry::{RunEntry, RunPhase, UpstreamEntry};
use crate::owner::{OwnerEffect, OwnerSettings, RosterEntry};

/// Part of an upstream's slowness that is forgotten with each of its reports.
const SLOWNESS_DECAY: f64 = 0.1;

/// Decides for the whole fleet while its host owns it.
#[derive(Debug)]
pub struct OwnerMachine {
    pub(super) settings: OwnerSettings,
    pub(super) epoch: u64,
    pub(super) generation: u32,
    pub(super) config: Arc<ApprovedConfig>,
    pub(super) evacuated: BTreeSet<Arc<str>>,
    pub(super) submissions: HashMap<Arc<str>, SubmissionEntry>,
    /// Submissions without a final state, in the order of their identifiers.
    pub(super) active: BTreeSet<Arc<str>>,
    pub(super) upstreams: BTreeMap<Arc<str>, UpstreamEntry>,
    /// What each team has running; equals the sum over all runs.
    pub(super) team_usage: HashMap<Arc<str>, ResourceSize>,
    pub(super) ready: ReadyList,
    /// Number of slots that were given to upstreams.
    pub(super) slot_count: u32,
    pub(super) desk: AdviceDesk,
    pub(super) commits: CommitQueue,
    /// Upstreams that may hold leases of an earlier owner and were not seen since the take-over.
    pub(super) unseen: BTreeMap<Arc<str>, RosterEntry>,
    /// When the owner took over.
    pub(super) recovered_at: u64,
    /// Time at which every lease of earlier owners has run out.
    pub(super) recovery_until: u64,
    pub(super) roster_changed: bool,
    /// Submissions whose ends the store need not keep any longer.
    pub(super) expired: VecDeque<Arc<str>>,
    /// Submissions with a stored cancelling that had ended before.
    pub(super) stale_cancels: VecDeque<Arc<str>>,
    /// Revision of the store as of which everything that had not ended is known.
    pub(super) known_revision: u64,
    pub(super) next_sweep_at: u64,
    pub(super) effects: Vec<OwnerEffect>,
    /// Whether something changed that may allow a start.
    pub(super) placement_wanted: bool,
    pub(super) next_placement_at: u64,
    pub(super) deposed: bool,
    /// Time of day at the last tick, in milliseconds since 1970.
    pub(super) unix_ms: u64,
    /// Mean slowness of all upstreams' runs; 0 before the first.
    pub(super) mean_slowness: f64,
}

impl OwnerMachine {
    /// Makes an owner that knows nothing yet; `generation` counts the owners before it.
    #[must_use]
    pub fn new(
        settings: OwnerSettings,
        epoch: u64,
        generation: u32,
        config: Arc<ApprovedConfig>,
    ) -> Self {
        Self {
            settings,
            epoch,
            generation,
            config,
            evacuated: BTreeSet::new(),
            submissions: HashMap::new(),
            active: BTreeSet::new(),
            upstreams: BTreeMap::new(),
            team_usage: HashMap::new(),
            ready: ReadyList::default(),
            slot_count: 0,
            desk: AdviceDesk::default(),
            commits: CommitQueue::default(),
            unseen: BTreeMap::new(),
            recovered_at: 0,
            recovery_until: 0,
            roster_changed: false,
            expired: VecDeque::new(),
            stale_cancels: VecDeque::new(),
            known_revision: 0,
            next_sweep_at: 0,
            effects: Vec::new(),
            placement_wanted: true,
            next_placement_at: 0,
            deposed: false,
            unix_ms: 0,
            mean_slowness: 0.0,
        }
    }

    /// Returns the epoch of the owner.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Takes a configuration that came into force.
    pub fn set_config(&mut self, config: Arc<ApprovedConfig>, evacuated: BTreeSet<Arc<str>>) {
        if config.revision > self.config.revision {
            self.config = config;
            for id in &self.active {
                self.ready.note(id);
            }
        }
        self.evacuated = evacuated;
        self.placement_wanted = true;
    }

    /// Takes the hosts that may ask the policy service.
    pub fn set_query_hosts(&mut self, hosts: &BTreeSet<Arc<str>>) {
        self.desk.set_query_hosts(hosts);
    }

    /// Takes a whole reading of the directory of upstreams.
    ///
    /// An entry is removed when its upstream has left, or after three intervals without a report:
    /// a draining upstream whose entry goes sooner than that has left, and runs nothing any more.
    pub fn set_directory(&mut self, now: u64, reports: Vec<UpstreamReport>) {
        let listed: BTreeSet<_> = reports.iter().map(|report| report.id.clone()).collect();
        for report in reports {
            self.set_report(now, report);
        }
        let mut left = Vec::new();
        for (id, entry) in &mut self.upstreams {
            let fresh =
                now.saturating_sub(entry.refreshed_at) < 2 * self.settings.report_interval_ms;
            if entry.listed && !listed.contains(id) && entry.report.draining && fresh {
                left.push(id.clone());
            }
            entry.listed = listed.contains(id);
        }
        for id in left {
            self.on_gone(now, &id);
        }
        self.placement_wanted = true;
    }

    fn set_report(&mut self, now: u64, report: UpstreamReport) {
        let id = report.id.clone();
        if let Some(entry) = self.upstreams.get_mut(&id) {
            let reborn = entry.report.incarnation_unix_ms != report.incarnation_unix_ms;
            if reborn || entry.report.sequence != report.sequence {
                entry.refreshed_at = now;
                entry.slowness += SLOWNESS_DECAY * (self.mean_slowness - entry.slowness);
            }
            entry.report = report;
            if reborn {
                entry.next_hold_at = now;
            }
            return;
        }
        let mut entry = UpstreamEntry::new(self.next_slot(), report);
        entry.next_hold_at = now;
        entry.refreshed_at = now;
        self.upstreams.insert(id, entry);
        self.roster_changed = true;
    }

    /// Returns a slot that no upstream has had.
    pub(super) fn next_slot(&mut self) -> UpstreamSlot {
        let slot = UpstreamSlot(self.slot_count);
        self.slot_count += 1;
        slot
    }

    /// Takes a submission that is stored; `created` is the revision of its record.
    pub fn add_submission(&mut self, now: u64, record: Arc<SubmissionRecord>, created: u64) {
        // One that was there at the take-over and was not read then had ended.
        if self.submissions.contains_key(&record.id) || created <= self.known_revision {
            return;
        }
        let id = record.id.clone();
        self.submissions
            .insert(id.clone(), SubmissionEntry::new(record, now));
        self.ready.note(&id);
        self.active.insert(id);
        self.placement_wanted = true;
    }

    /// Returns the state of a submission that callers may be told.
    #[must_use]
    pub fn state_of(&self, id: &str) -> Option<SubmissionState> {
        self.submissions.get(id).map(SubmissionEntry::visible_state)
    }

    /// Returns the number of the last end of an upstream that was taken.
    #[must_use]
    pub fn last_finished_number(&self, upstream: &str) -> u64 {
        self.upstreams
            .get(upstream)
            .map_or(0, |entry| entry.last_finished_number)
    }

    /// Counts the accepted submissions without a started task, by queue.
    #[must_use]
    pub fn waiting_counts(&self) -> HashMap<Arc<str>, u64> {
        let mut counts = HashMap::new();
        for id in &self.active {
            let Some(entry) = self.submissions.get(id) else {
                continue;
            };
            if entry.state == SubmissionState::Queued {
                *counts.entry(entry.record.queue.name.clone()).or_default() += 1;
            }
        }
        counts
    }

    /// Returns the number of submissions without a final state, and of booked runs.
    #[must_use]
    pub fn load(&self) -> (usize, usize) {
        let runs = self.upstreams.values().map(|entry| entry.runs.len()).sum();
        (self.active.len(), runs)
    }

    /// Tells whether the owner was replaced.
    #[must_use]
    pub fn has_stepped_down(&self) -> bool {
        self.deposed
    }

    /// Takes the effects that inputs have left.
    pub fn take_effects(&mut self) -> Vec<OwnerEffect> {
        std::mem::take(&mut self.effects)
    }

    /// Steps down: another host used a higher epoch.
    pub(super) fn depose(&mut self) {
        if !self.deposed {
            self.deposed = true;
            self.effects.push(OwnerEffect::StepDown);
        }
    }

    /// Returns the queue's policy in force, or the one at acceptance if the queue is gone.
    pub(super) fn queue_of(&self, record: &SubmissionRecord) -> Arc<QueuePolicy> {
        self.config
            .queue_named(&record.queue.name)
            .unwrap_or(&record.queue)
            .clone()
    }

    /// Finds a task.
    pub(super) fn task_mut(&mut self, name: &TaskName) -> Option<&mut TaskEntry> {
        self.submissions
            .get_mut(&name.submission)?
            .occurrences
            .get_mut(name.occurrence as usize)?
            .steps
            .get_mut(name.step as usize)?
            .tasks
            .get_mut(name.index as usize)
    }

    /// Books a run at an upstream and for its team.
    pub(super) fn book(&mut self, upstream: &Arc<str>, name: &TaskName, run: RunEntry) {
        let Some(entry) = self.upstreams.get_mut(upstream) else {
            return;
        };
        entry.booked += run.allocation;
        if let Some(team) = &run.team {
            *self.team_usage.entry(team.clone()).or_default() += run.demand;
        }
        let planned = run.phase == RunPhase::Planned;
        if entry.runs.insert(name.clone(), run).is_some() {
            return;
        }
        if let Some(task) = self.task_mut(name) {
            task.booked_runs += 1;
        }
        if let Some(submission) = self.submissions.get_mut(&name.submission) {
            submission.booked_runs += 1;
            submission.planned_runs += u32::from(planned);
        }
    }

    /// Frees what a run booked, and lets its task wait unless it is done.
    pub(super) fn release(
        &mut self,
        now: u64,
        upstream: &Arc<str>,
        name: &TaskName,
    ) -> Option<RunEntry> {
        let run = self.upstreams.get_mut(upstream)?.runs.remove(name)?;
        if let Some(entry) = self.upstreams.get_mut(upstream) {
            entry.booked = entry.booked.saturating_sub(&run.allocation);
        }
        if let Some(usage) = run
            .team
            .as_ref()
            .and_then(|team| self.team_usage.get_mut(team))
        {
            *usage = usage.saturating_sub(&run.demand);
        }
        if let Some(task) = self.task_mut(name) {
            task.booked_runs = task.booked_runs.saturating_sub(1);
            if task.phase == TaskPhase::Placed && task.upstream.as_ref() == Some(upstream) {
                task.phase = TaskPhase::Waiting;
                task.upstream = None;
                task.not_before = task.not_before.max(now);
            }
        }
        if let Some(submission) = self.submissions.get_mut(&name.submission) {
            submission.booked_runs = submission.booked_runs.saturating_sub(1);
            let planned = u32::from(run.phase == RunPhase::Planned);
            submission.planned_runs = submission.planned_runs.saturating_sub(planned);
        }
        self.ready.note(&name.submission);
        self.placement_wanted = true;
        Some(run)
    }

    /// Notes a change of a submission for the next commit; returns its mark.
    pub(super) fn note_change(&mut self, id: &Arc<str>, urgent: bool) -> u64 {
        self.commits.urgent |= urgent;
        self.commits.note(id)
    }
}
