//! Bounds of memory and connections that follow from a host's settings.

use crate::peer::{MAX_FRAME_BYTES, PeerLimits};
use crate::settings::FleetSettings;

/// Descriptors that connections of clients never use: they are for the store, upstreams, readiness
/// and metrics.
const RESERVED_DESCRIPTORS: usize = 200;

/// Divisor for the part of a host's memory that frames in receipt may use.
const RECEIPT_DIVISOR: usize = 8;

/// Divisor for the part of a host's memory that large submissions without an end may use.
const UNFINISHED_DIVISOR: usize = 3;

/// Least memory for frames in receipt, in bytes: the longest frame, and the quarter that frames of
/// ordinary size have for themselves.
const MIN_RECEIPT_BYTES: usize = MAX_FRAME_BYTES / 3 * 4 + 4;

impl FleetSettings {
    /// Returns the bounds of the peer port.
    #[must_use]
    pub fn peer_limits(&self) -> PeerLimits {
        let descriptors = self.max_descriptors.saturating_sub(RESERVED_DESCRIPTORS);
        let memory_bytes = self.memory_mb.saturating_mul(1024 * 1024);
        PeerLimits {
            max_connections: self.max_peer_connections.unwrap_or(descriptors / 4),
            max_receipt_bytes: (memory_bytes / RECEIPT_DIVISOR).max(MIN_RECEIPT_BYTES),
        }
    }

    /// Returns the bound on the memory of large submissions that have not ended, in bytes. A host
    /// assumes that the owner has no more memory than itself.
    #[must_use]
    pub fn unfinished_bytes(&self) -> usize {
        self.memory_mb.saturating_mul(1024 * 1024) / UNFINISHED_DIVISOR
    }
}
