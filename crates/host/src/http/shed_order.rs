//! Decides which requests are shed when the byte budget is exhausted: those that hold most and move
//! least.

use std::cmp::Reverse;

use crate::http::connection_view::ConnectionView;

/// Who needs room in the budget.
#[derive(Clone, Copy, Debug)]
pub enum RoomSeeker {
    /// A request of which no body byte has been read. Only idle and slow clients make room for it.
    NewRequest,
    /// The request on this connection, of which a part was received. Within its grace time it is
    /// treated as a new one; afterwards every request that holds more for its speed makes room.
    Admitted(u64),
    /// The host, which holds more than the budget. Every request may be shed.
    Host,
}

/// Returns the connections to close so that `missing_bytes` are released, in order. Returns none if
/// they do not hold enough altogether, because closing them would not help the seeker.
#[must_use]
pub fn connections_to_shed(
    views: &[ConnectionView],
    seeker: RoomSeeker,
    missing_bytes: usize,
) -> Vec<u64> {
    let seeking_view = match seeker {
        RoomSeeker::Admitted(id) => views
            .iter()
            .find(|view| view.id == id && view.is_past_grace()),
        RoomSeeker::NewRequest | RoomSeeker::Host => None,
    };
    let makes_room = |view: &ConnectionView| match (seeker, seeking_view) {
        (RoomSeeker::Host, _) => view.is_past_grace(),
        (_, None) => view.is_slow(),
        (_, Some(own)) => view.is_past_grace() && shed_weight(view) > shed_weight(own),
    };
    let mut candidates: Vec<_> = views
        .iter()
        .filter(|view| view.held_bytes > 0 && makes_room(view))
        .collect();
    candidates.sort_by_key(|view| (Reverse(shed_weight(view)), view.id));
    let mut released = 0;
    let mut chosen = Vec::new();
    for view in candidates {
        if released >= missing_bytes {
            break;
        }
        released += view.held_bytes;
        chosen.push(view.id);
    }
    if released < missing_bytes && !matches!(seeker, RoomSeeker::Host) {
        chosen.clear();
    }
    chosen
}

/// Returns how early a request is shed: the bytes that it holds for each byte per second that it
/// moves, times 1024.
fn shed_weight(view: &ConnectionView) -> u64 {
    let held = u64::try_from(view.held_bytes).unwrap_or(u64::MAX);
    held.saturating_mul(1024) / (view.bytes_per_s() + 1)
}
