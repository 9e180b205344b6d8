//! Boot time and wall-clock time, in milliseconds.

use std::time::{SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

/// Returns the time since the host booted, in milliseconds, including time spent suspended.
///
/// Ages and deadlines are measured with this clock, because the monotonic clock stops while the
/// host is suspended.
#[must_use]
pub fn now_ms() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(time.tv_nsec).unwrap_or(0);
    seconds * 1000 + nanos / 1_000_000
}

/// Returns the wall-clock time, in milliseconds since the Unix epoch.
#[must_use]
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |time| {
        u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
    })
}
