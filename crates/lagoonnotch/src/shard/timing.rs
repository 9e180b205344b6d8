//! Timeouts and intervals of ownership, leases and retention.

/// Timeouts and intervals of a shard's owner, in milliseconds, and the frequency of snapshots.
#[derive(Clone, Copy, Debug)]
pub struct ShardTiming {
    /// Time to live of the store's lease.
    pub lease_ttl_ms: u64,
    /// Interval between renewals of the store's lease.
    pub lease_renew_interval_ms: u64,
    /// Safety margin for clocks that run at different speeds.
    pub clock_drift_margin_ms: u64,
    /// Time for which an upstream accepts starts without a renewal of its fence.
    pub fence_ttl_ms: u64,
    /// Time for which a task may run without a renewal of its lease.
    pub task_lease_ttl_ms: u64,
    /// Interval between renewals of an upstream.
    pub upstream_renew_interval_ms: u64,
    /// Time without news from the owner after which a standby polls the store.
    pub owner_silence_timeout_ms: u64,
    /// Interval at which a standby polls the store for an owner.
    pub owner_poll_interval_ms: u64,
    /// Delay before a failed store call is repeated.
    pub store_retry_delay_ms: u64,
    /// Time after which an unused ticket is revoked.
    pub ticket_timeout_ms: u64,
    /// Time for which the platform's list must lack an upstream before it counts as gone.
    pub missing_timeout_ms: u64,
    /// Time for which the end of an idempotent quick request is remembered.
    pub quick_retention_ms: u64,
    /// Time for which the end of a job or a non-idempotent request is remembered.
    pub durable_retention_ms: u64,
    /// Minimum interval between two journal writes.
    pub commit_interval_ms: u64,
    /// Maximum time that a graceful shutdown waits for pending journal writes.
    pub release_timeout_ms: u64,
    /// Number of journal segments after which a snapshot is written.
    pub segments_per_snapshot: u64,
}

impl Default for ShardTiming {
    fn default() -> Self {
        Self {
            lease_ttl_ms: 3000,
            lease_renew_interval_ms: 1000,
            clock_drift_margin_ms: 300,
            fence_ttl_ms: 3000,
            task_lease_ttl_ms: 3000,
            upstream_renew_interval_ms: 1000,
            owner_silence_timeout_ms: 1200,
            owner_poll_interval_ms: 250,
            store_retry_delay_ms: 200,
            ticket_timeout_ms: 5000,
            missing_timeout_ms: 4000,
            quick_retention_ms: 60_000,
            durable_retention_ms: 3_600_000,
            commit_interval_ms: 15,
            release_timeout_ms: 3000,
            segments_per_snapshot: 256,
        }
    }
}
