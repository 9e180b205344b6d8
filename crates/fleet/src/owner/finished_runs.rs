//! Finished runs: completion of tasks and failed attempts.

use std::sync::Arc;

use crate::model::{FinishedRun, RunOutcome, SubmissionState, TaskName};
use crate::owner::failure_streak::YIELD_MS;
use crate::owner::submission_entry::{OccurrenceEntry, TaskPhase};
use crate::owner::{OwnerEffect, OwnerMachine, RetryDelayReport, StopReason};

/// Delay before the other members of a gang are stopped after one is done, in milliseconds; they
/// normally finish by themselves within it.
const GANG_STOP_DELAY_MS: u64 = 500;

/// Delay before a task is retried after a failed run, in milliseconds.
const FAILED_RETRY_DELAY_MS: u64 = 20;

impl OwnerMachine {
    /// Processes the listed finished runs that are new; returns whether there were any.
    pub(super) fn process_finished(
        &mut self,
        now: u64,
        upstream: &Arc<str>,
        finished_runs: &[FinishedRun],
    ) -> bool {
        let mut any = false;
        for finished in finished_runs {
            let Some(entry) = self.upstreams.get_mut(upstream) else {
                return any;
            };
            if finished.number <= entry.last_finished_number {
                continue;
            }
            entry.last_finished_number = finished.number;
            any = true;
            let sequence = self.process_finished_run(now, upstream, finished);
            if let Some(entry) = self.upstreams.get_mut(upstream) {
                entry.uncommitted.push_back((finished.number, sequence));
                self.uncommitted_upstreams.insert(upstream.clone());
            }
        }
        any
    }

    /// Processes one finished run; returns the sequence number of the change that must be stored
    /// before it is acknowledged, or 0 if nothing has to be stored.
    fn process_finished_run(
        &mut self,
        now: u64,
        upstream: &Arc<str>,
        finished: &FinishedRun,
    ) -> u64 {
        let Some(name) = TaskName::parse(&finished.task) else {
            return 0;
        };
        let is_allocated = self
            .upstreams
            .get(upstream)
            .and_then(|entry| entry.runs.get(&name))
            .is_some_and(|run| run.attempt <= finished.attempt);
        if is_allocated && let Some(run) = self.release(now, upstream, &name) {
            self.record_slowdown(now, upstream, &name, &run, finished.outcome);
            if run.was_at_work(now) {
                if let Some(task) = self.task_mut(&name) {
                    task.failure_streak.end();
                }
                self.end_step_streak(&name);
            }
        }
        let Some(submission) = self.submissions.get(&name.submission) else {
            return 0;
        };
        let id = submission.record.id.clone();
        if submission.state.is_final() && submission.final_state_stored {
            return 0;
        }
        let is_stale = self
            .task_mut(&name)
            .is_some_and(|task| task.phase == TaskPhase::Placed && finished.attempt < task.attempt);
        if is_stale {
            // The lease of this run had expired and a newer attempt is running: only that attempt
            // may complete the task.
            if finished.outcome == RunOutcome::Failed {
                self.extend_failure_streak(upstream, &name);
                self.record_failed_attempt(now, &name, finished.attempt);
            }
            return self.record_change(&id, false);
        }
        if let Some(task) = self.task_mut(&name) {
            task.attempt = task.attempt.max(finished.attempt);
            if !finished.checkpoint.is_empty() {
                task.checkpoint = Some(finished.checkpoint.clone());
            }
        }
        self.update_gang_checkpoint(&name, &finished.checkpoint);
        if matches!(finished.outcome, RunOutcome::Done | RunOutcome::Failed) {
            self.mark_started(&id);
        }
        match finished.outcome {
            RunOutcome::Done => self.finish_task(now, upstream, &name),
            RunOutcome::Failed => self.fail_task(now, upstream, &name, finished.attempt),
            RunOutcome::Stopped | RunOutcome::Lapsed | RunOutcome::Broken | RunOutcome::Alone => {
                self.stop_gang(now, &name);
            }
        }
        self.record_change(&id, false)
    }

    /// Records a checkpoint of any member of a gang, which is valid for all of them.
    pub(super) fn update_gang_checkpoint(&mut self, name: &TaskName, checkpoint: &Arc<str>) {
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

    /// Marks a task, or its whole gang, as done.
    fn finish_task(&mut self, now: u64, upstream: &Arc<str>, name: &TaskName) {
        if let Some(entry) = self.upstreams.get_mut(upstream) {
            entry.end_probation();
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
        step.failure_streak.end();
        let mut other_members = Vec::new();
        for (index, task) in (0..).zip(&mut step.tasks) {
            if (gang || index == name.index) && task.phase != TaskPhase::Done {
                if let Some(other_upstream) = task.upstream.take() {
                    other_members.push((
                        TaskName {
                            index,
                            ..name.clone()
                        },
                        other_upstream,
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
        for (member, other_upstream) in other_members {
            self.stop_run(
                now + GANG_STOP_DELAY_MS,
                &other_upstream,
                &member,
                StopReason::GangDone,
            );
        }
        if step_done && active {
            self.ready.mark_fresh(&id);
        }
        if complete && active {
            self.end_submission(now, &id, SubmissionState::Completed);
        }
    }

    /// Handles a failed run.
    fn fail_task(&mut self, now: u64, upstream: &Arc<str>, name: &TaskName, attempt: u32) {
        if self.extend_failure_streak(upstream, name) {
            self.count_upstream_failure(now, upstream, &name.submission);
        }
        self.stop_gang(now, name);
        self.record_failed_attempt(now, name, attempt);
    }

    /// Records that a run of a task failed; returns whether that counts against the upstream.
    pub(super) fn extend_failure_streak(&mut self, upstream: &Arc<str>, name: &TaskName) -> bool {
        let task = self.task_mut(name);
        let may_count = task.is_some_and(|task| task.failure_streak.record_failure(upstream));
        may_count && self.extend_step_streak(upstream, name)
    }

    /// Records that a run of a step's task failed or stalled; returns whether that counts against
    /// the upstream.
    pub(super) fn extend_step_streak(&mut self, upstream: &Arc<str>, name: &TaskName) -> bool {
        let step = self.step_mut(&name.submission, name.occurrence, name.step);
        step.is_some_and(|step| step.failure_streak.record(upstream))
    }

    /// Records that a run of a step's task was sound.
    pub(super) fn end_step_streak(&mut self, name: &TaskName) {
        if let Some(step) = self.step_mut(&name.submission, name.occurrence, name.step) {
            step.failure_streak.end();
        }
    }

    /// Records a failed attempt of a task; fails the submission once the task, or its gang, has
    /// used up the attempts that the queue allows. A long-running step never fails its submission.
    fn record_failed_attempt(&mut self, now: u64, name: &TaskName, attempt: u32) {
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
        task.not_before = now + FAILED_RETRY_DELAY_MS;
        // Nothing limits the failures of a long-running task, so they are not kept.
        if spec.long_running {
            self.back_off(now, name);
            return;
        }
        task.failed.insert(attempt);
        let mut failed = task.failed.len();
        if spec.gang {
            failed = step.gang_failures();
        }
        if failed >= max_attempts as usize && entry.is_active() {
            let id = record.id.clone();
            self.end_submission(now, &id, SubmissionState::Failed);
        }
    }

    /// Delays the next run of a long-running task that has failed several times in a row, and lets
    /// other tasks go first.
    fn back_off(&mut self, now: u64, name: &TaskName) {
        let Some(task) = self.task_mut(name) else {
            return;
        };
        let Some(delay_ms) = task.failure_streak.backoff_ms() else {
            return;
        };
        task.not_before = now + delay_ms;
        task.yields_until = now + YIELD_MS;
        let report = RetryDelayReport {
            task: name.clone(),
            failures: task.failure_streak.failures(),
            delay_ms,
        };
        self.effects.push(OwnerEffect::ReportRetryDelay(report));
    }
}
