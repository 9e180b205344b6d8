//! Queue of upstreams by the time at which something is due there.
//!
//! A tick examines only the upstreams that are due, so its cost does not grow with the fleet.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;

/// Upstreams by due time. An upstream may be queued more than once.
#[derive(Debug, Default)]
pub(super) struct DueQueue {
    entries: BinaryHeap<Reverse<(u64, Arc<str>)>>,
}

impl DueQueue {
    /// Queues an upstream for a time.
    pub fn push(&mut self, at: u64, upstream: &Arc<str>) {
        self.entries.push(Reverse((at, upstream.clone())));
    }

    /// Removes and returns the first upstream that is due, and the time for which it was queued.
    pub fn pop_due(&mut self, now: u64) -> Option<(u64, Arc<str>)> {
        self.next_at().filter(|at| *at <= now)?;
        self.entries.pop().map(|Reverse(entry)| entry)
    }

    /// Returns the time for which the first upstream is queued.
    pub fn next_at(&self) -> Option<u64> {
        self.entries.peek().map(|Reverse((at, _))| *at)
    }
}
