//! Stable codes of errors.

use hyper::StatusCode;

use crate::shard::RefusalCode;

macro_rules! problem_codes {
    ($($(#[$note:meta])* $name:ident = $code:literal, $status:ident;)*) => {
        /// The kind of an error; its code and HTTP status never change.
        #[derive(Clone, Copy, Debug, Eq, PartialEq)]
        pub enum ProblemCode {
            $($(#[$note])* $name,)*
        }

        impl ProblemCode {
            /// Every code.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Returns the stable code.
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
    /// The body is not what the schema says.
    InvalidBody = "invalid_body", BAD_REQUEST;
    /// A parameter or header is missing or malformed.
    InvalidParameter = "invalid_parameter", BAD_REQUEST;
    /// A non-idempotent request needs an identifier that the system issued.
    RequestIdNotIssued = "request_id_not_issued", BAD_REQUEST;
    /// The identifier was issued too long ago.
    RequestIdExpired = "request_id_expired", BAD_REQUEST;
    /// No key came with the request.
    MissingKey = "missing_key", UNAUTHORIZED;
    /// The key is not granted, or no longer.
    UnknownKey = "unknown_key", UNAUTHORIZED;
    /// The work is for another team than the key's.
    OtherTeam = "other_team", FORBIDDEN;
    /// The team may not submit to the queue.
    QueueClosed = "queue_closed", FORBIDDEN;
    /// There is nothing at this path.
    NotFound = "not_found", NOT_FOUND;
    /// The path does not take this method.
    MethodNotAllowed = "method_not_allowed", METHOD_NOT_ALLOWED;
    /// There is no such work, or no longer.
    UnknownWork = "unknown_work", NOT_FOUND;
    /// There is no such workload.
    UnknownWorkload = "unknown_workload", NOT_FOUND;
    /// The work has not ended.
    NotFinished = "not_finished", CONFLICT;
    /// A document conflicts with another.
    DocumentConflict = "document_conflict", CONFLICT;
    /// The work was cancelled.
    Cancelled = "cancelled", GONE;
    /// The work ended, and its answer is no longer kept.
    AnswerGone = "answer_gone", GONE;
    /// The body is too large.
    BodyTooLarge = "body_too_large", PAYLOAD_TOO_LARGE;
    /// The work can never run.
    Impossible = "impossible", UNPROCESSABLE_ENTITY;
    /// A document has faults.
    DocumentInvalid = "document_invalid", UNPROCESSABLE_ENTITY;
    /// Too many tasks of the team wait.
    QueueFull = "queue_full", TOO_MANY_REQUESTS;
    /// The task ran and failed.
    TaskFailed = "task_failed", BAD_GATEWAY;
    /// The shard's owner is not known at present.
    NoOwner = "no_owner", SERVICE_UNAVAILABLE;
    /// Nothing may start at present.
    StartsSuspended = "starts_suspended", SERVICE_UNAVAILABLE;
    /// Every failure domain that could take the work is out of service.
    DomainOut = "domain_out", SERVICE_UNAVAILABLE;
    /// This host can't know whether the key is still granted.
    ConfigStale = "config_stale", SERVICE_UNAVAILABLE;
    /// This host shuts down.
    ShuttingDown = "shutting_down", SERVICE_UNAVAILABLE;
    /// Too many requests are asked for again.
    RetryBudgetSpent = "retry_budget_spent", SERVICE_UNAVAILABLE;
    /// The time for the request is over.
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
