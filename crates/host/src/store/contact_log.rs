//! When the store last responded to this host, and when it had not done so for a while.

use std::sync::{Arc, Mutex, PoisonError};

/// Time without a response of the store after which a host tells the owner that it has no contact, in
/// milliseconds.
pub const CONTACT_GAP_MS: u64 = 2000;

#[derive(Clone, Copy, Debug, Default)]
struct ContactTimes {
    /// When the store last responded; 0 before the first response.
    last_at: u64,
    /// When the last gap of `CONTACT_GAP_MS` or more ended. The time from boot to the first response may
    /// be one.
    gap_ended_at: u64,
}

/// This host's contact with the store, in milliseconds of its boot-time clock: responses to reads, lists,
/// watches and writes, when they arrived. Stale reads and renewals of leases do not count, since they
/// do not show that this host could claim the ownership.
#[derive(Clone, Debug, Default)]
pub struct ContactLog {
    times: Arc<Mutex<ContactTimes>>,
}

impl ContactLog {
    /// Records a response of the store.
    pub fn record(&self, now: u64) {
        let mut times = self.times.lock().unwrap_or_else(PoisonError::into_inner);
        if now >= times.last_at + CONTACT_GAP_MS {
            times.gap_ended_at = now;
        }
        times.last_at = times.last_at.max(now);
    }

    /// Returns the time since the last response, in milliseconds.
    #[must_use]
    pub fn age_ms(&self, now: u64) -> u64 {
        now.saturating_sub(self.times().last_at)
    }

    /// Returns when the last gap in this host's contact ended, which is now for one that lasts; 0 if
    /// there was none.
    #[must_use]
    pub fn gap_ended_at(&self, now: u64) -> u64 {
        let times = self.times();
        if now >= times.last_at + CONTACT_GAP_MS {
            now
        } else {
            times.gap_ended_at
        }
    }

    fn times(&self) -> ContactTimes {
        *self.times.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
