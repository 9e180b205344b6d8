//! An upstream served over HTTP.

use std::fmt::Write;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use lagoonnotch_wire::upstream::{
    AttemptRef, FinishOutcome, StartCall, StartOutcome, StartReply, StartTicket,
};
use sha2::{Digest, Sha256};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::MonotonicClock;
use crate::http::{BufferedResponse, json_response, read_json, serve_requests, status_response};
use crate::upstream::{RunHistory, RunRecord, TaskAnswer, UpstreamModel};

/// Run time of a task whose payload gives none, in milliseconds.
const DEFAULT_RUN_MS: u64 = 10;

/// Simulated run described by the payload: `run-ms=N` or `run-ms=forever`, and `fail`.
#[derive(Clone, Copy, Debug)]
struct SimulatedRun {
    /// Run time in milliseconds; `None` runs until the task is stopped.
    run_ms: Option<u64>,
    fails: bool,
}

impl SimulatedRun {
    fn parse(payload: &str) -> Self {
        let mut run = Self {
            run_ms: Some(DEFAULT_RUN_MS),
            fails: false,
        };
        for word in payload.split_whitespace() {
            match word.strip_prefix("run-ms=") {
                Some("forever") => run.run_ms = None,
                Some(number) => run.run_ms = Some(number.parse().unwrap_or(DEFAULT_RUN_MS)),
                None if word == "fail" => run.fails = true,
                None => {}
            }
        }
        run
    }
}

/// HTTP server of one upstream.
#[derive(Debug)]
pub struct UpstreamServer {
    clock: MonotonicClock,
    model: Mutex<UpstreamModel>,
    ended: Notify,
}

impl UpstreamServer {
    /// Creates an idle upstream that reads time from the given clock.
    #[must_use]
    pub fn new(name: impl Into<String>, clock: MonotonicClock) -> Arc<Self> {
        let model = Mutex::new(UpstreamModel::new(name));
        Arc::new(Self {
            clock,
            model,
            ended: Notify::new(),
        })
    }

    /// Serves requests until the future is dropped.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        serve_requests(listener, self, Self::handle_request).await;
    }

    /// Returns all runs so far, in order of their starts.
    #[must_use]
    pub fn records(&self) -> Vec<RunRecord> {
        let mut model = self.lock();
        model.expire(self.clock.now_ms());
        model.history().to_vec()
    }

    fn run_history(&self) -> RunHistory {
        RunHistory {
            now_ms: self.clock.now_ms(),
            records: self.records(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, UpstreamModel> {
        self.model.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn handle_request(self: Arc<Self>, request: Request<Incoming>) -> BufferedResponse {
        let path = request.uri().path().to_owned();
        match path.as_str() {
            "/v1/run" => self.handle_run(request).await,
            "/v1/echo" => self.handle_echo(request.into_body()).await,
            "/v1/records" => json_response(&self.run_history()),
            _ => self.handle_control_call(&path, request.into_body()).await,
        }
    }

    async fn handle_control_call(self: Arc<Self>, path: &str, body: Incoming) -> BufferedResponse {
        let now_ms = self.clock.now_ms();
        let response = match path {
            "/v1/fence" => read_json(body)
                .await
                .map(|call| json_response(&self.lock().fence(now_ms, &call))),
            "/v1/renew" => read_json(body).await.map(|call| {
                let reply = self.lock().renew(now_ms, &call);
                self.ended.notify_waiters();
                json_response(&reply)
            }),
            "/v1/revoke" => read_json(body)
                .await
                .map(|call| json_response(&self.lock().revoke(now_ms, &call))),
            "/v1/start" => read_json(body).await.map(|call| self.start(call)),
            "/v1/answer" => match read_json(body).await {
                Some(task) => Some(self.wait_for_answer(&task).await),
                None => None,
            },
            _ => Some(status_response(StatusCode::NOT_FOUND)),
        };
        response.unwrap_or_else(|| status_response(StatusCode::BAD_REQUEST))
    }

    fn start(self: &Arc<Self>, call: StartCall) -> BufferedResponse {
        let outcome = self.lock().start(self.clock.now_ms(), &call.ticket);
        if outcome == StartOutcome::Started {
            let server = Arc::clone(self);
            tokio::spawn(
                async move { server.run_task(&call.ticket, call.payload.as_bytes()).await },
            );
        }
        json_response(&StartReply { outcome })
    }

    /// Waits for the payload's run time and returns the payload, without a ticket or a record.
    ///
    /// A payload without an end time uses the default. This gives the latency of a direct call, to
    /// compare with calls through an entry host.
    async fn handle_echo(&self, body: Incoming) -> BufferedResponse {
        let Ok(body) = body.collect().await else {
            return status_response(StatusCode::BAD_REQUEST);
        };
        let payload = body.to_bytes();
        let run_ms = SimulatedRun::parse(&String::from_utf8_lossy(&payload)).run_ms;
        simulate_run_time(run_ms.unwrap_or(DEFAULT_RUN_MS)).await;
        Response::new(Full::new(payload))
    }

    async fn handle_run(self: Arc<Self>, request: Request<Incoming>) -> BufferedResponse {
        let header = request
            .headers()
            .get("lagoonnotch-ticket")
            .map(|value| value.as_bytes().to_vec());
        let ticket = header.and_then(|text| serde_json::from_slice::<StartTicket>(&text).ok());
        let Some(ticket) = ticket else {
            return status_response(StatusCode::BAD_REQUEST);
        };
        let Ok(body) = request.into_body().collect().await else {
            return status_response(StatusCode::BAD_REQUEST);
        };
        let outcome = self.lock().start(self.clock.now_ms(), &ticket);
        if !matches!(outcome, StartOutcome::Started | StartOutcome::AlreadyKnown) {
            let mut response = json_response(&StartReply { outcome });
            *response.status_mut() = StatusCode::CONFLICT;
            return response;
        }
        let task = AttemptRef {
            task: ticket.task.clone(),
            attempt: ticket.attempt,
        };
        if outcome == StartOutcome::Started {
            let server = Arc::clone(&self);
            tokio::spawn(async move { server.run_task(&ticket, &body.to_bytes()).await });
        }
        self.wait_for_answer(&task).await
    }

    async fn run_task(&self, ticket: &StartTicket, payload: &[u8]) {
        let text = String::from_utf8_lossy(payload);
        let run = SimulatedRun::parse(&text);
        let Some(run_ms) = run.run_ms else {
            return;
        };
        simulate_run_time(run_ms).await;
        let body = [b"answer to ", payload].concat();
        let digest = encode_hex(&Sha256::digest(&body));
        let outcome = if run.fails {
            FinishOutcome::Failed
        } else {
            FinishOutcome::Completed
        };
        let task = AttemptRef {
            task: ticket.task.clone(),
            attempt: ticket.attempt,
        };
        self.lock().finish(
            self.clock.now_ms(),
            &task,
            outcome,
            TaskAnswer { body, digest },
        );
        self.ended.notify_waiters();
    }

    async fn wait_for_answer(&self, task: &AttemptRef) -> BufferedResponse {
        loop {
            let notified = self.ended.notified();
            let (answer, running) = {
                let mut model = self.lock();
                model.expire(self.clock.now_ms());
                (model.answer(task), model.is_running(task))
            };
            match answer {
                Some((outcome, answer)) => return answer_response(task, outcome, answer),
                None if !running => return status_response(StatusCode::NOT_FOUND),
                None => notified.await,
            }
        }
    }
}

fn answer_response(
    task: &AttemptRef,
    outcome: FinishOutcome,
    answer: TaskAnswer,
) -> BufferedResponse {
    Response::builder()
        .header("lagoonnotch-task", &task.task)
        .header("lagoonnotch-attempt", task.attempt)
        .header("lagoonnotch-outcome", outcome.to_string())
        .header("lagoonnotch-digest", answer.digest)
        .header("lagoonnotch-length", answer.body.len())
        .body(Full::new(Bytes::from(answer.body)))
        .unwrap_or_else(|_| status_response(StatusCode::INTERNAL_SERVER_ERROR))
}

fn encode_hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut hex, byte| {
        let _ = write!(hex, "{byte:02x}");
        hex
    })
}

/// Sleeps for the run time. Does not sleep for 0, because the timer rounds up to a millisecond.
async fn simulate_run_time(run_ms: u64) {
    if run_ms > 0 {
        sleep(Duration::from_millis(run_ms)).await;
    }
}
