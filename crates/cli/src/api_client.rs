//! HTTP client of entry hosts and the stand-in platform.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use lagoonnotch_wire::caller::{ProblemBody, WorkOutcome};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::timeout;

/// Time limit of a call, including the body of its response. Longer than the default limit that an
/// entry host sets for a request (60 s), so that its response still arrives.
const CALL_TIMEOUT: Duration = Duration::from_secs(70);

/// A request to an HTTP API.
#[derive(Clone, Debug)]
pub(crate) struct ApiCall {
    method: Method,
    path: String,
    headers: Vec<ApiHeader>,
    body: Bytes,
}

/// A request header.
#[derive(Clone, Debug)]
struct ApiHeader {
    name: &'static str,
    value: String,
}

impl ApiCall {
    /// Creates a call without headers and body.
    pub fn new(method: Method, path: impl Into<String>) -> Self {
        Self {
            method,
            path: path.into(),
            headers: Vec::new(),
            body: Bytes::new(),
        }
    }

    /// Adds a header.
    pub fn header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push(ApiHeader {
            name,
            value: value.into(),
        });
        self
    }

    /// Adds the caller's key as a bearer token.
    pub fn key(self, key: &str) -> Self {
        self.header("authorization", format!("Bearer {key}"))
    }

    /// Sets an opaque body.
    pub fn body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// Sets a JSON body.
    pub fn json<T: Serialize>(self, value: &T) -> Self {
        let body = serde_json::to_vec(value).unwrap_or_default();
        self.header("content-type", "application/json").body(body)
    }
}

/// A successful response.
#[derive(Clone, Debug)]
pub(crate) struct ApiResponse {
    /// Identifier of the request, if the response has one.
    pub request_id: Option<String>,
    /// Body of the response.
    pub body: Bytes,
}

impl ApiResponse {
    /// Parses a JSON body.
    pub fn parse<T: DeserializeOwned>(&self) -> Result<T, Box<ProblemBody>> {
        serde_json::from_slice(&self.body).map_err(|error| Box::new(no_answer(&error.to_string())))
    }
}

/// Sends calls to one entry host, or to one server of the stand-in platform.
#[derive(Clone, Debug)]
pub(crate) struct ApiClient {
    base: String,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl ApiClient {
    /// Creates a client of the server at an address.
    pub fn new(address: impl std::fmt::Display) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(connector);
        Self {
            base: format!("http://{address}"),
            client,
        }
    }

    /// Sends a call and returns its response, or the problem that the server or the client found.
    pub async fn call(&self, call: ApiCall) -> Result<ApiResponse, Box<ProblemBody>> {
        let result = timeout(CALL_TIMEOUT, self.send(call)).await;
        result.unwrap_or_else(|_| Err(Box::new(no_answer("the call timed out"))))
    }

    async fn send(&self, call: ApiCall) -> Result<ApiResponse, Box<ProblemBody>> {
        let mut request = Request::builder()
            .method(call.method)
            .uri(format!("{}{}", self.base, call.path));
        for header in &call.headers {
            request = request.header(header.name, &header.value);
        }
        let request = request
            .body(Full::new(call.body))
            .map_err(|error| Box::new(not_sent(&error.to_string())))?;
        let response = self.client.request(request).await.map_err(|error| {
            let detail = format!("{}: {error}", self.base);
            Box::new(if error.is_connect() {
                not_sent(&detail)
            } else {
                no_answer(&detail)
            })
        })?;
        let status = response.status();
        let request_id = response.headers().get("lagoonnotch-request-id");
        let request_id = request_id
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned);
        let collected = response.into_body().collect().await;
        let body = collected
            .map_err(|error| Box::new(no_answer(&error.to_string())))?
            .to_bytes();
        if status.is_success() {
            return Ok(ApiResponse { request_id, body });
        }
        Err(Box::new(parse_problem(status, &body)))
    }
}

/// Returns the problem in a response body, or `no_answer` if the body has another form.
fn parse_problem(status: StatusCode, body: &[u8]) -> ProblemBody {
    let fallback = || {
        no_answer(&format!(
            "status {status}: {}",
            String::from_utf8_lossy(body)
        ))
    };
    serde_json::from_slice(body).unwrap_or_else(|_| fallback())
}

/// Returns the problem of a call that did not reach the server.
fn not_sent(detail: &str) -> ProblemBody {
    local_problem("not_sent", WorkOutcome::NotRun, detail)
}

/// Returns the problem of a call that may have reached the server.
fn no_answer(detail: &str) -> ProblemBody {
    local_problem("no_answer", WorkOutcome::Unknown, detail)
}

fn local_problem(code: &str, outcome: WorkOutcome, detail: &str) -> ProblemBody {
    ProblemBody {
        type_: format!("urn:lagoonnotch:{code}"),
        title: code.replace('_', " "),
        status: 0,
        detail: detail.to_owned(),
        code: code.to_owned(),
        outcome,
        id: None,
        retry_after_ms: None,
        findings: Vec::new(),
    }
}
