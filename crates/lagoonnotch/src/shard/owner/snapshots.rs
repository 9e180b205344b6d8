//! Snapshots of the committed state, and deletion of the data that they replace.

use std::collections::VecDeque;

use lagoonnotch_wire::store::{StoreCall, StoreEntry, StoreReply};

use crate::event::EventCode;
use crate::journal::{SnapshotHead, segment_number, split_snapshot};
use crate::shard::effect_buffer::CallPurpose;
use crate::shard::messages::CallFailure;
use crate::shard::owner::{OwnerState, StepContext};

/// Number of segments before a snapshot's end that are kept. A superseded owner that still tries to
/// write one of them gets a conflict and steps down.
const RETAINED_SEGMENTS: u64 = 64;

/// A key and the revision at which it may be deleted.
#[derive(Clone, Debug)]
struct StoredKey {
    key: String,
    revision: u64,
}

/// Store call of a snapshot in progress.
#[derive(Clone, Debug)]
enum SnapshotCall {
    /// Writes one part of the snapshot.
    Part { key: String, value: String },
    /// Makes the written parts the newest snapshot.
    Head { head: SnapshotHead },
    /// Deletes a key that the snapshot replaces.
    Delete(StoredKey),
}

/// Progress of snapshots and deletions.
#[derive(Clone, Debug, Default)]
pub(super) struct SnapshotState {
    /// Segments in the store, oldest first.
    segments: VecDeque<StoredKey>,
    /// Parts that this owner wrote, of the newest snapshot and of the one in progress.
    parts: Vec<StoredKey>,
    head: Option<SnapshotHead>,
    head_revision: u64,
    calls: VecDeque<SnapshotCall>,
    pending: Option<SnapshotCall>,
    retry_at_ms: u64,
}

impl SnapshotState {
    /// Creates the state from what the takeover has read.
    pub fn new(segments: Vec<StoreEntry>, head: Option<SnapshotHead>, head_revision: u64) -> Self {
        let stored = |entry: StoreEntry| StoredKey {
            key: entry.key,
            revision: entry.revision,
        };
        let segments = segments.into_iter().map(stored).collect();
        Self {
            segments,
            head,
            head_revision,
            ..Self::default()
        }
    }

    /// Records a written segment.
    pub fn add_segment(&mut self, key: String, revision: u64) {
        self.segments.push_back(StoredKey { key, revision });
    }

    fn is_busy(&self) -> bool {
        self.pending.is_some() || !self.calls.is_empty()
    }
}

impl OwnerState {
    /// Begins a snapshot once enough segments were written since the last one, and makes the next
    /// store call.
    pub(super) fn advance_snapshot(&mut self, context: &mut StepContext<'_>) {
        let last_segment = self.journal.committed_through();
        let covered = self.snapshot.head.map_or(0, |head| head.through);
        if !self.snapshot.is_busy()
            && last_segment >= covered + context.timing.segments_per_snapshot
        {
            self.begin_snapshot(context, last_segment);
        }
        if self.snapshot.pending.is_none() && context.now_ms >= self.snapshot.retry_at_ms {
            self.next_snapshot_call(context);
        }
    }

    fn begin_snapshot(&mut self, context: &StepContext<'_>, last_segment: u64) {
        let parts = split_snapshot(&self.committed);
        let head = SnapshotHead {
            through: last_segment,
            parts: parts.len(),
        };
        for (index, value) in parts.into_iter().enumerate() {
            let key = context.keys.snapshot_part(last_segment, index);
            self.snapshot
                .calls
                .push_back(SnapshotCall::Part { key, value });
        }
        self.snapshot.calls.push_back(SnapshotCall::Head { head });
    }

    fn next_snapshot_call(&mut self, context: &mut StepContext<'_>) {
        let Some(call) = self.snapshot.calls.pop_front() else {
            return;
        };
        let request = match &call {
            SnapshotCall::Part { key, value } => StoreCall::Put {
                key: key.clone(),
                value: value.clone(),
                expect: 0,
                lease: None,
            },
            SnapshotCall::Head { head } => StoreCall::Put {
                key: context.keys.snapshot_head(),
                value: serde_json::to_string(head).expect("the head serializes to JSON"),
                expect: self.snapshot.head_revision,
                lease: None,
            },
            SnapshotCall::Delete(stored) => StoreCall::Delete {
                key: stored.key.clone(),
                expect: stored.revision,
            },
        };
        self.snapshot.pending = Some(call);
        context.effects.call_store(request, CallPurpose::Snapshot);
    }

    /// Handles the result of a snapshot's store call.
    pub(super) fn handle_snapshot_result(
        &mut self,
        context: &mut StepContext<'_>,
        result: &Result<StoreReply, CallFailure>,
    ) {
        let Some(call) = self.snapshot.pending.take() else {
            return;
        };
        let revision = match result {
            Ok(StoreReply::Written { revision }) => *revision,
            Ok(StoreReply::Conflict { entry: Some(entry) }) if same_value(&call, &entry.value) => {
                entry.revision
            }
            Ok(StoreReply::Conflict { entry: None }) if matches!(call, SnapshotCall::Delete(_)) => {
                0
            }
            Ok(_) => {
                self.step_down_reason = Some("another owner wrote a snapshot".to_owned());
                return;
            }
            Err(CallFailure) => {
                self.snapshot.retry_at_ms = context.now_ms + context.timing.store_retry_delay_ms;
                self.snapshot.calls.push_front(call);
                return;
            }
        };
        match call {
            SnapshotCall::Part { key, .. } => self.snapshot.parts.push(StoredKey { key, revision }),
            SnapshotCall::Head { head } => self.finish_snapshot(context, head, revision),
            SnapshotCall::Delete(_) => {}
        }
    }

    /// Schedules the deletion of everything that a complete snapshot replaces.
    fn finish_snapshot(
        &mut self,
        context: &mut StepContext<'_>,
        head: SnapshotHead,
        revision: u64,
    ) {
        context.effects.log_event(
            EventCode::SnapshotWritten,
            format!(
                "snapshot includes the journal up to segment {}",
                head.through
            ),
        );
        self.snapshot.head = Some(head);
        self.snapshot.head_revision = revision;
        let prefix = context.keys.snapshot_parts(head.through);
        let (kept, old): (Vec<_>, Vec<_>) = std::mem::take(&mut self.snapshot.parts)
            .into_iter()
            .partition(|part| part.key.starts_with(&prefix));
        self.snapshot.parts = kept;
        self.snapshot
            .calls
            .extend(old.into_iter().map(SnapshotCall::Delete));
        let replaced = |stored: &StoredKey| {
            segment_number(&stored.key)
                .is_some_and(|number| number + RETAINED_SEGMENTS <= head.through)
        };
        while let Some(segment) = self
            .snapshot
            .segments
            .pop_front_if(|stored| replaced(stored))
        {
            self.snapshot.calls.push_back(SnapshotCall::Delete(segment));
        }
    }
}

/// Returns whether the stored value is the one that the call was to write.
fn same_value(call: &SnapshotCall, found: &str) -> bool {
    match call {
        SnapshotCall::Part { value, .. } => value == found,
        SnapshotCall::Head { head } => {
            serde_json::from_str(found).is_ok_and(|found: SnapshotHead| found == *head)
        }
        SnapshotCall::Delete(_) => false,
    }
}
