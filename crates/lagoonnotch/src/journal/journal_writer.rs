//! Group commits to the journal.

use std::collections::VecDeque;
use std::sync::Arc;

use lagoonnotch_wire::store::StoreEntry;

use crate::journal::{JournalRecord, JournalSegment};

/// Most records in one segment; keeps a segment well below the store's largest value.
const MAX_SEGMENT_RECORDS: usize = 500;

/// Most bytes of payloads and answers in one segment.
const MAX_SEGMENT_BYTES: usize = 700_000;

/// What follows once a record is committed.
#[derive(Clone, Debug)]
pub struct PendingRecord<A> {
    /// The record.
    pub record: JournalRecord,
    /// What the shard does then, if anything.
    pub follow_up: Option<A>,
}

/// A segment that is being written.
#[derive(Clone, Debug)]
struct InflightSegment<A> {
    number: u64,
    batch: Arc<str>,
    value: String,
    entries: Vec<PendingRecord<A>>,
}

/// What became of the segment that was being written.
#[derive(Clone, Debug)]
pub enum CommitResult<A> {
    /// The segment is in the journal; the records and actions follow.
    Committed(Vec<PendingRecord<A>>),
    /// Another owner holds the segment's place in the journal.
    Deposed,
}

/// Collects records and writes them as numbered segments, one at a time.
#[derive(Clone, Debug)]
pub struct JournalWriter<A> {
    epoch: u64,
    /// Number of the next segment; every lower number is in the journal or being written.
    next: u64,
    pending: VecDeque<PendingRecord<A>>,
    inflight: Option<InflightSegment<A>>,
    last_write_ms: u64,
    /// Shortest time between two writes, in milliseconds.
    interval_ms: u64,
}

impl<A> JournalWriter<A> {
    /// Makes a writer that continues a sealed journal.
    #[must_use]
    pub fn new(epoch: u64, next: u64, interval_ms: u64) -> Self {
        Self {
            epoch,
            next,
            pending: VecDeque::new(),
            inflight: None,
            last_write_ms: 0,
            interval_ms,
        }
    }

    /// Returns the number of the last segment that is surely in the journal.
    #[must_use]
    pub fn committed_through(&self) -> u64 {
        self.next - 1 - u64::from(self.inflight.is_some())
    }

    /// Adds a record with what follows once it is committed.
    pub fn append(&mut self, record: JournalRecord, follow_up: Option<A>) {
        self.pending.push_back(PendingRecord { record, follow_up });
    }

    /// Tells whether every record is committed.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.pending.is_empty() && self.inflight.is_none()
    }

    /// Takes the next segment to write, if it is time; returns its number and value.
    ///
    /// # Panics
    /// Never panics: a segment always has a JSON form.
    pub fn next_write(&mut self, now_ms: u64) -> Option<SegmentWrite> {
        let early = now_ms < self.last_write_ms + self.interval_ms;
        if self.inflight.is_some() || self.pending.is_empty() || early {
            return None;
        }
        let entries = self.take_entries();
        let batch: Arc<str> = Arc::from(format!("{}-{}", self.epoch, self.next));
        let records = entries.iter().map(|entry| entry.record.clone()).collect();
        let segment = JournalSegment {
            epoch: self.epoch,
            batch: Arc::clone(&batch),
            records,
        };
        let value = serde_json::to_string(&segment).expect("segment has a JSON form");
        let number = self.next;
        self.next += 1;
        self.last_write_ms = now_ms;
        self.inflight = Some(InflightSegment {
            number,
            batch,
            value: value.clone(),
            entries,
        });
        Some(SegmentWrite { number, value })
    }

    /// Returns the segment that is being written, to write it once more after a lost answer.
    #[must_use]
    pub fn retry_write(&self) -> Option<SegmentWrite> {
        let inflight = self.inflight.as_ref()?;
        Some(SegmentWrite {
            number: inflight.number,
            value: inflight.value.clone(),
        })
    }

    /// Takes note that the write took effect.
    pub fn confirm_written(&mut self) -> CommitResult<A> {
        let entries = self
            .inflight
            .take()
            .map(|inflight| inflight.entries)
            .unwrap_or_default();
        CommitResult::Committed(entries)
    }

    /// Settles a write whose place was taken: by an earlier try of the same write, or by another owner.
    pub fn resolve_conflict(&mut self, entry: Option<&StoreEntry>) -> CommitResult<A> {
        let found =
            entry.and_then(|entry| serde_json::from_str::<JournalSegment>(&entry.value).ok());
        let ours = self.inflight.as_ref().map(|inflight| &inflight.batch);
        if found.as_ref().map(|segment| &segment.batch) == ours {
            return self.confirm_written();
        }
        CommitResult::Deposed
    }

    /// Takes the records that were never sent to the store.
    pub fn take_unsent(&mut self) -> Vec<PendingRecord<A>> {
        self.pending.drain(..).collect()
    }

    /// Takes the records that were sent to the store but not confirmed.
    pub fn take_unconfirmed(&mut self) -> Vec<PendingRecord<A>> {
        self.inflight
            .take()
            .map(|inflight| inflight.entries)
            .unwrap_or_default()
    }

    fn take_entries(&mut self) -> Vec<PendingRecord<A>> {
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

/// A segment to write with create-if-absent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SegmentWrite {
    /// Number of the segment.
    pub number: u64,
    /// Value to write.
    pub value: String,
}

/// Returns the size of a record's variable content, in bytes.
fn content_bytes(record: &JournalRecord) -> usize {
    match record {
        JournalRecord::Accepted { work } => work.payload.len() * 2,
        JournalRecord::Settled { answer, .. } => {
            answer.as_ref().map_or(0, |answer| answer.len() * 2)
        }
        _ => 0,
    }
}
