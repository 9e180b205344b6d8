//! What upstreams list: runs and ends.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::model::{FinishedRun, RenewReply, RunOutcome, RunReport, SubmissionState, TaskName};
use crate::owner::OwnerMachine;
use crate::owner::submission_entry::{OccurrenceEntry, SubmissionEntry, TaskPhase};
use crate::owner::upstream_entry::{ClockReading, RunPhase};

/// Submissions with a failed run in a row before an upstream is on probation.
const PROBATION_FAILURES: usize = 2;

/// First time on probation without a start, in milliseconds; it doubles.
const PROBATION_MS: u64 = 1500;

/// Most doublings of the time on probation.
const MAX_PROBATION_DOUBLINGS: u32 = 3;

/// Time in which upstreams list the ends of the other members of a gang, in milliseconds.
const GANG_END_PAUSE_MS: u64 = 500;

/// Pause of a task whose run failed, in milliseconds.
const FAILED_PAUSE_MS: u64 = 20;

impl OwnerMachine {
    /// Takes the answer to a renewal that was sent at `sent_at`.
    pub fn on_renewed(&mut self, now: u64, sent_at: u64, upstream: &Arc<str>, answer: &RenewReply) {
        let Some(entry) = self.upstreams.get_mut(upstream) else {
            return;
        };
        entry.hold_in_flight = false;
        let reborn = entry
            .inventoried
            .is_some_and(|born| born != answer.incarnation_unix_ms)
            || (entry.inventoried.is_none()
                && entry.report.incarnation_unix_ms != answer.incarnation_unix_ms);
        let late = entry.clock.is_some_and(|clock| sent_at < clock.received_at);
        if late && !reborn && entry.inventoried.is_some() {
            entry.next_hold_at = now;
            return;
        }
        if reborn {
            self.forget_incarnation(upstream);
        }
        let Some(entry) = self.upstreams.get_mut(upstream) else {
            return;
        };
        entry.clock = Some(ClockReading {
            clock_ms: answer.clock_ms,
            received_at: now,
        });
        entry.answered_at = now;
        let first = entry.inventoried.is_none();
        entry.inventoried = Some(answer.incarnation_unix_ms);
        let ended_any = self.take_ends(now, upstream, &answer.finished);
        self.take_runs(now, sent_at, upstream, &answer.running);
        self.stop_standing(now, upstream);
        if first {
            self.unseen.remove(upstream);
        }
        self.plan_next_hold(now, upstream, ended_any);
        if first || ended_any {
            self.placement_wanted = true;
        }
    }

    fn plan_next_hold(&mut self, now: u64, upstream: &Arc<str>, ended_any: bool) {
        let settings = self.settings;
        let Some(entry) = self.upstreams.get_mut(upstream) else {
            return;
        };
        let spacing = if entry.runs.is_empty() && entry.unjournaled.is_empty() {
            settings.idle_renewal_interval_ms
        } else if ended_any && !entry.has_urgent_runs() {
            settings.batch_renewal_delay_ms
        } else {
            0
        };
        entry.next_hold_at = now + spacing;
    }

    /// Takes a renewal without a usable answer.
    pub fn on_renewal_failed(&mut self, now: u64, upstream: &Arc<str>) {
        /// Pause after a renewal without an answer, in milliseconds.
        const FAILED_HOLD_PAUSE_MS: u64 = 300;
        if let Some(entry) = self.upstreams.get_mut(upstream) {
            entry.hold_in_flight = false;
            entry.next_hold_at = now + FAILED_HOLD_PAUSE_MS;
        }
    }

    /// Takes a renewal that another epoch has fenced off.
    pub fn on_renewal_fenced(&mut self) {
        self.depose();
    }

    /// Takes the news that another upstream answers at an address: the one that was there has ended.
    ///
    /// News of an address that it has left says nothing of where it is now.
    pub fn on_other_incarnation(&mut self, now: u64, upstream: &Arc<str>, address: &str) {
        let entry = self.upstreams.get_mut(upstream);
        let Some(entry) = entry.filter(|entry| &*entry.report.address != address) else {
            self.on_gone(now, upstream);
            return;
        };
        entry.hold_in_flight = false;
        entry.next_hold_at = now;
    }

    /// Takes the news that the upstream's incarnation has ended: nothing runs there any more.
    pub(super) fn on_gone(&mut self, now: u64, upstream: &Arc<str>) {
        self.forget_incarnation(upstream);
        self.release_all(now, upstream);
        self.unseen.remove(upstream);
        if let Some(entry) = self.upstreams.get_mut(upstream) {
            entry.hold_in_flight = false;
            entry.inventoried = None;
            entry.lapse_at = 0;
            entry.next_hold_at = now + self.settings.idle_renewal_interval_ms;
        }
    }

    /// Forgets the ends of a previous incarnation. Its runs are freed as the next list does not show
    /// them: an order may just have reached the new incarnation.
    fn forget_incarnation(&mut self, upstream: &Arc<str>) {
        if let Some(entry) = self.upstreams.get_mut(upstream) {
            entry.last_finished_number = 0;
            entry.ack_number = 0;
            entry.unjournaled.clear();
            entry.strangers = 0;
            entry.inventoried = None;
            entry.failures.clear();
        }
    }

    /// Frees every run of an upstream, and stops the gangs that it breaks.
    pub(super) fn release_all(&mut self, now: u64, upstream: &Arc<str>) {
        let Some(entry) = self.upstreams.get(upstream) else {
            return;
        };
        let names = entry.runs.keys().cloned().collect();
        self.release_runs(now, upstream, names);
    }

    fn release_runs(&mut self, now: u64, upstream: &Arc<str>, names: Vec<TaskName>) {
        for name in names {
            self.release(now, upstream, &name);
            self.stop_gang(now, &name);
            self.note_change(&name.submission, false);
        }
    }

    /// Takes the listed ends that are new; tells whether there were any.
    fn take_ends(&mut self, now: u64, upstream: &Arc<str>, ended: &[FinishedRun]) -> bool {
        let mut any = false;
        for end in ended {
            let Some(entry) = self.upstreams.get_mut(upstream) else {
                return any;
            };
            if end.number <= entry.last_finished_number {
                continue;
            }
            entry.last_finished_number = end.number;
            any = true;
            let mark = self.take_end(now, upstream, end);
            if let Some(entry) = self.upstreams.get_mut(upstream) {
                entry.unjournaled.push_back((end.number, mark));
            }
        }
        any
    }

    /// Takes one end; returns the mark of the change that has to be stored first.
    fn take_end(&mut self, now: u64, upstream: &Arc<str>, end: &FinishedRun) -> u64 {
        let Some(name) = TaskName::parse(&end.task) else {
            return 0;
        };
        let present = self
            .upstreams
            .get(upstream)
            .and_then(|entry| entry.runs.get(&name))
            .is_some_and(|run| run.attempt <= end.attempt);
        if present && let Some(run) = self.release(now, upstream, &name) {
            self.learn_slowness(now, upstream, &name, &run, end.outcome);
        }
        let Some(submission) = self.submissions.get(&name.submission) else {
            return 0;
        };
        let id = submission.record.id.clone();
        if submission.state.is_final() && submission.stored {
            return 0;
        }
        let is_stale = self
            .task_mut(&name)
            .is_some_and(|task| task.phase == TaskPhase::Placed && end.attempt < task.attempt);
        if is_stale {
            // The lease of this run had lapsed, and a newer attempt runs: only that one can be done.
            if end.outcome == RunOutcome::Failed {
                self.count_failure(now, upstream, &name, end.attempt);
            }
            return self.note_change(&id, false);
        }
        if let Some(task) = self.task_mut(&name) {
            task.attempt = task.attempt.max(end.attempt);
            if !end.checkpoint.is_empty() {
                task.checkpoint = Some(end.checkpoint.clone());
            }
        }
        self.keep_gang_checkpoint(&name, &end.checkpoint);
        match end.outcome {
            RunOutcome::Done => self.finish_task(now, upstream, &name),
            RunOutcome::Failed => self.fail_task(now, upstream, &name, end.attempt),
            RunOutcome::Stopped | RunOutcome::Lapsed | RunOutcome::Broken | RunOutcome::Alone => {
                self.stop_gang(now, &name);
            }
        }
        self.note_change(&id, false)
    }

    fn keep_gang_checkpoint(&mut self, name: &TaskName, checkpoint: &Arc<str>) {
        if checkpoint.is_empty() {
            return;
        }
        let Some(entry) = self.submissions.get_mut(&name.submission) else {
            return;
        };
        if entry
            .record
            .steps
            .get(name.step as usize)
            .is_some_and(|step| step.gang)
            && let Some(step) = entry
                .occurrences
                .get_mut(name.occurrence as usize)
                .and_then(|occurrence| occurrence.steps.get_mut(name.step as usize))
        {
            step.gang_checkpoint = Some(checkpoint.clone());
        }
    }

    /// Notes that a task, or the whole gang, is done.
    fn finish_task(&mut self, now: u64, upstream: &Arc<str>, name: &TaskName) {
        if let Some(entry) = self.upstreams.get_mut(upstream) {
            entry.failures.clear();
            entry.probation_rounds = 0;
        }
        let Some(entry) = self.submissions.get_mut(&name.submission) else {
            return;
        };
        let Some(spec) = entry.record.steps.get(name.step as usize) else {
            return;
        };
        if spec.long_running {
            return;
        }
        let gang = spec.gang;
        let Some(step) = entry
            .occurrences
            .get_mut(name.occurrence as usize)
            .and_then(|occurrence| occurrence.steps.get_mut(name.step as usize))
        else {
            return;
        };
        let mut others = Vec::new();
        for (index, task) in (0..).zip(&mut step.tasks) {
            if (gang || index == name.index) && task.phase != TaskPhase::Done {
                if let Some(elsewhere) = task.upstream.take() {
                    others.push((
                        TaskName {
                            index,
                            ..name.clone()
                        },
                        elsewhere,
                    ));
                }
                task.phase = TaskPhase::Done;
                step.done += 1;
            }
        }
        let step_done = step.is_done();
        let complete = step_done && entry.occurrences.iter().all(OccurrenceEntry::is_done);
        let id = entry.record.id.clone();
        let active = entry.is_active();
        for (member, elsewhere) in others {
            self.stop_run(now + GANG_END_PAUSE_MS, &elsewhere, &member);
        }
        if step_done && active {
            self.ready.note(&id);
        }
        if complete && active {
            self.end_submission(now, &id, SubmissionState::Completed);
        }
    }

    /// Counts a failed run; the submission fails with its last attempt.
    fn fail_task(&mut self, now: u64, upstream: &Arc<str>, name: &TaskName, attempt: u32) {
        self.count_upstream_failure(now, upstream, &name.submission);
        self.stop_gang(now, name);
        self.count_failure(now, upstream, name, attempt);
    }

    /// Counts a failed attempt of a task, or of its gang.
    fn count_failure(&mut self, now: u64, upstream: &Arc<str>, name: &TaskName, attempt: u32) {
        let Some(entry) = self.submissions.get(&name.submission) else {
            return;
        };
        let record = entry.record.clone();
        let max_attempts = self.queue_of(&record).max_attempts.max(1);
        let Some(spec) = record.steps.get(name.step as usize) else {
            return;
        };
        let Some(entry) = self.submissions.get_mut(&name.submission) else {
            return;
        };
        let Some(step) = entry
            .occurrences
            .get_mut(name.occurrence as usize)
            .and_then(|occurrence| occurrence.steps.get_mut(name.step as usize))
        else {
            return;
        };
        let Some(task) = step.tasks.get_mut(name.index as usize) else {
            return;
        };
        task.failed.insert(attempt);
        task.failed_on = Some(upstream.clone());
        task.not_before = now + FAILED_PAUSE_MS;
        let mut failed = task.failed.len();
        if spec.gang {
            failed = step.gang_failures();
        }
        if !spec.long_running && failed >= max_attempts as usize && entry.is_active() {
            let id = record.id.clone();
            self.end_submission(now, &id, SubmissionState::Failed);
        }
    }

    /// Puts an upstream on probation that fails the work of several submissions.
    fn count_upstream_failure(&mut self, now: u64, upstream: &Arc<str>, submission: &Arc<str>) {
        let Some(entry) = self.upstreams.get_mut(upstream) else {
            return;
        };
        if !entry.failures.contains(submission) {
            entry.failures.push(submission.clone());
        }
        if entry.failures.len() >= PROBATION_FAILURES || entry.probation_rounds > 0 {
            self.suspect(now, upstream);
        }
    }

    /// Puts an upstream on probation, for longer each time.
    pub(super) fn suspect(&mut self, now: u64, upstream: &Arc<str>) {
        let Some(entry) = self.upstreams.get_mut(upstream) else {
            return;
        };
        if now < entry.probation_until {
            return;
        }
        let doublings = entry.probation_rounds.min(MAX_PROBATION_DOUBLINGS);
        entry.probation_until = now + (PROBATION_MS << doublings);
        entry.probation_rounds += 1;
        entry.failures.clear();
    }

    /// Takes the listed runs: adopts, stops or confirms them, and frees runs that are missing.
    fn take_runs(&mut self, now: u64, sent_at: u64, upstream: &Arc<str>, running: &[RunReport]) {
        let mut present = BTreeMap::new();
        let mut strangers = 0;
        for report in running {
            match TaskName::parse(&report.task) {
                Some(name) => {
                    present.insert(name, report);
                }
                None => strangers += 1,
            }
        }
        for (name, report) in &present {
            if !self.confirm_run(now, upstream, name, report) {
                strangers += 1;
            }
        }
        if let Some(entry) = self.upstreams.get_mut(upstream) {
            entry.strangers = strangers;
        }
        self.free_missing(now, sent_at, upstream, &present);
    }

    /// Confirms or adopts a listed run; tells whether its size is known.
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
        // A run that was not ordered yet can't be the one that is listed.
        let planned = entry.runs.get(name).map(|run| run.phase);
        if planned == Some(RunPhase::Planned) {
            self.release(now, upstream, name);
            return self.adopt_run(now, upstream, name, report);
        }
        if let Some(run) = entry.runs.get_mut(name) {
            run.attempt = run.attempt.max(report.attempt);
            if run.percent != report.percent || run.percent_since == 0 {
                run.percent = report.percent;
                run.percent_since = now;
            }
            run.answered_at.get_or_insert(now);
            if run.phase == RunPhase::Starting
                || (run.phase == RunPhase::Unsure && run.stop_accepted_at.is_none())
            {
                run.phase = RunPhase::Running;
            }
            if !report.checkpoint.is_empty() {
                if let Some(task) = self.task_mut(name) {
                    task.checkpoint = Some(report.checkpoint.clone());
                }
                self.keep_gang_checkpoint(name, &report.checkpoint);
            }
            self.begin(&name.submission);
            return true;
        }
        self.adopt_run(now, upstream, name, report)
    }

    fn adopt_run(
        &mut self,
        now: u64,
        upstream: &Arc<str>,
        name: &TaskName,
        report: &RunReport,
    ) -> bool {
        let Some(run) = self.make_run(name, report.attempt, RunPhase::Running, now) else {
            self.stop_stranger(upstream, name, report.attempt);
            return false;
        };
        self.begin(&name.submission);
        let active = self
            .submissions
            .get(&name.submission)
            .is_some_and(SubmissionEntry::is_active);
        let mut wanted = active;
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
                wanted = false;
            }
        }
        self.book(upstream, name, run);
        self.note_change(&name.submission, false);
        if !wanted {
            self.stop_run(now, upstream, name);
        }
        true
    }

    /// Frees runs that the upstream does not list although it was asked after it had answered their
    /// start. Within the same millisecond the question may have come first.
    fn free_missing(
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
                let settled = run.answered_at.is_some_and(|at| at < sent_at);
                let stopped = run.stop_accepted_at.is_some_and(|at| at < sent_at);
                stopped
                    || (settled && run.phase != RunPhase::Unsure && run.phase != RunPhase::Starting)
            })
            .map(|(name, _)| name.clone())
            .collect();
        for name in missing {
            self.release(now, upstream, &name);
            self.stop_gang(now, &name);
            self.note_change(&name.submission, false);
        }
    }
}
