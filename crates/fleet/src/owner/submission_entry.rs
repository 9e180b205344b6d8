//! What the owner knows of one submission.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::model::{ProgressRecord, RunRecord, StepProgress, SubmissionRecord, SubmissionState};
use crate::owner::fleet_view::UpstreamSlot;

/// Phase of a task.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) enum TaskPhase {
    /// It may be started.
    #[default]
    Waiting,
    /// A run of it is booked at an upstream.
    Placed,
    /// It is done.
    Done,
}

/// One task.
#[derive(Clone, Debug, Default)]
pub(super) struct TaskEntry {
    pub phase: TaskPhase,
    /// Highest attempt that is known.
    pub attempt: u32,
    /// Attempts that failed by themselves.
    pub failed: BTreeSet<u32>,
    /// Upstream of the run; set exactly while the phase is `Placed`.
    pub upstream: Option<Arc<str>>,
    /// Runs that are booked at all upstreams; the task is started only while there are none.
    pub booked_runs: u32,
    pub checkpoint: Option<Arc<str>>,
    pub failed_on: Option<Arc<str>>,
    /// No start before this time.
    pub not_before: u64,
}

/// Answer of the policy service about one upstream.
#[derive(Clone, Debug)]
pub(super) struct TicketEntry {
    pub ticket: Arc<str>,
    pub expires_at: u64,
}

/// One step of an occurrence.
#[derive(Clone, Debug, Default)]
pub(super) struct StepEntry {
    pub tasks: Vec<TaskEntry>,
    pub done: u32,
    /// Upstreams that may run the step, with the newest ticket.
    pub tickets: BTreeMap<UpstreamSlot, TicketEntry>,
    /// Upstreams that may not run the step; this never changes.
    pub denied: BTreeSet<UpstreamSlot>,
    /// Question about the step that is not answered yet.
    pub asking: Option<u64>,
    /// No question before this time.
    pub ask_not_before: u64,
    /// No search for runs that give way before this time.
    pub search_not_before: u64,
    pub gang_checkpoint: Option<Arc<str>>,
}

impl StepEntry {
    pub fn is_done(&self) -> bool {
        self.done as usize >= self.tasks.len()
    }

    /// Counts the attempts in which a member of the step's gang failed.
    pub fn gang_failures(&self) -> usize {
        let attempts: BTreeSet<_> = self.tasks.iter().flat_map(|task| &task.failed).collect();
        attempts.len()
    }
}

/// One occurrence of a submission.
#[derive(Clone, Debug)]
pub(super) struct OccurrenceEntry {
    pub due_unix_ms: u64,
    pub steps: Vec<StepEntry>,
}

impl OccurrenceEntry {
    pub fn is_done(&self) -> bool {
        self.steps.iter().all(StepEntry::is_done)
    }
}

/// One submission.
#[derive(Clone, Debug)]
pub(super) struct SubmissionEntry {
    pub record: Arc<SubmissionRecord>,
    /// When the owner heard of it.
    pub known_at: u64,
    pub occurrences: Vec<OccurrenceEntry>,
    pub state: SubmissionState,
    /// Whether the final state is stored.
    pub stored: bool,
    /// When the final state was stored.
    pub stored_at: u64,
    /// Runs that are booked at all upstreams.
    pub booked_runs: u32,
    /// Those of them that wait for the journal.
    pub planned_runs: u32,
    /// Whether its end is all that the store keeps.
    pub moved: bool,
}

impl SubmissionEntry {
    pub fn new(record: Arc<SubmissionRecord>, now: u64) -> Self {
        let occurrences = (0..record.occurrence_count())
            .map(|number| OccurrenceEntry {
                due_unix_ms: record.due_unix_ms(number),
                steps: record
                    .steps
                    .iter()
                    .map(|step| StepEntry {
                        tasks: vec![TaskEntry::default(); step.count as usize],
                        ..StepEntry::default()
                    })
                    .collect(),
            })
            .collect();
        Self {
            record,
            known_at: now,
            occurrences,
            state: SubmissionState::Queued,
            stored: false,
            stored_at: 0,
            booked_runs: 0,
            planned_runs: 0,
            moved: false,
        }
    }

    /// Returns the state that callers may be told.
    pub fn visible_state(&self) -> SubmissionState {
        match self.state {
            SubmissionState::Completed | SubmissionState::Failed if !self.stored => {
                SubmissionState::Running
            }
            state => state,
        }
    }

    /// Tells whether all steps before a step are done.
    pub fn is_open(&self, occurrence: usize, step: usize) -> bool {
        let Some(steps) = self.occurrences.get(occurrence).map(|entry| &entry.steps) else {
            return false;
        };
        self.record.steps[step]
            .after
            .iter()
            .all(|earlier| steps.get(*earlier as usize).is_some_and(StepEntry::is_done))
    }

    /// Tells whether its end is all that has to be kept: nothing of it runs any more.
    pub fn is_over(&self) -> bool {
        self.state.is_final() && self.booked_runs == 0
    }

    /// Tells whether the step's tasks still have to run.
    pub fn is_active(&self) -> bool {
        !self.state.is_final()
    }

    /// Restores what the store keeps.
    pub fn restore(&mut self, progress: &ProgressRecord) {
        self.state = progress.state;
        self.stored = progress.state.is_final();
        for kept in &progress.steps {
            let Some(step) = self
                .occurrences
                .get_mut(kept.occurrence as usize)
                .and_then(|occurrence| occurrence.steps.get_mut(kept.step as usize))
            else {
                continue;
            };
            for index in &kept.done {
                if let Some(task) = step.tasks.get_mut(*index as usize) {
                    task.phase = TaskPhase::Done;
                }
            }
            for (index, failed) in &kept.failed {
                if let Some(task) = step.tasks.get_mut(*index as usize) {
                    task.failed = failed.iter().copied().collect();
                }
            }
            step.done = u32::try_from(kept.done.len()).unwrap_or(u32::MAX);
        }
    }

    /// Returns what the store has to keep.
    pub fn progress(&self) -> ProgressRecord {
        let mut progress = ProgressRecord {
            state: self.state,
            ..ProgressRecord::default()
        };
        for (number, occurrence) in (0..).zip(&self.occurrences) {
            for (step_number, step) in (0..).zip(&occurrence.steps) {
                Self::add_step(&mut progress, number, step_number, step);
            }
        }
        if self.state.is_final() {
            // What still runs has to be stopped, also by the next owner.
            progress.steps.clear();
        }
        progress
    }

    fn add_step(progress: &mut ProgressRecord, occurrence: u32, number: u32, step: &StepEntry) {
        let mut kept = StepProgress {
            occurrence,
            step: number,
            ..StepProgress::default()
        };
        for (index, task) in (0..).zip(&step.tasks) {
            if task.phase == TaskPhase::Done {
                kept.done.push(index);
            }
            if !task.failed.is_empty() {
                kept.failed
                    .push((index, task.failed.iter().copied().collect()));
            }
            if let Some(upstream) = &task.upstream {
                progress.runs.push(RunRecord {
                    occurrence,
                    step: number,
                    index,
                    attempt: task.attempt,
                    upstream: upstream.clone(),
                });
            }
        }
        if !kept.done.is_empty() || !kept.failed.is_empty() {
            progress.steps.push(kept);
        }
    }
}
