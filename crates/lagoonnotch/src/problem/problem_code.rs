//! Stable error codes.

use hyper::StatusCode;

use crate::shard::RefusalCode;

macro_rules! problem_codes {
    ($($(#[$note:meta])* $name:ident = $code:literal, $status:ident;)*) => {
        /// The kind of an error; its code and HTTP status are part of the API and never change.
        #[derive(Clone, Copy, Debug, Eq, PartialEq)]
        pub enum ProblemCode {
            $($(#[$note])* $name,)*
        }

        impl ProblemCode {
            /// All codes.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Returns the code as sent to callers.
            #[must_use]
            pub fn as_str(self) -> &'static str {
                match self {
                    $(Self::$name => $code,)*
                }
            }

            /// Returns the HTTP status.
            #[must_use]
            pub fn status(self) -> StatusCode {
                match self {
                    $(Self::$name => StatusCode::$status,)*
                }
            }
        }
    };
}

problem_codes! {
    /// The body is incomplete or does not match its schema.
    InvalidBody = "invalid_body", BAD_REQUEST;
    /// A parameter or header is missing or malformed.
    InvalidParameter = "invalid_parameter", BAD_REQUEST;
    /// A non-idempotent request lacks an identifier issued by this system.
    RequestIdNotIssued = "request_id_not_issued", BAD_REQUEST;
    /// The identifier was issued too long ago.
    RequestIdExpired = "request_id_expired", BAD_REQUEST;
    /// The request carries no API key.
    MissingKey = "missing_key", UNAUTHORIZED;
    /// The key is unknown or has been withdrawn.
    UnknownKey = "unknown_key", UNAUTHORIZED;
    /// The work names another team than the key's.
    OtherTeam = "other_team", FORBIDDEN;
    /// The team may not submit to the queue.
    QueueClosed = "queue_closed", FORBIDDEN;
    /// The path does not exist.
    NotFound = "not_found", NOT_FOUND;
    /// The path does not support this method.
    MethodNotAllowed = "method_not_allowed", METHOD_NOT_ALLOWED;
    /// The work does not exist or is no longer kept.
    UnknownWork = "unknown_work", NOT_FOUND;
    /// The workload does not exist.
    UnknownWorkload = "unknown_workload", NOT_FOUND;
    /// The work has not finished.
    NotFinished = "not_finished", CONFLICT;
    /// A document conflicts with another.
    DocumentConflict = "document_conflict", CONFLICT;
    /// The work was cancelled.
    Cancelled = "cancelled", GONE;
    /// The work finished, but its answer is no longer kept.
    AnswerGone = "answer_gone", GONE;
    /// The body is too large.
    BodyTooLarge = "body_too_large", PAYLOAD_TOO_LARGE;
    /// The work can never run: it exceeds its team's limit or the capacity of the upstreams.
    Impossible = "impossible", UNPROCESSABLE_ENTITY;
    /// A document is invalid.
    DocumentInvalid = "document_invalid", UNPROCESSABLE_ENTITY;
    /// The team has too many waiting tasks.
    QueueFull = "queue_full", TOO_MANY_REQUESTS;
    /// The task ran and failed.
    TaskFailed = "task_failed", BAD_GATEWAY;
    /// The shard currently has no known owner.
    NoOwner = "no_owner", SERVICE_UNAVAILABLE;
    /// Task starts are suspended, or the store does not respond to a document submission.
    StartsSuspended = "starts_suspended", SERVICE_UNAVAILABLE;
    /// All failure domains that could run the work are out of service.
    DomainOut = "domain_out", SERVICE_UNAVAILABLE;
    /// This host can't tell whether the key is still valid.
    ConfigStale = "config_stale", SERVICE_UNAVAILABLE;
    /// This host is shutting down.
    ShuttingDown = "shutting_down", SERVICE_UNAVAILABLE;
    /// Reserved; currently not returned.
    RetryBudgetSpent = "retry_budget_spent", SERVICE_UNAVAILABLE;
    /// The request's deadline has passed.
    DeadlineExceeded = "deadline_exceeded", GATEWAY_TIMEOUT;
    /// The work may or may not have run.
    OutcomeUnknown = "outcome_unknown", GATEWAY_TIMEOUT;
}

impl From<RefusalCode> for ProblemCode {
    fn from(code: RefusalCode) -> Self {
        match code {
            RefusalCode::NotOwner => Self::NoOwner,
            RefusalCode::StartsSuspended => Self::StartsSuspended,
            RefusalCode::DomainOut => Self::DomainOut,
            RefusalCode::QueueFull => Self::QueueFull,
            RefusalCode::Impossible => Self::Impossible,
            RefusalCode::UnknownWorkload => Self::UnknownWorkload,
            RefusalCode::OtherTeam => Self::OtherTeam,
            RefusalCode::UnknownWork => Self::UnknownWork,
            RefusalCode::DeadlineExceeded => Self::DeadlineExceeded,
            RefusalCode::OutcomeUnknown => Self::OutcomeUnknown,
            RefusalCode::AnswerGone => Self::AnswerGone,
            RefusalCode::NotFinished => Self::NotFinished,
            RefusalCode::Cancelled => Self::Cancelled,
            RefusalCode::TaskFailed => Self::TaskFailed,
        }
    }
}
