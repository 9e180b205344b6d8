//! Calls to the store, directly or through a peer.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use lagoonnotch_wire::store::{StoreCall, StoreReply};
use lagoonnotch_wire::upstream::HostList;
use serde::de::DeserializeOwned;
use tokio::time::timeout;

use crate::metrics::HostMetrics;
use crate::peer::PeerClients;

/// Longest time of a call that does not wait.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Number of peers that are asked to relay a call.
const RELAY_TRIES: usize = 2;

/// A store call that got no answer; it may have taken effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StoreError;

/// Makes calls to the store.
#[derive(Clone, Debug)]
pub struct StoreClient {
    address: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
    peers: PeerClients,
    /// Peers that may still reach the store.
    relays: Arc<Mutex<Vec<SocketAddr>>>,
    metrics: Arc<HostMetrics>,
}

impl StoreClient {
    /// Makes a client of the store at an address.
    #[must_use]
    pub fn new(address: SocketAddr, peers: PeerClients, metrics: Arc<HostMetrics>) -> Self {
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build_http();
        Self {
            address,
            client,
            peers,
            relays: Arc::default(),
            metrics,
        }
    }

    /// Sets the peers that may relay calls.
    pub fn set_relays(&self, relays: Vec<SocketAddr>) {
        *self.relays.lock().unwrap_or_else(PoisonError::into_inner) = relays;
    }

    /// Makes a call, through a peer if the store can't be reached from here.
    ///
    /// # Errors
    /// Fails when there is no answer; the call may have taken effect.
    pub async fn call(&self, call: &StoreCall) -> Result<StoreReply, StoreError> {
        if let Ok(reply) = self.call_directly(call).await {
            return Ok(reply);
        }
        let relays = self
            .relays
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        for relay in relays.into_iter().take(RELAY_TRIES) {
            if let Ok(reply) = self.peers.relay(relay, call.clone()).await {
                return Ok(reply);
            }
        }
        Err(StoreError)
    }

    /// Makes a call from this host only.
    ///
    /// # Errors
    /// Fails when there is no answer; the call may have taken effect.
    pub async fn call_directly(&self, call: &StoreCall) -> Result<StoreReply, StoreError> {
        self.metrics.count_store_call(call_kind(call));
        let body = serde_json::to_vec(call).map_err(|_| StoreError)?;
        let wait = match call {
            StoreCall::Watch { wait_ms, .. } => Duration::from_millis(*wait_ms),
            _ => Duration::ZERO,
        };
        self.post("/v1/call", Bytes::from(body), CALL_TIMEOUT + wait)
            .await
    }

    /// Reads the platform's list of upstreams.
    ///
    /// # Errors
    /// Fails when there is no answer.
    pub async fn hosts(&self) -> Result<HostList, StoreError> {
        self.metrics.count_store_call("hosts");
        self.post("/v1/hosts", Bytes::new(), CALL_TIMEOUT).await
    }

    async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: Bytes,
        time: Duration,
    ) -> Result<T, StoreError> {
        let request = Request::post(format!("http://{}{path}", self.address))
            .header("content-type", "application/json")
            .body(Full::new(body))
            .map_err(|_| StoreError)?;
        let answer = async {
            let response = self.client.request(request).await.map_err(|_| StoreError)?;
            if !response.status().is_success() {
                return Err(StoreError);
            }
            let bytes = response
                .into_body()
                .collect()
                .await
                .map_err(|_| StoreError)?
                .to_bytes();
            serde_json::from_slice(&bytes).map_err(|_| StoreError)
        };
        timeout(time, answer).await.map_err(|_| StoreError)?
    }
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
