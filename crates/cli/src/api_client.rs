//! Calls to the HTTP API of an entry host.

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

/// Longest time of a call.
const CALL_TIME: Duration = Duration::from_secs(70);

/// A call to the API.
#[derive(Clone, Debug)]
pub(crate) struct ApiCall {
    method: Method,
    path: String,
    headers: Vec<ApiHeader>,
    body: Bytes,
}

/// A header of a call.
#[derive(Clone, Debug)]
struct ApiHeader {
    name: &'static str,
    value: String,
}

impl ApiCall {
    /// Makes a call without a body.
    pub fn new(method: Method, path: impl Into<String>) -> Self {
        Self {
            method,
            path: path.into(),
            headers: Vec::new(),
            body: Bytes::new(),
        }
    }

    /// Sets a header.
    pub fn header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push(ApiHeader {
            name,
            value: value.into(),
        });
        self
    }

    /// Sets the caller's key.
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

/// A successful answer.
#[derive(Clone, Debug)]
pub(crate) struct ApiAnswer {
    /// Identifier of the request, where the answer names one.
    pub request_id: Option<String>,
    /// The body.
    pub body: Bytes,
}

impl ApiAnswer {
    /// Parses a JSON body.
    pub fn parse<T: DeserializeOwned>(&self) -> Result<T, Box<ProblemBody>> {
        serde_json::from_slice(&self.body).map_err(|error| Box::new(no_answer(&error.to_string())))
    }
}

/// Makes calls to one entry host.
#[derive(Clone, Debug)]
pub(crate) struct ApiClient {
    base: String,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl ApiClient {
    /// Makes a client of the host at an address.
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

    /// Makes a call.
    pub async fn call(&self, call: ApiCall) -> Result<ApiAnswer, Box<ProblemBody>> {
        let result = timeout(CALL_TIME, self.exchange(call)).await;
        result.unwrap_or_else(|_| Err(Box::new(no_answer("there was no answer in time"))))
    }

    async fn exchange(&self, call: ApiCall) -> Result<ApiAnswer, Box<ProblemBody>> {
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
            return Ok(ApiAnswer { request_id, body });
        }
        Err(Box::new(parse_problem(status, &body)))
    }
}

fn parse_problem(status: StatusCode, body: &[u8]) -> ProblemBody {
    let fallback = || {
        no_answer(&format!(
            "status {status}: {}",
            String::from_utf8_lossy(body)
        ))
    };
    serde_json::from_slice(body).unwrap_or_else(|_| fallback())
}

fn not_sent(detail: &str) -> ProblemBody {
    local_problem("not_sent", WorkOutcome::NotRun, detail)
}

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
