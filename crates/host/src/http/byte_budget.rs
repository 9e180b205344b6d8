//! Budget of the bytes that a host holds for its clients.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Largest charge that may use the whole budget, in bytes: the body of a request of ordinary size.
pub const ORDINARY_BYTES: usize = 16 * 1024;

/// Divisor for the part of the budget that larger charges can't use.
const RESERVED_DIVISOR: usize = 4;

#[derive(Debug)]
struct BudgetState {
    total: usize,
    used: AtomicUsize,
}

/// A number of bytes that all connections of a host share. Clones share the same budget.
///
/// Charges above [`ORDINARY_BYTES`] leave a quarter of the budget free, so that a crowd of large
/// requests leaves room for ordinary ones.
#[derive(Clone, Debug)]
pub struct ByteBudget {
    state: Arc<BudgetState>,
}

/// A part of a budget, in bytes, which returns to the budget when the charge is dropped.
#[derive(Debug)]
pub struct ByteCharge {
    budget: ByteBudget,
    bytes: AtomicUsize,
    /// Size up to which the charge may use the whole budget, in bytes.
    ordinary_bytes: usize,
}

impl ByteBudget {
    /// Creates a budget of `total` bytes.
    #[must_use]
    pub fn new(total: usize) -> Self {
        let state = BudgetState {
            total,
            used: AtomicUsize::new(0),
        };
        Self {
            state: Arc::new(state),
        }
    }

    /// Returns an empty charge for a request.
    #[must_use]
    pub fn charge(&self) -> ByteCharge {
        self.charge_up_to(ORDINARY_BYTES)
    }

    /// Returns an empty charge that may use the whole budget up to a size, in bytes.
    #[must_use]
    pub fn charge_up_to(&self, ordinary_bytes: usize) -> ByteCharge {
        ByteCharge {
            budget: self.clone(),
            bytes: AtomicUsize::new(0),
            ordinary_bytes,
        }
    }

    /// Returns the size of the budget, in bytes.
    #[must_use]
    pub fn total(&self) -> usize {
        self.state.total
    }

    /// Returns the sum of all charges, in bytes. It exceeds the budget while charges that were
    /// forced do not fit.
    #[must_use]
    pub fn used(&self) -> usize {
        self.state.used.load(Ordering::Relaxed)
    }
}

impl ByteCharge {
    /// Returns the charged bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Returns how many bytes must be released before the charge can grow to `bytes`; 0 if it fits.
    #[must_use]
    pub fn missing(&self, bytes: usize) -> usize {
        let added = bytes.saturating_sub(self.bytes());
        (self.budget.used() + added).saturating_sub(self.limit(bytes))
    }

    /// Grows the charge to `bytes` if the budget has room; returns whether it covers them.
    pub fn try_grow(&self, bytes: usize) -> bool {
        let held = self.bytes();
        if bytes <= held {
            return true;
        }
        let limit = self.limit(bytes);
        let used = &self.budget.state.used;
        let grown = used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |used| {
            let used = used + (bytes - held);
            (used <= limit).then_some(used)
        });
        if grown.is_ok() {
            self.bytes.store(bytes, Ordering::Relaxed);
        }
        grown.is_ok()
    }

    /// Sets the charge to `bytes`, also beyond the budget: for memory that is already allocated.
    pub fn force(&self, bytes: usize) {
        let held = self.bytes.swap(bytes, Ordering::Relaxed);
        let used = &self.budget.state.used;
        if bytes >= held {
            used.fetch_add(bytes - held, Ordering::Relaxed);
        } else {
            used.fetch_sub(held - bytes, Ordering::Relaxed);
        }
    }

    /// Returns the sum of all charges up to which this one may grow to `bytes`.
    fn limit(&self, bytes: usize) -> usize {
        let total = self.budget.total();
        if bytes > self.ordinary_bytes {
            total - total / RESERVED_DIVISOR
        } else {
            total
        }
    }
}

impl Drop for ByteCharge {
    fn drop(&mut self) {
        self.force(0);
    }
}
