//! Decides which forwarded renewals a delegate sends.

use crate::forward::RenewalBatch;

/// Knowledge of a delegate about the owners.
#[derive(Debug)]
pub struct DelegateGate {
    /// Identifies the delegate's process.
    instance: u64,
    /// Highest epoch of an accepted batch.
    newest_epoch: u64,
}

impl DelegateGate {
    /// Creates the gate of a process.
    #[must_use]
    pub fn new(instance: u64) -> Self {
        Self {
            instance,
            newest_epoch: 0,
        }
    }

    /// Returns what identifies the delegate's process.
    #[must_use]
    pub fn instance(&self) -> u64 {
        self.instance
    }

    /// Returns whether the renewals of a batch may be sent at `now`, in milliseconds of the
    /// delegate's clock. `known_epoch` is the epoch of the owner according to the store.
    pub fn admit(&mut self, now: u64, known_epoch: u64, batch: &RenewalBatch) -> bool {
        let admitted = batch.instance == self.instance
            && self.may_send(now, known_epoch, batch.epoch, batch.expires_at);
        if admitted {
            self.newest_epoch = batch.epoch;
        }
        admitted
    }

    /// Returns whether a renewal may be sent at `now`. That an upstream has rejected another one of
    /// the epoch does not matter: the token that it had seen may be a later one of the same owner.
    #[must_use]
    pub fn may_send(&self, now: u64, known_epoch: u64, epoch: u64, expires_at: u64) -> bool {
        now < expires_at && epoch >= known_epoch && epoch >= self.newest_epoch
    }
}
