//! The owner's view of work items and tasks.

use std::sync::{Arc, OnceLock};

use lagoonnotch_wire::caller::{JobState, JobStatus};
use serde::Deserialize;

use crate::chart::StateChart;
use crate::document::WorkClass;
use crate::journal::{AcceptedWork, TaskOutcome};
use crate::model::{ShardName, TaskId, UpstreamName};
use crate::shard::messages::CommandId;

/// Phase of a task. `charts/task.json` defines the transitions.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd)]
#[serde(rename_all = "snake_case")]
pub enum TaskPhase {
    /// Waits to be placed.
    Waiting,
    /// Is placed, and its intent is being journaled.
    Intending,
    /// Is permitted to start and may do so at any moment.
    Starting,
    /// Runs at its upstream.
    Running,
    /// May be running or have run, at an upstream that is lost or no longer reports it.
    Doubtful,
    /// Reached its final state.
    Settled,
}

/// Event that changes a task's phase.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd)]
#[serde(rename_all = "snake_case")]
pub enum TaskEvent {
    /// The task was placed.
    Place,
    /// The start was permitted.
    Permit,
    /// The upstream reported that the task runs.
    Run,
    /// It cannot be determined how the attempt ended.
    Doubt,
    /// The attempt ended, and the task waits again.
    Return,
    /// The task reached its final state.
    Settle,
}

/// Returns the state chart of a task.
///
/// # Panics
/// Panics if the chart file, which is compiled in, is malformed.
pub fn task_chart() -> &'static StateChart<TaskPhase, TaskEvent> {
    static CHART: OnceLock<StateChart<TaskPhase, TaskEvent>> = OnceLock::new();
    CHART.get_or_init(|| {
        StateChart::parse(include_str!("../../../../../charts/task.json"))
            .expect("the compiled-in chart is well formed")
    })
}

/// The current attempt of a task and where it was placed.
#[derive(Clone, Debug)]
pub(super) struct AttemptPlacement {
    pub number: u64,
    pub upstream: UpstreamName,
    /// Incarnation of the upstream, and number of its fence, when the task was placed.
    pub incarnation: Arc<str>,
    pub fence_number: u64,
    /// When the start was permitted, or the task placed if it is not permitted yet, in
    /// milliseconds.
    pub permitted_ms: u64,
    /// Whether a revocation is in flight.
    pub revoking: bool,
}

/// State of a task.
#[derive(Clone, Debug)]
pub(super) struct TaskEntry {
    phase: TaskPhase,
    /// Number of attempts that ran and failed.
    pub failures: u32,
    /// Whether an earlier attempt ran, at least in part.
    pub ran_before: bool,
    /// Set from the placement until the attempt ends. A settled quick request keeps it, since its
    /// answer stays at the upstream for a while.
    pub attempt: Option<AttemptPlacement>,
    pub outcome: Option<TaskOutcome>,
    pub answer: Option<Arc<str>>,
}

impl TaskEntry {
    /// Creates a waiting task.
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

    /// Changes the phase according to the chart. Returns false if the event has no transition from
    /// the current phase.
    pub fn advance(&mut self, event: TaskEvent) -> bool {
        match task_chart().next(self.phase, event) {
            Some(next) => {
                self.phase = next;
                true
            }
            None => false,
        }
    }

    /// Returns the number of the current attempt.
    pub fn attempt_number(&self) -> Option<u64> {
        self.attempt.as_ref().map(|attempt| attempt.number)
    }
}

/// The shard that starts a job's tasks.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum JobLocation {
    /// This shard.
    Local,
    /// Another shard, once the offer is committed.
    Offering(ShardName),
    /// Another shard, which may not have received the job yet.
    Offered(ShardName),
    /// Another shard, which has confirmed the job.
    Moved(ShardName),
}

/// A quick request or a job.
#[derive(Clone, Debug)]
pub(super) struct WorkEntry {
    pub accepted: AcceptedWork,
    /// Position in the order of acceptance. After a takeover, restored work follows the order of
    /// its identifiers.
    pub sequence: u64,
    pub tasks: Vec<TaskEntry>,
    pub cancelled: bool,
    /// Whether the acceptance is in the journal or waits to be written.
    pub in_journal: bool,
    /// Commands that wait for a placement or an outcome.
    pub waiters: Vec<CommandId>,
    /// The shard that starts the tasks.
    pub location: JobLocation,
    /// When to probe another shard, or to send the offer, again, in milliseconds.
    pub next_offer_ms: u64,
    /// Time until which commands wait for the quick request, in milliseconds.
    pub wait_until_ms: u64,
    /// When the last task reached its final state, in milliseconds.
    pub settled_ms: Option<u64>,
}

impl WorkEntry {
    /// Creates a work item whose tasks are all waiting.
    pub fn new(accepted: AcceptedWork, sequence: u64, wait_until_ms: u64) -> Self {
        let tasks = (0..accepted.tasks).map(|_| TaskEntry::new()).collect();
        Self {
            accepted,
            sequence,
            tasks,
            cancelled: false,
            in_journal: false,
            waiters: Vec::new(),
            location: JobLocation::Local,
            next_offer_ms: 0,
            wait_until_ms,
            settled_ms: None,
        }
    }

    /// Returns whether the work item has to be journaled: jobs and non-idempotent requests are.
    pub fn needs_journal(&self) -> bool {
        self.accepted.lasting || !self.accepted.idempotent
    }

    /// Returns whether the tasks start together or not at all.
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

    /// Returns whether every task reached its final state.
    pub fn is_settled(&self) -> bool {
        self.tasks
            .iter()
            .all(|task| task.phase == TaskPhase::Settled)
    }

    /// Returns the job status for callers.
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
