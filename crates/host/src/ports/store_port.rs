//! The store: items with revisions, conditional writes, leases and watches.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::ports::Port;

/// Why a call to the store brought nothing.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum StoreError {
    /// Nothing was done: not sent, refused, or over the rate.
    NotExecuted,
    /// No answer; a write may have been done, or may be done later.
    NoResponse,
    /// The history from that revision is gone.
    Compacted,
    /// No such item or lease.
    NotFound,
}

/// An item of the store.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StoreItem {
    /// Key.
    pub key: String,
    /// Value; empty in a deletion.
    pub value: Bytes,
    /// Revision of the last change.
    pub revision: u64,
    /// Revision of the creation.
    pub create_revision: u64,
    /// Whether a watch reports that the item was deleted.
    pub deleted: bool,
}

/// A reading of the items with a prefix.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ListRequest {
    /// First part of the keys.
    pub prefix: String,
    /// Last key of the page before.
    pub after: Option<String>,
}

/// One page of items.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ListPage {
    /// Items in the order of their keys.
    pub items: Vec<StoreItem>,
    /// Whether there are more.
    pub has_more: bool,
    /// Revision of the store.
    pub revision: u64,
}

/// A wait for changes.
#[derive(Clone, Debug)]
pub struct WatchRequest {
    /// First part of the keys.
    pub prefix: String,
    /// Revision after which changes count.
    pub after: u64,
    /// Longest time to wait, in milliseconds.
    pub wait_ms: u64,
}

/// Changes.
#[derive(Clone, Debug, PartialEq)]
pub struct WatchResponse {
    /// Changes in the order of their revisions.
    pub items: Vec<StoreItem>,
    /// Revision from which to go on.
    pub revision: u64,
}

/// A write of several keys, all or nothing.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct WriteRequest {
    /// Keys with the revision that they must have; 0 for keys that must not exist.
    pub expected: Vec<(String, u64)>,
    /// Keys to set.
    pub set: Vec<(String, Bytes)>,
    /// Keys to set that end with a lease.
    pub set_leased: Vec<(String, Bytes)>,
    /// Lease of those keys.
    pub lease_id: u64,
    /// Keys to delete.
    pub delete: Vec<String>,
}

/// Outcome of a write.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum WriteOutcome {
    /// Done, at this revision.
    Applied(u64),
    /// A condition does not hold; the present items of the conditions that exist.
    Conflict(Vec<StoreItem>),
    /// No such lease.
    LeaseNotFound,
    /// Nothing was done.
    NotApplied,
    /// No answer; it may have been done, or may be done later.
    Unknown,
}

/// A lease of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaseGrant {
    /// Number of the lease.
    pub lease_id: u64,
    /// How long it lasts from the arrival of the call, in milliseconds.
    pub ttl_ms: u64,
}

/// Calls to the store.
#[derive(Clone)]
pub struct StorePort {
    /// Reads one item.
    pub read: Port<String, Result<StoreItem, StoreError>>,
    /// Asks for any answer, however old; shows that the store can be reached.
    pub ping: Port<(), Result<(), StoreError>>,
    /// Reads a page of items.
    pub list: Port<ListRequest, Result<ListPage, StoreError>>,
    /// Waits for changes.
    pub watch: Port<WatchRequest, Result<WatchResponse, StoreError>>,
    /// Writes under conditions.
    pub write: Port<WriteRequest, WriteOutcome>,
    /// Takes a lease of so many milliseconds.
    pub grant: Port<u64, Result<LeaseGrant, StoreError>>,
    /// Renews a lease.
    pub renew: Port<u64, Result<LeaseGrant, StoreError>>,
    /// Ends a lease.
    pub revoke: Port<u64, Result<(), StoreError>>,
}
