//! RPC clients of the other hosts.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use tarpc::serde_transport::tcp;
use tarpc::tokio_serde::formats::Bincode;
use tarpc::{client, context};
use tokio::time::timeout;

use crate::forward::{BatchReceipt, RenewalBatch, RenewalReport};
use crate::peer::{
    AgedRequest, HeartbeatReply, HeartbeatRequest, NewSubmission, PeerServiceClient,
    RelayedDecision, SubmissionLookup,
};
use crate::ports::{ListPage, ListRequest, StoreError, StoreItem, WriteOutcome, WriteRequest};

/// Maximum time to connect to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Timeout of a heartbeat; leaves time for one TCP retransmission (200 ms).
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(350);

/// Timeout of a call that the peer handles without the store and the policy service.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);

/// Timeout of a batch of renewals, with the time to connect; the owner sends them itself afterwards.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(250);

/// Timeout of a store request that a peer relays.
const RELAY_TIMEOUT: Duration = Duration::from_millis(900);

/// Time allowed for a relayed policy query in addition to the policy service's timeout.
const POLICY_QUERY_MARGIN: Duration = Duration::from_millis(300);

/// Why a call to a peer got no reply.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PeerError {
    /// The call was not sent, because the peer is unreachable.
    NotSent,
    /// The call was sent and may have been executed.
    NoReply,
}

/// Keeps one connection per peer.
#[derive(Clone, Debug, Default)]
pub struct PeerClients {
    clients: Arc<Mutex<HashMap<Arc<str>, PeerServiceClient>>>,
}

impl PeerClients {
    /// Sends a heartbeat to the owner.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer could not be reached or did not reply in time.
    pub async fn heartbeat(
        &self,
        address: &Arc<str>,
        request: HeartbeatRequest,
    ) -> Result<HeartbeatReply, PeerError> {
        let heartbeat = async {
            let client = self.client(address).await?;
            let reply = client
                .heartbeat(context_with_timeout(HEARTBEAT_TIMEOUT), request)
                .await;
            self.check_reply(address, reply)
        };
        timeout(HEARTBEAT_TIMEOUT, heartbeat)
            .await
            .unwrap_or_else(|_| {
                self.lock().remove(address);
                Err(PeerError::NoReply)
            })
    }

    /// Asks the previous owner to step down.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer could not be reached or did not reply in time.
    pub async fn step_down(&self, address: &Arc<str>, epoch: u64) -> Result<bool, PeerError> {
        let client = self.client(address).await?;
        let reply = client
            .step_down(context_with_timeout(CALL_TIMEOUT), epoch)
            .await;
        self.check_reply(address, reply)
    }

    /// Returns requests to the store that a peer sent, with their ages at a time after the call was
    /// made.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer could not be reached or did not reply in time, or is of a
    /// version that does not know the call.
    pub async fn revision_requests(
        &self,
        address: &Arc<str>,
    ) -> Result<Vec<AgedRequest>, PeerError> {
        let client = self.client(address).await?;
        let reply = client
            .revision_requests(context_with_timeout(CALL_TIMEOUT))
            .await;
        self.check_reply(address, reply)
    }

    /// Asks a peer when the store last responded to it, on behalf of the owner of an epoch; returns
    /// the time since then in milliseconds, or `None` if the peer may know of a later owner.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer could not be reached or did not reply in time, or is of a
    /// version that does not know the call.
    pub async fn store_contact_age(
        &self,
        address: &Arc<str>,
        epoch: u64,
    ) -> Result<Option<u64>, PeerError> {
        let client = self.client(address).await?;
        let reply = client
            .store_contact_age(context_with_timeout(CALL_TIMEOUT), epoch)
            .await;
        self.check_reply(address, reply)
    }

    /// Notifies the owner of stored submissions.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer could not be reached or did not reply in time.
    pub async fn notify_submitted(
        &self,
        address: &Arc<str>,
        submissions: Vec<NewSubmission>,
    ) -> Result<bool, PeerError> {
        let client = self.client(address).await?;
        let reply = client
            .notify_submitted(context_with_timeout(CALL_TIMEOUT), submissions)
            .await;
        self.check_reply(address, reply)
    }

    /// Notifies the owner of stored cancellations; returns those whose submissions it does not know.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer could not be reached or did not reply in time.
    pub async fn notify_cancelled(
        &self,
        address: &Arc<str>,
        ids: Vec<Arc<str>>,
    ) -> Result<Vec<Arc<str>>, PeerError> {
        let client = self.client(address).await?;
        let reply = client
            .notify_cancelled(context_with_timeout(CALL_TIMEOUT), ids)
            .await;
        self.check_reply(address, reply)
    }

    /// Returns the state of a submission as the owner knows it.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer could not be reached or did not reply in time.
    pub async fn submission_state(
        &self,
        address: &Arc<str>,
        id: Arc<str>,
    ) -> Result<SubmissionLookup, PeerError> {
        let client = self.client(address).await?;
        let reply = client
            .submission_state(context_with_timeout(CALL_TIMEOUT), id)
            .await;
        self.check_reply(address, reply)
    }

    /// Reads an item from the store through a peer.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer could not be reached or did not reply in time.
    pub async fn store_read(
        &self,
        address: &Arc<str>,
        key: String,
    ) -> Result<Result<StoreItem, StoreError>, PeerError> {
        let client = self.client(address).await?;
        let reply = client
            .store_read(context_with_timeout(RELAY_TIMEOUT), key)
            .await;
        self.check_reply(address, reply)
    }

    /// Lists a page of items from the store through a peer.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer could not be reached or did not reply in time.
    pub async fn store_list(
        &self,
        address: &Arc<str>,
        request: ListRequest,
    ) -> Result<Result<ListPage, StoreError>, PeerError> {
        let client = self.client(address).await?;
        let reply = client
            .store_list(context_with_timeout(RELAY_TIMEOUT), request)
            .await;
        self.check_reply(address, reply)
    }

    /// Writes to the store through a peer.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer could not be reached or did not reply in time; in the latter
    /// case the write may have been applied.
    pub async fn store_write(
        &self,
        address: &Arc<str>,
        request: WriteRequest,
    ) -> Result<WriteOutcome, PeerError> {
        let client = self.client(address).await?;
        let reply = client
            .store_write(context_with_timeout(RELAY_TIMEOUT), request)
            .await;
        self.check_reply(address, reply)
    }

    /// Queries the policy service through a peer.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer could not be reached or did not reply in time.
    pub async fn query_policy(
        &self,
        address: &Arc<str>,
        step: String,
        upstreams: Vec<Arc<str>>,
        timeout_ms: u64,
    ) -> Result<Option<RelayedDecision>, PeerError> {
        let client = self.client(address).await?;
        let limit = Duration::from_millis(timeout_ms) + POLICY_QUERY_MARGIN;
        let reply = client
            .query_policy(context_with_timeout(limit), step, upstreams, timeout_ms)
            .await;
        self.check_reply(address, reply)
    }

    /// Reads the failure domain of a peer.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer could not be reached or did not reply in time.
    pub async fn failure_domain(&self, address: &Arc<str>) -> Result<Arc<str>, PeerError> {
        let client = self.client(address).await?;
        let reply = client
            .failure_domain(context_with_timeout(CALL_TIMEOUT))
            .await;
        self.check_reply(address, reply)
    }

    /// Forwards renewals to a delegate.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer could not be reached or did not reply in time.
    pub async fn forward_renewals(
        &self,
        address: &Arc<str>,
        batch: RenewalBatch,
    ) -> Result<BatchReceipt, PeerError> {
        let forwarding = async {
            let client = self.client(address).await?;
            let reply = client
                .forward_renewals(context_with_timeout(FORWARD_TIMEOUT), batch)
                .await;
            self.check_reply(address, reply)
        };
        timeout(FORWARD_TIMEOUT, forwarding)
            .await
            .unwrap_or_else(|_| {
                self.lock().remove(address);
                Err(PeerError::NoReply)
            })
    }

    /// Reports outcomes of forwarded renewals to the owner.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer could not be reached or did not reply in time.
    pub async fn report_renewals(
        &self,
        address: &Arc<str>,
        report: RenewalReport,
    ) -> Result<(), PeerError> {
        let client = self.client(address).await?;
        let reply = client
            .report_renewals(context_with_timeout(CALL_TIMEOUT), report)
            .await;
        self.check_reply(address, reply)
    }

    async fn client(&self, address: &Arc<str>) -> Result<PeerServiceClient, PeerError> {
        if let Some(client) = self.lock().get(address) {
            return Ok(client.clone());
        }
        let connecting = timeout(CONNECT_TIMEOUT, tcp::connect(&**address, Bincode::default));
        let transport = connecting
            .await
            .map_err(|_| PeerError::NotSent)?
            .map_err(|_| PeerError::NotSent)?;
        let client = PeerServiceClient::new(client::Config::default(), transport).spawn();
        self.lock().insert(address.clone(), client.clone());
        Ok(client)
    }

    /// Drops the connection if the call failed, because the connection may never respond again.
    fn check_reply<T, E>(&self, address: &Arc<str>, reply: Result<T, E>) -> Result<T, PeerError> {
        reply.map_err(|_| {
            self.lock().remove(address);
            PeerError::NoReply
        })
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<Arc<str>, PeerServiceClient>> {
        self.clients.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn context_with_timeout(limit: Duration) -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + limit;
    context
}
