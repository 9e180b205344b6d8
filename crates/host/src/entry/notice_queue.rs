//! Notices for the owner that it has not confirmed yet.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::peer::NewSubmission;

/// Time for which notices are sent again to a new owner, in milliseconds. The previous owner may
/// have accepted them although it had already been replaced.
const RESEND_WINDOW_MS: u64 = 8000;

/// Age at which an unconfirmed notice is dropped, in milliseconds; the owner finds the item in the
/// store.
const NOTICE_TIMEOUT_MS: u64 = 9000;

/// Maximum length of the records in a call, in bytes: well below the longest frame.
const MAX_CALL_BYTES: usize = 2 * 1024 * 1024;

/// Maximum length of all records that are kept for a new owner, in bytes. Beyond it the oldest are
/// dropped, and a new owner finds their submissions in the store.
const MAX_RECENT_BYTES: usize = 8 * 1024 * 1024;

/// Delay before a cancellation is sent again to an owner that does not know its submission, in
/// milliseconds; doubles each time.
const FIRST_RETRY_DELAY_MS: u64 = 60;

/// Maximum delay before a cancellation is sent again, in milliseconds.
const MAX_RETRY_DELAY_MS: u64 = 500;

/// A stored item that the owner must be notified of.
#[derive(Clone, Debug, PartialEq)]
pub enum OwnerNotice {
    /// A submission.
    Submission(NewSubmission),
    /// A cancellation; carries the identifier of its submission.
    Cancellation(Arc<str>),
}

impl OwnerNotice {
    fn record_bytes(&self) -> usize {
        match self {
            Self::Submission(submission) => submission.record.len(),
            Self::Cancellation(_) => 0,
        }
    }
}

/// A submission that the owner has not confirmed.
#[derive(Debug)]
struct PendingSubmission {
    received_at: u64,
    submission: NewSubmission,
}

/// A cancellation that the owner has not confirmed.
#[derive(Debug)]
struct PendingCancellation {
    received_at: u64,
    id: Arc<str>,
    /// Earliest time of the next attempt.
    next_attempt_at: u64,
    retry_delay_ms: u64,
}

/// Unconfirmed notices. A cancellation whose submission the owner does not know is sent again later
/// and delays no other notice.
#[derive(Debug, Default)]
pub struct NoticeQueue {
    submissions: VecDeque<PendingSubmission>,
    cancellations: VecDeque<PendingCancellation>,
    /// Notices by the time at which they were added, to be sent again to a new owner.
    recent: VecDeque<(u64, OwnerNotice)>,
    /// Length of the records in `recent`, in bytes.
    recent_bytes: usize,
    /// Epoch of the owner that the notices are sent to.
    epoch: u64,
}

impl NoticeQueue {
    /// Adds a notice.
    pub fn push(&mut self, now: u64, notice: OwnerNotice) {
        self.recent_bytes += notice.record_bytes();
        self.recent.push_back((now, notice.clone()));
        while self.recent_bytes > MAX_RECENT_BYTES {
            self.forget_oldest();
        }
        self.enqueue(now, notice);
    }

    fn enqueue(&mut self, now: u64, notice: OwnerNotice) {
        match notice {
            OwnerNotice::Submission(submission) => self.submissions.push_back(PendingSubmission {
                received_at: now,
                submission,
            }),
            OwnerNotice::Cancellation(id) => self.cancellations.push_back(PendingCancellation {
                received_at: now,
                id,
                next_attempt_at: now,
                retry_delay_ms: FIRST_RETRY_DELAY_MS,
            }),
        }
    }

    /// Sets the epoch of the owner; a new owner gets all recent notices.
    pub fn set_epoch(&mut self, now: u64, epoch: u64) {
        let expired = |(added_at, _): &(u64, OwnerNotice)| added_at + RESEND_WINDOW_MS < now;
        while self.recent.front().is_some_and(expired) {
            self.forget_oldest();
        }
        if epoch == self.epoch {
            return;
        }
        self.epoch = epoch;
        self.submissions.clear();
        self.cancellations.clear();
        let recent: Vec<_> = self.recent.iter().cloned().collect();
        for (_, notice) in recent {
            self.enqueue(now, notice);
        }
    }

    /// Returns whether every notice is confirmed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.submissions.is_empty() && self.cancellations.is_empty()
    }

    fn forget_oldest(&mut self) {
        if let Some((_, notice)) = self.recent.pop_front() {
            self.recent_bytes -= notice.record_bytes();
        }
    }

    /// Returns the oldest unconfirmed submissions, at most `limit`, whose records together fit a
    /// call; at least one.
    #[must_use]
    pub fn submissions(&self, limit: usize) -> Vec<NewSubmission> {
        let mut bytes = 0;
        let oldest = self.submissions.iter().take(limit);
        let fitting = oldest.take_while(|pending| {
            let is_first = bytes == 0;
            bytes += pending.submission.record.len();
            is_first || bytes <= MAX_CALL_BYTES
        });
        fitting.map(|pending| pending.submission.clone()).collect()
    }

    /// Removes the oldest `count` submissions, which the owner has confirmed.
    pub fn confirm_submissions(&mut self, count: usize) {
        self.submissions.drain(..count.min(self.submissions.len()));
    }

    /// Returns the cancellations that are due, at most `limit`.
    #[must_use]
    pub fn due_cancellations(&self, now: u64, limit: usize) -> Vec<Arc<str>> {
        let due = self
            .cancellations
            .iter()
            .filter(|pending| pending.next_attempt_at <= now);
        due.take(limit).map(|pending| pending.id.clone()).collect()
    }

    /// Removes the cancellations that were sent, except those whose submissions the owner does not
    /// know.
    pub fn finish_cancellations(&mut self, now: u64, sent: &[Arc<str>], unknown: &[Arc<str>]) {
        self.cancellations
            .retain(|pending| !sent.contains(&pending.id) || unknown.contains(&pending.id));
        for pending in &mut self.cancellations {
            if unknown.contains(&pending.id) {
                pending.next_attempt_at = now + pending.retry_delay_ms;
                pending.retry_delay_ms = (2 * pending.retry_delay_ms).min(MAX_RETRY_DELAY_MS);
            }
        }
    }

    /// Drops the notices that the owner has not confirmed in time; returns the numbers of
    /// submissions and cancellations.
    pub fn drop_expired(&mut self, now: u64) -> (usize, usize) {
        let (submissions, cancellations) = (self.submissions.len(), self.cancellations.len());
        let is_fresh = |received_at: u64| received_at + NOTICE_TIMEOUT_MS >= now;
        self.submissions
            .retain(|pending| is_fresh(pending.received_at));
        self.cancellations
            .retain(|pending| is_fresh(pending.received_at));
        (
            submissions - self.submissions.len(),
            cancellations - self.cancellations.len(),
        )
    }
}
