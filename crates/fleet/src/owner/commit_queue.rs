//! Order in which progress reaches the store.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use crate::model::{ProgressRecord, SubmissionState};
use crate::owner::RosterEntry;

/// Most entries of one commit for submissions; the store takes 32 entries in all, of which the
/// conditions, the number of the commit and the roster take four.
pub(super) const MAX_ENTRIES: usize = 28;

/// Entries of a commit that one record of progress takes.
pub(super) const PROGRESS_ENTRIES: usize = 1;

/// Entries of a commit that one ended submission takes: its end, and the three records before.
pub(super) const ENDED_ENTRIES: usize = 4;

/// A submission that has ended and runs nothing any more; all that is kept of it is how it ended.
#[derive(Clone, Debug, PartialEq)]
pub struct EndedSubmission {
    /// Identifier of the submission.
    pub id: Arc<str>,
    /// Final state.
    pub state: SubmissionState,
    /// When it ended, in milliseconds since 1970.
    pub ended_unix_ms: u64,
}

/// One write of progress, all or nothing.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CommitBatch {
    /// Progress by identifier of the submission.
    pub progress: Vec<(Arc<str>, ProgressRecord)>,
    /// Submissions that have ended.
    pub ended: Vec<EndedSubmission>,
    /// Submissions whose ends have been kept long enough.
    pub forgotten: Vec<Arc<str>>,
    /// Submissions that had ended before their cancelling was stored.
    pub stray_cancels: Vec<Arc<str>>,
    /// The upstreams that may hold leases, if they have changed.
    pub roster: Option<Vec<RosterEntry>>,
}

/// Outcome of a commit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CommitOutcome {
    /// The batch is stored.
    Stored,
    /// Another host is the owner.
    Fenced,
    /// Not stored, or not known: write again.
    Unknown,
}

/// What waits for a submission's commit.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum CommitUrgency {
    /// Its caller waits for its final state.
    Final,
    /// Planned runs wait to be started.
    Planned,
    /// Nothing waits.
    Other,
}

/// Submissions whose progress is not stored yet.
///
/// Each change carries a mark; marks grow. An end may be acknowledged to its upstream once every
/// change up to its mark is stored.
#[derive(Debug, Default)]
pub(super) struct CommitQueue {
    next_mark: u64,
    /// Submissions that wait, oldest change first.
    queue: BTreeMap<u64, Arc<str>>,
    queued: HashMap<Arc<str>, u64>,
    in_flight: BTreeMap<u64, Arc<str>>,
    is_sent: bool,
    pub urgent: bool,
    pub last_sent_at: u64,
}

impl CommitQueue {
    /// Notes a change and returns its mark.
    pub fn note(&mut self, submission: &Arc<str>) -> u64 {
        if let Some(mark) = self.queued.get(submission) {
            return *mark;
        }
        self.next_mark += 1;
        self.queue.insert(self.next_mark, submission.clone());
        self.queued.insert(submission.clone(), self.next_mark);
        self.next_mark
    }

    /// Returns the mark up to which every change is stored.
    pub fn stored_mark(&self) -> u64 {
        let waiting = self.queue.keys().next();
        let sent = self.in_flight.keys().next();
        let open = waiting.into_iter().chain(sent).min();
        open.map_or(self.next_mark, |mark| mark - 1)
    }

    pub fn is_idle(&self) -> bool {
        !self.is_sent
    }

    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Takes the submissions of the next commit, as many as its entries allow, the most urgent first.
    pub fn take(
        &mut self,
        urgency_of: impl Fn(&Arc<str>) -> CommitUrgency,
        entries_of: impl Fn(&Arc<str>) -> usize,
    ) -> Vec<Arc<str>> {
        let mut left = MAX_ENTRIES;
        let mut marks = Vec::new();
        let mut order: Vec<_> = self
            .queue
            .iter()
            .map(|(mark, id)| (urgency_of(id), *mark, id))
            .collect();
        order.sort_unstable();
        for (_, mark, id) in order {
            let entries = entries_of(id);
            if entries <= left {
                left -= entries;
                marks.push(mark);
            }
            if left == 0 {
                break;
            }
        }
        self.is_sent = true;
        for mark in marks {
            if let Some(id) = self.queue.remove(&mark) {
                self.queued.remove(&id);
                self.in_flight.insert(mark, id);
            }
        }
        self.urgent = !self.queue.is_empty();
        self.in_flight.values().cloned().collect()
    }

    /// Ends the commit in flight; returns the submissions that are stored.
    pub fn finish(&mut self, stored: bool) -> Vec<Arc<str>> {
        let sent = std::mem::take(&mut self.in_flight);
        self.is_sent = false;
        if stored {
            return sent.into_values().collect();
        }
        for (mark, submission) in sent {
            if let Some(newer) = self.queued.insert(submission.clone(), mark) {
                self.queue.remove(&newer);
            }
            self.queue.insert(mark, submission);
        }
        self.urgent = true;
        Vec::new()
    }
}
