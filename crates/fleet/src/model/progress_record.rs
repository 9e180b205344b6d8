//! Stored progress of submissions.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// State of a submission.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum SubmissionState {
    /// No task has started.
    #[default]
    Queued,
    /// A task has started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task has used up the failed attempts that its queue allows.
    Failed,
    /// The caller cancelled it.
    Cancelled,
}

impl SubmissionState {
    /// Returns whether the state is final.
    #[must_use]
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

/// Progress of one step of one occurrence.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct StepProgress {
    /// Index of the occurrence.
    pub occurrence: u32,
    /// Index of the step.
    pub step: u32,
    /// Indexes of the tasks that are done.
    pub done: Vec<u32>,
    /// Indexes of tasks with failed runs, and the attempts that failed. Attempt numbers are kept
    /// instead of counts because upstreams may list a finished run again to the next owner.
    pub failed: Vec<(u32, Vec<u32>)>,
}

/// A run that the owner knew of when the record was written.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RunRecord {
    /// Index of the occurrence.
    pub occurrence: u32,
    /// Index of the step.
    pub step: u32,
    /// Index of the task in its step.
    pub index: u32,
    /// Attempt number.
    pub attempt: u32,
    /// Upstream that the run is placed on.
    pub upstream: Arc<str>,
}

/// Progress of a submission; only its owner writes it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ProgressRecord {
    /// State that callers are shown.
    pub state: SubmissionState,
    /// Progress of the steps with done or failed tasks.
    pub steps: Vec<StepProgress>,
    /// Runs at the time of writing. They limit the set of tasks that wait for leases to expire
    /// after a takeover; the list may be incomplete.
    pub runs: Vec<RunRecord>,
}
