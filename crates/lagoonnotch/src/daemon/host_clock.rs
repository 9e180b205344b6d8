//! Monotonic clock of the daemon.

use std::time::Instant;

/// Monotonic clock in milliseconds, whose zero lies shortly before the start of the daemon.
#[derive(Clone, Copy, Debug)]
pub struct HostClock {
    start: Instant,
}

/// Reading at the start, in milliseconds; above 0, so that 0 always lies in the past.
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
