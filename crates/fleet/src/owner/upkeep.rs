//! What is due as time passes.

use std::sync::Arc;

use crate::model::{ResourceSize, TaskName};
use crate::owner::commit_queue::{CommitUrgency, ENDED_ENTRIES, MAX_ENTRIES, PROGRESS_ENTRIES};
use crate::owner::upstream_entry::{RunPhase, Silence};
use crate::owner::{
    CommitBatch, CommitOutcome, EndedSubmission, OwnerEffect, OwnerMachine, RenewOrder,
    RosterEntry, StopOrder,
};

/// How long a renewal waits for the journal, in milliseconds: an upstream answers at once while it
/// lists ends that are not acknowledged.
const JOURNAL_WAIT_MS: u64 = 250;

/// Upstreams for each millisecond between two passes over the waiting steps: the cost of a pass
/// grows with the upstreams, and ends that come meanwhile share one pass.
const PLACED_PER_MS: u64 = 25;

/// Time without an answer after which an upstream is journaled as silent, in milliseconds.
const SILENT_MS: u64 = 1600;

/// Time between looks for submissions that are over, in milliseconds.
const SWEEP_INTERVAL_MS: u64 = 1000;

impl OwnerMachine {
    /// Does what is due: lapses, renewals, stops, starts, questions and commits.
    ///
    /// `may_act` is false while the host can't be sure that it still owns the fleet: then
    /// nothing is started or renewed.
    pub fn tick(&mut self, now: u64, unix_ms: u64, may_act: bool) {
        if self.deposed {
            return;
        }
        self.unix_ms = unix_ms;
        self.lapse_silent(now);
        self.note_silence(now);
        if may_act {
            self.renew(now);
            self.send_stops(now);
            let due = self.ready.next_due_unix_ms();
            let wanted = self.placement_wanted || due.is_some_and(|due| unix_ms >= due);
            if wanted && now >= self.next_placement_at {
                self.placement_wanted = false;
                self.next_placement_at = now + self.upstreams.len() as u64 / PLACED_PER_MS;
                self.place_all(now, unix_ms);
            }
        }
        self.sweep_ended(now);
        self.commit(now);
    }

    /// Returns when something is due next, at the latest.
    #[must_use]
    pub fn next_due_at(&self, now: u64, unix_ms: u64) -> u64 {
        /// Longest time between two ticks, in milliseconds.
        const MAX_PAUSE_MS: u64 = 250;
        let mut due = now + MAX_PAUSE_MS;
        for entry in self.upstreams.values() {
            if !entry.hold_in_flight {
                due = due.min(entry.next_hold_at);
            }
        }
        if self.placement_wanted {
            due = due.min(self.next_placement_at);
        }
        if !self.commits.is_empty() {
            due = due.min(self.commits.last_sent_at() + self.settings.commit_interval_ms);
        }
        if let Some(due_unix_ms) = self.ready.next_due_unix_ms() {
            due = due.min(now + due_unix_ms.saturating_sub(unix_ms));
        }
        due.max(now)
    }

    /// Frees the runs of upstreams whose leases have all run out without an answer.
    fn lapse_silent(&mut self, now: u64) {
        let lapsed: Vec<_> = self
            .upstreams
            .iter()
            .filter(|(_, entry)| now >= entry.lapse_at && now > entry.answered_at + 1000)
            .filter(|(id, entry)| {
                !entry.runs.is_empty() || self.unseen.contains_key(*id) || !entry.listed
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in lapsed {
            self.unseen.remove(&id);
            self.release_all(now, &id);
            let unlisted = self.upstreams.get(&id).is_some_and(|entry| !entry.listed);
            if unlisted {
                self.upstreams.remove(&id);
                self.roster_changed = true;
            }
        }
    }

    /// Has the runs of silent upstreams journaled, and then that they are silent.
    fn note_silence(&mut self, now: u64) {
        let stored_mark = self.commits.stored_mark();
        let mut dirty = Vec::new();
        let mut changed = false;
        for (id, entry) in &mut self.upstreams {
            let heard_at = entry.answered_at.max(self.recovered_at);
            let silent = now.saturating_sub(heard_at) > SILENT_MS && entry.lapse_at > now;
            let holds_leases = !entry.runs.is_empty();
            match entry.silence {
                Silence::None if silent && holds_leases => {
                    let runs = entry.runs.keys().map(|name| name.submission.clone());
                    dirty.push((id.clone(), runs.collect::<Vec<_>>()));
                }
                Silence::Noted(mark) if silent && mark <= stored_mark => {
                    entry.silence = Silence::Journaled;
                    changed = true;
                }
                Silence::Noted(_) if !silent => entry.silence = Silence::None,
                Silence::Journaled if !silent && entry.answered_at > 0 => {
                    entry.silence = Silence::None;
                    entry.enrolled = false;
                    changed = true;
                }
                _ => {}
            }
        }
        self.roster_changed |= changed;
        for (id, submissions) in dirty {
            let marks = submissions
                .iter()
                .map(|submission| self.note_change(submission, false));
            let mark = marks.max().unwrap_or(0);
            if let Some(entry) = self.upstreams.get_mut(&id) {
                entry.silence = Silence::Noted(mark);
            }
        }
    }

    fn renew(&mut self, now: u64) {
        let settings = self.settings;
        for (id, entry) in &mut self.upstreams {
            let unjournaled = !entry.unjournaled.is_empty();
            let wait_for_journal = if unjournaled { JOURNAL_WAIT_MS } else { 0 };
            if entry.hold_in_flight || now < entry.next_hold_at + wait_for_journal {
                continue;
            }
            let busy = !entry.runs.is_empty();
            let known = entry.inventoried.is_some();
            let silent = now.saturating_sub(entry.answered_at) > settings.max_contact_age_ms;
            let may_grant = entry.enrolled && entry.silence == Silence::None && !silent;
            let deadline_ms = if busy && known && may_grant {
                entry.grant(now, settings.task_lease_ms)
            } else {
                None
            };
            entry.hold_in_flight = true;
            self.effects.push(OwnerEffect::Renew(RenewOrder {
                upstream: id.clone(),
                address: entry.report.address.clone(),
                epoch: self.epoch,
                ack_number: entry.ack_number,
                deadline_ms,
                wait_ms: match (busy && known, entry.has_urgent_runs()) {
                    (false, _) => 0,
                    (true, false) => settings.renewal_wait_ms,
                    (true, true) => settings.urgent_renewal_wait_ms,
                },
            }));
        }
    }

    fn send_stops(&mut self, now: u64) {
        for (id, entry) in &mut self.upstreams {
            if !std::mem::take(&mut entry.stops_pending) {
                continue;
            }
            for (name, run) in &mut entry.runs {
                let wanted = matches!(run.phase, RunPhase::Stopping | RunPhase::Unsure);
                if !wanted || run.stop_accepted_at.is_some() {
                    continue;
                }
                entry.stops_pending = true;
                if now < run.stop_due_at {
                    continue;
                }
                run.stop_due_at = now + self.settings.stop_retry_interval_ms;
                self.effects.push(OwnerEffect::Stop(StopOrder {
                    task: name.clone(),
                    attempt: run.attempt,
                    upstream: id.clone(),
                    address: entry.report.address.clone(),
                    epoch: self.epoch,
                }));
            }
        }
    }

    /// Stops a run of a submission that nobody knows.
    pub(super) fn stop_stranger(&mut self, upstream: &Arc<str>, name: &TaskName, attempt: u32) {
        let Some(entry) = self.upstreams.get(upstream) else {
            return;
        };
        self.effects.push(OwnerEffect::Stop(StopOrder {
            task: name.clone(),
            attempt,
            upstream: upstream.clone(),
            address: entry.report.address.clone(),
            epoch: self.epoch,
        }));
    }

    /// Moves submissions out whose last run has ended, and forgets ends that were kept long enough.
    fn sweep_ended(&mut self, now: u64) {
        if now < self.next_sweep_at {
            return;
        }
        self.next_sweep_at = now + SWEEP_INTERVAL_MS;
        let keep_ms = self.settings.final_state_retention_ms;
        let mut over = Vec::new();
        for (id, entry) in &self.submissions {
            if entry.moved && now > entry.stored_at + keep_ms {
                self.expired.push_back(id.clone());
            } else if entry.stored && !entry.moved && entry.is_over() && now >= self.recovery_until
            {
                over.push(id.clone());
            }
        }
        for id in &self.expired {
            self.submissions.remove(id);
        }
        for id in over {
            self.note_change(&id, false);
        }
    }

    /// Takes ends of submissions that an earlier owner stored and that were kept long enough.
    pub fn add_expired(&mut self, ids: Vec<Arc<str>>) {
        self.expired.extend(ids);
    }

    /// Takes cancellings that were stored after their submissions had ended.
    pub fn add_stale_cancels(&mut self, ids: Vec<Arc<str>>) {
        self.stale_cancels.extend(ids);
    }

    fn commit(&mut self, now: u64) {
        for lane in self.commits.free_lanes(now) {
            let spaced = now >= self.commits.last_sent_at() + self.settings.commit_interval_ms;
            let extra = lane == 0
                && (!self.expired.is_empty()
                    || !self.stale_cancels.is_empty()
                    || self.roster_changed);
            let wanted = extra || !self.commits.is_empty();
            if wanted && (self.commits.urgent || spaced) {
                self.send_commit(now, lane);
            }
        }
    }

    /// Sends a commit of a lane, if there is anything to send.
    fn send_commit(&mut self, now: u64, lane: usize) {
        let submissions = &self.submissions;
        let ids = self.commits.take(
            now,
            lane,
            |id| match submissions.get(id) {
                Some(entry) if entry.state.is_final() => CommitUrgency::Final,
                Some(entry) if entry.planned_runs > 0 => CommitUrgency::Planned,
                _ => CommitUrgency::Other,
            },
            |id| match submissions.get(id) {
                Some(entry) if entry.is_over() => ENDED_ENTRIES,
                _ => PROGRESS_ENTRIES,
            },
        );
        let mut batch = CommitBatch {
            lane,
            ..CommitBatch::default()
        };
        let mut left = MAX_ENTRIES;
        for id in &ids {
            let found = self.submissions.get(id).filter(|entry| !entry.moved);
            let Some(entry) = found else {
                continue;
            };
            if entry.is_over() {
                left = left.saturating_sub(ENDED_ENTRIES);
                batch.ended.push(EndedSubmission {
                    id: id.clone(),
                    state: entry.state,
                    ended_unix_ms: self.unix_ms,
                });
            } else {
                left = left.saturating_sub(PROGRESS_ENTRIES);
                batch.progress.push((id.clone(), entry.progress()));
            }
        }
        if lane == 0 {
            let count = self.expired.len().min(left);
            batch.expired = self.expired.drain(..count).collect();
            let count = self.stale_cancels.len().min(left - count);
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
                incarnation_unix_ms: entry.report.incarnation_unix_ms,
                leases_expire_unix_ms: (entry.silence == Silence::Journaled)
                    .then(|| self.unix_ms + entry.lapse_at.saturating_sub(now)),
            })
            .collect()
    }

    /// Takes the outcome of a commit.
    pub fn on_commit(&mut self, now: u64, batch: &CommitBatch, outcome: CommitOutcome) {
        let stored = outcome == CommitOutcome::Stored;
        let ids = self.commits.finish(batch.lane, stored);
        match outcome {
            CommitOutcome::Fenced => self.depose(),
            CommitOutcome::Unknown => {
                self.expired.extend(batch.expired.iter().cloned());
                let strays = batch.stale_cancels.iter().cloned();
                self.stale_cancels.extend(strays);
                self.roster_changed |= batch.roster.is_some();
            }
            CommitOutcome::Stored => {
                self.placement_wanted = true;
                for id in ids {
                    self.note_stored(now, &id, batch);
                }
                for (id, progress) in &batch.progress {
                    self.send_planned(now, id, progress);
                }
                for ended in &batch.ended {
                    self.note_moved(now, &ended.id);
                }
                for member in batch.roster.iter().flatten() {
                    if let Some(entry) = self.upstreams.get_mut(&member.id) {
                        entry.enrolled = true;
                    }
                }
                let mark = self.commits.stored_mark();
                for entry in self.upstreams.values_mut() {
                    entry.acknowledge(mark);
                }
            }
        }
    }

    fn note_stored(&mut self, now: u64, id: &Arc<str>, batch: &CommitBatch) {
        let written = batch.progress.iter().find(|(written, _)| written == id);
        let Some((entry, (_, progress))) = self.submissions.get_mut(id).zip(written) else {
            return;
        };
        if progress.state.is_final() && !entry.stored {
            entry.stored = true;
            entry.stored_at = now;
            entry.occurrences = Vec::new();
        }
    }

    fn note_moved(&mut self, now: u64, id: &Arc<str>) {
        if let Some(entry) = self.submissions.get_mut(id) {
            if !entry.stored {
                entry.stored_at = now;
            }
            entry.stored = true;
            entry.moved = true;
            entry.occurrences = Vec::new();
        }
    }

    /// Sums what each team has booked, for checks.
    #[must_use]
    pub fn usage_of(&self, team: &str) -> ResourceSize {
        self.team_usage.get(team).copied().unwrap_or_default()
    }
}
