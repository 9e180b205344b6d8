//! Failed and stalled runs of one task in a row.
//!
//! A failure speaks of the task, of the upstream, or of both. A task that fails wherever it runs
//! says nothing about its upstreams, and would otherwise close one after the other for all other
//! work. So the runs of a task count against few upstreams, and once against each.

use std::sync::Arc;

/// Number of upstreams against which the failures of a task count.
const MAX_COUNTED_UPSTREAMS: usize = 2;

/// Number of upstreams that a streak remembers; the earliest are forgotten.
const MAX_UPSTREAMS: usize = 4;

/// Failed and stalled runs of a task since its last sound run.
#[derive(Clone, Debug, Default)]
pub(super) struct FailureStreak {
    /// Upstreams on which the runs were, the latest last; each is listed once.
    upstreams: Vec<Arc<str>>,
    /// Number of stalled runs.
    stalls: u32,
}

impl FailureStreak {
    /// Records a failed or stalled run. Returns whether it counts against its upstream.
    pub fn record(&mut self, upstream: &Arc<str>) -> bool {
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

    /// Records a stalled run. Returns whether it counts against its upstream.
    pub fn record_stall(&mut self, upstream: &Arc<str>) -> bool {
        self.stalls += 1;
        self.record(upstream)
    }

    /// Returns the number of stalled runs.
    pub fn stalls(&self) -> u32 {
        self.stalls
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
