//! What came of a load.

use std::time::Duration;

/// What came of one kind of submission.
#[derive(Clone, Debug, Default)]
pub struct KindSummary {
    /// Name of the kind.
    pub name: &'static str,
    /// Submissions.
    pub submitted: u32,
    /// Complete in time; of lasting ones, started in time.
    pub on_time: u32,
    /// Complete late, but within three times the objective.
    pub late: u32,
    /// Complete later, or not at all.
    pub missed: u32,
    /// Shown as failed although they could be done.
    pub failed: u32,
    /// Times from the submission to the first start, in milliseconds, sorted.
    pub start_waits_ms: Vec<u64>,
    /// Worth earned.
    pub earned_value: f64,
    /// Worth that was owed.
    pub attainable_value: f64,
}

impl KindSummary {
    /// Returns the wait that this quantile of the submissions did not exceed, in milliseconds.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "an index"
    )]
    pub fn start_wait_quantile_ms(&self, quantile: f64) -> u64 {
        let index = (self.start_waits_ms.len() as f64 * quantile) as usize;
        let last = self.start_waits_ms.len().saturating_sub(1);
        self.start_waits_ms
            .get(index.min(last))
            .copied()
            .unwrap_or(0)
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
pub struct SimulationSummary {
    /// By kind.
    pub kinds: Vec<KindSummary>,
    /// Started tasks.
    pub starts: u64,
    /// Runs that were stopped before they were done.
    pub stopped: u64,
    /// Calls to the policy service, and its time in milliseconds.
    pub policy_calls: (u64, u64),
    /// Mean quantile of the capacity in use while submissions came, by pool.
    pub utilization: Vec<(&'static str, f64)>,
    /// Largest distance between a team's quantile of the worth owed to it that it earned and the mean.
    pub unfairness: f64,
    /// Cost of the decisions.
    pub cost: OwnerCost,
}

impl SimulationSummary {
    /// Returns the quantile of the worth owed that was earned.
    #[must_use]
    pub fn value_ratio(&self) -> f64 {
        let earned: f64 = self.kinds.iter().map(|kind| kind.earned_value).sum();
        let attainable: f64 = self.kinds.iter().map(|kind| kind.attainable_value).sum();
        earned / attainable.max(f64::MIN_POSITIVE)
    }
}
