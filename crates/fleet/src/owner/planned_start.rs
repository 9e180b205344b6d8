//! Start orders for planned runs.
//!
//! A start order is sent only after the commit that records its run is stored. The store therefore
//! records a run of every unfinished task that an upstream may run, and a successor can start all
//! other tasks at once. Nothing is started while the store does not answer.

use std::sync::Arc;

use crate::model::{ProgressRecord, TaskName};
use crate::owner::submission_entry::{StepEntry, SubmissionEntry};
use crate::owner::upstream_entry::RunPhase;
use crate::owner::{OwnerEffect, OwnerMachine, StartOrder};

/// A planned run whose record is stored, so that it may be started.
#[derive(Debug)]
struct RecordedRun {
    name: TaskName,
    upstream: Arc<str>,
}

impl OwnerMachine {
    /// Starts the planned runs of a stored record. Runs that can no longer be started are released;
    /// if one belongs to a gang, so are the gang's other planned runs.
    pub(super) fn start_planned(&mut self, now: u64, id: &Arc<str>, progress: &ProgressRecord) {
        let recorded = self.recorded_runs(id, progress);
        let mut unstartable_steps = Vec::new();
        for run in &recorded {
            if !self.can_start(now, &run.upstream, &run.name) {
                unstartable_steps.push((run.name.occurrence, run.name.step));
            }
        }
        for run in recorded {
            let gang_broken = self.is_gang(&run.name)
                && unstartable_steps.contains(&(run.name.occurrence, run.name.step));
            if gang_broken || !self.can_start(now, &run.upstream, &run.name) {
                self.release(now, &run.upstream, &run.name);
                self.record_change(id, false);
            } else {
                self.send_start(now, run);
            }
        }
    }

    /// Returns the runs of a record that are still planned with the recorded attempt.
    fn recorded_runs(&self, id: &Arc<str>, progress: &ProgressRecord) -> Vec<RecordedRun> {
        progress
            .runs
            .iter()
            .filter_map(|record| {
                let name = TaskName {
                    submission: id.clone(),
                    occurrence: record.occurrence,
                    step: record.step,
                    index: record.index,
                };
                let run = self.upstreams.get(&record.upstream)?.runs.get(&name)?;
                let planned = run.phase == RunPhase::Planned && run.attempt == record.attempt;
                planned.then(|| RecordedRun {
                    name,
                    upstream: record.upstream.clone(),
                })
            })
            .collect()
    }

    fn is_gang(&self, name: &TaskName) -> bool {
        let submission = self.submissions.get(&name.submission);
        let step = submission.and_then(|entry| entry.record.steps.get(name.step as usize));
        step.is_some_and(|step| step.gang)
    }

    /// Returns whether the upstream and the ticket of a run are still valid for a start.
    pub(super) fn can_start(&self, now: u64, upstream: &Arc<str>, name: &TaskName) -> bool {
        let Some(entry) = self.upstreams.get(upstream) else {
            return false;
        };
        let submission = self.submissions.get(&name.submission);
        let Some(submission) = submission.filter(|entry| entry.is_active()) else {
            return false;
        };
        let needs_ticket = self.queue_of(&submission.record).policy_service.is_some();
        let ticket = step_of(submission, name).and_then(|step| step.tickets.get(&entry.index));
        let allowed = !needs_ticket || ticket.is_some_and(|ticket| now < ticket.expires_at);
        allowed
            && entry.allocated.fits(&entry.report.capacity)
            && entry.is_reachable(now, self.settings.max_contact_age_ms)
            && entry.can_grant_lease(now, self.lease_terms())
            && !self
                .evacuated_domains
                .contains(&entry.report.failure_domain)
    }

    fn send_start(&mut self, now: u64, run: RecordedRun) {
        let terms = self.lease_terms();
        let RecordedRun { name, upstream } = run;
        let Some(submission) = self.submissions.get(&name.submission) else {
            return;
        };
        let record = submission.record.clone();
        let step = step_of(submission, &name);
        let checkpoint = step.and_then(|step| checkpoint_of(step, &record, &name));
        let Some(entry) = self.upstreams.get_mut(&upstream) else {
            return;
        };
        let ticket = step.and_then(|step| step.tickets.get(&entry.index));
        let ticket = ticket.map(|ticket| ticket.ticket.clone());
        let Some(deadline_ms) = entry.grant_lease(now, terms) else {
            return;
        };
        let (address, fence, index) = (entry.report.address.clone(), entry.fence, entry.index);
        let Some(run) = entry.runs.get_mut(&name) else {
            return;
        };
        run.phase = RunPhase::Starting;
        run.ordered_at = now;
        run.order_sent_at = now;
        let attempt = run.attempt;
        if let Some(submission) = self.submissions.get_mut(&name.submission) {
            submission.planned_runs = submission.planned_runs.saturating_sub(1);
        }
        self.record_ticket_use(&record.queue.name, &name, index);
        self.effects.push(OwnerEffect::Start(StartOrder {
            task: name,
            attempt,
            upstream,
            address,
            epoch: self.epoch,
            fence,
            deadline_ms,
            payload: record.payload.clone(),
            checkpoint,
            ticket,
        }));
    }
}

fn step_of<'a>(submission: &'a SubmissionEntry, name: &TaskName) -> Option<&'a StepEntry> {
    let occurrence = submission.occurrences.get(name.occurrence as usize)?;
    occurrence.steps.get(name.step as usize)
}

/// Returns the checkpoint from which a task resumes.
fn checkpoint_of(
    step: &StepEntry,
    record: &crate::model::SubmissionRecord,
    name: &TaskName,
) -> Option<Arc<str>> {
    let spec = record.steps.get(name.step as usize)?;
    if !spec.checkpointing {
        return None;
    }
    if spec.gang {
        return step.gang_checkpoint.clone();
    }
    step.tasks.get(name.index as usize)?.checkpoint.clone()
}
