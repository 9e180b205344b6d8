//! Times of ownership, leases and retention.

/// Times that an owner keeps, all in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct ShardTiming {
    /// Time to live of the store's lease.
    pub lease_ttl_ms: u64,
    /// Time between renewals of the store's lease.
    pub lease_renew_ms: u64,
    /// Allowance for clocks that run at different speeds.
    pub drift_margin_ms: u64,
    /// Time for which an upstream permits starts without a renewal.
    pub fence_ms: u64,
    /// Time for which a task runs without a renewal.
    pub task_lease_ms: u64,
    /// Time between renewals of an upstream.
    pub renew_ms: u64,
    /// Silence of the owner after which a standby asks the store.
    pub owner_silence_ms: u64,
    /// Time between a standby's questions to the store.
    pub owner_poll_ms: u64,
    /// Time after which a failed store call is made again.
    pub store_retry_ms: u64,
    /// Time after which an unused ticket is revoked.
    pub ticket_ms: u64,
    /// Time for which an upstream must be missing from the platform's list to count as gone.
    pub gone_ms: u64,
    /// Time for which the end of a quick request is remembered.
    pub quick_retention_ms: u64,
    /// Time for which the end of a job or a non-idempotent request is remembered.
    pub lasting_retention_ms: u64,
    /// Shortest time between two journal writes.
    pub commit_interval_ms: u64,
    /// Longest time that a graceful shutdown waits for the journal.
    pub release_ms: u64,
    /// Number of journal segments after which a snapshot is written.
    pub snapshot_segments: u64,
}

impl Default for ShardTiming {
    fn default() -> Self {
        Self {
            lease_ttl_ms: 3000,
            lease_renew_ms: 1000,
            drift_margin_ms: 300,
            fence_ms: 3000,
            task_lease_ms: 3000,
            renew_ms: 1000,
            owner_silence_ms: 1200,
            owner_poll_ms: 250,
            store_retry_ms: 200,
            ticket_ms: 5000,
            gone_ms: 4000,
            quick_retention_ms: 60_000,
            lasting_retention_ms: 3_600_000,
            commit_interval_ms: 15,
            release_ms: 3000,
            snapshot_segments: 256,
        }
    }
}
