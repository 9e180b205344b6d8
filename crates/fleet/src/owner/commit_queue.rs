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

/// Time that a commit has been on its way before another lane is used, in milliseconds.
const LANE_PAUSE_MS: u64 = 40;

/// One write of progress, all or nothing.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CommitBatch {
    /// Lane of the commit; commits of a lane are written in order.
    pub lane: usize,
    /// Progress by identifier of the submission.
    pub progress: Vec<(Arc<str>, ProgressRecord)>,
    /// Submissions that have ended.
    pub ended: Vec<EndedSubmission>,
    /// Submissions whose ends have been kept long enough.
    pub expired: Vec<Arc<str>>,
    /// Submissions that had ended before their cancelling was stored.
    pub stale_cancels: Vec<Arc<str>>,
    /// The upstreams that may hold leases, if they have changed.
    pub roster: Option<Vec<RosterEntry>>,
}

impl CommitBatch {
    /// Tells whether there is nothing to write.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.progress.is_empty()
            && self.ended.is_empty()
            && self.expired.is_empty()
            && self.stale_cancels.is_empty()
            && self.roster.is_none()
    }
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

/// Commits that may be on their way at a time. The others are used only while the store is slow.
pub(super) const COMMIT_LANES: usize = 4;

/// A lane of commits; those of one lane are written one after the other.
#[derive(Debug, Default)]
struct CommitLane {
    in_flight: BTreeMap<u64, Arc<str>>,
    is_sent: bool,
    last_sent_at: u64,
}

/// Submissions whose progress is not stored yet.
///
/// Each change carries a mark; marks grow. An end may be acknowledged to its upstream once every
/// change up to its mark is stored. A submission is on its way in one lane at most, and after a
/// commit with an unknown outcome it stays in its lane until that has stored another one: the lane's
/// next commit keeps the unknown one from being done late.
#[derive(Debug, Default)]
pub(super) struct CommitQueue {
    next_mark: u64,
    /// Submissions that wait, oldest change first.
    queue: BTreeMap<u64, Arc<str>>,
    queued: HashMap<Arc<str>, u64>,
    lanes: [CommitLane; COMMIT_LANES],
    /// Lanes of submissions that may not change theirs.
    pinned: HashMap<Arc<str>, usize>,
    pub urgent: bool,
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
        let sent = self
            .lanes
            .iter()
            .filter_map(|lane| lane.in_flight.keys().next());
        let open = waiting.into_iter().chain(sent).min();
        open.map_or(self.next_mark, |mark| mark - 1)
    }

    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Lists the lanes that are free for a commit. A later lane is free only when the commit before
    /// has been on its way for a while, or when submissions are pinned to it.
    pub fn free_lanes(&self, now: u64) -> Vec<usize> {
        let mut free = Vec::new();
        let mut sent_at = None;
        for (number, lane) in self.lanes.iter().enumerate() {
            if lane.is_sent {
                sent_at = sent_at.max(Some(lane.last_sent_at));
                continue;
            }
            let is_next = free.is_empty();
            let is_slow = sent_at.is_none_or(|sent_at| now >= sent_at + LANE_PAUSE_MS);
            let has_pinned = self.pinned.values().any(|pinned| *pinned == number);
            if (is_next && is_slow) || has_pinned {
                free.push(number);
            }
        }
        free
    }

    /// Returns when the last commit was sent.
    pub fn last_sent_at(&self) -> u64 {
        let sent = self.lanes.iter().map(|lane| lane.last_sent_at);
        sent.max().unwrap_or(0)
    }

    /// Takes the submissions of the next commit of a lane, as many as its entries allow, the most
    /// urgent first.
    pub fn take(
        &mut self,
        now: u64,
        lane: usize,
        urgency_of: impl Fn(&Arc<str>) -> CommitUrgency,
        entries_of: impl Fn(&Arc<str>) -> usize,
    ) -> Vec<Arc<str>> {
        let mut left = MAX_ENTRIES;
        let mut marks = Vec::new();
        let mut order: Vec<_> = self
            .queue
            .iter()
            .filter(|(_, id)| self.may_take(lane, id))
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
        let chosen = &mut self.lanes[lane];
        chosen.is_sent = true;
        chosen.last_sent_at = now;
        for mark in marks {
            if let Some(id) = self.queue.remove(&mark) {
                self.queued.remove(&id);
                chosen.in_flight.insert(mark, id);
            }
        }
        self.urgent = !self.queue.is_empty();
        chosen.in_flight.values().cloned().collect()
    }

    fn may_take(&self, lane: usize, id: &Arc<str>) -> bool {
        let pinned_here = self.pinned.get(id).is_none_or(|pinned| *pinned == lane);
        let mut lanes = self.lanes.iter();
        pinned_here && !lanes.any(|lane| lane.in_flight.values().any(|sent| sent == id))
    }

    /// Gives up a commit that has nothing to write.
    pub fn abandon(&mut self, lane: usize) {
        if let Some(lane) = self.lanes.get_mut(lane) {
            lane.in_flight.clear();
            lane.is_sent = false;
        }
    }

    /// Ends the commit of a lane; returns the submissions that are stored.
    pub fn finish(&mut self, lane: usize, stored: bool) -> Vec<Arc<str>> {
        let Some(ended) = self.lanes.get_mut(lane) else {
            return Vec::new();
        };
        let sent = std::mem::take(&mut ended.in_flight);
        ended.is_sent = false;
        if stored {
            self.pinned.retain(|_, pinned| *pinned != lane);
            return sent.into_values().collect();
        }
        for (mark, submission) in sent {
            if let Some(newer) = self.queued.insert(submission.clone(), mark) {
                self.queue.remove(&newer);
            }
            self.pinned.insert(submission.clone(), lane);
            self.queue.insert(mark, submission);
        }
        self.urgent = true;
        Vec::new()
    }
}
