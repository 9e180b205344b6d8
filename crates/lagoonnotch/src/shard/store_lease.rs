//! The owner's lease in the store.

use lagoonnotch_wire::store::StoreCall;

use crate::shard::effect_desk::{CallPurpose, EffectDesk};
use crate::shard::timing::ShardTiming;

/// A lease that is renewed while the shard is owned.
#[derive(Clone, Debug, Default)]
pub(super) struct StoreLease {
    lease: Option<u64>,
    /// Until when the lease surely holds, counted from the sending of the last answered renewal.
    valid_until_ms: u64,
    next_renew_ms: u64,
    /// Whether a renewal is under way.
    pending: bool,
}

impl StoreLease {
    /// Takes note of a granted lease.
    pub fn grant(&mut self, lease: u64, sent_ms: u64, timing: &ShardTiming) {
        self.lease = Some(lease);
        self.extend(sent_ms, timing);
    }

    /// Takes note of a renewal that was sent at the given time.
    pub fn extend(&mut self, sent_ms: u64, timing: &ShardTiming) {
        self.pending = false;
        let valid_until_ms = sent_ms + timing.lease_ttl_ms - timing.drift_margin_ms;
        self.valid_until_ms = self.valid_until_ms.max(valid_until_ms);
        self.next_renew_ms = sent_ms + timing.lease_renew_ms;
    }

    /// Takes note of a renewal without an answer.
    pub fn delay(&mut self, now_ms: u64, timing: &ShardTiming) {
        self.pending = false;
        self.next_renew_ms = now_ms + timing.store_retry_ms;
    }

    /// Takes note that the lease has run out in the store.
    pub fn lose(&mut self, now_ms: u64, timing: &ShardTiming) {
        self.lease = None;
        self.valid_until_ms = 0;
        self.delay(now_ms, timing);
    }

    /// Gives the lease up and returns it.
    pub fn take(&mut self) -> Option<u64> {
        let lease = self.lease.take();
        *self = Self::default();
        lease
    }

    /// Returns until when the lease surely holds, in milliseconds.
    pub fn valid_until_ms(&self) -> u64 {
        if self.lease.is_some() {
            self.valid_until_ms
        } else {
            0
        }
    }

    /// Renews the lease when it is time, or takes a new one after the old was lost.
    pub fn tick(
        &mut self,
        now_ms: u64,
        timing: &ShardTiming,
        may_reclaim: bool,
        desk: &mut EffectDesk,
    ) {
        if self.pending || now_ms < self.next_renew_ms {
            return;
        }
        match self.lease {
            Some(lease) => {
                let purpose = CallPurpose::RenewLease { sent_ms: now_ms };
                desk.call_store(StoreCall::LeaseRenew { lease }, purpose);
                self.pending = true;
            }
            None if may_reclaim => {
                let request = StoreCall::LeaseGrant {
                    ttl_ms: timing.lease_ttl_ms,
                };
                desk.call_store(request, CallPurpose::ReclaimLease);
                self.pending = true;
            }
            None => {}
        }
    }
}
