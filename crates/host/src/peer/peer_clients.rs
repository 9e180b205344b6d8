//! Connections to other hosts.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use tarpc::serde_transport::tcp;
use tarpc::tokio_serde::formats::Bincode;
use tarpc::{client, context};
use tokio::time::timeout;

use crate::peer::{
    HeartbeatReply, HeartbeatRequest, NewSubmission, PeerAdvice, PeerServiceClient,
    SubmissionLookup,
};
use crate::ports::{ListPage, ListRequest, StoreError, StoreItem, WriteOutcome, WriteRequest};

/// Longest time to connect to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Longest time of a greeting; a lost packet costs 200 ms.
const HELLO_TIMEOUT: Duration = Duration::from_millis(350);

/// Longest time of a short call.
const SHORT_TIMEOUT: Duration = Duration::from_millis(600);

/// Longest time of a call to the store through a peer.
const RELAY_TIMEOUT: Duration = Duration::from_millis(900);

/// Time of a question beyond the service's own.
const ASK_MARGIN: Duration = Duration::from_millis(300);

/// A call to a peer that got no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PeerError {
    /// Nothing was sent: the peer can't be reached.
    NotSent,
    /// It was sent and may be carried out.
    NoReply,
}

/// Keeps one connection to each peer.
#[derive(Clone, Debug, Default)]
pub struct PeerClients {
    clients: Arc<Mutex<HashMap<Arc<str>, PeerServiceClient>>>,
}

impl PeerClients {
    /// Greets the owner.
    ///
    /// # Errors
    ///
    /// Fails if the peer gave no answer in time.
    pub async fn heartbeat(
        &self,
        address: &Arc<str>,
        call: HeartbeatRequest,
    ) -> Result<HeartbeatReply, PeerError> {
        let greeting = async {
            let client = self.client(address).await?;
            let reply = client.heartbeat(within(HELLO_TIMEOUT), call).await;
            self.settle(address, reply)
        };
        timeout(HELLO_TIMEOUT, greeting).await.unwrap_or_else(|_| {
            self.lock().remove(address);
            Err(PeerError::NoReply)
        })
    }

    /// Asks the previous owner to stop acting.
    ///
    /// # Errors
    ///
    /// Fails if the peer gave no answer in time.
    pub async fn step_down(&self, address: &Arc<str>, epoch: u64) -> Result<bool, PeerError> {
        let client = self.client(address).await?;
        let reply = client.step_down(within(SHORT_TIMEOUT), epoch).await;
        self.settle(address, reply)
    }

    /// Tells the owner of stored submissions.
    ///
    /// # Errors
    ///
    /// Fails if the peer gave no answer in time.
    pub async fn notify_submitted(
        &self,
        address: &Arc<str>,
        submissions: Vec<NewSubmission>,
    ) -> Result<bool, PeerError> {
        let client = self.client(address).await?;
        let reply = client
            .notify_submitted(within(SHORT_TIMEOUT), submissions)
            .await;
        self.settle(address, reply)
    }

    /// Tells the owner of stored cancellings.
    ///
    /// # Errors
    ///
    /// Fails if the peer gave no answer in time.
    pub async fn notify_cancelled(
        &self,
        address: &Arc<str>,
        ids: Vec<Arc<str>>,
    ) -> Result<bool, PeerError> {
        let client = self.client(address).await?;
        let reply = client.notify_cancelled(within(SHORT_TIMEOUT), ids).await;
        self.settle(address, reply)
    }

    /// Asks the owner for the state of a submission.
    ///
    /// # Errors
    ///
    /// Fails if the peer gave no answer in time.
    pub async fn submission_state(
        &self,
        address: &Arc<str>,
        id: Arc<str>,
    ) -> Result<SubmissionLookup, PeerError> {
        let client = self.client(address).await?;
        let reply = client.submission_state(within(SHORT_TIMEOUT), id).await;
        self.settle(address, reply)
    }

    /// Reads an item of the store through a peer.
    ///
    /// # Errors
    ///
    /// Fails if the peer gave no answer in time.
    pub async fn store_read(
        &self,
        address: &Arc<str>,
        key: String,
    ) -> Result<Result<StoreItem, StoreError>, PeerError> {
        let client = self.client(address).await?;
        let reply = client.store_read(within(RELAY_TIMEOUT), key).await;
        self.settle(address, reply)
    }

    /// Reads a page of the store through a peer.
    ///
    /// # Errors
    ///
    /// Fails if the peer gave no answer in time.
    pub async fn store_list(
        &self,
        address: &Arc<str>,
        call: ListRequest,
    ) -> Result<Result<ListPage, StoreError>, PeerError> {
        let client = self.client(address).await?;
        let reply = client.store_list(within(RELAY_TIMEOUT), call).await;
        self.settle(address, reply)
    }

    /// Writes to the store through a peer.
    ///
    /// # Errors
    ///
    /// Fails if the peer gave no answer in time; the write may have been done.
    pub async fn store_write(
        &self,
        address: &Arc<str>,
        call: WriteRequest,
    ) -> Result<WriteOutcome, PeerError> {
        let client = self.client(address).await?;
        let reply = client.store_write(within(RELAY_TIMEOUT), call).await;
        self.settle(address, reply)
    }

    /// Asks the policy service through a peer.
    ///
    /// # Errors
    ///
    /// Fails if the peer gave no answer in time.
    pub async fn query_policy(
        &self,
        address: &Arc<str>,
        step: String,
        upstreams: Vec<Arc<str>>,
        timeout_ms: u64,
    ) -> Result<Option<PeerAdvice>, PeerError> {
        let client = self.client(address).await?;
        let longest = Duration::from_millis(timeout_ms) + ASK_MARGIN;
        let reply = client
            .query_policy(within(longest), step, upstreams, timeout_ms)
            .await;
        self.settle(address, reply)
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

    /// Drops the connection of a call without an answer: it may have gone silent for good.
    fn settle<T, E>(&self, address: &Arc<str>, reply: Result<T, E>) -> Result<T, PeerError> {
        reply.map_err(|_| {
            self.lock().remove(address);
            PeerError::NoReply
        })
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<Arc<str>, PeerServiceClient>> {
        self.clients.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn within(longest: Duration) -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + longest;
    context
}
