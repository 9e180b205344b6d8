//! The service that hosts offer each other.

use std::collections::HashMap;
use std::sync::Arc;

use lagoonnotch_fleet::model::SubmissionState;
use serde::{Deserialize, Serialize};

use crate::ports::{ListPage, ListRequest, StoreError, StoreItem, WriteOutcome, WriteRequest};

/// What a host tells the owner at intervals.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HeartbeatRequest {
    /// Name of the host.
    pub host: Arc<str>,
    /// Its address for the hosts' own calls.
    pub address: Arc<str>,
    /// Whether it can ask the policy service.
    pub can_query_policy: bool,
    /// Processor of the host, in thousandths of a core.
    pub processor_milli: u32,
}

/// Another host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerInfo {
    /// Its address for the hosts' own calls.
    pub address: Arc<str>,
    /// Its processor, in thousandths of a core.
    pub processor_milli: u32,
}

/// A host's last linearizable reading of what the operator approved.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigFingerprint {
    /// Digest of what was read.
    pub digest: u64,
    /// Time since the reading began, in milliseconds.
    pub age_ms: u64,
}

/// What the owner answers.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct HeartbeatReply {
    /// Epoch, if the host owns the fleet and has recovered.
    pub epoch: Option<u64>,
    /// Time since the store answered the host, in milliseconds.
    pub store_age_ms: u64,
    /// Its last reading of what the operator approved.
    pub config: Option<ConfigFingerprint>,
    /// Submissions without a started task, by queue.
    pub waiting: HashMap<Arc<str>, u64>,
    /// The hosts that greeted the owner of late.
    pub peers: Vec<PeerInfo>,
}

/// A submission that is stored.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct NewSubmission {
    /// The stored record, as JSON.
    pub record: Vec<u8>,
    /// Revision at which it was created.
    pub create_revision: u64,
}

/// State of a submission, as the called host knows it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum SubmissionLookup {
    /// The called host does not own the fleet.
    NotOwner,
    /// The owner does not know the submission.
    Unknown,
    /// The owner knows it.
    Known(SubmissionState),
}

/// Answer of the policy service, asked through a peer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PeerAdvice {
    /// Upstreams that may run the step, with their tickets.
    pub allowed: Vec<(Arc<str>, Arc<str>)>,
    /// How long the tickets are valid, in milliseconds.
    pub valid_ms: u64,
}

/// Calls between hosts.
#[tarpc::service]
pub trait PeerService {
    /// Greets the owner.
    async fn heartbeat(call: HeartbeatRequest) -> HeartbeatReply;

    /// Asks the previous owner to stop acting; true once no epoch below this one acts there.
    async fn step_down(epoch: u64) -> bool;

    /// Tells the owner of stored submissions; true if it knows them now.
    async fn notify_submitted(submissions: Vec<NewSubmission>) -> bool;

    /// Tells the owner of stored cancellings; true if it knows them now.
    async fn notify_cancelled(ids: Vec<Arc<str>>) -> bool;

    /// Asks the owner for the state of a submission.
    async fn submission_state(id: Arc<str>) -> SubmissionLookup;

    /// Reads an item of the store for a host that can't reach it.
    async fn store_read(key: String) -> Result<StoreItem, StoreError>;

    /// Reads a page of the store for a host that can't reach it.
    async fn store_list(call: ListRequest) -> Result<ListPage, StoreError>;

    /// Writes to the store for a host that can't reach it.
    async fn store_write(call: WriteRequest) -> WriteOutcome;

    /// Asks the policy service on behalf of the owner.
    async fn query_policy(
        step: String,
        upstreams: Vec<Arc<str>>,
        timeout_ms: u64,
    ) -> Option<PeerAdvice>;
}
