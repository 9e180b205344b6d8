//! Keeping the store's lease, and taking it again in the same epoch.

use lagoonnotch_wire::store::{StoreCall, StoreReply};

use crate::event::EventCode;
use crate::shard::claim::OwnerRecord;
use crate::shard::effect_desk::CallPurpose;
use crate::shard::messages::CallFailure;
use crate::shard::owner::OwnerState;
use crate::shard::phase::OwnershipPhase;
use crate::shard::shard_controller::ShardController;

impl ShardController {
    pub(super) fn lease_renewed(
        &mut self,
        now_ms: u64,
        sent_ms: u64,
        result: &Result<StoreReply, CallFailure>,
    ) {
        match result {
            Ok(StoreReply::Lease { .. }) => self.lease.extend(sent_ms, &self.timing),
            Ok(_) => {
                self.lease.lose(now_ms, &self.timing);
                if !matches!(
                    self.phase,
                    OwnershipPhase::Owning | OwnershipPhase::Releasing
                ) {
                    self.step_down(now_ms, "the lease ran out during the take-over");
                }
            }
            Err(CallFailure) => {
                self.desk.event(
                    EventCode::StoreLost,
                    format!("shard {}", self.identity.shard),
                );
                self.lease.delay(now_ms, &self.timing);
            }
        }
    }

    pub(super) fn lease_regranted(
        &mut self,
        now_ms: u64,
        result: &Result<StoreReply, CallFailure>,
    ) {
        match result {
            Ok(StoreReply::Lease { lease }) => self.put_owner_again(now_ms, *lease),
            _ => self.lease.delay(now_ms, &self.timing),
        }
    }

    fn put_owner_again(&mut self, now_ms: u64, lease: u64) {
        let request = self.owner_put(lease);
        self.desk.call_store(
            request,
            CallPurpose::ReclaimOwner {
                lease,
                sent_ms: now_ms,
            },
        );
    }

    pub(super) fn owner_reclaimed(
        &mut self,
        now_ms: u64,
        lease: u64,
        sent_ms: u64,
        result: &Result<StoreReply, CallFailure>,
    ) {
        match result {
            Ok(StoreReply::Written { .. }) => self.check_epoch(lease, sent_ms),
            Ok(StoreReply::Conflict { entry: Some(entry) }) => {
                if OwnerRecord::parse(&entry.value)
                    .is_some_and(|record| record.is_of(&self.identity))
                {
                    self.check_epoch(lease, sent_ms);
                } else {
                    self.step_down(now_ms, "another host owns the shard");
                }
            }
            Ok(_) => self.lease.delay(now_ms, &self.timing),
            Err(CallFailure) => self.put_owner_again(now_ms, lease),
        }
    }

    fn check_epoch(&mut self, lease: u64, sent_ms: u64) {
        let request = StoreCall::Get {
            key: self.keys.epoch(),
        };
        self.desk
            .call_store(request, CallPurpose::CheckEpoch { lease, sent_ms });
    }

    pub(super) fn epoch_checked(
        &mut self,
        now_ms: u64,
        lease: u64,
        sent_ms: u64,
        result: &Result<StoreReply, CallFailure>,
    ) {
        let epoch = self.owner.as_ref().map(OwnerState::epoch);
        match result {
            Ok(StoreReply::Value { entry: Some(entry) }) => {
                let newest = OwnerRecord::parse(&entry.value).map(|record| record.epoch);
                if newest == epoch {
                    self.lease.grant(lease, sent_ms, &self.timing);
                    self.desk.event(
                        EventCode::LeaseReclaimed,
                        format!("shard {}", self.identity.shard),
                    );
                } else {
                    self.step_down(now_ms, "a newer epoch exists");
                }
            }
            _ => self.lease.delay(now_ms, &self.timing),
        }
    }
}
