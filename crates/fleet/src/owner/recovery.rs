//! Take-over from an earlier owner.
//!
//! The store's records say what is done, and name every run before it starts; the upstreams'
//! inventories say what runs. Runs at an upstream that can't be reached stay booked until every
//! lease of earlier owners has run out there; all other tasks go on at once.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::model::{ProgressRecord, ResourceSize, SubmissionRecord, TaskName, UpstreamReport};
use crate::owner::OwnerMachine;
use crate::owner::submission_entry::{SubmissionEntry, TaskPhase};
use crate::owner::upstream_entry::{RunEntry, RunPhase, Silence, UpstreamEntry};

/// Largest difference between two hosts' times of day that is allowed for, in milliseconds.
const HOST_CLOCK_MARGIN_MS: u64 = 1000;

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
    /// When its leases have lapsed, in milliseconds since 1970, if it is silent: nothing is granted
    /// there while this is set.
    #[serde(default, rename = "lapses_unix_ms")]
    pub leases_expire_unix_ms: Option<u64>,
}

/// A submission as the store holds it.
#[derive(Clone, Debug)]
pub struct StoredSubmission {
    /// The submission.
    pub record: Arc<SubmissionRecord>,
    /// Its progress, if any was written.
    pub progress: Option<ProgressRecord>,
    /// Whether its caller cancelled it.
    pub cancelled: bool,
}

/// Everything that the store holds for a new owner.
#[derive(Clone, Debug, Default)]
pub struct RecoveredState {
    /// Submissions.
    pub submissions: Vec<StoredSubmission>,
    /// Upstreams that may hold leases of earlier owners.
    pub roster: Vec<RosterEntry>,
    /// Revision of the store as of which all submissions that had not ended are listed.
    pub revision: u64,
    /// Submissions with a stored cancelling that had ended before.
    pub stale_cancels: Vec<Arc<str>>,
    /// How long earlier owners may still act without knowing that they were replaced, in
    /// milliseconds.
    pub previous_owner_active_ms: u64,
}

impl OwnerMachine {
    /// Takes over what the store holds.
    pub fn recover(&mut self, now: u64, unix_ms: u64, recovered: RecoveredState) {
        self.recovered_at = now;
        self.recovery_until = now
            + recovered.previous_owner_active_ms
            + self.settings.task_lease_ms * 1021 / 1000
            + 300;
        self.known_revision = recovered.revision;
        self.stale_cancels.extend(recovered.stale_cancels);
        for member in recovered.roster {
            self.add_member(now, unix_ms, member);
        }
        for stored in recovered.submissions {
            self.restore_submission(now, stored);
        }
        self.placement_wanted = true;
    }

    fn add_member(&mut self, now: u64, unix_ms: u64, member: RosterEntry) {
        let id = member.id.clone();
        let slot = self.next_slot();
        let mut entry = UpstreamEntry::new(
            slot,
            UpstreamReport {
                id: id.clone(),
                incarnation_unix_ms: member.incarnation_unix_ms,
                pool: member.pool.clone(),
                address: member.address.clone(),
                failure_domain: member.failure_domain.clone(),
                draining: false,
                sequence: 0,
                capacity: ResourceSize::ZERO,
                labels: Arc::from([]),
            },
        );
        entry.listed = false;
        entry.enrolled = true;
        entry.next_hold_at = now;
        entry.lapse_at = self.recovery_until;
        if let Some(leases_expire_unix_ms) = member.leases_expire_unix_ms {
            let remaining = leases_expire_unix_ms.saturating_sub(unix_ms) + HOST_CLOCK_MARGIN_MS;
            entry.lapse_at = entry.lapse_at.min(now + remaining);
            entry.silence = Silence::Journaled;
        }
        self.upstreams.insert(id.clone(), entry);
        self.unseen.insert(id, member);
    }

    fn restore_submission(&mut self, now: u64, stored: StoredSubmission) {
        let id = stored.record.id.clone();
        let mut entry = SubmissionEntry::new(stored.record, now);
        entry.stored_at = now;
        let progress = stored.progress.unwrap_or_default();
        entry.restore(&progress);
        let active = entry.is_active();
        self.submissions.insert(id.clone(), entry);
        if !active {
            return;
        }
        self.active.insert(id.clone());
        self.ready.note(&id);
        for run in progress.runs {
            let name = TaskName {
                submission: id.clone(),
                occurrence: run.occurrence,
                step: run.step,
                index: run.index,
            };
            if self.unseen.contains_key(&run.upstream) {
                self.restore_run(&run.upstream, &name, run.attempt);
            } else if let Some(task) = self.task_mut(&name) {
                task.attempt = task.attempt.max(run.attempt);
            }
        }
        if stored.cancelled {
            self.cancel(now, &id);
        }
    }

    /// Books a run that an earlier owner recorded; the inventory confirms or corrects it.
    fn restore_run(&mut self, upstream: &Arc<str>, name: &TaskName, attempt: u32) {
        let run = self.make_run(name, attempt, RunPhase::Running, 0);
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
            self.book(upstream, name, run);
        }
    }

    /// Makes the entry of a run of a known task.
    pub(super) fn make_run(
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
            answered_at: (phase == RunPhase::Running).then_some(now),
            start_tries: 1,
            stop_due_at: now,
            stop_accepted_at: None,
            urgent: entry.record.queue.priority == 0,
            lasting: step.long_running,
            ordered_at: now,
            percent: 0,
            percent_since: now,
        })
    }
}
