//! Results of a simulation.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use lagoonnotch_fleet::owner::UsageCounts;

/// Results of one kind of submission.
#[derive(Clone, Debug, Default)]
pub struct KindSummary {
    /// Name of the kind.
    pub name: &'static str,
    /// Number of submissions.
    pub submitted: u32,
    /// Submissions that ended in the expected state within their objective (for long-running ones:
    /// that started within it).
    pub on_time: u32,
    /// Submissions that ended in the expected state (for long-running ones: that started) after
    /// their objective, but within three times its duration.
    pub late: u32,
    /// Submissions that ended in the expected state (for long-running ones: that started) later
    /// than that, or that did not end.
    pub missed: u32,
    /// Submissions that ended in an unexpected state.
    pub failed: u32,
    /// Times from the submission to the first start of a task, in milliseconds, sorted.
    pub start_waits_ms: Vec<u64>,
    /// Runs that started while their submission could still meet its objective.
    pub starts_in_time: u64,
    /// Sum of the values earned.
    pub earned_value: f64,
    /// Sum of the values that would be earned if every submission were on time.
    pub attainable_value: f64,
}

impl KindSummary {
    /// Returns a quantile (0 to 1) of the time to the first start, in milliseconds.
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

/// Elapsed real time of the owner's state machine.
#[derive(Clone, Copy, Debug, Default)]
pub struct OwnerCost {
    /// Total time of all inputs and ticks.
    pub total: Duration,
    /// Time of the ticks alone.
    pub ticks: Duration,
    /// Time of the longest tick.
    pub longest_tick: Duration,
    /// Number of ticks.
    pub tick_count: u64,
}

/// Elapsed real time of the ticks while a range of steps waited.
#[derive(Clone, Copy, Debug, Default)]
pub struct BacklogCost {
    /// Time of the ticks.
    pub ticks: Duration,
    /// Number of ticks.
    pub tick_count: u64,
}

/// Results of a simulation.
#[derive(Clone, Debug, Default)]
pub struct SimulationSummary {
    /// Results by kind of submission.
    pub kinds: Vec<KindSummary>,
    /// Number of start orders that reached an upstream.
    pub starts: u64,
    /// Number of runs that were stopped before they were done.
    pub stopped: u64,
    /// Number of lease renewals sent.
    pub renewals: u64,
    /// Number of stop orders by reason.
    pub stop_orders: BTreeMap<&'static str, u64>,
    /// Number of calls to the policy service, and the total time that they took, in milliseconds.
    pub policy_calls: (u64, u64),
    /// Queries to the policy service and use of their tickets at the last owner, by queue.
    pub query_usage: BTreeMap<Arc<str>, UsageCounts>,
    /// Number of start orders that upstreams rejected because of their ticket.
    pub rejected_tickets: u64,
    /// Utilization of each pool: the mean, over the load period, of the share in use of its most
    /// used resource.
    pub utilization: Vec<(&'static str, f64)>,
    /// Largest difference between a team's ratio of earned to attainable value and that of all
    /// submissions.
    pub unfairness: f64,
    /// Share of the attainable value that each team earned.
    pub team_value_ratios: BTreeMap<Arc<str>, f64>,
    /// Elapsed real time of the owner's state machine.
    pub cost: OwnerCost,
    /// Elapsed real time of the ticks by the number of waiting steps, rounded down to 0 or to 250
    /// times a power of two.
    pub backlog_costs: BTreeMap<usize, BacklogCost>,
    /// Hash of all start orders in the order in which they were sent; two runs with the same one
    /// made the same decisions.
    pub start_digest: u64,
}

impl SimulationSummary {
    /// Returns the ratio of earned to attainable value.
    #[must_use]
    pub fn value_ratio(&self) -> f64 {
        let earned: f64 = self.kinds.iter().map(|kind| kind.earned_value).sum();
        let attainable: f64 = self.kinds.iter().map(|kind| kind.attainable_value).sum();
        earned / attainable.max(f64::MIN_POSITIVE)
    }
}
