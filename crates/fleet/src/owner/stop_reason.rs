//! Why a run is stopped.

use std::sync::Arc;

/// Why a run is ordered to stop.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StopReason {
    /// Its submission was cancelled, has failed, or is complete.
    SubmissionEnded,
    /// A task of the submission with this identifier needs its capacity.
    Preempted(Arc<str>),
    /// Another member of its gang is lost or can't start.
    GangBroken,
    /// Another member reported the end of its gang.
    GangDone,
    /// It makes no progress.
    Stalled,
    /// It is unknown whether its start order was executed.
    StartUnconfirmed,
    /// A newer run of its task exists, or its task is done.
    Superseded,
    /// Its submission or step is unknown.
    UnknownTask,
}

impl StopReason {
    /// Returns the label of the reason in logs and metrics.
    #[must_use]
    pub fn label(&self) -> &'static str {
        match self {
            Self::SubmissionEnded => "submission_ended",
            Self::Preempted(_) => "preempted",
            Self::GangBroken => "gang_broken",
            Self::GangDone => "gang_done",
            Self::Stalled => "stalled",
            Self::StartUnconfirmed => "start_unconfirmed",
            Self::Superseded => "superseded",
            Self::UnknownTask => "unknown_task",
        }
    }

    /// Returns the submission that the run is preempted for.
    #[must_use]
    pub fn preempting_submission(&self) -> Option<&Arc<str>> {
        match self {
            Self::Preempted(submission) => Some(submission),
            _ => None,
        }
    }
}
