//! Order in which progress reaches the store.

use std::collections::{HashMap, VecDeque};
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

/// Submissions whose progress is not stored yet, oldest first.
///
/// Each change carries a mark; marks grow. An end may be acknowledged to its upstream once every
/// change up to its mark is stored.
#[derive(Debug, Default)]
pub(super) struct CommitQueue {
    next_mark: u64,
    queue: VecDeque<(u64, Arc<str>)>,
    queued: HashMap<Arc<str>, u64>,
    in_flight: Vec<(u64, Arc<str>)>,
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
        self.queue.push_back((self.next_mark, submission.clone()));
        self.queued.insert(submission.clone(), self.next_mark);
        self.next_mark
    }

    /// Returns the mark up to which every change is stored.
    pub fn stored_mark(&self) -> u64 {
        let waiting = self.queue.front().map(|(mark, _)| *mark);
        let sent = self.in_flight.first().map(|(mark, _)| *mark);
        match (waiting, sent) {
            (None, None) => self.next_mark,
            (Some(mark), None) | (None, Some(mark)) => mark - 1,
            (Some(one), Some(other)) => one.min(other) - 1,
        }
    }

    pub fn is_idle(&self) -> bool {
        !self.is_sent
    }

    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Takes the submissions of the next commit, as many as its entries allow.
    pub fn take(&mut self, entries_of: impl Fn(&Arc<str>) -> usize) -> Vec<Arc<str>> {
        let mut left = MAX_ENTRIES;
        let fits = |(_, id): &&(u64, Arc<str>)| {
            let entries = entries_of(id);
            let fits = entries <= left;
            left = left.saturating_sub(entries);
            fits
        };
        let count = self.queue.iter().take_while(fits).count();
        self.is_sent = true;
        self.in_flight = self.queue.drain(..count).collect();
        for (_, submission) in &self.in_flight {
            self.queued.remove(submission);
        }
        self.urgent = !self.queue.is_empty();
        self.in_flight
            .iter()
            .map(|(_, submission)| submission.clone())
            .collect()
    }

    /// Ends the commit in flight; returns the submissions that are stored.
    pub fn finish(&mut self, stored: bool) -> Vec<Arc<str>> {
        let sent = std::mem::take(&mut self.in_flight);
        self.is_sent = false;
        if stored {
            return sent.into_iter().map(|(_, submission)| submission).collect();
        }
        for (mark, submission) in sent.into_iter().rev() {
            self.queue.retain(|(_, waiting)| *waiting != submission);
            self.queued.insert(submission.clone(), mark);
            self.queue.push_front((mark, submission));
        }
        self.urgent = true;
        Vec::new()
    }
}
