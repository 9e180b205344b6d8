//! Stored form of submissions.

use std::sync::Arc;

use lagoonnotch::model::ResourceSize;
use serde::{Deserialize, Serialize};

use crate::model::QueuePolicy;

/// A step: tasks of the same kind that become ready when the steps they depend on are done.
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent facts, not a state"
)]
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct StepSpec {
    /// Number of tasks, at least 1.
    pub count: u32,
    /// Resources that one task requests.
    pub demand: ResourceSize,
    /// Rough estimate of a task's run time, in milliseconds.
    pub estimate_ms: u64,
    /// Indexes of earlier steps whose tasks must all be done first.
    pub after: Vec<u32>,
    /// Whether the tasks write checkpoints.
    pub checkpointing: bool,
    /// Whether all tasks of the step must run at the same time.
    pub gang: bool,
    /// Whether the tasks slow down when they run on more than one rack.
    pub rack_local: bool,
    /// Label that an upstream must have to run the tasks.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub label: Option<Arc<str>>,
    /// Rack that holds the input data.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub data_rack: Option<Arc<str>>,
    /// Maximum number of tasks of the step on one upstream; 0 means no limit.
    pub max_per_upstream: u32,
    /// Whether several copies of a task may run in parallel.
    pub speculative: bool,
    /// Whether the tasks run until the submission is cancelled.
    pub long_running: bool,
    /// Image that the tasks run.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub image: Option<Arc<str>>,
    /// Maximum tail latency of a long-running task, in milliseconds; 0 means none.
    pub target_ms: u64,
    /// Whether the tasks use only CPU time that other tasks leave idle; such a task allocates no
    /// CPU. Stored as `fills`.
    #[serde(rename = "fills")]
    pub best_effort: bool,
    /// Maximum number of tasks of a long-running step that the scheduler may make unavailable at
    /// the same time; 0 means no limit.
    pub max_unavailable: u32,
}

impl StepSpec {
    /// Returns the resources that a task allocates on an upstream.
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

    /// Returns the resources that the tasks allocate that must start together: one task or the
    /// whole gang.
    #[must_use]
    pub fn start_size(&self) -> ResourceSize {
        let together = if self.gang { self.count } else { 1 };
        self.allocation().saturating_mul(u64::from(together))
    }
}

/// A submission in its stored form.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SubmissionRecord {
    /// Identifier chosen by the caller.
    pub id: Arc<str>,
    /// Team that owns the caller's key; `None` if the queue needs no key.
    pub team: Option<Arc<str>>,
    /// Queue policy that was approved when the submission was accepted.
    pub queue: Arc<QueuePolicy>,
    /// Text that is sent with each start of a task.
    pub payload: Arc<str>,
    /// Steps in the order of the submission.
    pub steps: Vec<StepSpec>,
    /// Number of occurrences; 0 means a single one that is due at once.
    #[serde(default)]
    pub repeats: u32,
    /// Due time of the first occurrence, in milliseconds since 1970.
    #[serde(default)]
    pub first_due_unix_ms: u64,
    /// Time between occurrences, in milliseconds.
    #[serde(default)]
    pub period_ms: u64,
    /// Time at which the submission was accepted, in milliseconds since 1970.
    pub accepted_unix_ms: u64,
}

impl SubmissionRecord {
    /// Returns the number of occurrences.
    #[must_use]
    pub fn occurrence_count(&self) -> u32 {
        self.repeats.max(1)
    }

    /// Returns the due time of an occurrence in milliseconds since 1970, or 0 if it is due at once.
    #[must_use]
    pub fn due_unix_ms(&self, occurrence: u32) -> u64 {
        if self.repeats == 0 {
            return 0;
        }
        self.first_due_unix_ms + u64::from(occurrence) * self.period_ms
    }

    /// Returns whether the submission runs until it is cancelled.
    #[must_use]
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }
}
