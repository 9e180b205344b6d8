//! Decides which connections are closed: at a port's bound those that are idle or slow, from the
//! address that holds most, and at any time those that exceed a time-out.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

use crate::http::ServerLimits;
use crate::http::connection_view::{ConnectionPhase, ConnectionView};

/// Maximum time for which the rest of an incomplete request is discarded, in milliseconds. A client
/// that is still sending can read its response meanwhile.
const LINGER_MS: u64 = 1000;

/// Minimum time without progress after which a connection is closed at the bound, in milliseconds;
/// the requests and responses of an ordinary client pass within it.
const EVICTABLE_STALL_MS: u64 = 200;

/// Why a connection was closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CloseCause {
    /// No request arrived for too long.
    Idle,
    /// A header arrived, or a response was read, too slowly.
    Slow,
    /// The port has too many connections, or the byte budget is exhausted.
    Crowded,
}

impl CloseCause {
    /// Returns the label of the cause in metrics and log lines.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::Slow => "slow",
            Self::Crowded => "crowded",
        }
    }
}

/// Returns up to `count` connections to close at a port's bound, in order. Those of the address
/// with the most connections come first, and among them those that have not moved for longest.
#[must_use]
pub fn connections_to_evict(views: &[ConnectionView], count: usize) -> Vec<u64> {
    let mut by_address: HashMap<_, usize> = HashMap::new();
    for view in views {
        *by_address.entry(view.address).or_default() += 1;
    }
    let mut candidates: Vec<_> = views.iter().filter(|view| is_evictable(view)).collect();
    candidates.sort_by_key(|view| {
        let is_idle = view.phase == ConnectionPhase::Idle;
        let shared = by_address.get(&view.address).copied().unwrap_or(0);
        (
            Reverse(shared),
            Reverse(view.is_slow()),
            Reverse(is_idle),
            Reverse(view.stalled_ms),
            view.id,
        )
    });
    candidates.iter().take(count).map(|view| view.id).collect()
}

fn is_evictable(view: &ConnectionView) -> bool {
    let is_stalled = view.phase.can_be_closed() && view.stalled_ms >= EVICTABLE_STALL_MS;
    is_stalled || view.is_slow()
}

/// Returns why a connection must be closed now, if it exceeds a time-out. Bodies have a time-out of
/// their own, which ends with a response.
#[must_use]
pub fn expired_cause(view: &ConnectionView, limits: &ServerLimits) -> Option<CloseCause> {
    let receive_ms = milliseconds(limits.receive_timeout);
    let (age_ms, limit_ms, cause) = match view.phase {
        ConnectionPhase::Idle => (
            view.stalled_ms,
            milliseconds(limits.idle_timeout),
            CloseCause::Idle,
        ),
        ConnectionPhase::Header => (view.phase_ms, receive_ms, CloseCause::Slow),
        ConnectionPhase::Response => (view.stalled_ms, receive_ms, CloseCause::Slow),
        ConnectionPhase::Lingering => (view.phase_ms, LINGER_MS, CloseCause::Slow),
        ConnectionPhase::Body | ConnectionPhase::Handling | ConnectionPhase::Closing => {
            return None;
        }
    };
    (age_ms >= limit_ms).then_some(cause)
}

fn milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
