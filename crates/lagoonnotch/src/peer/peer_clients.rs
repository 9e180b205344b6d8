//! Connections to other entry hosts.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use lagoonnotch_wire::store::{StoreCall, StoreReply};
use tarpc::serde_transport::tcp;
use tarpc::tokio_serde::formats::Json;
use tarpc::{client, context};
use tokio::time::timeout;

use crate::document::LogUpdate;
use crate::model::ShardName;
use crate::peer::{Heartbeat, HeartbeatReply, PeerServiceClient};
use crate::shard::{ShardCommand, ShardReply};

/// Timeout for connecting to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout of a heartbeat exchange.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(800);

/// Timeout of a document transfer.
const DOCUMENTS_TIMEOUT: Duration = Duration::from_secs(5);

/// Timeout of a relayed store call.
const RELAY_TIMEOUT: Duration = Duration::from_millis(1500);

/// Error of a call to a peer that got no reply.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PeerError;

/// Pool with one connection to each peer.
#[derive(Clone, Debug, Default)]
pub struct PeerClients {
    clients: Arc<Mutex<BTreeMap<SocketAddr, PeerServiceClient>>>,
}

impl PeerClients {
    /// Sends a heartbeat to a peer and returns its reply.
    ///
    /// # Errors
    /// Fails when the peer does not reply in time.
    pub async fn exchange(
        &self,
        address: SocketAddr,
        heartbeat: Heartbeat,
    ) -> Result<HeartbeatReply, PeerError> {
        let client = self.client(address).await?;
        let result = client
            .exchange(context_with_timeout(HEARTBEAT_TIMEOUT), heartbeat)
            .await;
        result.map_err(|error| self.handle_error(address, &error))
    }

    /// Sends a shard command to the peer that owns the shard.
    ///
    /// # Errors
    /// Fails when the peer does not reply in time; the command may have taken effect.
    pub async fn command(
        &self,
        address: SocketAddr,
        shard: ShardName,
        request: ShardCommand,
        time_limit: Duration,
    ) -> Result<ShardReply, PeerError> {
        let client = self.client(address).await?;
        let result = client
            .command(context_with_timeout(time_limit), shard, request)
            .await;
        result.map_err(|error| self.handle_error(address, &error))
    }

    /// Fetches the documents after a revision from a peer's document log.
    ///
    /// # Errors
    /// Fails when the peer does not reply in time.
    pub async fn documents_since(
        &self,
        address: SocketAddr,
        revision: u64,
    ) -> Result<LogUpdate, PeerError> {
        let client = self.client(address).await?;
        let result = client
            .documents_since(context_with_timeout(DOCUMENTS_TIMEOUT), revision)
            .await;
        result.map_err(|error| self.handle_error(address, &error))
    }

    /// Makes a store call through a peer.
    ///
    /// # Errors
    /// Fails when the peer or the store does not reply in time; the call may have taken effect.
    pub async fn relay(
        &self,
        address: SocketAddr,
        call: StoreCall,
    ) -> Result<StoreReply, PeerError> {
        let client = self.client(address).await?;
        let result = client
            .relay(context_with_timeout(RELAY_TIMEOUT), call)
            .await;
        result
            .map_err(|error| self.handle_error(address, &error))?
            .map_err(|_| PeerError)
    }

    async fn client(&self, address: SocketAddr) -> Result<PeerServiceClient, PeerError> {
        if let Some(client) = self.lock().get(&address) {
            return Ok(client.clone());
        }
        let connect = tcp::connect(address, Json::default);
        let transport = timeout(CONNECT_TIMEOUT, connect)
            .await
            .map_err(|_| PeerError)?
            .map_err(|_| PeerError)?;
        let client = PeerServiceClient::new(client::Config::default(), transport).spawn();
        self.lock().insert(address, client.clone());
        Ok(client)
    }

    /// Drops a failed connection, but keeps one whose call merely timed out.
    fn handle_error(&self, address: SocketAddr, error: &client::RpcError) -> PeerError {
        if !matches!(error, client::RpcError::DeadlineExceeded) {
            self.lock().remove(&address);
        }
        PeerError
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<SocketAddr, PeerServiceClient>> {
        self.clients.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn context_with_timeout(time_limit: Duration) -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + time_limit;
    context
}
