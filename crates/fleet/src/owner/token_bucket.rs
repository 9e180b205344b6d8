//! Token buckets: which submissions of a team lie within its rate.
//!
//! The load: one team sends three to eight times its usual rate for some seconds, beside others that
//! keep to theirs. Each submission takes a token; one that finds none is beyond the rate. Buckets
//! are refilled by the acceptance times in the submissions' records, not by the owner's clock, and
//! each decision is stored with the submission's progress, so that a new owner derives the same.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use crate::model::{RateRecord, SubmissionRecord};
use crate::owner::OwnerMachine;

/// Time in which an empty bucket becomes full, in milliseconds.
const BUCKET_DEPTH_MS: u64 = 2000;

/// Thousandths of a token that a submission takes.
const SUBMISSION_COST_MILLI: u64 = 1000;

/// Period over which submissions are counted for a team's reported rate, in milliseconds.
const RATE_WINDOW_MS: u64 = 2000;

/// Shortest time over which a rate is computed, in milliseconds.
const MIN_RATE_WINDOW_MS: u64 = 500;

/// The token bucket of one team.
///
/// A weight of w adds w tokens per second, which is w thousandths of a token per millisecond.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    tokens_milli: u64,
    /// Acceptance time up to which it is refilled, in milliseconds since 1970.
    refilled_unix_ms: u64,
    /// Start of the present period in which submissions are counted, in milliseconds since 1970.
    window_unix_ms: u64,
    window_count: u64,
    last_window_count: u64,
}

impl TokenBucket {
    /// Creates a full bucket of a team with this weight, in submissions per second, at an
    /// acceptance time in milliseconds since 1970.
    #[must_use]
    pub fn full(weight: u64, accepted_unix_ms: u64) -> Self {
        Self {
            tokens_milli: weight.saturating_mul(BUCKET_DEPTH_MS),
            refilled_unix_ms: accepted_unix_ms,
            window_unix_ms: accepted_unix_ms,
            window_count: 0,
            last_window_count: 0,
        }
    }

    /// Refills the bucket up to an acceptance time, in milliseconds since 1970, and takes a token
    /// if there is one; returns the decision and what is left.
    pub fn take(&mut self, weight: u64, accepted_unix_ms: u64) -> RateRecord {
        self.refill(weight, accepted_unix_ms);
        self.count(accepted_unix_ms);
        let left = self.tokens_milli.checked_sub(SUBMISSION_COST_MILLI);
        self.tokens_milli = left.unwrap_or(self.tokens_milli);
        RateRecord {
            beyond: left.is_none(),
            tokens_milli: self.tokens_milli,
        }
    }

    /// Restores the state after a stored decision about a submission that was accepted at this
    /// time, in milliseconds since 1970.
    pub fn restore(&mut self, accepted_unix_ms: u64, stored: RateRecord) {
        self.count(accepted_unix_ms);
        self.tokens_milli = stored.tokens_milli;
        self.refilled_unix_ms = accepted_unix_ms;
    }

    /// Returns the number of submissions per second of the last seconds.
    #[must_use]
    pub fn submissions_per_s(&self) -> u64 {
        let seen_ms = self.refilled_unix_ms.abs_diff(self.window_unix_ms);
        let window_ms = seen_ms.clamp(MIN_RATE_WINDOW_MS, RATE_WINDOW_MS);
        let last = self.last_window_count * 1000 / RATE_WINDOW_MS;
        last.max(self.window_count * 1000 / window_ms)
    }

    fn refill(&mut self, weight: u64, accepted_unix_ms: u64) {
        let capacity = weight.saturating_mul(BUCKET_DEPTH_MS);
        let elapsed_ms = accepted_unix_ms.saturating_sub(self.refilled_unix_ms);
        let refilled = self
            .tokens_milli
            .saturating_add(weight.saturating_mul(elapsed_ms));
        self.tokens_milli = refilled.min(capacity);
        // Hosts' wall clocks differ, and may jump. One that ran ahead must not keep the bucket from
        // being refilled until the others have caught up.
        let stepped_back = accepted_unix_ms.saturating_add(BUCKET_DEPTH_MS) < self.refilled_unix_ms;
        if stepped_back || elapsed_ms > 0 {
            self.refilled_unix_ms = accepted_unix_ms;
        }
    }

    fn count(&mut self, accepted_unix_ms: u64) {
        let elapsed_ms = accepted_unix_ms.abs_diff(self.window_unix_ms);
        if elapsed_ms >= RATE_WINDOW_MS {
            let is_next = elapsed_ms < 2 * RATE_WINDOW_MS;
            self.last_window_count = if is_next { self.window_count } else { 0 };
            self.window_count = 0;
            self.window_unix_ms = accepted_unix_ms;
        }
        self.window_count += 1;
    }
}

/// The token buckets of all teams, and the submissions beyond their rates.
#[derive(Debug, Default)]
pub(super) struct TeamRates {
    buckets: HashMap<Arc<str>, TokenBucket>,
    /// Submissions beyond their teams' rates; may hold some that have ended.
    beyond: BTreeSet<Arc<str>>,
    /// Submissions beyond their teams' rates of which the decision is to be stored once a pool is
    /// short.
    unstored: BTreeSet<Arc<str>>,
}

impl TeamRates {
    /// Returns whether any submission that has not ended is beyond its team's rate.
    pub fn any_beyond(&self) -> bool {
        !self.beyond.is_empty()
    }

    /// Forgets the submissions that have ended.
    pub fn retain_active(&mut self, active: &BTreeSet<Arc<str>>) {
        self.beyond.retain(|id| active.contains(id));
        self.unstored.retain(|id| active.contains(id));
    }

    /// Returns the number of submissions per second that a team has sent in the last seconds.
    pub fn submissions_per_s(&self, team: &str) -> u64 {
        let bucket = self.buckets.get(team);
        bucket.map_or(0, TokenBucket::submissions_per_s)
    }

    /// Decides whether a submission is within the rate of its team, or repeats the stored decision.
    fn decide(
        &mut self,
        record: &SubmissionRecord,
        team: &Arc<str>,
        weight: u64,
        stored: Option<RateRecord>,
    ) -> RateRecord {
        let accepted_unix_ms = record.accepted_unix_ms;
        let bucket = self
            .buckets
            .entry(team.clone())
            .or_insert_with(|| TokenBucket::full(weight, accepted_unix_ms));
        let decision = if let Some(stored) = stored {
            bucket.restore(accepted_unix_ms, stored);
            stored
        } else {
            bucket.take(weight, accepted_unix_ms)
        };
        if decision.beyond {
            self.beyond.insert(record.id.clone());
        }
        decision
    }
}

impl OwnerMachine {
    /// Stores which submissions are beyond their teams' rates, since the tokens of submissions that
    /// have ended are unknown to a successor.
    pub(super) fn store_decisions(&mut self) {
        for id in std::mem::take(&mut self.rates.unstored) {
            self.record_change(&id, false);
        }
    }

    /// Decides whether a submission is within its team's rate.
    pub(super) fn apply_rate(&mut self, id: &Arc<str>) {
        let Some(entry) = self.submissions.get_mut(id) else {
            return;
        };
        let Some(team) = &entry.record.team else {
            return;
        };
        let policy = self.config.teams.get(team);
        let weight = policy.map_or(0, |policy| policy.weight);
        if weight == 0 {
            return;
        }
        let stored = entry.rate;
        let decision = self.rates.decide(&entry.record, team, weight, stored);
        entry.rate = Some(decision);
        if decision.beyond && stored.is_none() && entry.is_active() {
            self.rates.unstored.insert(id.clone());
        }
        if decision.beyond && self.shares.pools.is_empty() {
            self.shares.next_refresh_at = 0;
        }
    }

    /// Derives the token buckets from the restored submissions, in the order of acceptance.
    pub(super) fn restore_rates(&mut self) {
        let submissions = self.submissions.values();
        let mut accepted: Vec<_> = submissions
            .map(|entry| (entry.record.accepted_unix_ms, entry.record.id.clone()))
            .collect();
        accepted.sort_unstable();
        for (_, id) in accepted {
            self.apply_rate(&id);
        }
    }

    /// Returns whether a submission is beyond the rate of its team; `None` if it is unknown.
    #[must_use]
    pub fn is_beyond_rate(&self, id: &str) -> Option<bool> {
        let entry = self.submissions.get(id)?;
        Some(entry.rate.is_some_and(|rate| rate.beyond))
    }
}
