//! Takeover of a shard: acquires the lease and a new epoch, reads the journal and seals it.

use std::sync::Arc;

use lagoonnotch_wire::store::{StoreCall, StoreEntry, StoreReply};
use serde::{Deserialize, Serialize};

use crate::event::EventCode;
use crate::journal::{
    JournalRecord, JournalSegment, JournalState, SnapshotHead, join_snapshot, segment_number,
};
use crate::model::HostName;
use crate::shard::effect_buffer::CallPurpose;
use crate::shard::messages::CallFailure;
use crate::shard::owner::{OwnerState, RecoveredJournal};
use crate::shard::phase::{OwnershipEvent, OwnershipPhase};
use crate::shard::shard_controller::{ShardController, ShardIdentity};

/// Maximum number of journal segments that one store call reads.
const SEGMENTS_PER_CALL: u64 = 16;

/// Time after which an unfinished takeover is abandoned, in milliseconds.
const TAKEOVER_TIMEOUT_MS: u64 = 10_000;

/// Stored value of the owner key and of the epoch key. In the owner key `epoch` is 0, since the
/// epoch is not known when the key is created.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct OwnerRecord {
    pub host: HostName,
    pub incarnation: u64,
    pub epoch: u64,
}

impl OwnerRecord {
    fn new(identity: &ShardIdentity, epoch: u64) -> Self {
        Self {
            host: identity.host.clone(),
            incarnation: identity.incarnation,
            epoch,
        }
    }

    /// Parses a stored value; returns none if it is malformed.
    pub fn parse(text: &str) -> Option<Self> {
        serde_json::from_str(text).ok()
    }

    /// Returns whether this run of this host wrote the record.
    pub fn belongs_to(&self, identity: &ShardIdentity) -> bool {
        self.host == identity.host && self.incarnation == identity.incarnation
    }

    fn to_text(&self) -> String {
        serde_json::to_string(self).expect("the record serializes to JSON")
    }
}

/// Step of a takeover. A step is started again if one of its store calls got no reply.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum TakeoverStep {
    #[default]
    Lease,
    Owner,
    Epoch,
    SnapshotHead,
    SnapshotParts,
    Journal,
    Seal,
}

/// Progress of a takeover.
#[derive(Clone, Debug, Default)]
pub(super) struct TakeoverState {
    step: TakeoverStep,
    /// When to start the step again after a call got no reply, in milliseconds.
    retry_at_ms: Option<u64>,
    /// When the takeover was started, in milliseconds.
    started_ms: u64,
    /// When the step was last started, in milliseconds.
    sent_ms: u64,
    lease_id: u64,
    /// Epoch that this takeover attempted to write. If the store holds it with this host's
    /// identity, this takeover wrote it.
    attempted_epoch: Option<u64>,
    epoch: u64,
    head: Option<SnapshotHead>,
    head_revision: u64,
    parts: Vec<String>,
    state: JournalState,
    /// Number of the last journal segment applied to `state`.
    last_segment: u64,
    /// Keys and revisions of the segments that were read; needed to delete them after a snapshot.
    segments: Vec<StoreEntry>,
}

impl ShardController {
    /// Starts a takeover if the owner key does not exist and this host has not promised to stay on
    /// standby.
    pub(super) fn handle_owner_lookup(
        &mut self,
        now_ms: u64,
        result: &Result<StoreReply, CallFailure>,
    ) {
        let absent = matches!(result, Ok(StoreReply::Value { entry: None }));
        let promised = now_ms < self.peer_view.own_promise_until_ms;
        if !absent || promised || self.phase != OwnershipPhase::Standby {
            return;
        }
        self.takeover = TakeoverState {
            started_ms: now_ms,
            ..TakeoverState::default()
        };
        self.advance(OwnershipEvent::OwnerAbsent);
        self.start_step(now_ms, TakeoverStep::Lease);
    }

    /// Starts the current step again when its retry is due, and steps down if the takeover takes
    /// too long.
    pub(super) fn tick_takeover(&mut self, now_ms: u64) {
        if now_ms > self.takeover.started_ms + TAKEOVER_TIMEOUT_MS {
            self.step_down(now_ms, "the takeover timed out");
            return;
        }
        if self
            .takeover
            .retry_at_ms
            .is_some_and(|retry_at_ms| now_ms >= retry_at_ms)
        {
            self.start_step(now_ms, self.takeover.step);
        }
    }

    /// Handles the result of a takeover's store call.
    pub(super) fn handle_takeover_result(
        &mut self,
        now_ms: u64,
        purpose: &CallPurpose,
        result: Result<StoreReply, CallFailure>,
    ) {
        let Ok(reply) = result else {
            self.takeover.retry_at_ms = Some(now_ms + self.timing.store_retry_delay_ms);
            return;
        };
        match purpose {
            CallPurpose::ClaimLease => self.claim_lease_granted(now_ms, &reply),
            CallPurpose::ClaimOwner => self.claim_owner_written(now_ms, &reply),
            CallPurpose::ReadEpoch => self.claim_epoch_read(now_ms, &reply),
            CallPurpose::WriteEpoch { epoch } => self.claim_epoch_written(now_ms, *epoch, &reply),
            CallPurpose::ReadSnapshotHead => self.snapshot_head_read(now_ms, &reply),
            CallPurpose::ReadSnapshotParts => self.snapshot_parts_read(now_ms, reply),
            CallPurpose::ReadJournal => self.journal_read(now_ms, reply),
            CallPurpose::WriteSeal { number } => self.seal_written(now_ms, *number, &reply),
            _ => {}
        }
    }

    /// Returns the call that creates the owner key under a lease.
    pub(super) fn owner_put_call(&self, lease_id: u64) -> StoreCall {
        let value = OwnerRecord::new(&self.identity, 0).to_text();
        StoreCall::Put {
            key: self.keys.owner(),
            value,
            expect: 0,
            lease: Some(lease_id),
        }
    }

    fn start_step(&mut self, now_ms: u64, step: TakeoverStep) {
        self.takeover.step = step;
        self.takeover.retry_at_ms = None;
        self.takeover.sent_ms = now_ms;
        let (request, purpose) = match step {
            TakeoverStep::Lease => (
                StoreCall::LeaseGrant {
                    ttl_ms: self.timing.lease_ttl_ms,
                },
                CallPurpose::ClaimLease,
            ),
            TakeoverStep::Owner => (
                self.owner_put_call(self.takeover.lease_id),
                CallPurpose::ClaimOwner,
            ),
            TakeoverStep::Epoch => (
                StoreCall::Get {
                    key: self.keys.epoch(),
                },
                CallPurpose::ReadEpoch,
            ),
            TakeoverStep::SnapshotHead => (
                StoreCall::Get {
                    key: self.keys.snapshot_head(),
                },
                CallPurpose::ReadSnapshotHead,
            ),
            TakeoverStep::SnapshotParts => {
                (self.parts_range_call(), CallPurpose::ReadSnapshotParts)
            }
            TakeoverStep::Journal => (self.journal_range_call(), CallPurpose::ReadJournal),
            TakeoverStep::Seal => self.seal_put_call(),
        };
        self.effects.call_store(request, purpose);
    }

    fn claim_lease_granted(&mut self, now_ms: u64, reply: &StoreReply) {
        let StoreReply::Lease { lease } = reply else {
            return self.step_down(now_ms, "the store granted no lease");
        };
        self.takeover.lease_id = *lease;
        self.lease
            .set_granted(*lease, self.takeover.sent_ms, &self.timing);
        self.start_step(now_ms, TakeoverStep::Owner);
    }

    fn claim_owner_written(&mut self, now_ms: u64, reply: &StoreReply) {
        let is_own = match reply {
            StoreReply::Written { .. } => true,
            StoreReply::Conflict { entry: Some(entry) } => OwnerRecord::parse(&entry.value)
                .is_some_and(|record| record.belongs_to(&self.identity)),
            _ => false,
        };
        if is_own {
            self.start_step(now_ms, TakeoverStep::Epoch);
        } else {
            self.step_down(now_ms, "another host claimed the shard first");
        }
    }

    fn claim_epoch_read(&mut self, now_ms: u64, reply: &StoreReply) {
        let StoreReply::Value { entry } = reply else {
            return self.step_down(now_ms, "cannot read the epoch");
        };
        let record = entry
            .as_ref()
            .and_then(|entry| OwnerRecord::parse(&entry.value));
        let newest = record.as_ref().map_or(0, |record| record.epoch);
        let written = record.is_some_and(|record| record.belongs_to(&self.identity))
            && self.takeover.attempted_epoch == Some(newest);
        if written {
            return self.epoch_claimed(now_ms, newest);
        }
        let epoch = newest + 1;
        self.takeover.attempted_epoch = Some(epoch);
        let request = StoreCall::Put {
            key: self.keys.epoch(),
            value: OwnerRecord::new(&self.identity, epoch).to_text(),
            expect: entry.as_ref().map_or(0, |entry| entry.revision),
            lease: None,
        };
        self.effects
            .call_store(request, CallPurpose::WriteEpoch { epoch });
    }

    fn claim_epoch_written(&mut self, now_ms: u64, epoch: u64, reply: &StoreReply) {
        if matches!(reply, StoreReply::Written { .. }) {
            self.epoch_claimed(now_ms, epoch);
        } else {
            self.start_step(now_ms, TakeoverStep::Epoch);
        }
    }

    fn epoch_claimed(&mut self, now_ms: u64, epoch: u64) {
        self.takeover.epoch = epoch;
        self.advance(OwnershipEvent::Claimed);
        self.start_step(now_ms, TakeoverStep::SnapshotHead);
    }

    fn snapshot_head_read(&mut self, now_ms: u64, reply: &StoreReply) {
        let StoreReply::Value { entry } = reply else {
            return self.step_down(now_ms, "cannot read the snapshot");
        };
        self.takeover.parts.clear();
        self.takeover.head = entry
            .as_ref()
            .and_then(|entry| serde_json::from_str(&entry.value).ok());
        self.takeover.head_revision = entry.as_ref().map_or(0, |entry| entry.revision);
        match self.takeover.head {
            Some(_) => self.start_step(now_ms, TakeoverStep::SnapshotParts),
            None => self.start_step(now_ms, TakeoverStep::Journal),
        }
    }

    /// Returns the call that reads the next part of the snapshot.
    fn parts_range_call(&self) -> StoreCall {
        let last_segment = self.takeover.head.map_or(0, |head| head.through);
        let after = match self.takeover.parts.len() {
            0 => String::new(),
            count => self.keys.snapshot_part(last_segment, count - 1),
        };
        StoreCall::Range {
            prefix: self.keys.snapshot_parts(last_segment),
            after,
            limit: 1,
        }
    }

    fn snapshot_parts_read(&mut self, now_ms: u64, reply: StoreReply) {
        let StoreReply::Entries { entries, .. } = reply else {
            return self.step_down(now_ms, "cannot read the snapshot");
        };
        let Some(head) = self.takeover.head else {
            return self.step_down(now_ms, "the snapshot has no head");
        };
        if entries.is_empty() {
            return self.start_step(now_ms, TakeoverStep::SnapshotHead);
        }
        self.takeover
            .parts
            .extend(entries.into_iter().map(|entry| entry.value));
        if self.takeover.parts.len() < head.parts {
            return self.start_step(now_ms, TakeoverStep::SnapshotParts);
        }
        match join_snapshot(&self.takeover.parts) {
            Ok(state) => {
                self.takeover.state = state;
                self.takeover.last_segment = head.through;
                self.takeover.parts.clear();
                self.start_step(now_ms, TakeoverStep::Journal);
            }
            Err(error) => self.step_down(now_ms, &format!("the snapshot is malformed: {error}")),
        }
    }

    fn journal_range_call(&self) -> StoreCall {
        StoreCall::Range {
            prefix: self.keys.journal(),
            after: self.keys.segment(self.takeover.last_segment),
            limit: SEGMENTS_PER_CALL,
        }
    }

    fn journal_read(&mut self, now_ms: u64, reply: StoreReply) {
        let StoreReply::Entries { entries, more } = reply else {
            return self.step_down(now_ms, "cannot read the journal");
        };
        for entry in entries {
            if !self.apply_segment(&entry) {
                return self.step_down(
                    now_ms,
                    &format!(
                        "journal segment {} is malformed or out of sequence",
                        entry.key
                    ),
                );
            }
        }
        if more {
            return self.start_step(now_ms, TakeoverStep::Journal);
        }
        if self.phase == OwnershipPhase::Reading {
            self.advance(OwnershipEvent::JournalRead);
        }
        self.start_step(now_ms, TakeoverStep::Seal);
    }

    /// Applies the next segment; returns false if it is malformed or out of sequence.
    fn apply_segment(&mut self, entry: &StoreEntry) -> bool {
        let in_sequence = segment_number(&entry.key) == Some(self.takeover.last_segment + 1);
        let segment = serde_json::from_str::<JournalSegment>(&entry.value).ok();
        let Some(segment) = segment.filter(|_| in_sequence) else {
            return false;
        };
        for record in &segment.records {
            self.takeover.state.apply(record);
        }
        self.takeover.last_segment += 1;
        self.takeover.segments.push(StoreEntry {
            value: String::new(),
            ..entry.clone()
        });
        true
    }

    fn seal_put_call(&self) -> (StoreCall, CallPurpose) {
        let number = self.takeover.last_segment + 1;
        let epoch = self.takeover.epoch;
        let records = vec![JournalRecord::Sealed { epoch }];
        let segment = JournalSegment {
            epoch,
            batch: seal_batch(epoch),
            records,
        };
        let value = serde_json::to_string(&segment).expect("the segment serializes to JSON");
        let request = StoreCall::Put {
            key: self.keys.segment(number),
            value,
            expect: 0,
            lease: None,
        };
        (request, CallPurpose::WriteSeal { number })
    }

    fn seal_written(&mut self, now_ms: u64, number: u64, reply: &StoreReply) {
        match reply {
            StoreReply::Written { revision } => self.journal_sealed(now_ms, number, *revision),
            StoreReply::Conflict { entry: Some(entry) } => {
                let segment = serde_json::from_str::<JournalSegment>(&entry.value).ok();
                let is_own = segment
                    .as_ref()
                    .is_some_and(|segment| segment.batch == seal_batch(self.takeover.epoch));
                let newer = segment.is_some_and(|segment| segment.epoch > self.takeover.epoch);
                if is_own {
                    self.journal_sealed(now_ms, number, entry.revision);
                } else if newer {
                    self.step_down(now_ms, "a newer owner sealed the journal");
                } else {
                    self.start_step(now_ms, TakeoverStep::Journal);
                }
            }
            _ => self.step_down(now_ms, "cannot seal the journal"),
        }
    }

    fn journal_sealed(&mut self, now_ms: u64, number: u64, revision: u64) {
        let takeover = std::mem::take(&mut self.takeover);
        let mut state = takeover.state;
        state.apply(&JournalRecord::Sealed {
            epoch: takeover.epoch,
        });
        let mut segments = takeover.segments;
        segments.push(StoreEntry {
            key: self.keys.segment(number),
            value: String::new(),
            revision,
        });
        let journal = RecoveredJournal {
            epoch: takeover.epoch,
            state,
            last_segment: number,
            segments,
            head: takeover.head,
            head_revision: takeover.head_revision,
        };
        self.effects.log_event(
            EventCode::OwnershipPhase,
            format!("shard {} epoch {}", self.identity.shard, journal.epoch),
        );
        let listed_upstreams = self.listed_upstreams.clone().unwrap_or_default();
        self.owner = Some(OwnerState::recover(
            now_ms,
            journal,
            &listed_upstreams,
            &self.timing,
        ));
        self.advance(OwnershipEvent::Sealed);
        self.with_owner(now_ms, OwnerState::begin_recovery);
    }
}

/// Returns the batch identifier of an epoch's seal.
fn seal_batch(epoch: u64) -> Arc<str> {
    Arc::from(format!("{epoch}-seal"))
}
