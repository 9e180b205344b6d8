//! Requests of callers and the responses to them.

use bytes::Bytes;
use lagoonnotch_fleet::model::SubmissionState;

/// Operation that a caller requests.
#[derive(Clone, Debug, PartialEq)]
pub enum EntryOperation {
    /// Submit, with the body; `None` if the body is too long or could not be received.
    Submit(Option<Bytes>),
    /// Show the state of a submission, or the number of a queue's waiting submissions.
    Show,
    /// Cancel a submission.
    Cancel,
    /// Any other method.
    Other,
}

/// A caller's request.
#[derive(Clone, Debug, PartialEq)]
pub struct EntryRequest {
    /// Host name in the request.
    pub host: String,
    /// Path of the request.
    pub path: String,
    /// API key of the caller.
    pub key: Option<String>,
    /// Time that the caller waits for the response, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// Requested operation.
    pub operation: EntryOperation,
    /// When the request arrived, in milliseconds of the host's clock.
    pub received_at: u64,
}

/// Why a request is rejected; no part of it runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalReason {
    /// The host has no configuration yet.
    NoConfig,
    /// The host's configuration may be outdated.
    StaleConfig,
    /// The store does not respond to the host.
    NoStore,
    /// Neither the owner nor the store could be reached.
    NoOwner,
    /// Large submissions that have not ended take the memory for more.
    UnfinishedWork,
}

/// Response to a caller.
#[derive(Clone, Debug, PartialEq)]
pub enum EntryResponse {
    /// The submission is stored.
    Accepted,
    /// State of the submission.
    State(SubmissionState),
    /// The cancellation is stored.
    Cancelled,
    /// Number of accepted submissions without a started task.
    Waiting(u64),
    /// The queue does not exist.
    NoQueue,
    /// The API key is unknown.
    UnknownKey,
    /// The submission does not exist.
    NoSubmission,
    /// The request is invalid; the text names the location.
    Invalid(String),
    /// The body is too long.
    TooLong,
    /// The method is not supported.
    NoMethod,
    /// The request is rejected and no part of it runs; the caller may retry after this many
    /// seconds.
    Refused(RefusalReason, u64),
    /// The request timed out, or the outcome of its write is unknown; a submission or cancellation
    /// may have been stored.
    Unsettled,
}

impl EntryResponse {
    /// Returns the kind of the response for metrics.
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
