//! Queue of progress changes to be committed to the store.
//!
//! Commits are sent in lanes. A lane is a sequence of commits, each of which is written only after
//! the previous one.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use crate::model::{ProgressRecord, SubmissionState};
use crate::owner::RosterEntry;

/// Maximum number of entries for submissions in one commit. The store accepts 32 entries per
/// transaction, of which the conditions, the commit number and the roster take four.
pub(super) const MAX_COMMIT_ENTRIES: usize = 28;

/// Commit entries for one progress record.
pub(super) const ENTRIES_PER_PROGRESS: usize = 1;

/// Commit entries for one ended submission: its final state, and the deletion of its submission,
/// progress and cancellation records.
pub(super) const ENTRIES_PER_ENDED: usize = 4;

/// A submission that has ended and has no runs left; of its records, only the final state is kept.
#[derive(Clone, Debug, PartialEq)]
pub struct EndedSubmission {
    /// Identifier of the submission.
    pub id: Arc<str>,
    /// Final state.
    pub state: SubmissionState,
    /// Time at which it ended, in milliseconds since 1970.
    pub ended_unix_ms: u64,
}

/// Time that a commit must be in flight before a further lane is used, in milliseconds.
const NEXT_LANE_DELAY_MS: u64 = 40;

/// One atomic write of progress.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CommitBatch {
    /// Lane of the commit; commits of one lane are written in order.
    pub lane: usize,
    /// Progress records by submission identifier.
    pub progress: Vec<(Arc<str>, ProgressRecord)>,
    /// Submissions that have ended.
    pub ended: Vec<EndedSubmission>,
    /// Submissions whose final states are to be deleted from the store.
    pub expired_results: Vec<Arc<str>>,
    /// Submissions that had ended before their cancellation was stored.
    pub stale_cancels: Vec<Arc<str>>,
    /// The upstreams that may hold leases; `None` if they have not changed.
    pub roster: Option<Vec<RosterEntry>>,
    /// Whether the commit is written even if it is empty, to show that the owner works.
    pub shows_progress: bool,
}

impl CommitBatch {
    /// Returns whether there is nothing to write.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.progress.is_empty()
            && self.ended.is_empty()
            && self.expired_results.is_empty()
            && self.stale_cancels.is_empty()
            && self.roster.is_none()
            && !self.shows_progress
    }
}

/// Outcome of a commit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CommitOutcome {
    /// The batch is stored.
    Stored {
        /// Revision of the store at which it was written.
        revision: u64,
    },
    /// Another host is the owner.
    Fenced,
    /// Not stored, or the outcome is unknown: the changes must be written again.
    Unknown,
}

/// Priority of a submission's change in the next commit, by what waits for it; the first is the
/// highest.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum CommitPriority {
    /// The caller waits for the final state.
    Final,
    /// Planned runs wait to be started.
    Planned,
    /// Nothing waits for the commit.
    Other,
}

/// Maximum number of commits in flight. Lanes after the first are used only while the store is
/// slow.
pub(super) const COMMIT_LANES: usize = 4;

/// State of a lane.
#[derive(Debug, Default)]
struct CommitLane {
    /// Submissions of the commit in flight, by the sequence number of their change.
    submissions: BTreeMap<u64, Arc<str>>,
    is_busy: bool,
    last_sent_at: u64,
}

/// Submissions with changes that are not stored yet.
///
/// Each change has an increasing sequence number. A finished run may be acknowledged to its
/// upstream once every change up to its sequence number is stored. A submission is in flight in at
/// most one lane. After a commit with an unknown outcome its submissions stay in that lane until
/// the lane has stored another commit: the lane's next commit ensures that the unknown one can no
/// longer be applied.
#[derive(Debug, Default)]
pub(super) struct CommitQueue {
    last_sequence: u64,
    /// Waiting submissions by sequence number, oldest change first.
    changes: BTreeMap<u64, Arc<str>>,
    sequence_by_id: HashMap<Arc<str>, u64>,
    lanes: [CommitLane; COMMIT_LANES],
    /// Submissions of the commits in flight in all lanes.
    in_flight: HashSet<Arc<str>>,
    /// Submissions that may only be committed in the given lane.
    pinned: HashMap<Arc<str>, usize>,
    /// Whether the next commit is sent without waiting for the commit interval.
    pub commit_at_once: bool,
}

impl CommitQueue {
    /// Adds a change and returns its sequence number.
    pub fn push(&mut self, submission: &Arc<str>) -> u64 {
        if let Some(sequence) = self.sequence_by_id.get(submission) {
            return *sequence;
        }
        self.last_sequence += 1;
        self.changes.insert(self.last_sequence, submission.clone());
        self.sequence_by_id
            .insert(submission.clone(), self.last_sequence);
        self.last_sequence
    }

    /// Returns the sequence number up to which every change is stored.
    pub fn stored_sequence(&self) -> u64 {
        let waiting = self.changes.keys().next();
        let sent = self
            .lanes
            .iter()
            .filter_map(|lane| lane.submissions.keys().next());
        let lowest_open = waiting.into_iter().chain(sent).min();
        lowest_open.map_or(self.last_sequence, |sequence| sequence - 1)
    }

    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    /// Returns the lanes that may send a commit. A later lane is free only if the previous commit
    /// has been in flight for `NEXT_LANE_DELAY_MS`, or if submissions are pinned to it.
    pub fn free_lanes(&self, now: u64) -> Vec<usize> {
        let mut free = Vec::new();
        let mut sent_at = None;
        for (number, lane) in self.lanes.iter().enumerate() {
            if lane.is_busy {
                sent_at = sent_at.max(Some(lane.last_sent_at));
                continue;
            }
            let is_next = free.is_empty();
            let is_slow = sent_at.is_none_or(|sent_at| now >= sent_at + NEXT_LANE_DELAY_MS);
            let has_pinned = self.pinned.values().any(|pinned| *pinned == number);
            if (is_next && is_slow) || has_pinned {
                free.push(number);
            }
        }
        free
    }

    /// Returns the time at which the last commit was sent.
    pub fn last_sent_at(&self) -> u64 {
        let sent = self.lanes.iter().map(|lane| lane.last_sent_at);
        sent.max().unwrap_or(0)
    }

    /// Returns the time at which the last commit of a lane was sent.
    pub fn lane_sent_at(&self, lane: usize) -> u64 {
        self.lanes.get(lane).map_or(0, |lane| lane.last_sent_at)
    }

    /// Takes the submissions of a lane's next commit, by priority and then oldest change first, up
    /// to the maximum number of entries.
    pub fn take(
        &mut self,
        now: u64,
        lane: usize,
        priority_of: impl Fn(&Arc<str>) -> CommitPriority,
        entries_of: impl Fn(&Arc<str>) -> usize,
    ) -> Vec<Arc<str>> {
        let mut remaining = MAX_COMMIT_ENTRIES;
        let mut sequences = Vec::new();
        let mut order: Vec<_> = self
            .changes
            .iter()
            .filter(|(_, id)| self.may_take(lane, id))
            .map(|(sequence, id)| (priority_of(id), *sequence, id))
            .collect();
        order.sort_unstable();
        for (_, sequence, id) in order {
            let entries = entries_of(id);
            if entries <= remaining {
                remaining -= entries;
                sequences.push(sequence);
            }
            if remaining == 0 {
                break;
            }
        }
        let chosen = &mut self.lanes[lane];
        chosen.is_busy = true;
        chosen.last_sent_at = now;
        for sequence in sequences {
            if let Some(id) = self.changes.remove(&sequence) {
                self.sequence_by_id.remove(&id);
                self.in_flight.insert(id.clone());
                chosen.submissions.insert(sequence, id);
            }
        }
        self.commit_at_once = !self.changes.is_empty();
        chosen.submissions.values().cloned().collect()
    }

    fn may_take(&self, lane: usize, id: &Arc<str>) -> bool {
        let pinned_here = self.pinned.get(id).is_none_or(|pinned| *pinned == lane);
        pinned_here && !self.in_flight.contains(id)
    }

    /// Abandons a commit that has nothing to write.
    pub fn abandon(&mut self, lane: usize) {
        if let Some(lane) = self.lanes.get_mut(lane) {
            for id in std::mem::take(&mut lane.submissions).values() {
                self.in_flight.remove(id);
            }
            lane.is_busy = false;
        }
    }

    /// Completes a lane's commit; returns the submissions that are now stored.
    pub fn finish(&mut self, lane: usize, stored: bool) -> Vec<Arc<str>> {
        let Some(ended) = self.lanes.get_mut(lane) else {
            return Vec::new();
        };
        let sent = std::mem::take(&mut ended.submissions);
        ended.is_busy = false;
        for id in sent.values() {
            self.in_flight.remove(id);
        }
        if stored {
            self.pinned.retain(|_, pinned| *pinned != lane);
            return sent.into_values().collect();
        }
        for (sequence, submission) in sent {
            if let Some(newer) = self.sequence_by_id.insert(submission.clone(), sequence) {
                self.changes.remove(&newer);
            }
            self.pinned.insert(submission.clone(), lane);
            self.changes.insert(sequence, submission);
        }
        self.commit_at_once = true;
        Vec::new()
    }
}
