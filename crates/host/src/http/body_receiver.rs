//! Receives the body of a request into one buffer.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::timeout;

use crate::http::byte_budget::ORDINARY_BYTES;
use crate::http::connection_state::ConnectionState;
use crate::http::connection_view::ConnectionPhase;
use crate::http::shed_order::RoomSeeker;
use crate::http::traffic_limiter::{ShedCause, TrafficLimiter};

/// Smallest buffer for a body of unknown length, in bytes.
const MIN_CAPACITY: usize = 1024;

/// A body, or why there is none.
#[derive(Debug)]
pub(super) enum ReceivedBody {
    /// All of the body.
    Complete(Bytes),
    /// The body exceeds the limit, or the connection failed.
    Unusable,
    /// The body did not arrive in time.
    TimedOut,
    /// There is no memory for the body.
    NoMemory,
}

/// Receives a body. Its buffer is charged to the connection's request, and stays so when the body
/// is complete.
///
/// The frames of a body are copied as they arrive: each frame keeps the buffer alive into which its
/// bytes were read, so that a body of small chunks would hold many times its length.
pub(super) async fn receive_body(
    body: Incoming,
    state: &ConnectionState,
    limiter: &TrafficLimiter,
) -> ReceivedBody {
    if body.is_end_stream() {
        return ReceivedBody::Complete(Bytes::new());
    }
    state.enter(ConnectionPhase::Body);
    let earlier = state.request.bytes();
    let receiving = timeout(state.limits.receive_timeout, collect(body, state, limiter));
    let received = receiving.await.unwrap_or(ReceivedBody::TimedOut);
    if !matches!(received, ReceivedBody::Complete(_)) {
        state.request.force(earlier);
    }
    if matches!(received, ReceivedBody::Unusable | ReceivedBody::NoMemory) {
        state.require_lingering();
    }
    received
}

async fn collect(
    mut body: Incoming,
    state: &ConnectionState,
    limiter: &TrafficLimiter,
) -> ReceivedBody {
    let max = state.limits.max_body_bytes;
    let earlier = state.request.bytes();
    let declared = body.size_hint().exact().map(saturating_usize);
    if declared.is_some_and(|declared| declared > max) {
        return ReceivedBody::Unusable;
    }
    let mut capacity = declared.unwrap_or(MIN_CAPACITY).min(ORDINARY_BYTES);
    // A large body is refused now if it has no room, although it begins with a small buffer.
    let first = declared.unwrap_or(0).min(ORDINARY_BYTES + 1).max(capacity);
    if !limiter
        .reserve(&state.request, earlier + first, RoomSeeker::NewRequest)
        .await
    {
        limiter.report_shed(ShedCause::Refused, state, 0);
        return ReceivedBody::NoMemory;
    }
    let mut buffer = Vec::with_capacity(capacity);
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return ReceivedBody::Unusable;
        };
        let Some(data) = frame.data_ref() else {
            continue;
        };
        let needed = buffer.len() + data.len();
        if needed > max {
            return ReceivedBody::Unusable;
        }
        if needed > capacity {
            capacity = next_capacity(capacity, needed, declared.unwrap_or(max));
            let seeker = RoomSeeker::Admitted(state.id);
            if !limiter
                .reserve(&state.request, earlier + capacity, seeker)
                .await
            {
                limiter.report_shed(ShedCause::NoRoom, state, buffer.capacity());
                return ReceivedBody::NoMemory;
            }
            buffer.reserve_exact(capacity - buffer.len());
        }
        buffer.extend_from_slice(data);
    }
    ReceivedBody::Complete(buffer.into())
}

/// Returns the size to which a buffer grows, in bytes: twice its size, at most that of the body.
fn next_capacity(capacity: usize, needed: usize, body_bytes: usize) -> usize {
    (capacity * 2).min(body_bytes).max(needed)
}

fn saturating_usize(number: u64) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}
