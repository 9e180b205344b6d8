//! Store calls, made directly or relayed through a peer.

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

/// Timeout of a call, not counting the wait of a watch.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of peers asked to relay a call.
const MAX_RELAYS: usize = 2;

/// A store call without a reply; it may have taken effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StoreError;

/// HTTP client of the store.
#[derive(Clone, Debug)]
pub struct StoreClient {
    address: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
    peers: PeerClients,
    /// Peers that may be able to reach the store when this host can't.
    relays: Arc<Mutex<Vec<SocketAddr>>>,
    metrics: Arc<HostMetrics>,
}

impl StoreClient {
    /// Creates a client of the store at an address.
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

    /// Makes a call directly, and repeats it through a peer as long as there is no reply. It may
    /// therefore be executed more than once.
    ///
    /// # Errors
    /// Fails when there is no reply; the call may have taken effect.
    pub async fn call(&self, call: &StoreCall) -> Result<StoreReply, StoreError> {
        if let Ok(reply) = self.call_directly(call).await {
            return Ok(reply);
        }
        let relays = self
            .relays
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        for relay in relays.into_iter().take(MAX_RELAYS) {
            if let Ok(reply) = self.peers.relay(relay, call.clone()).await {
                return Ok(reply);
            }
        }
        Err(StoreError)
    }

    /// Makes a call directly, without relays.
    ///
    /// # Errors
    /// Fails when there is no reply; the call may have taken effect.
    pub async fn call_directly(&self, call: &StoreCall) -> Result<StoreReply, StoreError> {
        self.metrics.count_store_call(call_kind(call));
        let body = serde_json::to_vec(call).map_err(|_| StoreError)?;
        let wait_time = match call {
            StoreCall::Watch { wait_ms, .. } => Duration::from_millis(*wait_ms),
            _ => Duration::ZERO,
        };
        self.post("/v1/call", Bytes::from(body), CALL_TIMEOUT + wait_time)
            .await
    }

    /// Reads the platform's list of upstreams.
    ///
    /// # Errors
    /// Fails when there is no reply.
    pub async fn hosts(&self) -> Result<HostList, StoreError> {
        self.metrics.count_store_call("hosts");
        self.post("/v1/hosts", Bytes::new(), CALL_TIMEOUT).await
    }

    async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: Bytes,
        time_limit: Duration,
    ) -> Result<T, StoreError> {
        let request = Request::post(format!("http://{}{path}", self.address))
            .header("content-type", "application/json")
            .body(Full::new(body))
            .map_err(|_| StoreError)?;
        let reply = async {
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
        timeout(time_limit, reply).await.map_err(|_| StoreError)?
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
