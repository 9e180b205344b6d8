//! Connections to the peer port, and the memory of frames in receipt, under the load of clients
//! that send no requests or never complete them.
//!
//! At the bound of connections the one closes that completed no frame, or whose last one is the
//! longest ago: hosts send a heartbeat every 0.4 s. At the bound of memory those close that hold
//! most of a frame that has been in receipt for [`FRAME_GRACE_MS`].

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde_json::json;
use tokio::sync::Notify;

use crate::event::FleetEvent;

/// Time for which a frame in receipt is not given up for another, in milliseconds. Callers wait
/// 250 to 900 ms for a reply, so that a frame takes a part of that.
pub const FRAME_GRACE_MS: u64 = 500;

/// Largest memory of a frame that may use the part of the bound that others leave free, in bytes.
pub const ORDINARY_FRAME_BYTES: usize = 16 * 1024;

/// Divisor for the part of the memory that frames above [`ORDINARY_FRAME_BYTES`] leave free.
const RESERVED_DIVISOR: usize = 4;

/// Bounds of the peer port.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PeerLimits {
    /// Maximum number of connections.
    pub max_connections: usize,
    /// Maximum memory of frames in receipt, in bytes.
    pub max_receipt_bytes: usize,
}

/// Why a connection was closed for others.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CloseCause {
    /// The port has too many connections.
    Crowded,
    /// Its frame arrives too slowly, and the memory is needed.
    Slow,
}

#[derive(Debug)]
struct PeerEntry {
    address: IpAddr,
    /// When its last frame was complete.
    last_frame_at: Option<u64>,
    /// Memory of its frame in receipt, in bytes.
    held_bytes: usize,
    /// When that frame began; meaningless without `held_bytes`.
    began_at: u64,
    closing: Arc<Notify>,
}

#[derive(Debug, Default)]
struct PeerTable {
    /// By number, so that the oldest connection comes first.
    entries: BTreeMap<u64, PeerEntry>,
    next_number: u64,
    held_bytes: usize,
}

/// Connections to the peer port. Clones share the same state. Times are milliseconds of the host's
/// clock.
#[derive(Clone, Debug)]
pub struct OpenPeers {
    limits: PeerLimits,
    table: Arc<Mutex<PeerTable>>,
}

/// An open connection, which no longer counts when this is dropped.
#[derive(Debug)]
pub struct OpenPeer {
    peers: OpenPeers,
    number: u64,
    closing: Arc<Notify>,
}

impl OpenPeers {
    /// Creates an empty table.
    #[must_use]
    pub fn new(limits: PeerLimits) -> Self {
        Self {
            limits,
            table: Arc::default(),
        }
    }

    /// Adds a connection and closes another at the bound; returns whether it did.
    #[must_use]
    pub fn open(&self, address: IpAddr) -> (Arc<OpenPeer>, bool) {
        let mut table = self.lock();
        let is_full = table.entries.len() >= self.limits.max_connections.max(1);
        if is_full {
            let longest_unused = table.entries.iter().min_by_key(|(_, entry)| {
                // `None` comes first.
                entry.last_frame_at
            });
            if let Some(number) = longest_unused.map(|(number, _)| *number) {
                table.close(number, CloseCause::Crowded);
            }
        }
        let number = table.next_number;
        table.next_number += 1;
        let closing = Arc::new(Notify::new());
        table.entries.insert(
            number,
            PeerEntry {
                address: address.to_canonical(),
                last_frame_at: None,
                held_bytes: 0,
                began_at: 0,
                closing: closing.clone(),
            },
        );
        let peer = OpenPeer {
            peers: self.clone(),
            number,
            closing,
        };
        (Arc::new(peer), is_full)
    }

    /// Returns the number of connections.
    #[must_use]
    pub fn count(&self) -> usize {
        self.lock().entries.len()
    }

    /// Returns the memory of all frames in receipt, in bytes.
    #[must_use]
    pub fn held_bytes(&self) -> usize {
        self.lock().held_bytes
    }

    /// Returns the sum of all frames in receipt up to which one may grow to `bytes`.
    fn limit(&self, bytes: usize) -> usize {
        let total = self.limits.max_receipt_bytes;
        if bytes > ORDINARY_FRAME_BYTES {
            total - total / RESERVED_DIVISOR
        } else {
            total
        }
    }

    fn lock(&self) -> MutexGuard<'_, PeerTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl OpenPeer {
    /// Sets the memory of the frame in receipt; closes others for it if need be. Returns false if
    /// the frame can't be held, and the connection must be closed.
    #[must_use]
    pub fn hold(&self, bytes: usize, now: u64) -> bool {
        let limit = self.peers.limit(bytes);
        let mut table = self.peers.lock();
        let Some(entry) = table.entries.get_mut(&self.number) else {
            return false;
        };
        let held = entry.held_bytes;
        if held == 0 {
            entry.began_at = now;
        }
        while table.held_bytes - held + bytes > limit {
            let others = table.entries.iter().filter(|(number, entry)| {
                **number != self.number
                    && entry.held_bytes > 0
                    && now.saturating_sub(entry.began_at) >= FRAME_GRACE_MS
            });
            let Some((number, _)) = others.max_by_key(|(_, entry)| entry.held_bytes) else {
                return false;
            };
            let number = *number;
            table.close(number, CloseCause::Slow);
        }
        table.set_held(self.number, bytes);
        true
    }

    /// Notes that a frame is complete, and that its memory is no longer the port's.
    pub fn record_frame(&self, now: u64) {
        let mut table = self.peers.lock();
        table.set_held(self.number, 0);
        if let Some(entry) = table.entries.get_mut(&self.number) {
            entry.last_frame_at = Some(now);
        }
    }

    /// Returns whether the connection was closed for another.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        !self.peers.lock().entries.contains_key(&self.number)
    }

    /// Completes when the connection is closed for another.
    pub async fn closed(&self) {
        self.closing.notified().await;
    }
}

impl Drop for OpenPeer {
    fn drop(&mut self) {
        self.peers.lock().remove(self.number);
    }
}

impl PeerTable {
    fn set_held(&mut self, number: u64, bytes: usize) {
        if let Some(entry) = self.entries.get_mut(&number) {
            self.held_bytes = self.held_bytes - entry.held_bytes + bytes;
            entry.held_bytes = bytes;
        }
    }

    fn remove(&mut self, number: u64) -> Option<PeerEntry> {
        let entry = self.entries.remove(&number)?;
        self.held_bytes -= entry.held_bytes;
        Some(entry)
    }

    fn close(&mut self, number: u64, cause: CloseCause) {
        let Some(entry) = self.remove(number) else {
            return;
        };
        entry.closing.notify_one();
        let cause = match cause {
            CloseCause::Crowded => "crowded",
            CloseCause::Slow => "slow",
        };
        FleetEvent::ConnectionClosed.emit(json!({
            "cause": cause,
            "port": "peers",
            "client": entry.address,
        }));
    }
}
