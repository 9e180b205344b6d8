//! Effects of a step, and the calls that wait for a result.

use std::collections::BTreeMap;
use std::sync::Arc;

use lagoonnotch_wire::store::StoreCall;

use crate::event::EventCode;
use crate::model::{AttemptId, ShardName, TeamName, UpstreamName, WorkId};
use crate::shard::messages::{
    CallId, CommandId, Refusal, ShardCommand, ShardEffect, ShardReply, UpstreamCall,
};

/// What a call was made for.
#[derive(Clone, Debug)]
pub(super) enum CallPurpose {
    /// A standby looks for the owner.
    FindOwner,
    /// A claim's lease.
    ClaimLease,
    /// A claim's owner key.
    ClaimOwner,
    /// A claim reads the epoch.
    ReadEpoch,
    /// A claim writes the next epoch.
    WriteEpoch { epoch: u64 },
    /// A take-over reads which snapshot is the newest.
    ReadSnapshotHead,
    /// A take-over reads the parts of the snapshot.
    ReadSnapshotParts,
    /// A take-over reads journal segments.
    ReadJournal,
    /// A take-over writes its seal.
    WriteSeal { number: u64 },
    /// The owner renews its lease.
    RenewLease { sent_ms: u64 },
    /// The owner takes a lease anew in the same epoch.
    ReclaimLease,
    /// The owner takes the owner key anew in the same epoch.
    ReclaimOwner { lease: u64, sent_ms: u64 },
    /// The owner checks that its epoch is the newest.
    CheckEpoch { lease: u64, sent_ms: u64 },
    /// The owner gives its lease back.
    ReleaseLease,
    /// The owner writes a journal segment.
    WriteSegment,
    /// The owner writes a snapshot or deletes what it replaces.
    Snapshot,
    /// The owner reads the records of all limits.
    ReadLimits,
    /// The owner reads one team's record.
    ReadLimit { team: TeamName },
    /// The owner writes one team's record.
    WriteLimit { team: TeamName },
    /// The owner fences an upstream.
    Fence {
        upstream: UpstreamName,
        sent_ms: u64,
    },
    /// The owner renews an upstream at which the attempts ran when the call was made.
    Renew {
        upstream: UpstreamName,
        fence: u64,
        running: Vec<AttemptId>,
    },
    /// The owner starts a task.
    Start {
        upstream: UpstreamName,
        attempt: AttemptId,
    },
    /// The owner asks whether another shard could run a job.
    Probe { work: WorkId, to: ShardName },
    /// The owner hands a job over.
    Offer { work: WorkId },
    /// The owner withdraws an attempt.
    Revoke {
        upstream: UpstreamName,
        attempt: AttemptId,
    },
}

/// Collects the effects of a step.
#[derive(Clone, Debug, Default)]
pub(super) struct EffectDesk {
    /// Every call without a result; the result of any other call is passed over.
    calls: BTreeMap<CallId, CallPurpose>,
    next_call: u64,
    effects: Vec<ShardEffect>,
}

impl EffectDesk {
    /// Makes a call to the store.
    pub fn call_store(&mut self, request: StoreCall, purpose: CallPurpose) {
        let call = self.register(purpose);
        self.effects.push(ShardEffect::Store { call, request });
    }

    /// Makes a call to an upstream.
    pub fn call_upstream(
        &mut self,
        address: &Arc<str>,
        request: UpstreamCall,
        purpose: CallPurpose,
    ) {
        let call = self.register(purpose);
        self.effects.push(ShardEffect::Upstream {
            call,
            address: Arc::clone(address),
            request,
        });
    }

    /// Sends a command to the owner of another shard.
    pub fn call_shard(&mut self, shard: &ShardName, request: ShardCommand, purpose: CallPurpose) {
        let call = self.register(purpose);
        self.effects.push(ShardEffect::Peer {
            call,
            shard: shard.clone(),
            request,
        });
    }

    /// Answers a command.
    pub fn reply(&mut self, command: CommandId, reply: ShardReply) {
        self.effects.push(ShardEffect::Reply { command, reply });
    }

    /// Refuses a command.
    pub fn refuse(&mut self, command: CommandId, refusal: Refusal) {
        self.reply(command, ShardReply::Refused(refusal));
    }

    /// Logs an event.
    pub fn event(&mut self, code: EventCode, detail: impl Into<String>) {
        self.effects.push(ShardEffect::Event {
            code,
            detail: detail.into(),
        });
    }

    /// Returns what an answered call was made for.
    pub fn take_purpose(&mut self, call: CallId) -> Option<CallPurpose> {
        self.calls.remove(&call)
    }

    /// Passes over the results of all calls that are under way.
    pub fn forget_calls(&mut self) {
        self.calls.clear();
    }

    /// Takes the effects of the step.
    pub fn take_effects(&mut self) -> Vec<ShardEffect> {
        std::mem::take(&mut self.effects)
    }

    fn register(&mut self, purpose: CallPurpose) -> CallId {
        self.next_call += 1;
        let call = CallId(self.next_call);
        self.calls.insert(call, purpose);
        call
    }
}
