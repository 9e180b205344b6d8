//! Limit on the extra load that retries cause.

use std::sync::{Mutex, PoisonError};

/// Balance that one request earns, in thousandths of a retry.
const EARNED_MILLI_PER_REQUEST: u64 = 200;

/// Maximum balance, in thousandths of a retry.
const MAX_BALANCE_MILLI: u64 = 100_000;

/// Cost of one retry, in thousandths of a retry.
const MILLI_PER_RETRY: u64 = 1000;

/// Limits retries to a fifth of the requests in the long run, so that a fault does not multiply the
/// load.
#[derive(Debug)]
pub struct RetryBudget {
    /// Current balance, in thousandths of a retry; at most `MAX_BALANCE_MILLI`.
    balance_milli: Mutex<u64>,
}

impl RetryBudget {
    /// Creates a budget with the maximum balance.
    #[must_use]
    pub fn new() -> Self {
        Self {
            balance_milli: Mutex::new(MAX_BALANCE_MILLI),
        }
    }

    /// Adds the balance that one request earns.
    pub fn record_request(&self) {
        let mut balance_milli = self
            .balance_milli
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *balance_milli = (*balance_milli + EARNED_MILLI_PER_REQUEST).min(MAX_BALANCE_MILLI);
    }

    /// Spends one retry. Returns false if the balance is too low.
    pub fn try_spend(&self) -> bool {
        let mut balance_milli = self
            .balance_milli
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let Some(remaining) = balance_milli.checked_sub(MILLI_PER_RETRY) else {
            return false;
        };
        *balance_milli = remaining;
        true
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}
