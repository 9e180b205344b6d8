//! Failed and stalled runs in a row, of one task and of all tasks of a step.
//!
//! A failure speaks of the task, of the upstream, or of both. A task that fails wherever it runs
//! says nothing about its upstreams, and would otherwise close one after the other for all other
//! work. So the runs of a task count against few upstreams, and once against each.
//!
//! Nothing limits the failures of a long-running task. One that fails wherever it runs would occupy
//! capacity again as soon as a run has ended, ahead of waiting work of a lower priority. So its
//! retries are delayed, each for longer, and for some seconds they only get room that no other task
//! can use.

use std::collections::BTreeSet;
use std::sync::Arc;

/// Number of upstreams against which the failures of a task count.
const MAX_COUNTED_UPSTREAMS: usize = 2;

/// Number of upstreams that a streak remembers; the earliest are forgotten.
const MAX_UPSTREAMS: usize = 4;

/// Number of failed runs in a row after which the retries of a long-running task are delayed for
/// longer. So many may be the fault of upstreams that are not quarantined yet.
const MAX_PROMPT_RETRIES: u32 = 2;

/// First of the longer delays, in milliseconds; doubles with each further failed run.
const FIRST_BACKOFF_MS: u64 = 250;

/// Maximum number of times that the delay is doubled, up to 2 s. A submission may have nothing
/// running for 3 s; the rest of that time is for the end to be seen and for the start.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;

/// Time after a failed run for which a task whose retries are delayed is placed after all others, in
/// milliseconds. A long-running task must run again within 9 s, however full its pool is; the rest of
/// that time is for room to be made for it.
pub(super) const YIELD_MS: u64 = 5000;

/// Failed and stalled runs of a task since its last sound run.
#[derive(Clone, Debug, Default)]
pub(super) struct FailureStreak {
    /// Upstreams on which the runs were, the latest last; each is listed once.
    upstreams: Vec<Arc<str>>,
    /// Number of failed runs.
    failures: u32,
    /// Number of stalled runs.
    stalls: u32,
}

impl FailureStreak {
    /// Records a failed run. Returns whether it may count against its upstream.
    pub fn record_failure(&mut self, upstream: &Arc<str>) -> bool {
        self.failures += 1;
        self.record(upstream)
    }

    /// Records a stalled run. Returns whether it may count against its upstream.
    pub fn record_stall(&mut self, upstream: &Arc<str>) -> bool {
        self.stalls += 1;
        self.record(upstream)
    }

    fn record(&mut self, upstream: &Arc<str>) -> bool {
        let known = self.upstreams.iter().position(|id| id == upstream);
        let counts = known.is_none() && self.upstreams.len() < MAX_COUNTED_UPSTREAMS;
        if let Some(position) = known {
            self.upstreams.remove(position);
        } else if self.upstreams.len() == MAX_UPSTREAMS {
            self.upstreams.remove(0);
        }
        self.upstreams.push(upstream.clone());
        counts
    }

    /// Returns the number of stalled runs.
    pub fn stalls(&self) -> u32 {
        self.stalls
    }

    /// Returns the number of failed runs.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Returns the delay before the next run of a long-running task, in milliseconds; `None` if the
    /// task is retried promptly.
    pub fn backoff_ms(&self) -> Option<u64> {
        let doublings = self.failures.checked_sub(MAX_PROMPT_RETRIES + 1)?;
        Some(FIRST_BACKOFF_MS << doublings.min(MAX_BACKOFF_DOUBLINGS))
    }

    /// Ends the streak because a run was sound.
    pub fn end(&mut self) {
        *self = Self::default();
    }

    /// Returns the upstreams on which the task has failed or stalled, the latest last.
    pub fn upstreams(&self) -> &[Arc<str>] {
        &self.upstreams
    }
}

/// Failed and stalled runs of a step's tasks since the last sound run of any of them. Each upstream
/// counts once: a step with many tasks that fail wherever they run would otherwise have it
/// quarantined again with each of them.
#[derive(Clone, Debug, Default)]
pub(super) struct StepFailureStreak {
    /// Upstreams against which a run has counted.
    upstreams: BTreeSet<Arc<str>>,
}

impl StepFailureStreak {
    /// Records a failed or stalled run. Returns whether it counts against its upstream.
    pub fn record(&mut self, upstream: &Arc<str>) -> bool {
        self.upstreams.insert(upstream.clone())
    }

    /// Ends the streak because a run was sound.
    pub fn end(&mut self) {
        self.upstreams.clear();
    }
}
