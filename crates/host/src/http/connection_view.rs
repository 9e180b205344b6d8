//! What the decisions about connections know of one.

use std::net::IpAddr;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum ConnectionPhase {
    /// It waits for the next request.
    Idle,
    /// A header is being received.
    Header,
    /// A body is being received.
    Body,
    /// A complete request is being handled; such a connection is never closed early.
    Handling,
    /// A response is being written.
    Response,
    /// The response to an incomplete request was sent, and what still arrives is discarded.
    Lingering,
    /// It is about to be closed.
    Closing,
}

/// Port of a host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServerPort {
    /// Requests of callers.
    Callers,
    /// The load balancer's readiness probe.
    Readiness,
    /// Calls of other hosts.
    Peers,
    /// Metrics.
    Metrics,
}

/// State of a connection at one moment.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionView {
    /// Number of the connection.
    pub id: u64,
    /// Port on which it was accepted.
    pub port: ServerPort,
    /// Address of the client.
    pub address: IpAddr,
    /// What it is doing.
    pub phase: ConnectionPhase,
    /// For how long it has been doing that, in milliseconds.
    pub phase_ms: u64,
    /// Time since bytes were last moved, in milliseconds.
    pub stalled_ms: u64,
    /// Bytes that were moved in the last `recent_ms` milliseconds.
    pub recent_bytes: u64,
    /// Length of the time over which `recent_bytes` were counted, in milliseconds.
    pub recent_ms: u64,
    /// Memory that it holds, in bytes.
    pub held_bytes: usize,
}

/// Time in which a client must show its speed, in milliseconds. Connections are not judged by their
/// speed before.
pub const GRACE_MS: u64 = 500;

/// Speed below which a client is slow, in bytes per second. The largest body takes 16 s at this
/// speed, which is longer than the limits allow.
pub const SLOW_BYTES_PER_S: u64 = 16 * 1024;

impl ServerPort {
    /// All ports.
    pub const ALL: [Self; 4] = [Self::Callers, Self::Readiness, Self::Peers, Self::Metrics];

    /// Returns the label of the port in metrics and log lines.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Callers => "callers",
            Self::Readiness => "readiness",
            Self::Peers => "peers",
            Self::Metrics => "metrics",
        }
    }
}

impl ConnectionPhase {
    /// Returns the phase with a number, for phases in atomics.
    pub(super) fn from_number(number: u8) -> Self {
        match number {
            0 => Self::Idle,
            1 => Self::Header,
            2 => Self::Body,
            3 => Self::Handling,
            4 => Self::Response,
            5 => Self::Lingering,
            _ => Self::Closing,
        }
    }

    /// Returns whether a connection in this phase may be closed: no complete request of it is being
    /// handled.
    #[must_use]
    pub fn can_be_closed(self) -> bool {
        !matches!(self, Self::Handling | Self::Closing)
    }
}

impl ConnectionView {
    /// Returns the recent speed of the client, in bytes per second.
    #[must_use]
    pub fn bytes_per_s(&self) -> u64 {
        self.recent_bytes.saturating_mul(1000) / self.recent_ms.max(1)
    }

    /// Returns whether the connection may be closed and has been in its phase for the grace time.
    #[must_use]
    pub fn is_past_grace(&self) -> bool {
        self.phase.can_be_closed() && self.phase_ms >= GRACE_MS
    }

    /// Returns whether the connection is idle, or its client is slow.
    #[must_use]
    pub fn is_slow(&self) -> bool {
        self.is_past_grace() && self.bytes_per_s() < SLOW_BYTES_PER_S
    }
}
