//! Rate limiting of log lines per event.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};

use crate::clock::now_ms;

/// Maximum number of lines per event and period.
const MAX_LINES_PER_PERIOD: u32 = 300;

/// Length of a period, in milliseconds.
const PERIOD_MS: u64 = 1000;

/// Line counts of one event in its current period.
#[derive(Clone, Copy, Debug, Default)]
struct EventCount {
    period: u64,
    written: u32,
    suppressed: u64,
}

/// Limits the log lines of each event. Suppressed lines are counted, and the next line that is
/// written reports the count.
#[derive(Debug, Default)]
pub(super) struct EventLimiter {
    counts: Mutex<Option<HashMap<u32, EventCount>>>,
}

impl EventLimiter {
    pub const fn new() -> Self {
        Self {
            counts: Mutex::new(None),
        }
    }

    /// Asks for permission to write one line. Returns the number of lines suppressed since the last
    /// one was written, or `None` if this line exceeds the limit.
    pub fn acquire(&self, number: u32) -> Option<u64> {
        let period = now_ms() / PERIOD_MS;
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let count = counts
            .get_or_insert_with(HashMap::new)
            .entry(number)
            .or_default();
        if count.period != period {
            count.period = period;
            count.written = 0;
        }
        if count.written >= MAX_LINES_PER_PERIOD {
            count.suppressed += 1;
            return None;
        }
        count.written += 1;
        Some(std::mem::take(&mut count.suppressed))
    }
}
