//! Which steps have tasks that may start.
//!
//! A submission is looked at again only when something about it has changed, so that a pass costs
//! as much as there are steps to start and not as much as there are submissions.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::model::{QueuePolicy, StepSpec, TaskName};
use crate::owner::OwnerMachine;
use crate::owner::submission_entry::{SubmissionEntry, TaskPhase};

/// Multiple of the objective after which a submission is of no use to its caller.
const USELESS_AFTER: u64 = 3;

/// What a step's submission can still reach.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum StepStanding {
    /// It can be in time, or it lasts.
    InTime,
    /// It is late, and still of use.
    Late,
    /// It is too late to be of use, and has to be done all the same.
    Useless,
}

/// A step with tasks that may start.
#[derive(Clone, Debug)]
pub(super) struct ReadyStep {
    pub submission: Arc<str>,
    pub occurrence: u32,
    pub step: u32,
    pub priority: u32,
    /// When its time began, in the owner's time.
    pub begun_at: u64,
    /// How long it may take, in milliseconds.
    pub objective_ms: u64,
    pub lasting: bool,
    pub queue: Arc<QueuePolicy>,
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

    /// Returns what the step's submission can still reach.
    pub fn standing(&self, now: u64) -> StepStanding {
        let age = now.saturating_sub(self.begun_at);
        if self.lasting || age < self.objective_ms {
            StepStanding::InTime
        } else if age < self.objective_ms * USELESS_AFTER {
            StepStanding::Late
        } else {
            StepStanding::Useless
        }
    }

    /// Returns the order in which steps are served.
    pub fn urgency(&self, now: u64) -> (StepStanding, u32, u64) {
        let due = self.begun_at + self.objective_ms;
        (self.standing(now), self.priority, due)
    }
}

/// Steps with tasks that may start, and submissions to look at again.
#[derive(Debug, Default)]
pub(super) struct ReadyList {
    steps: BTreeMap<Arc<str>, Vec<Arc<ReadyStep>>>,
    changed: BTreeSet<Arc<str>>,
    /// Submissions with an occurrence that becomes due, by time in milliseconds since 1970.
    due: BTreeSet<(u64, Arc<str>)>,
}

impl ReadyList {
    /// Notes that a submission has to be looked at again.
    pub fn note(&mut self, submission: &Arc<str>) {
        if !self.changed.contains(submission) {
            self.changed.insert(submission.clone());
        }
    }

    /// Forgets a submission that has ended.
    pub fn remove(&mut self, submission: &Arc<str>) {
        self.steps.remove(submission);
        self.changed.remove(submission);
    }

    /// Returns when the next occurrence is due, in milliseconds since 1970.
    pub fn next_due_unix_ms(&self) -> Option<u64> {
        self.due.first().map(|(due, _)| *due)
    }
}

impl OwnerMachine {
    /// Lists the steps with tasks that may start, the most urgent first.
    pub(super) fn ready_steps(&mut self, now: u64, unix_ms: u64) -> Vec<Arc<ReadyStep>> {
        while let Some((due, id)) = self.ready.due.first().cloned() {
            if due > unix_ms {
                break;
            }
            self.ready.due.remove(&(due, id.clone()));
            self.ready.note(&id);
        }
        for id in std::mem::take(&mut self.ready.changed) {
            let steps = self.find_ready(&id, now, unix_ms);
            if steps.is_empty() {
                self.ready.steps.remove(&id);
            } else {
                self.ready.steps.insert(id, steps);
            }
        }
        let mut ready: Vec<_> = self.ready.steps.values().flatten().cloned().collect();
        ready.sort_by_cached_key(|step| step.urgency(now));
        ready
    }

    /// Finds the open steps of a submission with waiting tasks.
    fn find_ready(&mut self, id: &Arc<str>, now: u64, unix_ms: u64) -> Vec<Arc<ReadyStep>> {
        let mut ready = Vec::new();
        let Some(entry) = self.submissions.get(id).filter(|entry| entry.is_active()) else {
            return ready;
        };
        let queue = self.queue_of(&entry.record);
        let objective_ms = objective_ms(&queue, &entry.record.steps);
        for (number, occurrence) in (0_u32..).zip(&entry.occurrences) {
            if occurrence.is_done() {
                continue;
            }
            let due_unix_ms = match occurrence.due_unix_ms {
                0 => 0,
                due => due + self.settings.due_margin_ms,
            };
            if due_unix_ms > unix_ms {
                self.ready.due.insert((due_unix_ms, id.clone()));
                break;
            }
            let begun_at = if due_unix_ms == 0 {
                entry.known_at
            } else {
                now.saturating_sub(unix_ms - due_unix_ms)
            };
            let open = open_steps(entry, number);
            ready.extend(open.into_iter().map(|step| {
                Arc::new(ReadyStep {
                    submission: id.clone(),
                    occurrence: number,
                    step,
                    priority: queue.priority,
                    begun_at,
                    objective_ms,
                    lasting: entry.record.is_long_running(),
                    queue: queue.clone(),
                })
            }));
        }
        ready
    }
}

/// Lists the open steps of an occurrence with waiting tasks.
fn open_steps(entry: &SubmissionEntry, occurrence: u32) -> Vec<u32> {
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
            has_waiting(step) && entry.is_open(occurrence as usize, *number as usize)
        })
        .map(|(number, _)| number)
        .collect()
}

/// Returns how long a submission may take by its objective, by the estimates of its steps.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "small positive times"
)]
fn objective_ms(queue: &QueuePolicy, steps: &[StepSpec]) -> u64 {
    let mut ends: Vec<u64> = Vec::with_capacity(steps.len());
    for step in steps {
        let begin = step
            .after
            .iter()
            .filter_map(|earlier| ends.get(*earlier as usize))
            .max();
        ends.push(begin.copied().unwrap_or(0) + step.estimate_ms);
    }
    let chain = ends.iter().max().copied().unwrap_or(0);
    queue.objective_ms + (queue.stretch * chain as f64) as u64
}
