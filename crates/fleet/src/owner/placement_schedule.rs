//! Times of the placement passes.

/// Number of upstreams per millisecond of the minimum interval between full passes. A pass takes
/// longer with more upstreams, so larger fleets run it less often; runs that finish in between
/// share one pass.
const UPSTREAMS_PER_INTERVAL_MS: u64 = 12;

/// Number of upstreams per millisecond of the minimum interval between passes of urgent steps.
const UPSTREAMS_PER_URGENT_INTERVAL_MS: u64 = 25;

/// Number of upstreams per millisecond of the minimum interval between passes of fresh steps, of
/// which there are few.
const UPSTREAMS_PER_FRESH_INTERVAL_MS: u64 = 125;

/// Which steps a placement pass examines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum PlacementScope {
    /// All steps.
    All,
    /// Steps of the highest priority that can still meet their objective. They come first in the
    /// scheduling order, so that such a pass takes nothing that a full pass would give to another
    /// step, except for steps that would exceed their team's share.
    Urgent,
    /// Urgent steps that became ready, or got tickets, since the last pass.
    Fresh,
}

/// Which passes are wanted, and their earliest times.
#[derive(Debug, Default)]
pub(super) struct PlacementSchedule {
    /// Whether a change may have made a start possible since the last full pass.
    pending: bool,
    next_at: u64,
    /// Whether a change may have made an urgent start possible since the last full or urgent pass.
    urgent_pending: bool,
    next_urgent_at: u64,
    next_fresh_at: u64,
    /// Whether urgent steps with tickets were waiting for capacity after the last full or urgent
    /// pass. Capacity that becomes free is theirs before that of fresh steps.
    pub has_urgent_backlog: bool,
}

impl PlacementSchedule {
    /// Requests passes because a change may have made a start possible.
    pub fn request(&mut self) {
        self.pending = true;
        self.urgent_pending = true;
    }

    /// Requests a full pass.
    pub fn request_full(&mut self) {
        self.pending = true;
    }

    /// Takes the pass with the widest scope that is due, if any.
    pub fn take_due(
        &mut self,
        now: u64,
        upstream_count: usize,
        has_fresh: bool,
    ) -> Option<PlacementScope> {
        let scope = if self.pending && now >= self.next_at {
            PlacementScope::All
        } else if self.urgent_pending && now >= self.next_urgent_at {
            PlacementScope::Urgent
        } else if has_fresh && now >= self.next_fresh_at {
            PlacementScope::Fresh
        } else {
            return None;
        };
        let upstream_count = upstream_count as u64;
        if scope == PlacementScope::All {
            self.pending = false;
            self.next_at = now + upstream_count / UPSTREAMS_PER_INTERVAL_MS;
        }
        if scope != PlacementScope::Fresh {
            self.urgent_pending = false;
            self.has_urgent_backlog = false;
            self.next_urgent_at = now + upstream_count / UPSTREAMS_PER_URGENT_INTERVAL_MS;
        }
        self.next_fresh_at = now + upstream_count / UPSTREAMS_PER_FRESH_INTERVAL_MS;
        Some(scope)
    }

    /// Returns the earliest time of the next wanted pass.
    pub fn next_due_at(&self, has_fresh: bool) -> Option<u64> {
        let wanted = [
            self.pending.then_some(self.next_at),
            self.urgent_pending.then_some(self.next_urgent_at),
            has_fresh.then_some(self.next_fresh_at),
        ];
        wanted.into_iter().flatten().min()
    }
}
