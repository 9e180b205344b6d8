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
    /// A task has failed as often as its queue allows.
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

/// How many others may have caused a crash of an upstream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CrashScope {
    /// Only runs of the task's own submission were present.
    Alone,
    /// Runs of other submissions were present.
    Shared,
    /// Several upstreams ended at about the same time, as if for a common cause.
    Widespread,
}

impl CrashScope {
    /// Returns the label of the scope in logs and metrics.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Alone => "alone",
            Self::Shared => "shared",
            Self::Widespread => "widespread",
        }
    }
}

/// A crash of an upstream while a task was running there.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CrashRecord {
    /// Attempt that was running. It is kept because a crash may be noticed again by the next owner.
    pub attempt: u32,
    /// Upstream that crashed.
    pub upstream: Arc<str>,
    /// Whether the upstream is known to have started the run.
    pub confirmed: bool,
    /// What else may have caused the crash.
    pub scope: CrashScope,
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
    /// Indexes of tasks whose upstreams crashed, and the crashes.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub crashed: Vec<(u32, Vec<CrashRecord>)>,
}

/// A run that was placed on an upstream when the record was written.
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

/// Decision on whether a submission is within its team's rate.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RateRecord {
    /// Whether it is beyond the rate.
    pub beyond: bool,
    /// What the team's token bucket held afterwards, in thousandths of a token.
    pub tokens_milli: u64,
}

/// Progress of a submission; only the fleet's owner writes it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ProgressRecord {
    /// State that callers are shown.
    pub state: SubmissionState,
    /// Progress of the steps with done or failed tasks.
    pub steps: Vec<StepProgress>,
    /// Runs of the tasks that were placed at the time of writing, one for each task. After a
    /// takeover, a task recorded here on an upstream that does not answer must wait until the
    /// leases there have expired. Runs of done tasks, runs replaced by a newer attempt, and runs of
    /// ended submissions are not listed.
    pub runs: Vec<RunRecord>,
    /// Decision on whether the submission is within its team's rate; `None` if the team has no
    /// weight, or an owner of an earlier version wrote the record.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rate: Option<RateRecord>,
}
