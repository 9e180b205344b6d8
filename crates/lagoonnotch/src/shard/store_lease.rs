//! The owner's lease in the store.

use lagoonnotch_wire::store::StoreCall;

use crate::shard::effect_buffer::{CallPurpose, EffectBuffer};
use crate::shard::timing::ShardTiming;

/// Tracks a lease and its renewals.
#[derive(Clone, Debug, Default)]
pub(super) struct StoreLease {
    /// Identifier of the lease; none before it is granted and after it expired.
    lease_id: Option<u64>,
    /// Time until which the lease is known to be valid, counted from when the last confirmed
    /// renewal was sent, in milliseconds.
    valid_until_ms: u64,
    next_renewal_ms: u64,
    /// Whether a call that renews or acquires the lease is in flight.
    call_in_flight: bool,
}

impl StoreLease {
    /// Records a granted lease.
    pub fn set_granted(&mut self, lease_id: u64, sent_ms: u64, timing: &ShardTiming) {
        self.lease_id = Some(lease_id);
        self.set_renewed(sent_ms, timing);
    }

    /// Records a successful renewal that was sent at the given time.
    pub fn set_renewed(&mut self, sent_ms: u64, timing: &ShardTiming) {
        self.call_in_flight = false;
        let valid_until_ms = sent_ms + timing.lease_ttl_ms - timing.clock_drift_margin_ms;
        self.valid_until_ms = self.valid_until_ms.max(valid_until_ms);
        self.next_renewal_ms = sent_ms + timing.lease_renew_interval_ms;
    }

    /// Schedules the next try after a renewal or a reclaim that failed.
    pub fn schedule_retry(&mut self, now_ms: u64, timing: &ShardTiming) {
        self.call_in_flight = false;
        self.next_renewal_ms = now_ms + timing.store_retry_delay_ms;
    }

    /// Records that the lease has expired in the store.
    pub fn set_expired(&mut self, now_ms: u64, timing: &ShardTiming) {
        self.lease_id = None;
        self.valid_until_ms = 0;
        self.schedule_retry(now_ms, timing);
    }

    /// Removes and returns the lease.
    pub fn take(&mut self) -> Option<u64> {
        let lease = self.lease_id.take();
        *self = Self::default();
        lease
    }

    /// Returns the time until which the lease is known to be valid, in milliseconds.
    pub fn valid_until_ms(&self) -> u64 {
        if self.lease_id.is_some() {
            self.valid_until_ms
        } else {
            0
        }
    }

    /// Renews the lease when it is due, or acquires a new one after the old one expired.
    pub fn tick(
        &mut self,
        now_ms: u64,
        timing: &ShardTiming,
        may_reclaim: bool,
        effects: &mut EffectBuffer,
    ) {
        if self.call_in_flight || now_ms < self.next_renewal_ms {
            return;
        }
        match self.lease_id {
            Some(lease) => {
                let purpose = CallPurpose::RenewLease { sent_ms: now_ms };
                effects.call_store(StoreCall::LeaseRenew { lease }, purpose);
                self.call_in_flight = true;
            }
            None if may_reclaim => {
                let request = StoreCall::LeaseGrant {
                    ttl_ms: timing.lease_ttl_ms,
                };
                effects.call_store(request, CallPurpose::ReclaimLease);
                self.call_in_flight = true;
            }
            None => {}
        }
    }
}
