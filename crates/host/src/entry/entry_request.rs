//! Requests and answers.

use bytes::Bytes;
use lagoonnotch_fleet::model::SubmissionState;

/// What a caller asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum EntryOperation {
    /// Submit, with the body; none if it was too long.
    Submit(Option<Bytes>),
    /// Show a submission, or count a queue's waiting ones.
    Show,
    /// Cancel a submission.
    Cancel,
    /// Something else.
    Other,
}

/// A caller's request.
#[derive(Clone, Debug, PartialEq)]
pub struct EntryRequest {
    /// Host name that the caller asked for.
    pub host: String,
    /// Path of the request.
    pub path: String,
    /// Key of the caller.
    pub key: Option<String>,
    /// How long the caller waits, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// What the caller asks for.
    pub operation: EntryOperation,
    /// When the request arrived, in milliseconds of the host's clock.
    pub received_at: u64,
}

/// Why a request is refused; nothing of it runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalReason {
    /// The host has no configuration yet.
    NoConfig,
    /// The host can't know whether its configuration is the newest.
    StaleConfig,
    /// The store does not answer the host.
    NoStore,
    /// Neither the owner nor the store could be asked.
    NoOwner,
}

/// Answer to a caller.
#[derive(Clone, Debug, PartialEq)]
pub enum EntryResponse {
    /// The submission is accepted and stored.
    Accepted,
    /// State of the submission.
    State(SubmissionState),
    /// The cancelling is stored.
    Cancelled,
    /// Accepted submissions without a started task.
    Waiting(u64),
    /// No such queue.
    NoQueue,
    /// The key is not known.
    UnknownKey,
    /// No such submission.
    NoSubmission,
    /// The request can't be read, and where.
    Invalid(String),
    /// The body is too long.
    TooLong,
    /// The method is not offered.
    NoMethod,
    /// Refused: nothing of it runs; the caller may come again after so many seconds.
    Refused(RefusalReason, u64),
    /// Not known whether it is stored.
    Unsettled,
}

impl EntryResponse {
    /// Returns the kind of the answer for metrics.
    #[must_use]
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::State(_) => "state",
            Self::Cancelled => "cancelled",
            Self::Waiting(_) => "waiting",
            Self::NoQueue => "no_queue",
            Self::UnknownKey => "unknown_key",
            Self::NoSubmission => "no_submission",
            Self::Invalid(_) => "invalid",
            Self::TooLong => "too_long",
            Self::NoMethod => "no_method",
            Self::Refused(..) => "refused",
            Self::Unsettled => "unsettled",
        }
    }
}
