//! The store: items with revisions, conditional writes, leases and watches.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::ports::Port;

/// Why a call to the store brought nothing.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum StoreFault {
    /// Nothing was done: not sent, refused, or over the rate.
    NotDone,
    /// No answer; a write may have been done, or may be done later.
    Unknown,
    /// The history from that revision is gone.
    HistoryGone,
    /// No such item or lease.
    Missing,
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
    pub created: u64,
    /// Whether a watch reports that the item was deleted.
    pub deleted: bool,
}

/// A reading of the items with a prefix.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ListCall {
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
    pub more: bool,
    /// Revision of the store.
    pub revision: u64,
}

/// A wait for changes.
#[derive(Clone, Debug)]
pub struct WatchCall {
    /// First part of the keys.
    pub prefix: String,
    /// Revision after which changes count.
    pub after: u64,
    /// Longest time to wait, in milliseconds.
    pub wait_ms: u64,
}

/// Changes.
#[derive(Clone, Debug, PartialEq)]
pub struct WatchAnswer {
    /// Changes in the order of their revisions.
    pub items: Vec<StoreItem>,
    /// Revision from which to go on.
    pub revision: u64,
}

/// A write of several keys, all or nothing.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct WriteCall {
    /// Keys with the revision that they must have; 0 for keys that must not exist.
    pub expected: Vec<(String, u64)>,
    /// Keys to set.
    pub set: Vec<(String, Bytes)>,
    /// Keys to set that end with a lease.
    pub set_leased: Vec<(String, Bytes)>,
    /// Lease of those keys.
    pub lease: u64,
    /// Keys to delete.
    pub delete: Vec<String>,
}

/// Outcome of a write.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum WriteOutcome {
    /// Done, at this revision.
    Done(u64),
    /// A condition does not hold; the present items of the conditions that exist.
    Conflict(Vec<StoreItem>),
    /// No such lease.
    NoLease,
    /// Nothing was done.
    NotDone,
    /// No answer; it may have been done, or may be done later.
    Unknown,
}

/// A lease of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaseGrant {
    /// Number of the lease.
    pub lease: u64,
    /// How long it lasts from the arrival of the call, in milliseconds.
    pub ttl_ms: u64,
}

/// Calls to the store.
#[derive(Clone)]
pub struct StorePort {
    /// Reads one item.
    pub read: Port<String, Result<StoreItem, StoreFault>>,
    /// Asks for any answer, however old; shows that the store can be reached.
    pub ping: Port<(), Result<(), StoreFault>>,
    /// Reads a page of items.
    pub list: Port<ListCall, Result<ListPage, StoreFault>>,
    /// Waits for changes.
    pub watch: Port<WatchCall, Result<WatchAnswer, StoreFault>>,
    /// Writes under conditions.
    pub write: Port<WriteCall, WriteOutcome>,
    /// Takes a lease of so many milliseconds.
    pub grant: Port<u64, Result<LeaseGrant, StoreFault>>,
    /// Renews a lease.
    pub renew: Port<u64, Result<LeaseGrant, StoreFault>>,
    /// Ends a lease.
    pub end: Port<u64, Result<(), StoreFault>>,
}
