//! Replies to renewals: each is an inventory of the running and finished runs of an upstream.
//!
//! The first inventory that a new owner receives of an upstream shows which runs of earlier owners
//! exist there. Later ones confirm started runs, and report runs that finished or disappeared.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::model::{RenewReply, RunReport, TaskName};
use crate::owner::submission_entry::{SubmissionEntry, TaskPhase};
use crate::owner::upstream_entry::{ClockReading, RunPhase, SentAssumptions, UpstreamEntry};
use crate::owner::{
    DoubtReason, LeaseTerm, MissingFinishedRuns, OwnerEffect, OwnerMachine, ReleaseCause,
    RestartReport, StopReason,
};

impl OwnerMachine {
    /// Handles the reply to a renewal that was sent at `sent_at`.
    pub fn on_renewed(&mut self, now: u64, sent_at: u64, upstream: &Arc<str>, reply: &RenewReply) {
        let Some(entry) = self.upstreams.get_mut(upstream) else {
            return;
        };
        entry.renewal_in_flight = false;
        let restarted = entry
            .run_list_incarnation
            .is_some_and(|incarnation| incarnation != reply.incarnation_unix_ms)
            || (entry.run_list_incarnation.is_none()
                && entry.report.incarnation_unix_ms != reply.incarnation_unix_ms);
        let sent_before_last_reply = entry.clock.is_some_and(|clock| sent_at < clock.received_at);
        // The list is older than the last one that was processed.
        if sent_before_last_reply && entry.run_list_incarnation.is_some() {
            entry.schedule_renewal(now, &mut self.renewal_queue);
            return;
        }
        let placed_on = entry.runs_incarnation;
        let is_same = placed_on.is_none_or(|placed_on| placed_on == reply.incarnation_unix_ms);
        let cause = if is_same {
            ReleaseCause::Answered
        } else {
            ReleaseCause::OtherIncarnation
        };
        self.effects.extend(entry.end_held_runs(now, cause));
        let fell_at = entry.silent_since.take().unwrap_or(now);
        let victims = entry.take_crash_victims(reply);
        let has_list = entry.run_list_incarnation.is_some();
        let knows_numbers = has_list && (restarted || entry.last_finished_number > 0);
        if restarted {
            let incarnation = reply.incarnation_unix_ms;
            self.ticket_incarnations.record(now, upstream, incarnation);
            self.report_restart(now, upstream, reply);
            self.reset_incarnation(upstream);
        }
        if knows_numbers {
            self.report_missing_finished(upstream, reply);
        }
        let Some(entry) = self.upstreams.get_mut(upstream) else {
            return;
        };
        entry.assumptions = SentAssumptions::default();
        entry.confirm_ack(reply.finished.first().map(|finished| finished.number));
        entry.clock = Some(ClockReading {
            clock_ms: reply.clock_ms,
            received_at: now,
        });
        entry.answered_at = now;
        let is_first_list = entry.run_list_incarnation.is_none();
        entry.run_list_incarnation = Some(reply.incarnation_unix_ms);
        if restarted {
            self.meet_incarnation(now, upstream, !has_list);
        }
        let settled = self.settle_doubt(now, sent_at, upstream);
        let any_finished = self.process_finished(now, upstream, &reply.finished);
        self.process_running(now, sent_at, upstream, reply);
        if !victims.is_empty() {
            self.record_crash(now, fell_at, upstream, &victims);
        }
        self.stop_stalled_runs(now, upstream);
        if let Some(doubt) = settled {
            self.resume_starts(now, upstream, doubt);
        }
        if is_first_list {
            self.awaiting_first_reply.remove(upstream);
        }
        if !self.schedule_check(now, upstream) {
            self.schedule_renewal(now, upstream, any_finished);
        }
        if is_first_list || any_finished {
            self.request_placement();
        }
    }

    fn schedule_renewal(&mut self, now: u64, upstream: &Arc<str>, any_finished: bool) {
        let settings = self.settings;
        let Some(entry) = self.upstreams.get_mut(upstream) else {
            return;
        };
        let is_idle = entry.runs.is_empty() && entry.uncommitted.is_empty();
        let delay_ms = if is_idle && entry.due_ack() == 0 {
            settings.idle_renewal_interval_ms
        } else if any_finished && !entry.has_urgent_runs() {
            settings.batch_renewal_delay_ms
        } else {
            0
        };
        entry.schedule_renewal(now + delay_ms, &mut self.renewal_queue);
    }

    /// Handles a renewal without a usable reply.
    pub fn on_renewal_failed(&mut self, now: u64, upstream: &Arc<str>) {
        /// Delay before the next renewal after one without a reply, in milliseconds; the first is
        /// repeated at once, because nothing can be started before an answer.
        const FAILED_RENEWAL_DELAY_MS: u64 = 300;
        if let Some(entry) = self.upstreams.get_mut(upstream) {
            entry.renewal_in_flight = false;
            let is_first = entry.silent_since.is_none();
            entry.silent_since.get_or_insert(now);
            let delay_ms = if is_first { 0 } else { FAILED_RENEWAL_DELAY_MS };
            entry.schedule_renewal(now + delay_ms, &mut self.renewal_queue);
            entry.raise_doubt(now, DoubtReason::RenewalUnanswered);
            self.view_cache.mark_changed(upstream);
        }
        self.extend_isolation(now, upstream);
    }

    /// Handles a renewal with a fencing token that was rejected because the upstream has seen a
    /// higher one.
    pub fn on_renewal_fenced(&mut self, now: u64, upstream: &Arc<str>, fence: u64) {
        if !self.is_outdated_fence(upstream, fence) {
            self.step_down();
        } else if let Some(entry) = self.upstreams.get_mut(upstream) {
            entry.renewal_in_flight = false;
            entry.schedule_renewal(now, &mut self.renewal_queue);
        }
    }

    /// Handles the report that another upstream or incarnation answers at an address: the one
    /// expected there has ended.
    ///
    /// If the upstream has since moved to another address, this says nothing about its current
    /// state.
    pub fn on_other_incarnation(&mut self, now: u64, upstream: &Arc<str>, address: &str) {
        let entry = self.upstreams.get_mut(upstream);
        let Some(entry) = entry.filter(|entry| &*entry.report.address != address) else {
            self.on_incarnation_ended(now, upstream, ReleaseCause::OtherIncarnation);
            return;
        };
        entry.renewal_in_flight = false;
        entry.schedule_renewal(now, &mut self.renewal_queue);
    }

    /// Handles the end of an upstream's incarnation: none of its runs exist any more.
    pub(super) fn on_incarnation_ended(
        &mut self,
        now: u64,
        upstream: &Arc<str>,
        cause: ReleaseCause,
    ) {
        let entry = self.upstreams.get_mut(upstream);
        let (fell_at, victims) = entry.map_or((now, Vec::new()), |entry| {
            self.effects.extend(entry.end_held_runs(now, cause));
            let fell_at = entry.silent_since.take().unwrap_or(now);
            (fell_at, entry.take_ended_victims())
        });
        self.reset_incarnation(upstream);
        self.release_all(now, upstream);
        self.awaiting_first_reply.remove(upstream);
        if !victims.is_empty() {
            self.record_crash(now, fell_at, upstream, &victims);
        }
        if let Some(entry) = self.upstreams.get_mut(upstream) {
            entry.renewal_in_flight = false;
            entry.run_list_incarnation = None;
            entry.leases_expire_at = 0;
            entry.former_leases_until = 0;
            entry.doubt_other_incarnation(now);
            self.view_cache.mark_changed(upstream);
            entry.lease_term = LeaseTerm::OwnLeases;
            let at = now + self.settings.idle_renewal_interval_ms;
            entry.schedule_renewal(at, &mut self.renewal_queue);
        }
    }

    fn report_restart(&mut self, now: u64, upstream: &Arc<str>, reply: &RenewReply) {
        let Some(entry) = self.upstreams.get(upstream) else {
            return;
        };
        let earlier = entry.run_list_incarnation.or(entry.runs_incarnation);
        self.effects.push(OwnerEffect::ReportRestart(RestartReport {
            upstream: upstream.clone(),
            earlier_incarnation_unix_ms: earlier,
            incarnation_unix_ms: reply.incarnation_unix_ms,
            clock_ms: reply.clock_ms,
            lease_orders: entry.assumptions.lease_orders,
            ack_number: entry.assumptions.ack_number,
            leases_expire_in_ms: entry.leases_expire_at.saturating_sub(now),
            run_count: entry.runs.len(),
        }));
    }

    /// Reports finished runs that the upstream has forgotten before this owner saw them.
    fn report_missing_finished(&mut self, upstream: &Arc<str>, reply: &RenewReply) {
        let Some(entry) = self.upstreams.get(upstream) else {
            return;
        };
        let Some(first) = reply.finished.first() else {
            return;
        };
        if first.number > entry.last_finished_number + 1 {
            self.effects
                .push(OwnerEffect::ReportMissingFinished(MissingFinishedRuns {
                    upstream: upstream.clone(),
                    last_seen_number: entry.last_finished_number,
                    first_listed_number: first.number,
                }));
        }
    }

    /// Discards what is known of a previous incarnation's finished runs. Its other runs are
    /// released only when the next list does not contain them, because an order may already have
    /// reached the new incarnation.
    fn reset_incarnation(&mut self, upstream: &Arc<str>) {
        if let Some(entry) = self.upstreams.get_mut(upstream) {
            entry.last_finished_number = 0;
            entry.ack_number = 0;
            entry.confirmed_ack = 0;
            entry.uncommitted.clear();
            entry.unknown_runs = 0;
            entry.run_list_incarnation = None;
            entry.failed_submissions.clear();
        }
    }

    /// Releases every run of an upstream and stops the gangs that lose a member.
    pub(super) fn release_all(&mut self, now: u64, upstream: &Arc<str>) {
        let Some(entry) = self.upstreams.get(upstream) else {
            return;
        };
        let names = entry.runs.keys().cloned().collect();
        self.release_runs(now, upstream, names);
    }

    pub(super) fn release_runs(&mut self, now: u64, upstream: &Arc<str>, names: Vec<TaskName>) {
        for name in names {
            self.release(now, upstream, &name);
            self.stop_gang(now, &name);
            self.record_change(&name.submission, false);
        }
    }

    /// Processes the listed runs: confirms, adopts or stops them, and releases runs that are
    /// missing from complete lists.
    fn process_running(&mut self, now: u64, sent_at: u64, upstream: &Arc<str>, reply: &RenewReply) {
        let mut present = BTreeMap::new();
        let mut unknown_runs = 0;
        for report in &reply.running {
            match TaskName::parse(&report.task) {
                Some(name) => {
                    present.insert(name, report);
                }
                None => unknown_runs += 1,
            }
        }
        for (name, report) in &present {
            if !self.confirm_run(now, upstream, name, report) {
                unknown_runs += 1;
            }
        }
        if let Some(entry) = self.upstreams.get_mut(upstream) {
            entry.unknown_runs = unknown_runs;
        }
        // A missing run may have finished beyond the end of a truncated list, or be started by an
        // earlier order that a new incarnation does not reject yet.
        let is_unfenced = self
            .upstreams
            .get(upstream)
            .is_some_and(UpstreamEntry::is_unfenced);
        if !reply.finished_truncated && !is_unfenced {
            self.release_missing(now, sent_at, upstream, &present);
        }
    }

    /// Confirms or adopts a listed run; returns false if its submission or step is unknown.
    fn confirm_run(
        &mut self,
        now: u64,
        upstream: &Arc<str>,
        name: &TaskName,
        report: &RunReport,
    ) -> bool {
        let Some(entry) = self.upstreams.get_mut(upstream) else {
            return false;
        };
        // A planned run has not been ordered yet, so the listed run is a different one.
        let phase = entry.runs.get(name).map(|run| run.phase);
        if phase == Some(RunPhase::Planned) {
            self.release(now, upstream, name);
            return self.adopt_run(now, upstream, name, report);
        }
        if let Some(run) = entry.runs.get_mut(name) {
            run.attempt = run.attempt.max(report.attempt);
            if run.percent_since == 0 {
                let submission = self.submissions.get(&name.submission);
                let steps = submission.map(|submission| &submission.record.steps);
                let spec = steps.and_then(|steps| steps.get(name.step as usize));
                let estimate_ms = spec.filter(|spec| !spec.long_running);
                let estimate_ms = estimate_ms.map_or(0, |spec| spec.estimate_ms);
                run.confirm_restored(now, report.percent, estimate_ms);
            }
            if run.percent != report.percent || run.percent_since == 0 {
                run.percent = report.percent;
                run.percent_since = now;
            }
            run.confirmed_at.get_or_insert(now);
            if run.phase == RunPhase::Starting
                || (run.phase == RunPhase::Unconfirmed && run.stop_accepted_at.is_none())
            {
                run.phase = RunPhase::Running;
            }
            let is_sound = run.was_at_work(now);
            entry.check_long_running_probe(now, name);
            if is_sound {
                self.end_step_streak(name);
            }
            if !report.checkpoint.is_empty() {
                if let Some(task) = self.task_mut(name) {
                    task.checkpoint = Some(report.checkpoint.clone());
                }
                self.update_gang_checkpoint(name, &report.checkpoint);
            }
            self.mark_started(&name.submission);
            return true;
        }
        self.adopt_run(now, upstream, name, report)
    }

    /// Allocates a listed run that the owner did not know. Stops it if its submission has ended, or
    /// if its task is done or has a run with the same or a newer attempt number. Returns false if
    /// its submission or step is unknown.
    fn adopt_run(
        &mut self,
        now: u64,
        upstream: &Arc<str>,
        name: &TaskName,
        report: &RunReport,
    ) -> bool {
        let Some(run) = self.new_run(name, report.attempt, RunPhase::Running, now) else {
            self.stop_unknown_run(upstream, name, report.attempt);
            return false;
        };
        self.mark_started(&name.submission);
        let active = self
            .submissions
            .get(&name.submission)
            .is_some_and(SubmissionEntry::is_active);
        let mut keep = active;
        if let Some(task) = self.task_mut(name) {
            let newer = task.phase == TaskPhase::Placed && report.attempt > task.attempt;
            task.attempt = task.attempt.max(report.attempt);
            if active && (task.phase == TaskPhase::Waiting || newer) {
                task.phase = TaskPhase::Placed;
                task.upstream = Some(upstream.clone());
                if !report.checkpoint.is_empty() {
                    task.checkpoint = Some(report.checkpoint.clone());
                }
            } else {
                keep = false;
            }
        }
        self.allocate(upstream, name, run);
        self.record_change(&name.submission, false);
        if !keep {
            let reason = if active {
                StopReason::Superseded
            } else {
                StopReason::SubmissionEnded
            };
            self.stop_run(now, upstream, name, reason);
        }
        true
    }

    /// Releases the runs that an upstream no longer lists. A run is released only if the list was
    /// requested after the upstream confirmed its start or accepted its stop. A request sent in the
    /// same millisecond does not count, because it may have been sent first.
    fn release_missing(
        &mut self,
        now: u64,
        sent_at: u64,
        upstream: &Arc<str>,
        present: &BTreeMap<TaskName, &RunReport>,
    ) {
        let Some(entry) = self.upstreams.get(upstream) else {
            return;
        };
        let missing: Vec<_> = entry
            .runs
            .iter()
            .filter(|(name, _)| !present.contains_key(*name))
            .filter(|(_, run)| {
                let confirmed_before = run.confirmed_at.is_some_and(|at| at < sent_at);
                let stop_accepted_before = run.stop_accepted_at.is_some_and(|at| at < sent_at);
                stop_accepted_before
                    || (confirmed_before
                        && run.phase != RunPhase::Unconfirmed
                        && run.phase != RunPhase::Starting)
            })
            .map(|(name, _)| name.clone())
            .collect();
        for name in missing {
            self.release(now, upstream, &name);
            self.stop_gang(now, &name);
            self.record_change(&name.submission, false);
        }
    }
}
