//! The owner's state of one submission.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::model::{
    CrashRecord, ProgressRecord, RateRecord, RunRecord, StepProgress, SubmissionRecord,
    SubmissionState, TaskName,
};
use crate::owner::failure_streak::{FailureStreak, StepFailureStreak};
use crate::owner::fleet_view::UpstreamIndex;

/// Phase of a task.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) enum TaskPhase {
    /// It is not done and not placed; runs of earlier attempts may still be allocated.
    #[default]
    Waiting,
    /// Its current run is allocated on an upstream.
    Placed,
    /// It is done.
    Done,
}

/// State of a task.
#[derive(Clone, Debug, Default)]
pub(super) struct TaskEntry {
    pub phase: TaskPhase,
    /// Highest known attempt number.
    pub attempt: u32,
    /// Attempts that failed on their own, as opposed to being stopped; empty for a long-running task.
    pub failed: BTreeSet<u32>,
    /// Crashes of upstreams while the task was running there.
    pub crashes: Vec<CrashRecord>,
    /// Upstream of the run; set only in phase `Placed`.
    pub upstream: Option<Arc<str>>,
    /// Number of allocated runs on all upstreams; the task is started only if there are none.
    pub allocated_runs: u32,
    pub checkpoint: Option<Arc<str>>,
    /// Number of times that a run of the task was preempted.
    pub preemptions: u32,
    /// Its failed and stalled runs; the next run is placed elsewhere if possible.
    pub failure_streak: FailureStreak,
    /// Earliest time of the next start.
    pub not_before: u64,
    /// Time until which other tasks are placed before it, because it keeps failing.
    pub yields_until: u64,
}

/// A ticket that the policy service issued for one upstream.
#[derive(Clone, Debug)]
pub(super) struct TicketEntry {
    pub ticket: Arc<str>,
    pub expires_at: u64,
    /// Number of the query that brought it.
    pub query_id: u64,
    /// Whether a start has used it.
    pub used: bool,
}

/// State of a step in one occurrence.
#[derive(Clone, Debug, Default)]
pub(super) struct StepEntry {
    pub tasks: Vec<TaskEntry>,
    pub done: u32,
    /// Upstreams that may run the step, with their latest tickets.
    pub tickets: BTreeMap<UpstreamIndex, TicketEntry>,
    /// Upstreams that may not run the step; a denial never changes.
    pub denied: BTreeSet<UpstreamIndex>,
    /// Time at which the last ticket expires; 0 before the first one.
    pub tickets_expire_at: u64,
    /// Numbers of the queries about this step that are in flight.
    pub pending_queries: BTreeSet<u64>,
    /// Earliest time of the next query.
    pub query_not_before: u64,
    /// Whether the last query that ended got no usable answer.
    pub query_failed: bool,
    /// Earliest time of the next attempt to arrange room for the gang.
    pub arrange_not_before: u64,
    /// Whether the gang has room and waits for a host to query.
    pub awaits_query_host: bool,
    /// Earliest time of the next search for victims.
    pub preemption_not_before: u64,
    /// Failed and stalled runs of its tasks.
    pub failure_streak: StepFailureStreak,
    /// Latest checkpoint of any member of the gang.
    pub gang_checkpoint: Option<Arc<str>>,
}

impl StepEntry {
    pub fn is_done(&self) -> bool {
        self.done as usize >= self.tasks.len()
    }

    /// Returns the number of attempts in which a member of the gang failed.
    pub fn gang_failures(&self) -> usize {
        let attempts: BTreeSet<_> = self.tasks.iter().flat_map(|task| &task.failed).collect();
        attempts.len()
    }
}

/// State of one occurrence of a submission.
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

/// State of a submission.
#[derive(Clone, Debug)]
pub(super) struct SubmissionEntry {
    pub record: Arc<SubmissionRecord>,
    /// Time at which the owner learned of it.
    pub known_at: u64,
    pub occurrences: Vec<OccurrenceEntry>,
    pub state: SubmissionState,
    /// Whether the final state is stored.
    pub final_state_stored: bool,
    /// Time at which the final state was stored.
    pub final_state_stored_at: u64,
    /// Number of allocated runs on all upstreams.
    pub allocated_runs: u32,
    /// Number of allocated runs that are not recorded in the store yet.
    pub planned_runs: u32,
    /// Whether an upstream has crashed while a task was running there.
    pub has_crashes: bool,
    /// Time until which the submission's suspects run apart; its other tasks wait until then.
    pub isolated_until: u64,
    /// Whether the submission's other records are deleted from the store.
    pub archived: bool,
    /// Decision on whether it is within its team's rate; `None` if the team has no weight.
    pub rate: Option<RateRecord>,
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
            final_state_stored: false,
            final_state_stored_at: 0,
            allocated_runs: 0,
            planned_runs: 0,
            has_crashes: false,
            isolated_until: 0,
            archived: false,
            rate: None,
        }
    }

    /// Returns the state that may be shown to callers.
    pub fn visible_state(&self) -> SubmissionState {
        match self.state {
            SubmissionState::Completed | SubmissionState::Failed if !self.final_state_stored => {
                SubmissionState::Running
            }
            state => state,
        }
    }

    /// Returns whether all steps that a step depends on are done.
    pub fn dependencies_done(&self, occurrence: usize, step: usize) -> bool {
        let Some(steps) = self.occurrences.get(occurrence).map(|entry| &entry.steps) else {
            return false;
        };
        self.record.steps[step]
            .after
            .iter()
            .all(|earlier| steps.get(*earlier as usize).is_some_and(StepEntry::is_done))
    }

    /// Returns how often a task was preempted.
    pub fn preemptions_of(&self, name: &TaskName) -> u32 {
        let occurrence = self.occurrences.get(name.occurrence as usize);
        occurrence
            .and_then(|occurrence| occurrence.steps.get(name.step as usize))
            .and_then(|step| step.tasks.get(name.index as usize))
            .map_or(0, |task| task.preemptions)
    }

    /// Returns whether only the final state needs to be kept, because no runs are left.
    pub fn can_archive(&self) -> bool {
        self.state.is_final() && self.allocated_runs == 0
    }

    /// Returns whether the submission has no final state yet.
    pub fn is_active(&self) -> bool {
        !self.state.is_final()
    }

    /// Restores the stored progress.
    pub fn restore(&mut self, progress: &ProgressRecord) {
        self.state = progress.state;
        self.rate = progress.rate;
        self.final_state_stored = progress.state.is_final();
        for stored_step in &progress.steps {
            let Some(step) = self
                .occurrences
                .get_mut(stored_step.occurrence as usize)
                .and_then(|occurrence| occurrence.steps.get_mut(stored_step.step as usize))
            else {
                continue;
            };
            for index in &stored_step.done {
                if let Some(task) = step.tasks.get_mut(*index as usize) {
                    task.phase = TaskPhase::Done;
                }
            }
            let spec = self.record.steps.get(stored_step.step as usize);
            let is_counted = spec.is_some_and(|spec| !spec.long_running);
            for (index, failed) in stored_step.failed.iter().filter(|_| is_counted) {
                if let Some(task) = step.tasks.get_mut(*index as usize) {
                    task.failed = failed.iter().copied().collect();
                }
            }
            for (index, crashes) in &stored_step.crashed {
                if let Some(task) = step.tasks.get_mut(*index as usize) {
                    task.crashes.clone_from(crashes);
                    self.has_crashes = true;
                }
            }
            step.done = u32::try_from(stored_step.done.len()).unwrap_or(u32::MAX);
        }
    }

    /// Returns the progress to be stored.
    pub fn progress(&self) -> ProgressRecord {
        let mut progress = ProgressRecord {
            state: self.state,
            rate: self.rate,
            ..ProgressRecord::default()
        };
        if self.state.is_final() {
            return progress;
        }
        for (number, occurrence) in (0..).zip(&self.occurrences) {
            for (step_number, step) in (0..).zip(&occurrence.steps) {
                Self::add_step(&mut progress, number, step_number, step);
            }
        }
        progress
    }

    fn add_step(progress: &mut ProgressRecord, occurrence: u32, number: u32, step: &StepEntry) {
        let mut stored_step = StepProgress {
            occurrence,
            step: number,
            ..StepProgress::default()
        };
        for (index, task) in (0..).zip(&step.tasks) {
            if task.phase == TaskPhase::Done {
                stored_step.done.push(index);
            }
            if !task.failed.is_empty() {
                stored_step
                    .failed
                    .push((index, task.failed.iter().copied().collect()));
            }
            if !task.crashes.is_empty() && task.phase != TaskPhase::Done {
                stored_step.crashed.push((index, task.crashes.clone()));
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
        let is_empty = stored_step.done.is_empty()
            && stored_step.failed.is_empty()
            && stored_step.crashed.is_empty();
        if !is_empty {
            progress.steps.push(stored_step);
        }
    }
}
