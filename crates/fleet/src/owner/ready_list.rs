//! List of steps whose tasks may start.
//!
//! A submission is examined again only after a change, so the cost of a pass depends on the number
//! of ready steps and not on the number of submissions.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::model::{QueuePolicy, ResourceSize, StepSpec, TaskName};
use crate::owner::OwnerMachine;
use crate::owner::placement_schedule::PlacementScope;
use crate::owner::submission_entry::{SubmissionEntry, TaskPhase};

/// Multiple of the objective after which the completion of a submission is no longer useful to its
/// caller.
const TOO_LATE_FACTOR: u64 = 3;

/// Whether a step's submission can still meet its objective.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum DeadlineStatus {
    /// It can still meet the objective, or it is long-running.
    OnTime,
    /// It is late, but its completion is still useful to the caller.
    Late,
    /// It is too late to be useful, but it must still be completed.
    TooLate,
}

/// A step with tasks that may start.
#[derive(Clone, Debug)]
pub(super) struct ReadyStep {
    pub submission: Arc<str>,
    pub occurrence: u32,
    pub step: u32,
    pub priority: u32,
    /// Time at which the occurrence became due, or at which the owner learned of the submission if
    /// it has no due time; in milliseconds of the owner's clock.
    pub eligible_at: u64,
    /// Completion-time objective of the submission, including the part that depends on the
    /// estimates, in milliseconds.
    pub total_objective_ms: u64,
    /// Whether any step of the submission is long-running.
    pub submission_is_long_running: bool,
    /// Whether the step holds capacity while it waits, because it is a gang or long-running.
    pub holds_capacity: bool,
    /// Time at which the last of its tickets expires; 0 if it has had none.
    pub tickets_expire_at: u64,
    pub queue: Arc<QueuePolicy>,
    pub team: Option<Arc<str>>,
    /// Resources that one task allocates on an upstream.
    pub allocation: ResourceSize,
    /// Resources that the tasks allocate that must start together: one task or the whole gang.
    pub start_size: ResourceSize,
    /// Whether the submission is beyond its team's rate.
    pub beyond_rate: bool,
}

impl ReadyStep {
    /// Returns the name of one of the step's tasks.
    pub fn task_name(&self, index: u32) -> TaskName {
        TaskName {
            submission: self.submission.clone(),
            occurrence: self.occurrence,
            step: self.step,
            index,
        }
    }

    /// Returns whether the step's submission can still meet its objective.
    pub fn deadline_status(&self, now: u64) -> DeadlineStatus {
        let age = now.saturating_sub(self.eligible_at);
        if self.submission_is_long_running || age < self.total_objective_ms {
            DeadlineStatus::OnTime
        } else if age < self.total_objective_ms * TOO_LATE_FACTOR {
            DeadlineStatus::Late
        } else {
            DeadlineStatus::TooLate
        }
    }

    /// Returns whether the step has valid tickets or needs none.
    pub fn has_tickets(&self, now: u64) -> bool {
        self.queue.policy_service.is_none() || now < self.tickets_expire_at
    }

    /// Returns the sort key of the scheduling order; the lowest is placed first.
    pub fn scheduling_key(&self, now: u64) -> (DeadlineStatus, u32, u64) {
        let deadline = self.eligible_at + self.total_objective_ms;
        (self.deadline_status(now), self.priority, deadline)
    }
}

/// Steps with tasks that may start, and submissions to examine again.
#[derive(Debug, Default)]
pub(super) struct ReadyList {
    steps: BTreeMap<Arc<str>, Vec<Arc<ReadyStep>>>,
    changed: BTreeSet<Arc<str>>,
    /// Submissions with steps that became ready, or got tickets, since the last pass.
    fresh: BTreeSet<Arc<str>>,
    /// Submissions with an occurrence that is not due yet, by due time in milliseconds since 1970.
    upcoming: BTreeSet<(u64, Arc<str>)>,
}

impl ReadyList {
    /// Marks a submission to be examined again.
    pub fn mark_changed(&mut self, submission: &Arc<str>) {
        if !self.changed.contains(submission) {
            self.changed.insert(submission.clone());
        }
    }

    /// Marks a submission with a step that became ready, or got tickets, to be examined again.
    pub fn mark_fresh(&mut self, submission: &Arc<str>) {
        self.mark_changed(submission);
        self.fresh.insert(submission.clone());
    }

    /// Returns whether a step became ready, or got tickets, since the last pass.
    pub fn has_fresh(&self) -> bool {
        !self.fresh.is_empty()
    }

    /// Removes a submission that has ended.
    pub fn remove(&mut self, submission: &Arc<str>) {
        self.steps.remove(submission);
        self.changed.remove(submission);
        self.fresh.remove(submission);
    }

    /// Returns whether a step has tasks that may start.
    fn contains(&self, step: &ReadyStep) -> bool {
        let known = self.steps.get(&step.submission).into_iter().flatten();
        let key = (step.occurrence, step.step);
        known
            .into_iter()
            .any(|known| (known.occurrence, known.step) == key)
    }

    /// Returns the steps with tasks that may start, as of the last pass.
    pub fn known_steps(&self) -> impl Iterator<Item = &ReadyStep> {
        self.steps.values().flatten().map(Arc::as_ref)
    }

    /// Returns the due time of the next occurrence, in milliseconds since 1970.
    pub fn next_due_unix_ms(&self) -> Option<u64> {
        self.upcoming.first().map(|(due, _)| *due)
    }
}

impl OwnerMachine {
    /// Returns the steps in scope with tasks that may start, in scheduling order. Steps that can
    /// only wait for tickets are left out. A full pass also gets the steps that query before their
    /// runs on silent upstreams are released.
    pub(super) fn ready_steps(
        &mut self,
        now: u64,
        unix_ms: u64,
        scope: PlacementScope,
    ) -> Vec<Arc<ReadyStep>> {
        while let Some((due, id)) = self.ready.upcoming.first().cloned() {
            if due > unix_ms {
                break;
            }
            self.ready.upcoming.remove(&(due, id.clone()));
            self.ready.mark_changed(&id);
        }
        for id in std::mem::take(&mut self.ready.changed) {
            let steps = self.find_steps(&id, now, unix_ms, startable_steps);
            if steps.is_empty() {
                self.ready.steps.remove(&id);
            } else {
                self.ready.steps.insert(id, steps);
            }
        }
        let mut released_soon = match scope {
            PlacementScope::All => self.steps_released_soon(now, unix_ms),
            PlacementScope::Urgent | PlacementScope::Fresh => Vec::new(),
        };
        // Steps that also have waiting tasks query for these.
        released_soon.retain(|step| !self.ready.contains(step));
        let fresh = std::mem::take(&mut self.ready.fresh);
        let is_urgent = |step: &&Arc<ReadyStep>| {
            step.priority == 0 && step.deadline_status(now) == DeadlineStatus::OnTime
        };
        let hosts = self.queries.free_hosts(now);
        let is_examined = |step: &&Arc<ReadyStep>| !self.awaits_tickets(now, step, hosts);
        let steps = &self.ready.steps;
        let mut ready: Vec<_> = match scope {
            PlacementScope::All => {
                let all = steps.values().flatten().filter(is_examined);
                all.cloned().chain(released_soon).collect()
            }
            PlacementScope::Urgent => {
                let urgent = steps.values().flatten().filter(is_urgent);
                urgent.filter(is_examined).cloned().collect()
            }
            PlacementScope::Fresh => {
                let fresh = fresh.iter().filter_map(|id| steps.get(id)).flatten();
                fresh
                    .filter(is_urgent)
                    .filter(is_examined)
                    .cloned()
                    .collect()
            }
        };
        ready.sort_by_cached_key(|step| step.scheduling_key(now));
        ready
    }

    /// Returns the steps of a submission that are selected in each occurrence that is due and not
    /// done.
    pub(super) fn find_steps(
        &mut self,
        id: &Arc<str>,
        now: u64,
        unix_ms: u64,
        select: impl Fn(&SubmissionEntry, u32) -> Vec<u32>,
    ) -> Vec<Arc<ReadyStep>> {
        let mut ready = Vec::new();
        let Some(entry) = self.submissions.get(id).filter(|entry| entry.is_active()) else {
            return ready;
        };
        let queue = self.queue_of(&entry.record);
        let total_objective_ms = total_objective_ms(&queue, &entry.record.steps);
        for (number, occurrence) in (0_u32..).zip(&entry.occurrences) {
            if occurrence.is_done() {
                continue;
            }
            let due_unix_ms = match occurrence.due_unix_ms {
                0 => 0,
                due => due + self.settings.due_margin_ms,
            };
            if due_unix_ms > unix_ms {
                self.ready.upcoming.insert((due_unix_ms, id.clone()));
                break;
            }
            let eligible_at = if due_unix_ms == 0 {
                entry.known_at
            } else {
                now.saturating_sub(unix_ms - due_unix_ms)
            };
            let selected = select(entry, number);
            ready.extend(selected.into_iter().map(|step| {
                let spec = &entry.record.steps[step as usize];
                Arc::new(ReadyStep {
                    submission: id.clone(),
                    occurrence: number,
                    step,
                    priority: queue.priority,
                    eligible_at,
                    total_objective_ms,
                    submission_is_long_running: entry.record.is_long_running(),
                    holds_capacity: spec.gang || spec.long_running,
                    tickets_expire_at: occurrence.steps[step as usize].tickets_expire_at,
                    queue: queue.clone(),
                    team: entry.record.team.clone(),
                    allocation: spec.allocation(),
                    start_size: spec.start_size(),
                    beyond_rate: entry.rate.is_some_and(|rate| rate.beyond),
                })
            }));
        }
        ready
    }
}

/// Returns the steps of an occurrence with waiting tasks whose dependencies are done.
fn startable_steps(entry: &SubmissionEntry, occurrence: u32) -> Vec<u32> {
    let Some(found) = entry.occurrences.get(occurrence as usize) else {
        return Vec::new();
    };
    let has_waiting = |step: &crate::owner::submission_entry::StepEntry| {
        step.tasks
            .iter()
            .any(|task| task.phase == TaskPhase::Waiting)
    };
    (0_u32..)
        .zip(&found.steps)
        .filter(|(number, step)| {
            has_waiting(step) && entry.dependencies_done(occurrence as usize, *number as usize)
        })
        .map(|(number, _)| number)
        .collect()
}

/// Returns the completion-time objective of a submission, based on the estimates of its steps, in
/// milliseconds.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "small positive times"
)]
fn total_objective_ms(queue: &QueuePolicy, steps: &[StepSpec]) -> u64 {
    let mut ends: Vec<u64> = Vec::with_capacity(steps.len());
    for step in steps {
        let start = step
            .after
            .iter()
            .filter_map(|earlier| ends.get(*earlier as usize))
            .max();
        ends.push(start.copied().unwrap_or(0) + step.estimate_ms);
    }
    let chain = ends.iter().max().copied().unwrap_or(0);
    queue.objective_ms + (queue.stretch * chain as f64) as u64
}
