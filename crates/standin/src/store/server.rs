//! The key-value store and the host list, served over HTTP.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use lagoonnotch_wire::store::{StoreCall, StoreReply};
use lagoonnotch_wire::upstream::{HostEntry, HostList};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use crate::MonotonicClock;
use crate::http::{BufferedResponse, json_response, read_json, serve_requests, status_response};
use crate::store::StoreModel;

/// Delay of each error response while the store is down, in milliseconds.
const OUTAGE_REPLY_DELAY_MS: u64 = 200;

/// Faults that the store injects into its calls.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreFaults {
    /// Whether every call fails without taking effect.
    pub down: bool,
    /// Added latency of each call, in milliseconds.
    pub delay_ms: u64,
    /// Loses the reply of every n-th write after the write took effect; 0 loses none.
    pub lose_every: u64,
}

/// Number of store calls by kind.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct StoreCounts {
    /// Number of calls since the start, by kind.
    pub calls: BTreeMap<String, u64>,
}

#[derive(Debug, Default)]
struct ServerState {
    model: StoreModel,
    faults: StoreFaults,
    counts: StoreCounts,
    hosts: Vec<HostEntry>,
    writes: u64,
}

/// HTTP server of the store and the host list.
#[derive(Debug)]
pub struct StoreServer {
    clock: MonotonicClock,
    state: Mutex<ServerState>,
    changed: Notify,
}

impl StoreServer {
    /// Creates an empty store and a host list with the given hosts.
    #[must_use]
    pub fn new(hosts: Vec<HostEntry>) -> Arc<Self> {
        let state = ServerState {
            hosts,
            ..ServerState::default()
        };
        Arc::new(Self {
            clock: MonotonicClock::new(),
            state: Mutex::new(state),
            changed: Notify::new(),
        })
    }

    /// Serves requests until the future is dropped.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        serve_requests(listener, self, |server, request| async move {
            server.handle_request(request).await
        })
        .await;
    }

    /// Sets the faults that later calls see.
    pub fn set_faults(&self, faults: StoreFaults) {
        self.lock().faults = faults;
    }

    /// Returns the numbers of calls so far.
    #[must_use]
    pub fn counts(&self) -> StoreCounts {
        self.lock().counts.clone()
    }

    /// Replaces the host list.
    pub fn set_hosts(&self, hosts: Vec<HostEntry>) {
        self.lock().hosts = hosts;
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, ServerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn handle_request(&self, request: Request<Incoming>) -> BufferedResponse {
        match request.uri().path() {
            "/v1/call" => self.handle_call(request.into_body()).await,
            "/v1/hosts" => self.handle_hosts().await,
            "/v1/faults" => match read_json(request.into_body()).await {
                Some(faults) => {
                    self.set_faults(faults);
                    status_response(StatusCode::NO_CONTENT)
                }
                None => status_response(StatusCode::BAD_REQUEST),
            },
            "/v1/counts" => json_response(&self.counts()),
            _ => status_response(StatusCode::NOT_FOUND),
        }
    }

    async fn handle_hosts(&self) -> BufferedResponse {
        if self.lock().faults.down {
            sleep(Duration::from_millis(OUTAGE_REPLY_DELAY_MS)).await;
            return status_response(StatusCode::SERVICE_UNAVAILABLE);
        }
        self.count_call("hosts");
        json_response(&HostList {
            hosts: self.lock().hosts.clone(),
        })
    }

    async fn handle_call(&self, body: Incoming) -> BufferedResponse {
        let Some(call) = read_json::<StoreCall>(body).await else {
            return status_response(StatusCode::BAD_REQUEST);
        };
        let faults = self.lock().faults;
        if faults.delay_ms > 0 {
            sleep(Duration::from_millis(faults.delay_ms)).await;
        }
        if self.lock().faults.down {
            sleep(Duration::from_millis(OUTAGE_REPLY_DELAY_MS)).await;
            return status_response(StatusCode::SERVICE_UNAVAILABLE);
        }
        self.count_call(call_kind(&call));
        let reply = match &call {
            StoreCall::Watch { wait_ms, .. } => self.wait_for_changes(&call, *wait_ms).await,
            _ => self.apply(&call),
        };
        if is_write(&call) && self.loses_reply(faults.lose_every) {
            return status_response(StatusCode::GATEWAY_TIMEOUT);
        }
        json_response(&reply)
    }

    fn apply(&self, call: &StoreCall) -> StoreReply {
        let reply = self.lock().model.apply(self.clock.now_ms(), call);
        if is_write(call) {
            self.changed.notify_waiters();
        }
        reply
    }

    async fn wait_for_changes(&self, call: &StoreCall, wait_ms: u64) -> StoreReply {
        let wait = async {
            loop {
                let notified = self.changed.notified();
                let reply = self.apply(call);
                if !matches!(&reply, StoreReply::Changes { changes, .. } if changes.is_empty()) {
                    return;
                }
                notified.await;
            }
        };
        let _ = timeout(Duration::from_millis(wait_ms), wait).await;
        self.apply(call)
    }

    fn loses_reply(&self, lose_every: u64) -> bool {
        let mut state = self.lock();
        state.writes += 1;
        lose_every > 0 && state.writes.is_multiple_of(lose_every)
    }

    fn count_call(&self, kind: &str) {
        *self.lock().counts.calls.entry(kind.to_owned()).or_default() += 1;
    }
}

fn is_write(call: &StoreCall) -> bool {
    !matches!(
        call,
        StoreCall::Get { .. } | StoreCall::Range { .. } | StoreCall::Watch { .. }
    )
}

fn call_kind(call: &StoreCall) -> &'static str {
    match call {
        StoreCall::Get { .. } => "get",
        StoreCall::Range { .. } => "range",
        StoreCall::Put { .. } => "put",
        StoreCall::Delete { .. } => "delete",
        StoreCall::LeaseGrant { .. } => "lease_grant",
        StoreCall::LeaseRenew { .. } => "lease_renew",
        StoreCall::LeaseRevoke { .. } => "lease_revoke",
        StoreCall::Watch { .. } => "watch",
    }
}
