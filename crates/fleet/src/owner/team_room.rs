//! What teams may still start.
//!
//! Every run is journaled before it starts, so an owner and its successor on the other side of a cut
//! count the same runs.

use std::sync::Arc;

use crate::model::ResourceSize;
use crate::owner::OwnerMachine;

/// More than any team can use.
const UNLIMITED: u64 = u64::MAX / 4;

impl OwnerMachine {
    /// Tells what a team may still start.
    pub(super) fn team_room(&self, team: Option<&Arc<str>>) -> ResourceSize {
        let unlimited = ResourceSize::new(UNLIMITED, UNLIMITED, UNLIMITED);
        let Some(team) = team else {
            return unlimited;
        };
        let Some(limit) = self.config.teams.get(team).map(|team| team.upper_limit) else {
            return unlimited;
        };
        let open = |amount: u64| if amount == 0 { UNLIMITED } else { amount };
        let limit = ResourceSize::new(
            open(limit.cpu_milli),
            open(limit.memory_mib),
            open(limit.accelerators),
        );
        limit.saturating_sub(&self.usage_of(team))
    }
}
