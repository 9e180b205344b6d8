//! Monotonic clock of the daemon.

use std::time::Instant;

/// Monotonic clock in milliseconds, which starts at `INITIAL_MS`.
#[derive(Clone, Copy, Debug)]
pub struct HostClock {
    start: Instant,
}

/// First reading, in milliseconds. Times that were never set are 0, which must look long past.
const INITIAL_MS: u64 = 1_000_000;

impl HostClock {
    /// Starts the clock.
    #[must_use]
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the current time, in milliseconds.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        INITIAL_MS
            + u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX - INITIAL_MS)
    }
}

impl Default for HostClock {
    fn default() -> Self {
        Self::new()
    }
}
