//! Renewal of the store's lease.
//!
//! If the lease has expired, the owner reclaims it in the same epoch: it acquires a new lease,
//! recreates the owner key and checks that its epoch is still the newest.

use lagoonnotch_wire::store::{StoreCall, StoreReply};

use crate::event::EventCode;
use crate::shard::effect_buffer::CallPurpose;
use crate::shard::messages::CallFailure;
use crate::shard::owner::OwnerState;
use crate::shard::phase::OwnershipPhase;
use crate::shard::shard_controller::ShardController;
use crate::shard::takeover::OwnerRecord;

impl ShardController {
    pub(super) fn handle_renewal(
        &mut self,
        now_ms: u64,
        sent_ms: u64,
        result: &Result<StoreReply, CallFailure>,
    ) {
        match result {
            Ok(StoreReply::Lease { .. }) => self.lease.set_renewed(sent_ms, &self.timing),
            Ok(_) => {
                self.lease.set_expired(now_ms, &self.timing);
                if !matches!(
                    self.phase,
                    OwnershipPhase::Owning | OwnershipPhase::Releasing
                ) {
                    self.step_down(now_ms, "the lease expired during the takeover");
                }
            }
            Err(CallFailure) => {
                self.effects.log_event(
                    EventCode::StoreLost,
                    format!("shard {}", self.identity.shard),
                );
                self.lease.schedule_retry(now_ms, &self.timing);
            }
        }
    }

    pub(super) fn handle_reclaimed_lease(
        &mut self,
        now_ms: u64,
        result: &Result<StoreReply, CallFailure>,
    ) {
        match result {
            Ok(StoreReply::Lease { lease }) => self.put_owner_key(now_ms, *lease),
            _ => self.lease.schedule_retry(now_ms, &self.timing),
        }
    }

    fn put_owner_key(&mut self, now_ms: u64, lease_id: u64) {
        let request = self.owner_put_call(lease_id);
        self.effects.call_store(
            request,
            CallPurpose::ReclaimOwner {
                lease_id,
                sent_ms: now_ms,
            },
        );
    }

    pub(super) fn handle_reclaimed_owner_key(
        &mut self,
        now_ms: u64,
        lease_id: u64,
        sent_ms: u64,
        result: &Result<StoreReply, CallFailure>,
    ) {
        match result {
            Ok(StoreReply::Written { .. }) => self.check_epoch(lease_id, sent_ms),
            Ok(StoreReply::Conflict { entry: Some(entry) }) => {
                if OwnerRecord::parse(&entry.value)
                    .is_some_and(|record| record.belongs_to(&self.identity))
                {
                    self.check_epoch(lease_id, sent_ms);
                } else {
                    self.step_down(now_ms, "another host owns the shard");
                }
            }
            Ok(_) => self.lease.schedule_retry(now_ms, &self.timing),
            Err(CallFailure) => self.put_owner_key(now_ms, lease_id),
        }
    }

    fn check_epoch(&mut self, lease_id: u64, sent_ms: u64) {
        let request = StoreCall::Get {
            key: self.keys.epoch(),
        };
        self.effects
            .call_store(request, CallPurpose::CheckEpoch { lease_id, sent_ms });
    }

    pub(super) fn handle_epoch_check(
        &mut self,
        now_ms: u64,
        lease_id: u64,
        sent_ms: u64,
        result: &Result<StoreReply, CallFailure>,
    ) {
        let epoch = self.owner.as_ref().map(OwnerState::epoch);
        match result {
            Ok(StoreReply::Value { entry: Some(entry) }) => {
                let newest = OwnerRecord::parse(&entry.value).map(|record| record.epoch);
                if newest == epoch {
                    self.lease.set_granted(lease_id, sent_ms, &self.timing);
                    self.effects.log_event(
                        EventCode::LeaseReclaimed,
                        format!("shard {}", self.identity.shard),
                    );
                } else {
                    self.step_down(now_ms, "a newer epoch exists");
                }
            }
            _ => self.lease.schedule_retry(now_ms, &self.timing),
        }
    }
}
