//! An error and its `application/problem+json` response.

use bytes::Bytes;
use http_body_util::Full;
use hyper::Response;
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use lagoonnotch_wire::caller::{ProblemBody, ProblemFinding, WorkOutcome};

use crate::finding::FindingList;
use crate::problem::ProblemCode;
use crate::shard::Refusal;

/// Milliseconds per second.
const MS_PER_S: u64 = 1000;

/// An error reported to a caller.
#[derive(Clone, Debug, PartialEq)]
pub struct ProblemReport {
    /// The kind of error.
    pub code: ProblemCode,
    /// Whether the work ran.
    pub outcome: WorkOutcome,
    /// Human-readable explanation.
    pub detail: String,
    /// Identifier of the work, if known.
    pub id: Option<String>,
    /// Delay after which the caller should retry, in milliseconds.
    pub retry_after_ms: Option<u64>,
    /// Validation errors of the input.
    pub findings: FindingList,
}

impl ProblemReport {
    /// Creates an error for work that certainly did not run.
    #[must_use]
    pub fn not_run(code: ProblemCode, detail: impl Into<String>) -> Self {
        Self::new(code, WorkOutcome::NotRun, detail)
    }

    /// Creates an error for work that may or may not have run.
    #[must_use]
    pub fn unknown(code: ProblemCode, detail: impl Into<String>) -> Self {
        Self::new(code, WorkOutcome::Unknown, detail)
    }

    /// Creates an error for work that ran.
    #[must_use]
    pub fn done(code: ProblemCode, detail: impl Into<String>) -> Self {
        Self::new(code, WorkOutcome::Done, detail)
    }

    /// Creates an error for an input that failed validation.
    #[must_use]
    pub fn invalid(code: ProblemCode, findings: FindingList) -> Self {
        let detail = findings.to_string();
        Self {
            findings,
            ..Self::not_run(code, detail)
        }
    }

    /// Sets the delay after which the caller should retry, in milliseconds.
    #[must_use]
    pub fn retry_after(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }

    /// Sets the identifier of the work.
    #[must_use]
    pub fn with_id(mut self, id: impl Into<String>) -> Self {
        self.id = Some(id.into());
        self
    }

    /// Returns the response body.
    #[must_use]
    pub fn body(&self) -> ProblemBody {
        let findings = self.findings.findings.iter().map(|finding| ProblemFinding {
            place: finding.place.clone(),
            found: finding.found.clone(),
            expected: finding.expected.clone(),
        });
        ProblemBody {
            type_: format!("urn:lagoonnotch:{}", self.code.as_str()),
            title: self.code.as_str().replace('_', " "),
            status: self.code.status().as_u16(),
            detail: self.detail.clone(),
            code: self.code.as_str().to_owned(),
            outcome: self.outcome,
            id: self.id.clone(),
            retry_after_ms: self.retry_after_ms,
            findings: findings.collect(),
        }
    }

    /// Returns the HTTP response.
    #[must_use]
    pub fn response(&self) -> Response<Full<Bytes>> {
        let body = serde_json::to_vec(&self.body()).unwrap_or_default();
        let mut response = Response::new(Full::new(Bytes::from(body)));
        *response.status_mut() = self.code.status();
        let headers = response.headers_mut();
        headers.insert(
            CONTENT_TYPE,
            HeaderValue::from_static("application/problem+json"),
        );
        if let Some(retry_after_ms) = self.retry_after_ms {
            let seconds = retry_after_ms.div_ceil(MS_PER_S);
            headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }

    fn new(code: ProblemCode, outcome: WorkOutcome, detail: impl Into<String>) -> Self {
        Self {
            code,
            outcome,
            detail: detail.into(),
            id: None,
            retry_after_ms: None,
            findings: FindingList::default(),
        }
    }
}

impl From<Refusal> for ProblemReport {
    fn from(refusal: Refusal) -> Self {
        let mut report = Self::new(refusal.code.into(), refusal.outcome, refusal.detail);
        report.retry_after_ms = refusal.retry_after_ms;
        report
    }
}
