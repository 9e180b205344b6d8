//! Bound on the memory of large submissions that have not ended, under the load of legal
//! submissions that make a host hold many times their length: thousands of steps or tasks each.
//!
//! The owner holds every submission until it has ended, so each accepting host keeps a ledger of the
//! large ones that it accepted, and rejects others while the ledger is full. Ordinary submissions
//! are not counted.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use lagoonnotch_fleet::model::{StepSpec, SubmissionRecord};

use crate::peer::SubmissionLookup;

/// Memory above which a submission is large, in bytes: about 400 tasks or 90 steps.
pub const LARGE_BYTES: usize = 64 * 1024;

/// Memory of a task at the owner, in bytes.
const TASK_BYTES: usize = 160;

/// Memory of a step at the owner in each occurrence, in bytes.
const STEP_BYTES: usize = 700;

/// Memory of an entry in a step's list of dependencies, in bytes.
const DEPENDENCY_BYTES: usize = 4;

/// Copies of a stored record that exist until the owner has confirmed it: the record itself, and its
/// encodings for the store and for the owner.
const RECORD_COPIES: usize = 4;

/// Divisor for the least part of the bound that each host has, so that hosts of a large fleet accept
/// several wide submissions at a time. With more hosts than this the parts exceed the bound.
const MIN_SHARE_DIVISOR: usize = 13;

/// Age after which a submission that the owner does not know has ended, in milliseconds: by then the
/// owner has found it in the store.
const UNKNOWN_AGE_MS: u64 = 10_000;

/// A large submission.
#[derive(Debug)]
struct LedgerEntry {
    id: Arc<str>,
    bytes: usize,
    /// When it was reserved, in milliseconds of the host's clock.
    reserved_at: u64,
}

#[derive(Debug, Default)]
struct Ledger {
    /// The ones that are to be looked up next come first.
    entries: VecDeque<LedgerEntry>,
    bytes: usize,
}

/// Large submissions that a host accepted and that have not ended. Clones share the same state.
#[derive(Clone, Debug)]
pub struct UnfinishedWork {
    /// Bound for all hosts together, in bytes.
    max_bytes: usize,
    ledger: Arc<Mutex<Ledger>>,
}

/// Room for a submission that is being stored. If its request ends early, the submission may have
/// been stored, so the room is given back only when it is known that it was not, or has ended.
#[derive(Debug)]
pub struct WorkReservation {
    work: UnfinishedWork,
    /// None if nothing is to be given back.
    id: Option<Arc<str>>,
}

/// Returns the estimated memory of a submission until it ends, in bytes.
#[must_use]
pub fn estimate_bytes(record: &SubmissionRecord, record_bytes: usize) -> usize {
    let step_bytes = |step: &StepSpec| {
        let tasks = (step.count as usize).saturating_mul(TASK_BYTES);
        tasks.saturating_add(STEP_BYTES + step.after.len() * DEPENDENCY_BYTES)
    };
    let occurrence = record.steps.iter().map(step_bytes).sum::<usize>();
    occurrence
        .saturating_mul(record.occurrence_count() as usize)
        .saturating_add(record_bytes * RECORD_COPIES)
}

/// Returns whether a submission that was reserved `age_ms` milliseconds ago has ended, by what the
/// owner knows.
#[must_use]
pub fn has_ended(lookup: SubmissionLookup, age_ms: u64) -> bool {
    match lookup {
        SubmissionLookup::Known(state) => state.is_final(),
        SubmissionLookup::Unknown => age_ms > UNKNOWN_AGE_MS,
        SubmissionLookup::NotOwner => false,
    }
}

impl UnfinishedWork {
    /// Creates an empty ledger; `max_bytes` is the bound for all hosts together.
    #[must_use]
    pub fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            ledger: Arc::default(),
        }
    }

    /// Reserves room for a submission. Each of `hosts` hosts has an equal part of the bound, and
    /// room for at least one large submission. Returns `None` if there is no room.
    #[must_use]
    pub fn reserve(
        &self,
        id: &Arc<str>,
        bytes: usize,
        hosts: usize,
        now: u64,
    ) -> Option<WorkReservation> {
        let mut reservation = WorkReservation {
            work: self.clone(),
            id: None,
        };
        let mut ledger = self.lock();
        if bytes <= LARGE_BYTES || ledger.entries.iter().any(|entry| entry.id == *id) {
            return Some(reservation);
        }
        let share = self.max_bytes / hosts.clamp(1, MIN_SHARE_DIVISOR);
        if ledger.bytes > 0 && ledger.bytes.saturating_add(bytes) > share {
            return None;
        }
        ledger.bytes = ledger.bytes.saturating_add(bytes);
        ledger.entries.push_back(LedgerEntry {
            id: id.clone(),
            bytes,
            reserved_at: now,
        });
        reservation.id = Some(id.clone());
        Some(reservation)
    }

    /// Returns submissions that are to be looked up, at most `limit`, with the times of their
    /// reservations; the next call returns others, in turn.
    #[must_use]
    pub fn next_lookups(&self, limit: usize) -> Vec<(Arc<str>, u64)> {
        let mut ledger = self.lock();
        let limit = limit.min(ledger.entries.len());
        let next = ledger.entries.iter().take(limit);
        let next = next
            .map(|entry| (entry.id.clone(), entry.reserved_at))
            .collect();
        ledger.entries.rotate_left(limit);
        next
    }

    /// Gives back the room of a submission.
    pub fn release(&self, id: &str) {
        let mut ledger = self.lock();
        let found = ledger.entries.iter().position(|entry| &*entry.id == id);
        if let Some(entry) = found.and_then(|position| ledger.entries.remove(position)) {
            ledger.bytes = ledger.bytes.saturating_sub(entry.bytes);
        }
    }

    /// Returns the memory of all entries, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.lock().bytes
    }

    fn lock(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl WorkReservation {
    /// Gives the room back, because the submission was not stored.
    pub fn cancel(self) {
        if let Some(id) = &self.id {
            self.work.release(id);
        }
    }
}
