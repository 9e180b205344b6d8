//! HTTP calls to upstreams.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::header::HeaderMap;
use hyper::{Request, Response, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use lagoonnotch_wire::upstream::AttemptRef;
use serde::Serialize;
use serde::de::DeserializeOwned;
use sha2::{Digest, Sha256};
use tokio::time::timeout;

use crate::document::encode_hex;
use crate::shard::{AttemptTicket, CallFailure, UpstreamCall, UpstreamReply};

/// Timeout of connecting, and of a fence, renew, start or revoke call.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(800);

/// The complete answer of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptAnswer {
    /// Whether the task ran and failed.
    pub failed: bool,
    /// The bytes of the answer.
    pub body: Bytes,
}

/// Why an attempt has no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptError {
    /// The upstream refused the start; the attempt did not run.
    Refused,
    /// The upstream does not know the attempt, or the attempt ended without an answer.
    NotFound,
    /// No complete answer arrived; the attempt may have run.
    Unknown,
}

/// HTTP client of upstreams.
#[derive(Clone, Debug)]
pub struct UpstreamClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for UpstreamClient {
    fn default() -> Self {
        Self::new()
    }
}

impl UpstreamClient {
    /// Creates a client.
    #[must_use]
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONTROL_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(connector);
        Self { client }
    }

    /// Makes a fence, renew, start or revoke call to an upstream.
    ///
    /// # Errors
    /// Fails when there is no reply; the call may have taken effect.
    pub async fn control(
        &self,
        address: &str,
        call: UpstreamCall,
    ) -> Result<UpstreamReply, CallFailure> {
        match call {
            UpstreamCall::Fence(call) => self
                .post_json(address, "fence", &call)
                .await
                .map(UpstreamReply::Fence),
            UpstreamCall::Renew(call) => self
                .post_json(address, "renew", &call)
                .await
                .map(UpstreamReply::Renew),
            UpstreamCall::Start(call) => self
                .post_json(address, "start", &call)
                .await
                .map(UpstreamReply::Start),
            UpstreamCall::Revoke(call) => self
                .post_json(address, "revoke", &call)
                .await
                .map(UpstreamReply::Revoke),
        }
    }

    /// Runs a quick request under its start ticket and returns its complete answer.
    ///
    /// # Errors
    /// Fails when no complete answer of this attempt arrives in time.
    pub async fn run(
        &self,
        ticket: &AttemptTicket,
        body: Bytes,
        time_limit: Duration,
    ) -> Result<AttemptAnswer, AttemptError> {
        let header = serde_json::to_string(&ticket.ticket).map_err(|_| AttemptError::Unknown)?;
        let request = Request::post(format!("http://{}/v1/run", ticket.address))
            .header("lagoonnotch-ticket", header)
            .body(Full::new(body))
            .map_err(|_| AttemptError::Unknown)?;
        self.fetch(ticket, request, time_limit).await
    }

    /// Waits for the end of a started attempt and returns its answer.
    ///
    /// # Errors
    /// Fails when no complete answer of this attempt arrives in time.
    pub async fn answer(
        &self,
        ticket: &AttemptTicket,
        time_limit: Duration,
    ) -> Result<AttemptAnswer, AttemptError> {
        let attempt = AttemptRef {
            task: ticket.ticket.task.clone(),
            attempt: ticket.ticket.attempt,
        };
        let body = serde_json::to_vec(&attempt).map_err(|_| AttemptError::Unknown)?;
        let request = Request::post(format!("http://{}/v1/answer", ticket.address))
            .body(Full::new(Bytes::from(body)))
            .map_err(|_| AttemptError::Unknown)?;
        self.fetch(ticket, request, time_limit).await
    }

    async fn fetch(
        &self,
        ticket: &AttemptTicket,
        request: Request<Full<Bytes>>,
        time_limit: Duration,
    ) -> Result<AttemptAnswer, AttemptError> {
        let answer = async {
            let response = self
                .client
                .request(request)
                .await
                .map_err(|_| AttemptError::Unknown)?;
            match response.status() {
                StatusCode::OK => read_answer(ticket, response).await,
                StatusCode::CONFLICT => Err(AttemptError::Refused),
                StatusCode::NOT_FOUND => Err(AttemptError::NotFound),
                _ => Err(AttemptError::Unknown),
            }
        };
        timeout(time_limit, answer)
            .await
            .unwrap_or(Err(AttemptError::Unknown))
    }

    async fn post_json<C: Serialize, R: DeserializeOwned>(
        &self,
        address: &str,
        name: &str,
        call: &C,
    ) -> Result<R, CallFailure> {
        let body = serde_json::to_vec(call).map_err(|_| CallFailure)?;
        let request = Request::post(format!("http://{address}/v1/{name}"))
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|_| CallFailure)?;
        let reply = async {
            let response = self
                .client
                .request(request)
                .await
                .map_err(|_| CallFailure)?;
            if response.status() != StatusCode::OK {
                return Err(CallFailure);
            }
            let bytes = response
                .into_body()
                .collect()
                .await
                .map_err(|_| CallFailure)?
                .to_bytes();
            serde_json::from_slice(&bytes).map_err(|_| CallFailure)
        };
        timeout(CONTROL_TIMEOUT, reply)
            .await
            .map_err(|_| CallFailure)?
    }
}

/// Reads a complete answer and verifies that it belongs to the attempt.
async fn read_answer<B>(
    ticket: &AttemptTicket,
    response: Response<B>,
) -> Result<AttemptAnswer, AttemptError>
where
    B: hyper::body::Body,
{
    let headers = response.headers().clone();
    let body = response
        .into_body()
        .collect()
        .await
        .map_err(|_| AttemptError::Unknown)?
        .to_bytes();
    let header = |name: &str| header_text(&headers, name);
    let matches = header("lagoonnotch-task") == Some(ticket.ticket.task.as_str())
        && header("lagoonnotch-attempt") == Some(ticket.ticket.attempt.to_string().as_str());
    if !matches {
        return Err(AttemptError::Unknown);
    }
    let failed = match header("lagoonnotch-outcome") {
        Some("completed") => false,
        Some("failed") => true,
        _ => return Err(AttemptError::NotFound),
    };
    let complete = header("lagoonnotch-length") == Some(body.len().to_string().as_str())
        && header("lagoonnotch-digest") == Some(encode_hex(&Sha256::digest(&body)).as_str());
    if complete {
        Ok(AttemptAnswer { failed, body })
    } else {
        Err(AttemptError::Unknown)
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
