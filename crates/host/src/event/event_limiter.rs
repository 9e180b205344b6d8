//! Bounds the lines of each event.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};

use crate::clock::now_ms;

/// Most lines of one event in one period.
const LINES_PER_PERIOD: u32 = 300;

/// Length of a period, in milliseconds.
const PERIOD_MS: u64 = 1000;

/// Lines of one event.
#[derive(Clone, Copy, Debug, Default)]
struct EventCount {
    period: u64,
    written: u32,
    suppressed: u64,
}

/// Bounds the lines of each event; suppressed lines are counted and told with the next line.
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

    /// Takes one line: returns the lines suppressed since the last, or none if this one is too many.
    pub fn take(&self, number: u32) -> Option<u64> {
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
        if count.written >= LINES_PER_PERIOD {
            count.suppressed += 1;
            return None;
        }
        count.written += 1;
        Some(std::mem::take(&mut count.suppressed))
    }
}
