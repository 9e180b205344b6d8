//! Takeover from an earlier owner.
//!
//! The store records which tasks are done, and every run before it starts; the upstreams list the
//! runs that exist. Runs on an upstream that cannot be reached stay allocated until every lease of
//! earlier owners has expired there. All other tasks continue at once.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::model::{ProgressRecord, ResourceSize, SubmissionRecord, TaskName, UpstreamReport};
use crate::owner::submission_entry::{SubmissionEntry, TaskPhase};
use crate::owner::upstream_entry::{
    ContactState, DirectoryPresence, RunEntry, RunPhase, UpstreamEntry,
};
use crate::owner::{
    LeaseTerm, OwnerEffect, OwnerMachine, RecoveryBound, ReleaseCause, UnlistedReport,
};

/// Minimum time for which a new owner waits for the first list of an upstream, in milliseconds.
/// Finished runs are listed although all leases have expired.
const FIRST_LIST_WAIT_MS: u64 = 2500;

/// An upstream that may hold leases.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RosterEntry {
    /// Identifier of the upstream.
    pub id: Arc<str>,
    /// Pool of the upstream.
    pub pool: Arc<str>,
    /// Address of the upstream.
    pub address: Arc<str>,
    /// Failure domain of the upstream.
    pub failure_domain: Arc<str>,
    /// Start of the incarnation, in milliseconds since 1970.
    #[serde(rename = "born_unix_ms")]
    pub incarnation_unix_ms: u64,
    /// Bound on its leases; set only while the upstream is silent. No lease is granted there while
    /// this is set.
    #[serde(default)]
    pub lease_bound: Option<LeaseBound>,
    /// Time within which the leases expire that orders to its former incarnations may have granted,
    /// in milliseconds from any time after the roster was written.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub former_lease_ms: Option<u64>,
    /// Expiry of its leases by the wall clock of a host of an earlier version, which set it only
    /// while the upstream was silent. The time itself is not used.
    #[serde(default, rename = "lapses_unix_ms", skip_serializing)]
    pub leases_expire_unix_ms: Option<u64>,
}

impl RosterEntry {
    /// Returns whether the entry records that the upstream is silent.
    #[must_use]
    pub fn is_silent(&self) -> bool {
        self.lease_bound.is_some() || self.leases_expire_unix_ms.is_some()
    }
}

/// Bound on the leases of a silent upstream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseBound {
    /// Time within which the leases expire, in milliseconds from any time after the bound was
    /// written.
    pub remaining_ms: u64,
    /// Number of owners before the one that wrote the bound. It does not bound the leases of later
    /// owners, which may be of a version that does not know it.
    pub generation: u32,
}

/// A submission as it is stored.
#[derive(Clone, Debug)]
pub struct StoredSubmission {
    /// Record of the submission.
    pub record: Arc<SubmissionRecord>,
    /// Stored progress, if any.
    pub progress: Option<ProgressRecord>,
    /// Whether the caller cancelled it.
    pub cancelled: bool,
}

/// An upstream that has left, as the history of its directory entry shows.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DepartedUpstream {
    /// Identifier of the upstream.
    pub id: Arc<str>,
    /// Maximum age of its last report when its entry was deleted, in milliseconds.
    pub max_report_age_ms: u64,
}

/// Everything that the store holds for a new owner.
#[derive(Clone, Debug, Default)]
pub struct RecoveredState {
    /// Submissions that had not ended.
    pub submissions: Vec<StoredSubmission>,
    /// Upstreams that may hold leases of earlier owners.
    pub roster: Vec<RosterEntry>,
    /// Draining upstreams of the roster that have left.
    pub departed: Vec<DepartedUpstream>,
    /// A time by which the roster had been written, in milliseconds on the new owner's clock.
    pub roster_written_by: u64,
    /// Store revision up to which all submissions that had not ended are listed.
    pub revision: u64,
    /// Submissions that had ended before their cancellation was stored.
    pub stale_cancels: Vec<Arc<str>>,
    /// How long earlier owners may still act without knowing that they were replaced, in
    /// milliseconds.
    pub previous_owner_active_ms: u64,
    /// Time by which every lease of earlier owners has expired, in milliseconds on the new owner's
    /// clock; `None` if it does not follow from their last commits.
    pub leases_expire_by: Option<u64>,
    /// Whether that time allows for longer leases, which the last owner may have granted while no
    /// host reached the store.
    pub leases_may_be_extended: bool,
    /// When the new owner requested its claim, in milliseconds on its clock.
    pub claim_requested_at: u64,
}

impl OwnerMachine {
    /// Restores the state from the store.
    pub fn recover(&mut self, now: u64, recovered: RecoveredState) {
        self.took_over_at = now;
        self.ownership_confirmed_at = recovered.claim_requested_at;
        // As in `grant_lease`, 1021 thousandths allow for a slow upstream clock; 300 ms are a
        // margin.
        let task_lease_ms = self.settings.task_lease_ms * 1021 / 1000 + 300;
        self.recovery_ends_at = now + recovered.previous_owner_active_ms + task_lease_ms;
        let expire_by = recovered.leases_expire_by;
        if let Some(expire_by) = expire_by {
            let bound = expire_by.max(now + FIRST_LIST_WAIT_MS);
            self.recovery_ends_at = self.recovery_ends_at.min(bound);
        }
        self.recovered_revision = recovered.revision;
        self.stale_cancels.extend(recovered.stale_cancels);
        for roster_entry in recovered.roster {
            self.restore_upstream(now, recovered.roster_written_by, roster_entry);
        }
        for stored in recovered.submissions {
            self.restore_submission(now, stored);
        }
        self.restore_rates();
        self.effects
            .push(OwnerEffect::ReportRecovery(RecoveryBound {
                previous_owner_active_ms: recovered.previous_owner_active_ms,
                task_lease_ms,
                leases_may_be_extended: recovered.leases_may_be_extended,
                commit_bound_ms: expire_by.map(|expire_by| expire_by.saturating_sub(now)),
                ..self.recovery_bound(now)
            }));
        for departed in recovered.departed {
            self.release_departed(now, &departed);
        }
        self.request_placement();
    }

    /// Returns how long runs of silent upstreams are held, without the terms of this time.
    fn recovery_bound(&self, now: u64) -> RecoveryBound {
        let entries = || self.upstreams.values();
        let silent = entries().filter(|entry| entry.contact == ContactState::RecordedSilent);
        let stored_bound = entries().filter(|entry| entry.lease_term == LeaseTerm::StoredBound);
        RecoveryBound {
            generation: self.generation,
            upstream_count: self.awaiting_first_reply.len(),
            run_count: self.run_count,
            held_for_ms: self.recovery_ends_at.saturating_sub(now),
            silent_count: silent.count(),
            stored_bound_count: stored_bound.count(),
            ..RecoveryBound::default()
        }
    }

    fn restore_upstream(&mut self, now: u64, roster_written_by: u64, roster_entry: RosterEntry) {
        let id = roster_entry.id.clone();
        let index = self.next_index();
        let mut entry = UpstreamEntry::new(
            index,
            UpstreamReport {
                id: id.clone(),
                incarnation_unix_ms: roster_entry.incarnation_unix_ms,
                pool: roster_entry.pool.clone(),
                address: roster_entry.address.clone(),
                failure_domain: roster_entry.failure_domain.clone(),
                draining: false,
                revision: 0,
                capacity: ResourceSize::ZERO,
                labels: Arc::from([]),
            },
            self.newest_revision,
        );
        entry.presence = DirectoryPresence::Missing;
        entry.in_stored_roster = true;
        entry.runs_incarnation = Some(roster_entry.incarnation_unix_ms);
        entry.schedule_renewal(now, &mut self.renewal_queue);
        entry.leases_expire_at = self.recovery_ends_at;
        entry.lease_term = LeaseTerm::EarlierLeases;
        if roster_entry.is_silent() {
            let bound = roster_entry.lease_bound;
            let bound = bound.filter(|bound| bound.generation + 1 == self.generation);
            if let Some(bound) = bound {
                let expire_at = roster_written_by + bound.remaining_ms;
                if expire_at < entry.leases_expire_at {
                    entry.leases_expire_at = expire_at;
                    entry.lease_term = LeaseTerm::StoredBound;
                }
            }
            entry.contact = ContactState::RecordedSilent;
            // The next owner can use only a bound that this one wrote.
            self.roster_changed = true;
        }
        if let Some(remaining_ms) = roster_entry.former_lease_ms {
            entry.former_leases_until = roster_written_by + remaining_ms;
            if entry.former_leases_until > entry.leases_expire_at {
                entry.leases_expire_at = entry.former_leases_until;
                entry.lease_term = LeaseTerm::FormerOrders;
            }
        }
        self.upstreams.insert(id.clone(), entry);
        self.view_cache.clear();
        self.awaiting_first_reply.insert(id, roster_entry);
    }

    /// Releases the runs of an upstream that has left.
    fn release_departed(&mut self, now: u64, departed: &DepartedUpstream) {
        let Some(entry) = self.upstreams.get_mut(&departed.id) else {
            return;
        };
        entry.drained_incarnation = entry.runs_incarnation;
        self.effects
            .push(OwnerEffect::ReportUnlisted(UnlistedReport {
                upstream: departed.id.clone(),
                max_report_age_ms: Some(departed.max_report_age_ms),
                run_count: entry.runs.len(),
                has_left: true,
            }));
        self.on_incarnation_ended(now, &departed.id, ReleaseCause::Departed);
    }

    fn restore_submission(&mut self, now: u64, stored: StoredSubmission) {
        let id = stored.record.id.clone();
        let mut entry = SubmissionEntry::new(stored.record, now);
        entry.final_state_stored_at = now;
        let progress = stored.progress.unwrap_or_default();
        entry.restore(&progress);
        let active = entry.is_active();
        self.submissions.insert(id.clone(), entry);
        if !active {
            return;
        }
        self.active.insert(id.clone());
        self.ready.mark_changed(&id);
        for run in progress.runs {
            let name = TaskName {
                submission: id.clone(),
                occurrence: run.occurrence,
                step: run.step,
                index: run.index,
            };
            if self.awaiting_first_reply.contains_key(&run.upstream) {
                self.restore_run(&run.upstream, &name, run.attempt);
            } else if let Some(task) = self.task_mut(&name) {
                task.attempt = task.attempt.max(run.attempt);
            }
        }
        if stored.cancelled {
            self.cancel(now, &id);
        }
    }

    /// Allocates a run that an earlier owner recorded; the upstream's next list confirms or
    /// corrects it.
    fn restore_run(&mut self, upstream: &Arc<str>, name: &TaskName, attempt: u32) {
        let run = self.new_run(name, attempt, RunPhase::Running, 0);
        let Some(task) = self.task_mut(name) else {
            return;
        };
        if task.phase != TaskPhase::Waiting {
            return;
        }
        task.phase = TaskPhase::Placed;
        task.upstream = Some(upstream.clone());
        task.attempt = attempt;
        if let Some(run) = run {
            self.allocate(upstream, name, run);
        }
    }

    /// Creates the entry of a run, or returns `None` if its submission or step is unknown. `now` is
    /// 0 for runs restored from the store.
    pub(super) fn new_run(
        &self,
        name: &TaskName,
        attempt: u32,
        phase: RunPhase,
        now: u64,
    ) -> Option<RunEntry> {
        let entry = self.submissions.get(&name.submission)?;
        let step = entry.record.steps.get(name.step as usize)?;
        Some(RunEntry {
            attempt,
            phase,
            allocation: step.allocation(),
            demand: step.demand,
            team: entry.record.team.clone(),
            confirmed_at: (phase == RunPhase::Running).then_some(now),
            start_orders: 1,
            order_sent_at: 0,
            stop_reason: None,
            stop_due_at: now,
            stop_accepted_at: None,
            urgent: entry.record.queue.priority == 0,
            long_running: step.long_running,
            ordered_at: now,
            inherited: phase == RunPhase::Running,
            percent: 0,
            percent_since: now,
        })
    }
}
