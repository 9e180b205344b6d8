//! Times and limits of an owner.

/// Times and limits of an owner, from the host's settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OwnerSettings {
    /// Lease of tasks, in milliseconds of the upstream's clock; at most what upstreams grant.
    pub task_lease_ms: u64,
    /// How long a renewal waits at an upstream for an end, in milliseconds.
    pub renewal_wait_ms: u64,
    /// The same where something urgent runs: an answer that gets lost costs as long.
    pub urgent_renewal_wait_ms: u64,
    /// Time between looks at an upstream that runs nothing, in milliseconds.
    pub idle_renewal_interval_ms: u64,
    /// Time after an end before the next look where nothing urgent runs, in milliseconds.
    pub batch_renewal_delay_ms: u64,
    /// Oldest answer of an upstream with which a start is still allowed, in milliseconds.
    pub max_contact_age_ms: u64,
    /// Time between two commits without a final state, in milliseconds.
    pub commit_interval_ms: u64,
    /// Time between two orders to stop the same run, in milliseconds.
    pub stop_retry_interval_ms: u64,
    /// How long final states are kept, in milliseconds.
    pub final_state_retention_ms: u64,
    /// Time between two reports of an upstream, in milliseconds.
    pub report_interval_ms: u64,
    /// Margin after an occurrence's due time, in milliseconds; hosts' clocks differ.
    pub due_margin_ms: u64,
}

impl Default for OwnerSettings {
    fn default() -> Self {
        Self {
            task_lease_ms: 6000,
            renewal_wait_ms: 1000,
            urgent_renewal_wait_ms: 500,
            idle_renewal_interval_ms: 1500,
            batch_renewal_delay_ms: 120,
            max_contact_age_ms: 3500,
            commit_interval_ms: 60,
            stop_retry_interval_ms: 400,
            final_state_retention_ms: 150_000,
            report_interval_ms: 1500,
            due_margin_ms: 30,
        }
    }
}
