//! Periodic work: lease expiry, renewals, stop orders, placement and commits.

use std::sync::Arc;

use crate::model::{ResourceSize, TaskName};
use crate::owner::commit_queue::{
    CommitPriority, ENTRIES_PER_ENDED, ENTRIES_PER_PROGRESS, MAX_COMMIT_ENTRIES,
};
use crate::owner::upstream_entry::{ContactState, DirectoryPresence, RunPhase};
use crate::owner::{
    CommitBatch, CommitOutcome, EndedSubmission, LeaseBound, OwnerEffect, OwnerMachine,
    ReleaseCause, RenewOrder, RosterEntry, StopOrder, StopReason,
};

/// Time between two searches for silent upstreams and expired leases, in milliseconds.
const SWEEP_INTERVAL_MS: u64 = 25;

/// Time without an answer after which an upstream is recorded as silent, in milliseconds.
const SILENCE_TIMEOUT_MS: u64 = 1600;

/// Interval between searches for submissions to archive, in milliseconds.
const ARCHIVE_INTERVAL_MS: u64 = 1000;

impl OwnerMachine {
    /// Executes everything that is due: lease expiry, renewals, stops, starts, queries and commits.
    ///
    /// `may_act` is false while the host cannot be sure that it still owns the fleet; then nothing
    /// is started and no lease is renewed.
    pub fn tick(&mut self, now: u64, unix_ms: u64, may_act: bool) {
        if self.stepped_down {
            return;
        }
        self.unix_ms = unix_ms;
        if now >= self.next_sweep_at {
            self.next_sweep_at = now + SWEEP_INTERVAL_MS;
            self.expire_leases(now);
            self.update_contact_states(now);
        }
        if may_act {
            self.send_renewals(now);
            self.send_stops(now);
            self.drop_outdated_tickets();
            self.run_placement(now, unix_ms);
        }
        self.query_usage.settle(now);
        self.archive_ended(now);
        self.commit(now);
    }

    /// Runs the placement pass with the widest scope that is due, if any.
    fn run_placement(&mut self, now: u64, unix_ms: u64) {
        if self.isolation_ends_at > 0 && now >= self.isolation_ends_at {
            self.isolation_ends_at = 0;
            self.view_cache.clear();
            self.request_placement();
        }
        let due = self.ready.next_due_unix_ms();
        if due.is_some_and(|due| unix_ms >= due) {
            self.placement.request_full();
        }
        let (upstream_count, has_fresh) = (self.upstreams.len(), self.ready.has_fresh());
        if let Some(scope) = self.placement.take_due(now, upstream_count, has_fresh) {
            self.place(now, unix_ms, scope);
        }
    }

    /// Returns the time at which the next tick is due at the latest; `may_act` as in the last one.
    #[must_use]
    pub fn next_due_at(&self, now: u64, unix_ms: u64, may_act: bool) -> u64 {
        /// Maximum time between two ticks, in milliseconds.
        const MAX_TICK_INTERVAL_MS: u64 = 250;
        let mut due = now + MAX_TICK_INTERVAL_MS;
        if !self.commits.is_empty() {
            due = due.min(self.commits.last_sent_at() + self.settings.commit_interval_ms);
        }
        if !may_act {
            return due.max(now);
        }
        for next in [self.renewal_queue.next_at(), self.stop_queue.next_at()] {
            due = due.min(next.unwrap_or(due));
        }
        let next_pass_at = self.placement.next_due_at(self.ready.has_fresh());
        due = due.min(next_pass_at.unwrap_or(due));
        if let Some(due_unix_ms) = self.ready.next_due_unix_ms() {
            due = due.min(now + due_unix_ms.saturating_sub(unix_ms));
        }
        due.max(now)
    }

    /// Releases the runs of silent upstreams whose leases have all expired, and removes the empty
    /// ones of such upstreams if the directory no longer lists them. Upstreams that answered within
    /// the last 1000 ms are skipped.
    fn expire_leases(&mut self, now: u64) {
        let expired: Vec<_> = self
            .upstreams
            .iter()
            .filter(|(_, entry)| now >= entry.leases_expire_at && now > entry.answered_at + 1000)
            .filter(|(id, entry)| {
                !entry.runs.is_empty()
                    || self.awaiting_first_reply.contains_key(*id)
                    || entry.presence != DirectoryPresence::Listed
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in expired {
            self.awaiting_first_reply.remove(&id);
            let Some(entry) = self.upstreams.get_mut(&id) else {
                continue;
            };
            let ended = entry.take_expired_runs(now);
            // The leases may expire before the upstream is found to be silent.
            if entry.answered_at == 0 && !ended.is_empty() {
                entry.held_since.get_or_insert(self.took_over_at);
            }
            let report = entry.end_held_runs(now, ReleaseCause::LeasesExpired);
            let is_unlisted = entry.presence != DirectoryPresence::Listed;
            self.effects.extend(report);
            self.release_runs(now, &id, ended);
            let is_empty = self
                .upstreams
                .get(&id)
                .is_some_and(|entry| entry.runs.is_empty());
            if is_unlisted && is_empty {
                self.upstreams.remove(&id);
                self.remember_removed(now, id);
                self.view_cache.clear();
                self.roster_changed = true;
            }
        }
    }

    /// Detects upstreams that became silent or answer again. A silent upstream is recorded with the
    /// expiry of its leases only after its runs are stored, so that a successor finds every run.
    fn update_contact_states(&mut self, now: u64) {
        let stored_sequence = self.commits.stored_sequence();
        let mut became_silent = Vec::new();
        let mut changed = false;
        self.held_run_count = 0;
        for (id, entry) in &mut self.upstreams {
            let heard_at = entry.answered_at.max(self.took_over_at);
            let silent =
                now.saturating_sub(heard_at) > SILENCE_TIMEOUT_MS && entry.leases_expire_at > now;
            let holds_leases = !entry.runs.is_empty();
            if entry.former_leases_until > 0 && now >= entry.former_leases_until {
                entry.former_leases_until = 0;
                changed = true;
            }
            let report = entry.update_held_runs(now, silent.then_some(heard_at));
            self.effects.extend(report);
            if silent {
                self.held_run_count += entry.runs.len();
            }
            match entry.contact {
                ContactState::Responsive if silent && holds_leases => {
                    let runs = entry.runs.keys().map(|name| name.submission.clone());
                    became_silent.push((id.clone(), runs.collect::<Vec<_>>()));
                }
                ContactState::RecordingRuns(sequence) if silent && sequence <= stored_sequence => {
                    entry.contact = ContactState::RecordedSilent;
                    changed = true;
                }
                ContactState::RecordingRuns(_) if !silent => {
                    entry.contact = ContactState::Responsive;
                }
                ContactState::RecordedSilent if !silent && entry.answered_at > 0 => {
                    entry.contact = ContactState::Responsive;
                    // No lease is granted until the store no longer records an expiry.
                    entry.in_stored_roster = false;
                    changed = true;
                }
                _ => {}
            }
        }
        self.roster_changed |= changed;
        for (id, submissions) in became_silent {
            let sequences = submissions
                .iter()
                .map(|submission| self.record_change(submission, false));
            let sequence = sequences.max().unwrap_or(0);
            if let Some(entry) = self.upstreams.get_mut(&id) {
                entry.contact = ContactState::RecordingRuns(sequence);
            }
        }
    }

    fn send_renewals(&mut self, now: u64) {
        let (settings, terms) = (self.settings, self.lease_terms());
        while let Some((at, id)) = self.renewal_queue.pop_due(now) {
            let entry = self.upstreams.get_mut(&id);
            let Some(entry) = entry else {
                continue;
            };
            if !entry.take_queued_renewal(at) {
                continue;
            }
            let busy = !entry.runs.is_empty();
            let known = entry.run_list_incarnation.is_some();
            let waits = busy && known && entry.doubt.is_none();
            let contact_outdated =
                now.saturating_sub(entry.answered_at) > settings.max_contact_age_ms;
            let may_grant = entry.in_stored_roster
                && entry.contact == ContactState::Responsive
                && !contact_outdated;
            let deadline_ms = if waits && may_grant {
                entry.grant_lease(now, terms)
            } else {
                None
            };
            entry.raise_fence(self.newest_revision);
            entry.renewal_in_flight = true;
            entry.renewal_fence = entry.fence;
            let ack_number = entry.due_ack();
            let assumptions = &mut entry.assumptions;
            assumptions.ack_number = assumptions.ack_number.max(ack_number);
            self.effects.push(OwnerEffect::Renew(RenewOrder {
                upstream: id.clone(),
                address: entry.report.address.clone(),
                failure_domain: entry.report.failure_domain.clone(),
                epoch: self.epoch,
                fence: entry.fence,
                ack_number,
                deadline_ms,
                wait_ms: match (waits, entry.has_urgent_runs()) {
                    (false, _) => 0,
                    (true, false) => settings.renewal_wait_ms,
                    (true, true) => settings.urgent_renewal_wait_ms,
                },
            }));
        }
    }

    fn send_stops(&mut self, now: u64) {
        while let Some((_, id)) = self.stop_queue.pop_due(now) {
            let Some(entry) = self.upstreams.get_mut(&id) else {
                continue;
            };
            let mut next_due_at = None;
            for (name, run) in &mut entry.runs {
                let wanted = matches!(run.phase, RunPhase::Stopping | RunPhase::Unconfirmed);
                if !wanted || run.stop_accepted_at.is_some() {
                    continue;
                }
                if now >= run.stop_due_at {
                    run.stop_due_at = now + self.settings.stop_retry_interval_ms;
                    let reason = run.stop_reason.clone();
                    self.effects.push(OwnerEffect::Stop(StopOrder {
                        reason: reason.unwrap_or(StopReason::StartUnconfirmed),
                        task: name.clone(),
                        attempt: run.attempt,
                        upstream: id.clone(),
                        address: entry.report.address.clone(),
                        epoch: self.epoch,
                        fence: entry.fence,
                    }));
                    next_due_at = next_due_at.max(Some(run.stop_due_at));
                }
            }
            // Stop orders that are due earlier have queue entries of their own.
            if let Some(at) = next_due_at {
                self.stop_queue.push(at, &id);
            }
        }
    }

    /// Stops a run whose submission or step is unknown.
    pub(super) fn stop_unknown_run(&mut self, upstream: &Arc<str>, name: &TaskName, attempt: u32) {
        let Some(entry) = self.upstreams.get(upstream) else {
            return;
        };
        self.effects.push(OwnerEffect::Stop(StopOrder {
            reason: StopReason::UnknownTask,
            task: name.clone(),
            attempt,
            upstream: upstream.clone(),
            address: entry.report.address.clone(),
            epoch: self.epoch,
            fence: entry.fence,
        }));
    }

    /// Archives ended submissions without remaining runs, so that the store keeps only their final
    /// states, and removes those whose retention time has passed.
    fn archive_ended(&mut self, now: u64) {
        if now < self.next_archive_at {
            return;
        }
        self.next_archive_at = now + ARCHIVE_INTERVAL_MS;
        let retention_ms = self.settings.final_state_retention_ms;
        let mut archivable = Vec::new();
        for (id, entry) in &self.submissions {
            if entry.archived && now > entry.final_state_stored_at + retention_ms {
                self.expired_results.push_back(id.clone());
            } else if entry.final_state_stored
                && !entry.archived
                && entry.can_archive()
                && now >= self.recovery_ends_at
            {
                archivable.push(id.clone());
            }
        }
        for id in &self.expired_results {
            self.submissions.remove(id);
        }
        for id in archivable {
            self.record_change(&id, false);
        }
    }

    /// Adds submissions of earlier owners whose stored final states are to be deleted.
    pub fn add_expired_results(&mut self, ids: Vec<Arc<str>>) {
        self.expired_results.extend(ids);
    }

    /// Adds cancellations that were stored after their submissions had ended.
    pub fn add_stale_cancels(&mut self, ids: Vec<Arc<str>>) {
        self.stale_cancels.extend(ids);
    }

    fn commit(&mut self, now: u64) {
        for lane in self.commits.free_lanes(now) {
            let spaced = now >= self.commits.last_sent_at() + self.settings.commit_interval_ms;
            let extra = lane == 0
                && (!self.expired_results.is_empty()
                    || !self.stale_cancels.is_empty()
                    || self.roster_changed);
            let silent_until = self.commits.last_sent_at() + self.settings.progress_interval_ms;
            let shows_progress = lane == 0 && now >= silent_until;
            let wanted = extra || shows_progress || !self.commits.is_empty();
            if wanted && (self.commits.commit_at_once || spaced) {
                self.send_commit(now, lane, shows_progress);
            }
        }
    }

    /// Sends a commit in a lane if there is anything to write.
    fn send_commit(&mut self, now: u64, lane: usize, shows_progress: bool) {
        let submissions = &self.submissions;
        let ids = self.commits.take(
            now,
            lane,
            |id| match submissions.get(id) {
                Some(entry) if entry.state.is_final() => CommitPriority::Final,
                Some(entry) if entry.planned_runs > 0 => CommitPriority::Planned,
                _ => CommitPriority::Other,
            },
            |id| match submissions.get(id) {
                Some(entry) if entry.can_archive() => ENTRIES_PER_ENDED,
                _ => ENTRIES_PER_PROGRESS,
            },
        );
        let mut batch = CommitBatch {
            lane,
            shows_progress,
            ..CommitBatch::default()
        };
        let mut remaining = MAX_COMMIT_ENTRIES;
        for id in &ids {
            let found = self.submissions.get(id).filter(|entry| !entry.archived);
            let Some(entry) = found else {
                continue;
            };
            if entry.can_archive() {
                remaining = remaining.saturating_sub(ENTRIES_PER_ENDED);
                batch.ended.push(EndedSubmission {
                    id: id.clone(),
                    state: entry.state,
                    ended_unix_ms: self.unix_ms,
                });
            } else {
                remaining = remaining.saturating_sub(ENTRIES_PER_PROGRESS);
                batch.progress.push((id.clone(), entry.progress()));
            }
        }
        if lane == 0 {
            let count = self.expired_results.len().min(remaining);
            batch.expired_results = self.expired_results.drain(..count).collect();
            let count = self.stale_cancels.len().min(remaining - count);
            batch.stale_cancels = self.stale_cancels.drain(..count).collect();
            batch.roster = self.roster_changed.then(|| self.roster(now));
            self.roster_changed = false;
        }
        if batch.is_empty() {
            self.commits.abandon(lane);
            return;
        }
        self.effects.push(OwnerEffect::Commit(batch));
    }

    fn roster(&self, now: u64) -> Vec<RosterEntry> {
        self.upstreams
            .iter()
            .map(|(id, entry)| RosterEntry {
                id: id.clone(),
                pool: entry.report.pool.clone(),
                address: entry.report.address.clone(),
                failure_domain: entry.report.failure_domain.clone(),
                incarnation_unix_ms: entry.stored_incarnation(),
                lease_bound: (entry.contact == ContactState::RecordedSilent).then(|| LeaseBound {
                    remaining_ms: entry.leases_expire_at.saturating_sub(now),
                    generation: self.generation,
                }),
                former_lease_ms: (entry.former_leases_until > now)
                    .then(|| entry.former_leases_until - now),
                leases_expire_unix_ms: None,
            })
            .collect()
    }

    /// Handles the outcome of a commit.
    pub fn on_commit(&mut self, now: u64, batch: &CommitBatch, outcome: CommitOutcome) {
        let stored = matches!(outcome, CommitOutcome::Stored { .. });
        let sent_at = self.commits.lane_sent_at(batch.lane);
        let ids = self.commits.finish(batch.lane, stored);
        match outcome {
            CommitOutcome::Fenced => self.step_down(),
            CommitOutcome::Unknown => {
                self.expired_results
                    .extend(batch.expired_results.iter().cloned());
                let stale = batch.stale_cancels.iter().cloned();
                self.stale_cancels.extend(stale);
                self.roster_changed |= batch.roster.is_some();
            }
            CommitOutcome::Stored { revision } => {
                self.newest_revision = self.newest_revision.max(revision);
                self.ownership_confirmed_at = self.ownership_confirmed_at.max(sent_at);
                self.placement.request_full();
                for id in ids {
                    self.mark_stored(now, &id, batch);
                }
                for (id, progress) in &batch.progress {
                    self.start_planned(now, id, progress);
                }
                for ended in &batch.ended {
                    self.mark_archived(now, &ended.id);
                }
                let roster = batch.roster.iter().flatten();
                // An upstream may have answered after it was recorded as silent.
                for roster_entry in roster.filter(|roster_entry| !roster_entry.is_silent()) {
                    if let Some(entry) = self.upstreams.get_mut(&roster_entry.id) {
                        let bounded_until = sent_at + roster_entry.former_lease_ms.unwrap_or(0);
                        entry.in_stored_roster |=
                            bounded_until.max(now) >= entry.former_leases_until;
                    }
                }
                self.acknowledge_stored();
                self.hasten_checks(now);
            }
        }
    }

    /// Acknowledges the finished runs whose changes are stored.
    fn acknowledge_stored(&mut self) {
        let sequence = self.commits.stored_sequence();
        let (upstreams, queue) = (&mut self.upstreams, &mut self.renewal_queue);
        self.uncommitted_upstreams.retain(|id| {
            let Some(entry) = upstreams.get_mut(id) else {
                return false;
            };
            entry.acknowledge(sequence);
            entry.queue_renewal(queue);
            !entry.uncommitted.is_empty()
        });
    }

    fn mark_stored(&mut self, now: u64, id: &Arc<str>, batch: &CommitBatch) {
        let written = batch.progress.iter().find(|(written, _)| written == id);
        let Some((entry, (_, progress))) = self.submissions.get_mut(id).zip(written) else {
            return;
        };
        if progress.state.is_final() && !entry.final_state_stored {
            entry.final_state_stored = true;
            entry.final_state_stored_at = now;
            entry.occurrences = Vec::new();
        }
    }

    fn mark_archived(&mut self, now: u64, id: &Arc<str>) {
        if let Some(entry) = self.submissions.get_mut(id) {
            if !entry.final_state_stored {
                entry.final_state_stored_at = now;
            }
            entry.final_state_stored = true;
            entry.archived = true;
            entry.occurrences = Vec::new();
        }
    }

    /// Returns the resources that a team has allocated.
    #[must_use]
    pub fn usage_of(&self, team: &str) -> ResourceSize {
        self.team_usage.get(team).copied().unwrap_or_default()
    }
}
