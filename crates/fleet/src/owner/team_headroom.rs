//! Remaining resources of teams.
//!
//! Every run is stored before it starts, so a new owner counts the runs that a predecessor started,
//! even if it cannot reach their upstreams.

use std::sync::Arc;

use crate::model::ResourceSize;
use crate::owner::OwnerMachine;

/// Stands for no limit; more than any team can use, but small enough that sums do not overflow.
const UNLIMITED: u64 = u64::MAX / 4;

impl OwnerMachine {
    /// Returns the resources that a team may still allocate under its upper limit.
    pub(super) fn team_headroom(&self, team: Option<&Arc<str>>) -> ResourceSize {
        let unlimited = ResourceSize::new(UNLIMITED, UNLIMITED, UNLIMITED);
        let Some(team) = team else {
            return unlimited;
        };
        let Some(limit) = self.config.teams.get(team).map(|team| team.upper_limit) else {
            return unlimited;
        };
        let or_unlimited = |amount: u64| if amount == 0 { UNLIMITED } else { amount };
        let limit = ResourceSize::new(
            or_unlimited(limit.cpu_milli),
            or_unlimited(limit.memory_mib),
            or_unlimited(limit.accelerators),
        );
        limit.saturating_sub(&self.usage_of(team))
    }
}
