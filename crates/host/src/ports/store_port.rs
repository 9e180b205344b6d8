//! Interface of the metadata store: items with revisions, conditional writes, leases and watches.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::ports::Port;

/// Why a request to the store failed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum StoreError {
    /// The request was not executed: not sent, rejected, or rate limited.
    NotExecuted,
    /// No response; a write may have been applied, or may be applied later.
    NoResponse,
    /// The store no longer has the history since the requested revision.
    Compacted,
    /// The item or lease does not exist.
    NotFound,
}

/// An item of the store.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StoreItem {
    /// Key.
    pub key: String,
    /// Value; empty for a deletion.
    pub value: Bytes,
    /// Revision of the last change.
    pub revision: u64,
    /// Revision at which the item was created.
    pub create_revision: u64,
    /// Whether this is a deletion reported by a watch.
    pub deleted: bool,
}

/// A request for the items with a key prefix.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ListRequest {
    /// Prefix of the keys.
    pub prefix: String,
    /// Last key of the previous page.
    pub after: Option<String>,
}

/// A page of items.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ListPage {
    /// Items, ordered by key.
    pub items: Vec<StoreItem>,
    /// Whether there are more pages.
    pub has_more: bool,
    /// Revision of the store at the time of the read.
    pub revision: u64,
}

/// A request to wait for changes.
#[derive(Clone, Debug)]
pub struct WatchRequest {
    /// Prefix of the keys.
    pub prefix: String,
    /// Revision after which changes are reported.
    pub after: u64,
    /// Maximum time to wait, in milliseconds.
    pub wait_ms: u64,
}

/// Changes reported by a watch.
#[derive(Clone, Debug, PartialEq)]
pub struct WatchResponse {
    /// Changes, ordered by revision.
    pub items: Vec<StoreItem>,
    /// Revision to pass as `after` of the next watch.
    pub revision: u64,
}

/// An atomic, conditional write of several keys.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct WriteRequest {
    /// Keys with their required revisions; 0 if the key must not exist.
    pub expected: Vec<(String, u64)>,
    /// Keys to set.
    pub set: Vec<(String, Bytes)>,
    /// Keys to set and attach to the lease.
    pub set_leased: Vec<(String, Bytes)>,
    /// Lease of the keys in `set_leased`.
    pub lease_id: u64,
    /// Keys to delete.
    pub delete: Vec<String>,
}

/// Outcome of a write.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum WriteOutcome {
    /// Applied at this revision.
    Applied(u64),
    /// A condition failed; carries the current items of the conditions' keys, as far as they exist.
    Conflict(Vec<StoreItem>),
    /// The lease does not exist.
    LeaseNotFound,
    /// The write was not applied.
    NotApplied,
    /// No response; the write may have been applied, or may be applied later.
    Unknown,
}

/// A lease of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaseGrant {
    /// Identifier of the lease.
    pub lease_id: u64,
    /// Time to live, in milliseconds from when the store received the request.
    pub ttl_ms: u64,
}

/// Operations of the store.
#[derive(Clone)]
pub struct StorePort {
    /// Reads an item.
    pub read: Port<String, Result<StoreItem, StoreError>>,
    /// Checks that the store is reachable; accepts a stale answer.
    pub ping: Port<(), Result<(), StoreError>>,
    /// Lists a page of items.
    pub list: Port<ListRequest, Result<ListPage, StoreError>>,
    /// Waits for changes.
    pub watch: Port<WatchRequest, Result<WatchResponse, StoreError>>,
    /// Performs a conditional write.
    pub write: Port<WriteRequest, WriteOutcome>,
    /// Grants a lease with a time to live in milliseconds.
    pub grant: Port<u64, Result<LeaseGrant, StoreError>>,
    /// Renews the lease with this identifier.
    pub renew: Port<u64, Result<LeaseGrant, StoreError>>,
    /// Revokes the lease with this identifier.
    pub revoke: Port<u64, Result<(), StoreError>>,
}
