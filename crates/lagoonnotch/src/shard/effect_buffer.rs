//! Effects of a step, and calls that await a result.

use std::collections::BTreeMap;
use std::sync::Arc;

use lagoonnotch_wire::store::StoreCall;

use crate::event::EventCode;
use crate::model::{AttemptId, ShardName, TeamName, UpstreamName, WorkId};
use crate::shard::messages::{
    CallId, CommandId, Refusal, ShardCommand, ShardEffect, ShardReply, UpstreamCall,
};

/// Purpose of a call; selects the handler of its result.
#[derive(Clone, Debug)]
pub(super) enum CallPurpose {
    /// A standby looks up the owner.
    FindOwner,
    /// A takeover acquires a lease.
    ClaimLease,
    /// A takeover creates the owner key.
    ClaimOwner,
    /// A takeover reads the epoch.
    ReadEpoch,
    /// A takeover writes the next epoch.
    WriteEpoch { epoch: u64 },
    /// A takeover reads the head of the newest snapshot.
    ReadSnapshotHead,
    /// A takeover reads the parts of the snapshot.
    ReadSnapshotParts,
    /// A takeover reads journal segments.
    ReadJournal,
    /// A takeover seals the journal.
    WriteSeal { number: u64 },
    /// The owner renews its lease.
    RenewLease { sent_ms: u64 },
    /// The owner acquires a new lease in the same epoch, after the old one expired.
    ReclaimLease,
    /// The owner recreates the owner key in the same epoch.
    ReclaimOwner { lease_id: u64, sent_ms: u64 },
    /// The owner checks that its epoch is the newest.
    CheckEpoch { lease_id: u64, sent_ms: u64 },
    /// The owner revokes its lease.
    ReleaseLease,
    /// The owner writes a journal segment.
    WriteSegment,
    /// The owner writes a snapshot or deletes data that it replaces.
    Snapshot,
    /// The owner reads the limit records of all teams.
    ReadLimits,
    /// The owner reads one team's limit record.
    ReadLimit { team: TeamName },
    /// The owner writes one team's limit record.
    WriteLimit { team: TeamName },
    /// The owner fences an upstream.
    Fence {
        upstream: UpstreamName,
        sent_ms: u64,
    },
    /// The owner renews its fence and leases at an upstream. `running` lists the attempts that were
    /// known to run there when the call was made.
    Renew {
        upstream: UpstreamName,
        fence_number: u64,
        running: Vec<AttemptId>,
    },
    /// The owner starts a task.
    Start {
        upstream: UpstreamName,
        attempt: AttemptId,
    },
    /// The owner asks whether another shard could run a job.
    Probe { work: WorkId, to: ShardName },
    /// The owner hands over a job to another shard.
    Offer { work: WorkId },
    /// The owner revokes an attempt.
    Revoke {
        upstream: UpstreamName,
        attempt: AttemptId,
    },
}

/// Collects the effects of a step and registers its calls.
#[derive(Clone, Debug, Default)]
pub(super) struct EffectBuffer {
    /// Calls that await a result; a result for any other call is ignored.
    calls: BTreeMap<CallId, CallPurpose>,
    next_call_id: u64,
    effects: Vec<ShardEffect>,
}

impl EffectBuffer {
    /// Adds a call to the store.
    pub fn call_store(&mut self, request: StoreCall, purpose: CallPurpose) {
        let call_id = self.register(purpose);
        self.effects.push(ShardEffect::Store { call_id, request });
    }

    /// Adds a call to an upstream.
    pub fn call_upstream(
        &mut self,
        address: &Arc<str>,
        request: UpstreamCall,
        purpose: CallPurpose,
    ) {
        let call_id = self.register(purpose);
        self.effects.push(ShardEffect::Upstream {
            call_id,
            address: Arc::clone(address),
            request,
        });
    }

    /// Adds a command to the owner of another shard.
    pub fn call_shard(&mut self, shard: &ShardName, command: ShardCommand, purpose: CallPurpose) {
        let call_id = self.register(purpose);
        self.effects.push(ShardEffect::Shard {
            call_id,
            shard: shard.clone(),
            command,
        });
    }

    /// Adds the reply to a command.
    pub fn reply(&mut self, command_id: CommandId, reply: ShardReply) {
        self.effects.push(ShardEffect::Reply { command_id, reply });
    }

    /// Adds the refusal of a command.
    pub fn refuse(&mut self, command_id: CommandId, refusal: Refusal) {
        self.reply(command_id, ShardReply::Refused(refusal));
    }

    /// Adds an event for the log.
    pub fn log_event(&mut self, code: EventCode, detail: impl Into<String>) {
        self.effects.push(ShardEffect::Event {
            code,
            detail: detail.into(),
        });
    }

    /// Removes and returns the purpose of a call whose result arrived.
    pub fn take_purpose(&mut self, call_id: CallId) -> Option<CallPurpose> {
        self.calls.remove(&call_id)
    }

    /// Drops every registered call, so that its result will be ignored.
    pub fn discard_calls(&mut self) {
        self.calls.clear();
    }

    /// Removes and returns the collected effects.
    pub fn drain(&mut self) -> Vec<ShardEffect> {
        std::mem::take(&mut self.effects)
    }

    fn register(&mut self, purpose: CallPurpose) -> CallId {
        self.next_call_id += 1;
        let call_id = CallId(self.next_call_id);
        self.calls.insert(call_id, purpose);
        call_id
    }
}
