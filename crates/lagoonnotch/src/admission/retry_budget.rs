//! A bound on how much work retries may add.

use std::sync::{Mutex, PoisonError};

/// Retries that one request earns, in thousandths.
const EARNED_PER_REQUEST: u64 = 200;

/// Retries that can be saved up, in thousandths.
const MOST_SAVED: u64 = 100_000;

/// Thousandths of one retry.
const ONE_RETRY: u64 = 1000;

/// Lets retries add at most a fifth to the requests, so that a fault does not multiply the load.
#[derive(Debug)]
pub struct RetryBudget {
    /// Never above the most that can be saved.
    saved: Mutex<u64>,
}

impl RetryBudget {
    /// Makes a full budget.
    #[must_use]
    pub fn new() -> Self {
        Self {
            saved: Mutex::new(MOST_SAVED),
        }
    }

    /// Takes note of a request.
    pub fn record_request(&self) {
        let mut saved = self.saved.lock().unwrap_or_else(PoisonError::into_inner);
        *saved = (*saved + EARNED_PER_REQUEST).min(MOST_SAVED);
    }

    /// Takes one retry; returns whether there was one.
    pub fn try_spend(&self) -> bool {
        let mut saved = self.saved.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(rest) = saved.checked_sub(ONE_RETRY) else {
            return false;
        };
        *saved = rest;
        true
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}
