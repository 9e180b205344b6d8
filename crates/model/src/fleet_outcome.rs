//! What came of a load.

use std::time::Duration;

/// What came of one kind of submission.
#[derive(Clone, Debug, Default)]
pub struct KindOutcome {
    /// Name of the kind.
    pub name: &'static str,
    /// Submissions.
    pub submitted: u32,
    /// Complete in time; of lasting ones, started in time.
    pub in_time: u32,
    /// Complete late, but within three times the objective.
    pub late: u32,
    /// Complete later, or not at all.
    pub useless: u32,
    /// Shown as failed although they could be done.
    pub failed: u32,
    /// Times from the submission to the first start, in milliseconds, sorted.
    pub waits_ms: Vec<u64>,
    /// Worth earned.
    pub worth: f64,
    /// Worth that was owed.
    pub owed: f64,
}

impl KindOutcome {
    /// Returns the wait that this part of the submissions did not exceed, in milliseconds.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "an index"
    )]
    pub fn wait_ms(&self, part: f64) -> u64 {
        let place = (self.waits_ms.len() as f64 * part) as usize;
        let last = self.waits_ms.len().saturating_sub(1);
        self.waits_ms.get(place.min(last)).copied().unwrap_or(0)
    }
}

/// Time of the real processor that the owner's decisions took.
#[derive(Clone, Copy, Debug, Default)]
pub struct OwnerCost {
    /// All inputs and ticks.
    pub total: Duration,
    /// Ticks alone.
    pub ticks: Duration,
    /// The longest tick.
    pub longest_tick: Duration,
    /// Number of ticks.
    pub tick_count: u64,
}

/// What came of a load.
#[derive(Clone, Debug, Default)]
pub struct FleetOutcome {
    /// By kind.
    pub kinds: Vec<KindOutcome>,
    /// Started tasks.
    pub starts: u64,
    /// Runs that were stopped before they were done.
    pub stopped: u64,
    /// Calls to the policy service, and its time in milliseconds.
    pub questions: (u64, u64),
    /// Mean part of the capacity in use while submissions came, by pool.
    pub packing: Vec<(&'static str, f64)>,
    /// Largest distance between a team's part of the worth owed to it that it earned and the mean.
    pub unfairness: f64,
    /// Cost of the decisions.
    pub cost: OwnerCost,
}

impl FleetOutcome {
    /// Returns the part of the worth owed that was earned.
    #[must_use]
    pub fn worth(&self) -> f64 {
        let earned: f64 = self.kinds.iter().map(|kind| kind.worth).sum();
        let owed: f64 = self.kinds.iter().map(|kind| kind.owed).sum();
        earned / owed.max(f64::MIN_POSITIVE)
    }
}
