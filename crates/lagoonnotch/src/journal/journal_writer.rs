//! Group commits to the journal.

use std::collections::VecDeque;
use std::sync::Arc;

use lagoonnotch_wire::store::StoreEntry;

use crate::journal::{JournalRecord, JournalSegment};

/// Maximum number of records per segment; keeps a segment well below the store's maximum value
/// size.
const MAX_SEGMENT_RECORDS: usize = 500;

/// Maximum size of the payloads and answers in one segment, in bytes.
const MAX_SEGMENT_BYTES: usize = 700_000;

/// A record that is not committed yet, with its follow-up action.
#[derive(Clone, Debug)]
pub struct PendingRecord<A> {
    /// The record.
    pub record: JournalRecord,
    /// Action that the shard takes once the record is committed, if any.
    pub follow_up: Option<A>,
}

/// A segment whose write has not been confirmed yet.
#[derive(Clone, Debug)]
struct InflightSegment<A> {
    number: u64,
    batch: Arc<str>,
    value: String,
    entries: Vec<PendingRecord<A>>,
}

/// Result of the write of a segment.
#[derive(Clone, Debug)]
pub enum CommitResult<A> {
    /// The segment is in the journal. Its records and their follow-up actions are returned.
    Committed(Vec<PendingRecord<A>>),
    /// Another owner has written a segment with the same number.
    Superseded,
}

/// Collects records and writes them as numbered segments, one at a time.
#[derive(Clone, Debug)]
pub struct JournalWriter<A> {
    epoch: u64,
    /// Number of the next segment. Every lower number is in the journal or being written.
    next_number: u64,
    pending: VecDeque<PendingRecord<A>>,
    inflight: Option<InflightSegment<A>>,
    last_write_ms: u64,
    /// Minimum interval between two writes, in milliseconds.
    min_interval_ms: u64,
}

impl<A> JournalWriter<A> {
    /// Creates a writer that continues a sealed journal with segment `next_number`.
    #[must_use]
    pub fn new(epoch: u64, next_number: u64, min_interval_ms: u64) -> Self {
        Self {
            epoch,
            next_number,
            pending: VecDeque::new(),
            inflight: None,
            last_write_ms: 0,
            min_interval_ms,
        }
    }

    /// Returns the number of the last segment that is known to be in the journal.
    #[must_use]
    pub fn committed_through(&self) -> u64 {
        self.next_number - 1 - u64::from(self.inflight.is_some())
    }

    /// Adds a record and the action that follows its commit.
    pub fn append(&mut self, record: JournalRecord, follow_up: Option<A>) {
        self.pending.push_back(PendingRecord { record, follow_up });
    }

    /// Returns whether every record is committed.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.pending.is_empty() && self.inflight.is_none()
    }

    /// Returns the next segment to write, if there is one, no write is in flight and the minimum
    /// interval has passed.
    ///
    /// # Panics
    /// Does not panic in practice: every segment serializes to JSON.
    pub fn next_write(&mut self, now_ms: u64) -> Option<SegmentWrite> {
        let early = now_ms < self.last_write_ms + self.min_interval_ms;
        if self.inflight.is_some() || self.pending.is_empty() || early {
            return None;
        }
        let entries = self.take_batch();
        let batch: Arc<str> = Arc::from(format!("{}-{}", self.epoch, self.next_number));
        let records = entries.iter().map(|entry| entry.record.clone()).collect();
        let segment = JournalSegment {
            epoch: self.epoch,
            batch: Arc::clone(&batch),
            records,
        };
        let value = serde_json::to_string(&segment).expect("the segment serializes to JSON");
        let number = self.next_number;
        self.next_number += 1;
        self.last_write_ms = now_ms;
        self.inflight = Some(InflightSegment {
            number,
            batch,
            value: value.clone(),
            entries,
        });
        Some(SegmentWrite { number, value })
    }

    /// Returns the segment that is being written, to write it again after a lost reply.
    #[must_use]
    pub fn retry_write(&self) -> Option<SegmentWrite> {
        let inflight = self.inflight.as_ref()?;
        Some(SegmentWrite {
            number: inflight.number,
            value: inflight.value.clone(),
        })
    }

    /// Records that the write succeeded.
    pub fn confirm_written(&mut self) -> CommitResult<A> {
        let entries = self
            .inflight
            .take()
            .map(|inflight| inflight.entries)
            .unwrap_or_default();
        CommitResult::Committed(entries)
    }

    /// Resolves a write whose key already existed: written by an earlier try of the same write, or
    /// by another owner.
    pub fn resolve_conflict(&mut self, entry: Option<&StoreEntry>) -> CommitResult<A> {
        let found =
            entry.and_then(|entry| serde_json::from_str::<JournalSegment>(&entry.value).ok());
        let own_batch = self.inflight.as_ref().map(|inflight| &inflight.batch);
        if found.as_ref().map(|segment| &segment.batch) == own_batch {
            return self.confirm_written();
        }
        CommitResult::Superseded
    }

    /// Removes and returns the records that were never sent to the store.
    pub fn take_unsent(&mut self) -> Vec<PendingRecord<A>> {
        self.pending.drain(..).collect()
    }

    /// Removes and returns the records that were sent to the store but not confirmed.
    pub fn take_unconfirmed(&mut self) -> Vec<PendingRecord<A>> {
        self.inflight
            .take()
            .map(|inflight| inflight.entries)
            .unwrap_or_default()
    }

    fn take_batch(&mut self) -> Vec<PendingRecord<A>> {
        let mut bytes = 0;
        let mut count = 0;
        for entry in self.pending.iter().take(MAX_SEGMENT_RECORDS) {
            bytes += content_bytes(&entry.record);
            if count > 0 && bytes > MAX_SEGMENT_BYTES {
                break;
            }
            count += 1;
        }
        self.pending.drain(..count).collect()
    }
}

/// A segment to write under a key that must not exist yet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SegmentWrite {
    /// Number of the segment.
    pub number: u64,
    /// Value to write.
    pub value: String,
}

/// Returns an estimate of the JSON size of a record's payload or answer, in bytes. The factor 2
/// allows for escaping.
fn content_bytes(record: &JournalRecord) -> usize {
    match record {
        JournalRecord::Accepted { work } => work.payload.len() * 2,
        JournalRecord::Settled { answer, .. } => {
            answer.as_ref().map_or(0, |answer| answer.len() * 2)
        }
        _ => 0,
    }
}
