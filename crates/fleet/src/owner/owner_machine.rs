//! The owner's state and its basic inputs.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

use crate::model::{
    ApprovedConfig, DirectoryRead, QueuePolicy, ResourceSize, SubmissionRecord, SubmissionState,
    TaskName, UpstreamReport,
};
use crate::owner::commit_queue::CommitQueue;
use crate::owner::crash_suspects::CrashHistory;
use crate::owner::due_queue::DueQueue;
use crate::owner::fleet_view::{UpstreamIndex, ViewCache};
use crate::owner::outdated_tickets::TicketIncarnations;
use crate::owner::placement_schedule::PlacementSchedule;
use crate::owner::query_dispatcher::QueryDispatcher;
use crate::owner::query_usage::QueryUsage;
use crate::owner::ready_list::ReadyList;
use crate::owner::slot_claims::ClaimTable;
use crate::owner::submission_entry::{SubmissionEntry, TaskEntry, TaskPhase};
use crate::owner::team_deferral::DeferralLog;
use crate::owner::team_shares::ShareTable;
use crate::owner::token_bucket::TeamRates;
use crate::owner::upstream_entry::{
    DirectoryPresence, LeaseTerms, RunEntry, RunPhase, UpstreamEntry,
};
use crate::owner::{OwnerEffect, OwnerSettings, ReleaseCause, RosterEntry, UnlistedReport};

/// Fraction of the difference to the fleet's mean by which an upstream's slowdown is corrected with
/// each of its reports.
const SLOWDOWN_DECAY: f64 = 0.1;

/// The store's revision at a time: whatever has a higher revision was written later.
#[derive(Clone, Copy, Debug)]
pub(super) struct DirectoryMark {
    revision: u64,
    requested_at: u64,
}

/// Schedules the whole fleet while its host is the owner.
#[derive(Debug)]
pub struct OwnerMachine {
    pub(super) settings: OwnerSettings,
    pub(super) epoch: u64,
    /// Number of owners before this one.
    pub(super) generation: u32,
    pub(super) config: Arc<ApprovedConfig>,
    /// Failure domains that are out of service; no task is started there.
    pub(super) evacuated_domains: BTreeSet<Arc<str>>,
    pub(super) submissions: HashMap<Arc<str>, SubmissionEntry>,
    /// Submissions without a final state, ordered by identifier.
    pub(super) active: BTreeSet<Arc<str>>,
    pub(super) upstreams: BTreeMap<Arc<str>, UpstreamEntry>,
    /// The last read of the directory; `None` before the first.
    pub(super) directory_mark: Option<DirectoryMark>,
    /// Upstreams by the time of their next renewal.
    pub(super) renewal_queue: DueQueue,
    /// Upstreams by the time of their next stop order.
    pub(super) stop_queue: DueQueue,
    /// Upstreams with finished runs that are not stored yet.
    pub(super) uncommitted_upstreams: BTreeSet<Arc<str>>,
    /// Upstreams that wait for a commit with a revision that is high enough for their fencing
    /// token.
    pub(super) unfenced_upstreams: BTreeSet<Arc<str>>,
    /// Upstreams that were removed, and when; orders to them may still be executed.
    pub(super) removed_upstreams: BTreeMap<Arc<str>, u64>,
    /// Revision of the owner's newest stored commit, or its epoch if it is higher.
    pub(super) newest_revision: u64,
    /// Time of the next search for silent upstreams and expired leases.
    pub(super) next_sweep_at: u64,
    /// Number of allocated runs on all upstreams.
    pub(super) run_count: usize,
    /// Number of runs on silent upstreams at the last sweep.
    pub(super) held_run_count: usize,
    /// Resources in use by each team; equals the sum over all runs.
    pub(super) team_usage: HashMap<Arc<str>, ResourceSize>,
    /// Which submissions are beyond their teams' rates.
    pub(super) rates: TeamRates,
    /// Claims of the teams on the pools, while any submission is beyond its team's rate.
    pub(super) shares: ShareTable,
    pub(super) deferrals: DeferralLog,
    pub(super) ready: ReadyList,
    /// Capacity claimed for gangs that are about to start.
    pub(super) claims: ClaimTable,
    /// Snapshot of the upstreams that the last placement pass used.
    pub(super) view_cache: ViewCache,
    /// Number of upstream indexes assigned so far.
    pub(super) index_count: u32,
    pub(super) queries: QueryDispatcher,
    pub(super) query_usage: QueryUsage,
    pub(super) ticket_incarnations: TicketIncarnations,
    pub(super) commits: CommitQueue,
    /// Upstreams that may hold leases of an earlier owner and have not answered since the takeover.
    pub(super) awaiting_first_reply: BTreeMap<Arc<str>, RosterEntry>,
    /// Recent crashes of upstreams, in the order in which they were noticed.
    pub(super) crashes: CrashHistory,
    /// Time at which the last suspects no longer run apart.
    pub(super) isolation_ends_at: u64,
    /// Time at which the last quarantine ends; 0 if there was none.
    pub(super) quarantines_end_at: u64,
    /// Time of the takeover.
    pub(super) took_over_at: u64,
    /// Time by which every lease of earlier owners has expired.
    pub(super) recovery_ends_at: u64,
    /// Time after which the store showed that this host is the owner: when it requested its claim,
    /// or sent the last commit that was stored.
    pub(super) ownership_confirmed_at: u64,
    /// Time after which every host that could succeed this owner was asked and reached no store; 0
    /// if never.
    pub(super) outage_observed_at: u64,
    pub(super) roster_changed: bool,
    /// Submissions whose final states are to be deleted from the store.
    pub(super) expired_results: VecDeque<Arc<str>>,
    /// Submissions that had ended before their cancellation was stored.
    pub(super) stale_cancels: VecDeque<Arc<str>>,
    /// Store revision up to which all submissions without a final state were read at the takeover.
    pub(super) recovered_revision: u64,
    pub(super) next_archive_at: u64,
    pub(super) effects: Vec<OwnerEffect>,
    pub(super) placement: PlacementSchedule,
    pub(super) stepped_down: bool,
    /// Wall-clock time of the last tick, in milliseconds since 1970.
    pub(super) unix_ms: u64,
    /// Smoothed ratio of actual to estimated run time over all upstreams; 0 before the first run
    /// has finished.
    pub(super) mean_slowdown: f64,
}

impl OwnerMachine {
    /// Creates an owner without submissions or upstreams; `generation` is the number of owners
    /// before it.
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
            evacuated_domains: BTreeSet::new(),
            submissions: HashMap::new(),
            active: BTreeSet::new(),
            upstreams: BTreeMap::new(),
            directory_mark: None,
            renewal_queue: DueQueue::default(),
            stop_queue: DueQueue::default(),
            uncommitted_upstreams: BTreeSet::new(),
            unfenced_upstreams: BTreeSet::new(),
            removed_upstreams: BTreeMap::new(),
            newest_revision: epoch,
            next_sweep_at: 0,
            run_count: 0,
            held_run_count: 0,
            team_usage: HashMap::new(),
            rates: TeamRates::default(),
            shares: ShareTable::default(),
            deferrals: DeferralLog::default(),
            ready: ReadyList::default(),
            claims: ClaimTable::default(),
            view_cache: ViewCache::default(),
            index_count: 0,
            queries: QueryDispatcher::default(),
            query_usage: QueryUsage::default(),
            ticket_incarnations: TicketIncarnations::default(),
            commits: CommitQueue::default(),
            awaiting_first_reply: BTreeMap::new(),
            crashes: CrashHistory::default(),
            isolation_ends_at: 0,
            quarantines_end_at: 0,
            took_over_at: 0,
            recovery_ends_at: 0,
            ownership_confirmed_at: 0,
            outage_observed_at: 0,
            roster_changed: false,
            expired_results: VecDeque::new(),
            stale_cancels: VecDeque::new(),
            recovered_revision: 0,
            next_archive_at: 0,
            effects: Vec::new(),
            placement: PlacementSchedule::default(),
            stepped_down: false,
            unix_ms: 0,
            mean_slowdown: 0.0,
        }
    }

    /// Returns the terms of a lease that is granted now. A successor knows when the last commit was
    /// stored, and so by when every lease has expired.
    pub(super) fn lease_terms(&self) -> LeaseTerms {
        let settings = &self.settings;
        let extension_allowed_at =
            self.ownership_confirmed_at + settings.lease_extension_delay_ms();
        let bound_ms = if self.outage_observed_at >= extension_allowed_at {
            settings.extended_lease_bound_ms
        } else {
            settings.lease_bound_ms
        };
        LeaseTerms {
            duration_ms: settings.task_lease_ms,
            expires_by: self.ownership_confirmed_at + bound_ms,
        }
    }

    /// Records that every host that could succeed this owner was asked after a time, and had no
    /// contact with the store.
    pub fn observe_outage(&mut self, asked_at: u64) {
        self.outage_observed_at = self.outage_observed_at.max(asked_at);
    }

    /// Requests placement passes because a change may have made a start possible.
    pub(super) fn request_placement(&mut self) {
        self.placement.request();
    }

    /// Returns the epoch of the owner.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Applies the configuration if it is newer than the current one, and sets the failure domains
    /// that are out of service.
    pub fn set_config(
        &mut self,
        config: Arc<ApprovedConfig>,
        evacuated_domains: BTreeSet<Arc<str>>,
    ) {
        if config.revision > self.config.revision {
            self.config = config;
            for id in &self.active {
                self.ready.mark_changed(id);
            }
        }
        self.evacuated_domains = evacuated_domains;
        self.view_cache.clear();
        self.request_placement();
    }

    /// Sets the hosts that may query the policy service.
    pub fn set_query_hosts(&mut self, hosts: &BTreeSet<Arc<str>>) {
        self.queries.set_hosts(hosts);
    }

    /// Updates the upstreams from a complete read of the directory.
    ///
    /// An entry disappears when its upstream leaves, or after three report intervals without a
    /// report. So a draining upstream whose entry disappears sooner has left, and none of its runs
    /// exist any more. When its last report was written is known only if an earlier read of this
    /// owner did not contain that report; otherwise the upstream may be alive and merely cut off
    /// from the store, and its runs stay allocated until it lists them or their leases expire. The
    /// read may carry further such times.
    pub fn set_directory(&mut self, now: u64, read: DirectoryRead) {
        let listed: BTreeSet<_> = read
            .reports
            .iter()
            .map(|report| report.id.clone())
            .collect();
        let mark = DirectoryMark {
            revision: read.revision,
            requested_at: read.requested_at,
        };
        let earlier_mark = self.directory_mark.replace(mark);
        for report in read.reports {
            let newer_than_mark = earlier_mark.filter(|mark| report.revision > mark.revision);
            let after_mark = newer_than_mark.map(|mark| mark.requested_at);
            let written_after = after_mark.max(read.written_after.get(&report.id).copied());
            self.set_report(now, report, written_after);
        }
        let mut unlisted_draining = Vec::new();
        for (id, entry) in &mut self.upstreams {
            let presence = if listed.contains(id) {
                DirectoryPresence::Listed
            } else if read.unreadable.contains(id) {
                DirectoryPresence::Unreadable
            } else {
                DirectoryPresence::Missing
            };
            let disappeared = presence == DirectoryPresence::Missing && entry.presence != presence;
            if disappeared && entry.report.draining {
                unlisted_draining.push(id.clone());
            }
            entry.presence = presence;
        }
        for id in unlisted_draining {
            self.on_draining_upstream_unlisted(now, &id);
        }
        self.request_placement();
    }

    /// Decides whether a draining upstream whose entry disappeared has left.
    fn on_draining_upstream_unlisted(&mut self, now: u64, id: &Arc<str>) {
        let Some(entry) = self.upstreams.get(id) else {
            return;
        };
        let max_report_age_ms = entry
            .report_written_after
            .map(|written_after| now.saturating_sub(written_after));
        let is_recent =
            max_report_age_ms.is_some_and(|age| age < 2 * self.settings.report_interval_ms);
        // The runs may be on a later incarnation, which the directory has not listed yet.
        let reported = entry.report.incarnation_unix_ms;
        let has_left = is_recent
            && entry
                .runs_incarnation
                .is_none_or(|placed| placed <= reported);
        self.effects
            .push(OwnerEffect::ReportUnlisted(UnlistedReport {
                upstream: id.clone(),
                max_report_age_ms,
                run_count: entry.runs.len(),
                has_left,
            }));
        if has_left {
            self.on_incarnation_ended(now, id, ReleaseCause::Departed);
        }
    }

    /// Sets the report of an upstream. `written_after` is a time before the report was written, if
    /// one is known.
    fn set_report(&mut self, now: u64, report: UpstreamReport, written_after: Option<u64>) {
        let id = report.id.clone();
        if let Some(entry) = self.upstreams.get_mut(&id) {
            let restarted = entry.report.incarnation_unix_ms != report.incarnation_unix_ms;
            // A report that was read late says nothing about the present capacity or incarnation.
            if report.revision < entry.report.revision {
                return;
            }
            if report.draining {
                entry.drained_incarnation = Some(report.incarnation_unix_ms);
            }
            if entry.report.revision != report.revision {
                entry.report_written_after = written_after;
                entry.slowdown += SLOWDOWN_DECAY * (self.mean_slowdown - entry.slowdown);
            }
            if entry.report.pool == report.pool {
                self.view_cache.mark_changed(&id);
            } else {
                self.view_cache.clear();
            }
            entry.report = report;
            if restarted {
                let incarnation = entry.report.incarnation_unix_ms;
                self.ticket_incarnations.record(now, &id, incarnation);
                entry.schedule_renewal(now, &mut self.renewal_queue);
                self.check_listed_incarnation(now, &id);
            }
            return;
        }
        let fence = self.newest_revision;
        let mut entry = UpstreamEntry::new(self.next_index(), report, fence);
        entry.schedule_renewal(now, &mut self.renewal_queue);
        entry.report_written_after = written_after;
        if self.removed_upstreams.remove(&id).is_some() {
            entry.doubt_other_incarnation(now);
        }
        self.upstreams.insert(id, entry);
        self.view_cache.clear();
        self.roster_changed = true;
    }

    /// Returns an index that no upstream has had.
    pub(super) fn next_index(&mut self) -> UpstreamIndex {
        let index = UpstreamIndex(self.index_count);
        self.index_count += 1;
        index
    }

    /// Adds a stored submission; `created` is the store revision of its record.
    pub fn add_submission(&mut self, now: u64, record: Arc<SubmissionRecord>, created: u64) {
        // A submission that was stored before the takeover but not read then had already ended.
        if self.submissions.contains_key(&record.id) || created <= self.recovered_revision {
            return;
        }
        let id = record.id.clone();
        self.submissions
            .insert(id.clone(), SubmissionEntry::new(record, now));
        self.apply_rate(&id);
        self.ready.mark_fresh(&id);
        self.active.insert(id);
        self.request_placement();
    }

    /// Returns the state of a submission that may be shown to callers.
    #[must_use]
    pub fn state_of(&self, id: &str) -> Option<SubmissionState> {
        self.submissions.get(id).map(SubmissionEntry::visible_state)
    }

    /// Returns the number of the last processed finished run of an upstream; 0 if there is none.
    #[must_use]
    pub fn last_finished_number(&self, upstream: &str) -> u64 {
        self.upstreams
            .get(upstream)
            .map_or(0, |entry| entry.last_finished_number)
    }

    /// Returns the number of accepted submissions without a started task, by queue.
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

    /// Returns the number of submissions without a final state, and the number of allocated runs.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        (self.active.len(), self.run_count)
    }

    /// Returns the number of runs that are allocated on silent upstreams.
    #[must_use]
    pub fn held_run_count(&self) -> usize {
        self.held_run_count
    }

    /// Returns the number of upstreams.
    #[must_use]
    pub fn upstream_count(&self) -> usize {
        self.upstreams.len()
    }

    /// Returns whether the owner has stepped down because another host replaced it.
    #[must_use]
    pub fn has_stepped_down(&self) -> bool {
        self.stepped_down
    }

    /// Returns the effects produced since the last call.
    pub fn take_effects(&mut self) -> Vec<OwnerEffect> {
        std::mem::take(&mut self.effects)
    }

    /// Steps down because another host has used a higher epoch.
    pub(super) fn step_down(&mut self) {
        if !self.stepped_down {
            self.stepped_down = true;
            self.effects.push(OwnerEffect::StepDown);
        }
    }

    /// Returns the queue policy in force, or the one at acceptance if the queue no longer exists.
    pub(super) fn queue_of(&self, record: &SubmissionRecord) -> Arc<QueuePolicy> {
        self.config
            .queue_named(&record.queue.name)
            .unwrap_or(&record.queue)
            .clone()
    }

    /// Returns the state of a task.
    pub(super) fn task_of(&self, name: &TaskName) -> Option<&TaskEntry> {
        let submission = self.submissions.get(&name.submission)?;
        let occurrence = submission.occurrences.get(name.occurrence as usize)?;
        let step = occurrence.steps.get(name.step as usize)?;
        step.tasks.get(name.index as usize)
    }

    /// Returns the state of a task for changes.
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

    /// Allocates a run on an upstream and adds it to its team's usage.
    pub(super) fn allocate(&mut self, upstream: &Arc<str>, name: &TaskName, run: RunEntry) {
        let Some(entry) = self.upstreams.get_mut(upstream) else {
            return;
        };
        entry.allocated += run.allocation;
        let pool = &entry.report.pool;
        self.shares
            .add_use(pool, run.team.as_ref(), &run.allocation);
        self.view_cache.mark_changed(upstream);
        if let Some(team) = &run.team {
            *self.team_usage.entry(team.clone()).or_default() += run.demand;
        }
        let planned = run.phase == RunPhase::Planned;
        if entry.runs.insert(name.clone(), run).is_some() {
            return;
        }
        self.run_count += 1;
        if let Some(task) = self.task_mut(name) {
            task.allocated_runs += 1;
        }
        if let Some(submission) = self.submissions.get_mut(&name.submission) {
            submission.allocated_runs += 1;
            submission.planned_runs += u32::from(planned);
        }
    }

    /// Releases the resources of a run; its task waits again unless it is done.
    pub(super) fn release(
        &mut self,
        now: u64,
        upstream: &Arc<str>,
        name: &TaskName,
    ) -> Option<RunEntry> {
        let run = self.upstreams.get_mut(upstream)?.runs.remove(name)?;
        self.run_count -= 1;
        self.view_cache.mark_changed(upstream);
        if let Some(entry) = self.upstreams.get_mut(upstream) {
            entry.allocated = entry.allocated.saturating_sub(&run.allocation);
            let pool = &entry.report.pool;
            self.shares
                .remove_use(pool, run.team.as_ref(), &run.allocation);
            if entry.runs.is_empty() {
                entry.isolated_until = 0;
            }
        }
        if let Some(usage) = run
            .team
            .as_ref()
            .and_then(|team| self.team_usage.get_mut(team))
        {
            *usage = usage.saturating_sub(&run.demand);
        }
        if let Some(task) = self.task_mut(name) {
            task.allocated_runs = task.allocated_runs.saturating_sub(1);
            if task.phase == TaskPhase::Placed && task.upstream.as_ref() == Some(upstream) {
                task.phase = TaskPhase::Waiting;
                task.upstream = None;
                task.not_before = task.not_before.max(now);
            }
        }
        if let Some(submission) = self.submissions.get_mut(&name.submission) {
            submission.allocated_runs = submission.allocated_runs.saturating_sub(1);
            let planned = u32::from(run.phase == RunPhase::Planned);
            submission.planned_runs = submission.planned_runs.saturating_sub(planned);
        }
        self.ready.mark_changed(&name.submission);
        self.request_placement();
        Some(run)
    }

    /// Records a change of a submission for the next commit, which need not wait for the commit
    /// interval if `commit_at_once` is set; returns the sequence number of the change.
    pub(super) fn record_change(&mut self, id: &Arc<str>, commit_at_once: bool) -> u64 {
        self.commits.commit_at_once |= commit_at_once;
        self.commits.push(id)
    }
}
