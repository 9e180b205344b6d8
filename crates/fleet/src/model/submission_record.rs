//! Submissions as they are stored.

use std::sync::Arc;

use lagoonnotch::model::ResourceSize;
use serde::{Deserialize, Serialize};

use crate::model::QueuePolicy;

/// A step: tasks of the same kind that may run when earlier steps are done.
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent facts, not a state"
)]
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct StepSpec {
    /// Number of tasks, at least 1.
    pub count: u32,
    /// Declared size of one task.
    pub demand: ResourceSize,
    /// Rough estimate of a task's run time, in milliseconds.
    pub estimate_ms: u64,
    /// Earlier steps whose tasks must all be done first.
    pub after: Vec<u32>,
    /// Whether tasks write checkpoints.
    pub checkpointing: bool,
    /// Whether the tasks work only together.
    pub gang: bool,
    /// Whether the tasks slow down when they run on more than one rack.
    pub rack_local: bool,
    /// Label that an upstream must have.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub label: Option<Arc<str>>,
    /// Rack where the data is.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub data_rack: Option<Arc<str>>,
    /// Most tasks of the step on one upstream; 0 for any number.
    pub max_per_upstream: u32,
    /// Whether copies of a task may run in parallel.
    pub speculative: bool,
    /// Whether the tasks run until the submission is cancelled.
    pub long_running: bool,
    /// What the tasks run.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub image: Option<Arc<str>>,
    /// Tail of response times that a lasting task keeps, in milliseconds; 0 for none.
    pub target_ms: u64,
    /// Whether the tasks use only the processor time that others leave.
    #[serde(rename = "fills")]
    pub best_effort: bool,
    /// Tasks of a lasting step that the system may make unavailable at a time; 0 for no bound.
    pub max_unavailable: u32,
}

impl StepSpec {
    /// Returns what a task books at an upstream.
    #[must_use]
    pub fn allocation(&self) -> ResourceSize {
        let cpu_milli = if self.best_effort {
            0
        } else {
            self.demand.cpu_milli
        };
        ResourceSize {
            cpu_milli,
            ..self.demand
        }
    }
}

/// A submission as its host stored it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SubmissionRecord {
    /// Identifier, chosen by the caller.
    pub id: Arc<str>,
    /// Team of the caller's key; none on a queue without keys.
    pub team: Option<Arc<str>>,
    /// Queue as it was approved when the submission was accepted.
    pub queue: Arc<QueuePolicy>,
    /// Text that each start of a task carries.
    pub payload: Arc<str>,
    /// Steps in the order of the submission.
    pub steps: Vec<StepSpec>,
    /// Number of occurrences; 0 for one that is due at once.
    #[serde(default)]
    pub repeats: u32,
    /// When the first occurrence is due, in milliseconds since 1970.
    #[serde(default)]
    pub first_due_unix_ms: u64,
    /// Time between occurrences, in milliseconds.
    #[serde(default)]
    pub period_ms: u64,
    /// When the submission was accepted, in milliseconds since 1970.
    pub accepted_unix_ms: u64,
}

impl SubmissionRecord {
    /// Returns how many occurrences the submission has.
    #[must_use]
    pub fn occurrence_count(&self) -> u32 {
        self.repeats.max(1)
    }

    /// Returns when an occurrence is due, in milliseconds since 1970.
    #[must_use]
    pub fn due_unix_ms(&self, occurrence: u32) -> u64 {
        if self.repeats == 0 {
            return 0;
        }
        self.first_due_unix_ms + u64::from(occurrence) * self.period_ms
    }

    /// Tells whether the submission runs until it is cancelled.
    #[must_use]
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }
}
