//! The monotonic clock of a daemon.

use std::time::Instant;

/// Counts milliseconds since a time shortly before the daemon started.
#[derive(Clone, Copy, Debug)]
pub struct HostClock {
    start: Instant,
}

/// Time at the start, in milliseconds, so that 0 is always in the past.
const START_MS: u64 = 1_000_000;

impl HostClock {
    /// Starts the clock.
    #[must_use]
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the present time, in milliseconds.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        START_MS + u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX - START_MS)
    }
}

impl Default for HostClock {
    fn default() -> Self {
        Self::new()
    }
}
