//! Works and tasks as the owner knows them.

use std::sync::{Arc, OnceLock};

use lagoonnotch_wire::caller::{JobState, JobStatus};
use serde::Deserialize;

use crate::chart::StateChart;
use crate::document::WorkClass;
use crate::journal::{AcceptedWork, TaskOutcome};
use crate::model::{ShardName, TaskId, UpstreamName};
use crate::shard::messages::CommandId;

/// Phase of a task; the transitions are those of `charts/task.json`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd)]
#[serde(rename_all = "snake_case")]
pub enum TaskPhase {
    /// Waits for a place.
    Waiting,
    /// Has a place, and its intent is being journaled.
    Intending,
    /// May start at any moment.
    Starting,
    /// Runs.
    Running,
    /// May run or have run at an upstream that can't be asked.
    Doubtful,
    /// Ended for good.
    Settled,
}

/// What changes a task's phase.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd)]
#[serde(rename_all = "snake_case")]
pub enum TaskEvent {
    /// A place was found.
    Place,
    /// The start is permitted.
    Permit,
    /// The upstream reports that it runs.
    Run,
    /// The upstream can't be asked.
    Doubt,
    /// The attempt is over, and the task waits again.
    Return,
    /// The task ended for good.
    Settle,
}

/// Returns the chart of a task.
///
/// # Panics
/// Panics when the chart file is malformed; it is part of the program.
pub fn task_chart() -> &'static StateChart<TaskPhase, TaskEvent> {
    static CHART: OnceLock<StateChart<TaskPhase, TaskEvent>> = OnceLock::new();
    CHART.get_or_init(|| {
        StateChart::parse(include_str!("../../../../../charts/task.json"))
            .expect("chart is well formed")
    })
}

/// The present attempt of a task.
#[derive(Clone, Debug)]
pub(super) struct TaskAttempt {
    pub number: u64,
    pub upstream: UpstreamName,
    /// Incarnation and fence of the upstream when the place was found.
    pub incarnation: Arc<str>,
    pub fence: u64,
    /// When the start was permitted, in milliseconds.
    pub permitted_ms: u64,
    /// Whether a revocation is under way.
    pub revoking: bool,
}

/// A task.
#[derive(Clone, Debug)]
pub(super) struct TaskEntry {
    phase: TaskPhase,
    /// Attempts that ran and failed.
    pub failures: u32,
    /// Whether an earlier attempt ran, at least in part.
    pub ran_before: bool,
    /// Present from the finding of a place until the attempt is over; kept by a settled quick
    /// request, whose answer stays at the upstream for a while.
    pub attempt: Option<TaskAttempt>,
    pub outcome: Option<TaskOutcome>,
    pub answer: Option<Arc<str>>,
}

impl TaskEntry {
    /// Makes a waiting task.
    pub fn new() -> Self {
        Self {
            phase: task_chart().initial(),
            failures: 0,
            ran_before: false,
            attempt: None,
            outcome: None,
            answer: None,
        }
    }

    /// Returns the phase.
    pub fn phase(&self) -> TaskPhase {
        self.phase
    }

    /// Changes the phase as the chart says; returns whether the event had a transition.
    pub fn advance(&mut self, event: TaskEvent) -> bool {
        match task_chart().next(self.phase, event) {
            Some(next) => {
                self.phase = next;
                true
            }
            None => false,
        }
    }

    /// Returns the number of the present attempt.
    pub fn attempt_number(&self) -> Option<u64> {
        self.attempt.as_ref().map(|attempt| attempt.number)
    }
}

/// Which shard is to start a job's tasks.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum JobPlace {
    /// This one.
    Here,
    /// Another one, once the journal says so.
    Offering(ShardName),
    /// Another one, which may not know yet.
    Offered(ShardName),
    /// Another one, which has the job.
    Moved(ShardName),
}

/// A quick request or a job.
#[derive(Clone, Debug)]
pub(super) struct WorkEntry {
    pub accepted: AcceptedWork,
    /// Place in the order of acceptance.
    pub sequence: u64,
    pub tasks: Vec<TaskEntry>,
    pub cancelled: bool,
    /// Whether the journal holds the work or is about to.
    pub recorded: bool,
    /// Commands that wait for a place or an outcome.
    pub waiters: Vec<CommandId>,
    /// Which shard is to start the tasks.
    pub place: JobPlace,
    /// When to ask or to offer again, in milliseconds.
    pub next_offer_ms: u64,
    /// Until when a quick request waits, in milliseconds.
    pub deadline_ms: u64,
    /// When the last task ended for good.
    pub settled_ms: Option<u64>,
}

impl WorkEntry {
    /// Makes a work whose tasks all wait.
    pub fn new(accepted: AcceptedWork, sequence: u64, deadline_ms: u64) -> Self {
        let tasks = (0..accepted.tasks).map(|_| TaskEntry::new()).collect();
        Self {
            accepted,
            sequence,
            tasks,
            cancelled: false,
            recorded: false,
            waiters: Vec::new(),
            place: JobPlace::Here,
            next_offer_ms: 0,
            deadline_ms,
            settled_ms: None,
        }
    }

    /// Tells whether what happens to the work is journaled.
    pub fn journaled(&self) -> bool {
        self.accepted.lasting || !self.accepted.idempotent
    }

    /// Tells whether the tasks start together or not at all.
    pub fn is_gang(&self) -> bool {
        self.accepted.class == WorkClass::Gang
    }

    /// Returns the identifier of one task.
    pub fn task_id(&self, index: u32) -> TaskId {
        TaskId {
            work: self.accepted.id.clone(),
            index,
        }
    }

    /// Returns one task.
    pub fn task(&mut self, index: u32) -> Option<&mut TaskEntry> {
        self.tasks.get_mut(index as usize)
    }

    /// Tells whether every task ended for good.
    pub fn is_settled(&self) -> bool {
        self.tasks
            .iter()
            .all(|task| task.phase == TaskPhase::Settled)
    }

    /// Returns the state for callers.
    pub fn status(&self) -> JobStatus {
        let count = |test: &dyn Fn(&TaskEntry) -> bool| {
            u32::try_from(self.tasks.iter().filter(|task| test(task)).count()).unwrap_or(u32::MAX)
        };
        let phase = |phase: TaskPhase| move |task: &TaskEntry| task.phase == phase;
        let outcome = |outcome: TaskOutcome| move |task: &TaskEntry| task.outcome == Some(outcome);
        let waiting = count(&phase(TaskPhase::Waiting)) + count(&phase(TaskPhase::Intending));
        let running = count(&phase(TaskPhase::Starting)) + count(&phase(TaskPhase::Running));
        let unknown = count(&phase(TaskPhase::Doubtful)) + count(&outcome(TaskOutcome::Unknown));
        JobStatus {
            id: self.accepted.id.to_string(),
            team: self.accepted.team.to_string(),
            workload: self.accepted.workload.to_string(),
            state: self.state(waiting, running, unknown),
            tasks: self.accepted.tasks,
            waiting,
            running,
            finished: count(&outcome(TaskOutcome::Completed)),
            failed: count(&outcome(TaskOutcome::Failed)),
            unknown,
            reason: None,
        }
    }

    fn state(&self, waiting: u32, running: u32, unknown: u32) -> JobState {
        let ended_as = |outcome| self.tasks.iter().any(|task| task.outcome == Some(outcome));
        if running > 0 {
            JobState::Running
        } else if waiting > 0 {
            JobState::Waiting
        } else if unknown > 0 {
            JobState::Unknown
        } else if ended_as(TaskOutcome::Cancelled) {
            JobState::Cancelled
        } else if ended_as(TaskOutcome::Failed) {
            JobState::Failed
        } else {
            JobState::Finished
        }
    }
}
