//! The RPC service between hosts.

use std::collections::HashMap;
use std::sync::Arc;

use bytes::Bytes;
use lagoonnotch_fleet::model::SubmissionState;
use serde::{Deserialize, Serialize};

use crate::forward::{BatchReceipt, RenewalBatch, RenewalReport};
use crate::ports::{ListPage, ListRequest, StoreError, StoreItem, WriteOutcome, WriteRequest};

/// Heartbeat that a host sends to the owner at intervals.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HeartbeatRequest {
    /// Name of the host.
    pub host: Arc<str>,
    /// Address for calls between hosts.
    pub address: Arc<str>,
    /// Whether the owner may send policy queries and renewals to the host and list it as a peer;
    /// false while the host is stopping.
    pub accepts_work: bool,
    /// CPU capacity of the host, in thousandths of a core.
    pub processor_milli: u32,
    /// Digest of the list of peers that the host has.
    pub peers_digest: u64,
}

/// A host, as listed by the owner.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct PeerInfo {
    /// Address for calls between hosts.
    pub address: Arc<str>,
    /// CPU capacity, in thousandths of a core.
    pub processor_milli: u32,
}

/// Fingerprint of a host's last linearizable read of the operator's items.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigFingerprint {
    /// Digest of the items.
    pub digest: u64,
    /// Time since the read began, in milliseconds.
    pub age_ms: u64,
}

/// Reply to a heartbeat.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct HeartbeatReply {
    /// Epoch in which the host counted `waiting_counts`; `None` if it is not the owner, or has not
    /// counted within the last `MAX_REPORTED_COUNT_AGE_MS`.
    pub epoch: Option<u64>,
    /// Time since the host sent the last request that the store answered, in milliseconds.
    pub store_response_age_ms: u64,
    /// Fingerprint of the last read; `None` in the control actor's replies.
    pub config: Option<ConfigFingerprint>,
    /// Number of submissions without a started task, by queue; meaningless without `epoch`.
    pub waiting_counts: HashMap<Arc<str>, u64>,
    /// Hosts that recently sent a heartbeat to the owner and are not stopping; `None` if the caller
    /// has this list already.
    pub peers: Option<Vec<PeerInfo>>,
}

/// A newly stored submission.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct NewSubmission {
    /// The stored record, as JSON.
    pub record: Bytes,
    /// Revision at which the record was created.
    pub create_revision: u64,
}

/// Result of looking up a submission's state on another host.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum SubmissionLookup {
    /// The called host is not the owner.
    NotOwner,
    /// The owner does not know the submission.
    Unknown,
    /// The owner knows the submission, and its state is this.
    Known(SubmissionState),
}

/// Decision of the policy service, obtained through a peer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RelayedDecision {
    /// Upstreams that may run the step, with their tickets.
    pub allowed: Vec<(Arc<str>, Arc<str>)>,
    /// How long the tickets are valid, in milliseconds.
    pub valid_ms: u64,
}

/// A linearizable request to the store that another host sent.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AgedRequest {
    /// Store revision in the response.
    pub revision: u64,
    /// Time since the request was sent, in milliseconds.
    pub age_ms: u64,
}

/// Calls between hosts.
#[tarpc::service]
pub trait PeerService {
    /// Sends a heartbeat to the owner.
    async fn heartbeat(request: HeartbeatRequest) -> HeartbeatReply;

    /// Asks the previous owner to step down; returns true once the host acts in no lower epoch.
    async fn step_down(epoch: u64) -> bool;

    /// Notifies the owner of stored submissions; returns true if it knows them now.
    async fn notify_submitted(submissions: Vec<NewSubmission>) -> bool;

    /// Notifies the owner of stored cancellations; returns those whose submissions it does not know,
    /// which are all of them if the host is not the owner.
    async fn notify_cancelled(ids: Vec<Arc<str>>) -> Vec<Arc<str>>;

    /// Returns the state of a submission, if the host is the owner.
    async fn submission_state(id: Arc<str>) -> SubmissionLookup;

    /// Reads an item from the store on behalf of another host.
    async fn store_read(key: String) -> Result<StoreItem, StoreError>;

    /// Lists a page of items from the store on behalf of another host.
    async fn store_list(request: ListRequest) -> Result<ListPage, StoreError>;

    /// Writes to the store on behalf of another host.
    async fn store_write(request: WriteRequest) -> WriteOutcome;

    /// Queries the policy service on behalf of the owner.
    async fn query_policy(
        step: String,
        upstreams: Vec<Arc<str>>,
        timeout_ms: u64,
    ) -> Option<RelayedDecision>;

    /// Returns requests to the store that bound when revisions were written. Hosts of earlier
    /// versions do not know this call, so it must stay after the ones above.
    async fn revision_requests() -> Vec<AgedRequest>;

    /// Returns the failure domain of the host.
    async fn failure_domain() -> Arc<str>;

    /// Sends renewals on behalf of the owner. The receipt does not wait for their outcomes.
    async fn forward_renewals(batch: RenewalBatch) -> BatchReceipt;

    /// Reports outcomes of forwarded renewals to the owner.
    async fn report_renewals(report: RenewalReport);

    /// Returns the time since the store last responded to the host, in milliseconds, to the owner of
    /// an epoch; `None` if there is or may be a later owner. Hosts of earlier versions do not know
    /// this call.
    async fn store_contact_age(epoch: u64) -> Option<u64>;
}
