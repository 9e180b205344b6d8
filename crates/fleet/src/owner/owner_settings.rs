//! Timeouts, intervals and margins of the owner.

/// Default of [`OwnerSettings::extended_lease_bound_ms`], in milliseconds.
pub const EXTENDED_LEASE_BOUND_MS: u64 = 12_000;

/// Timeouts, intervals and margins of the owner, from the host's settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OwnerSettings {
    /// Duration of task leases, in milliseconds of the upstream's clock; at most what upstreams
    /// grant.
    pub task_lease_ms: u64,
    /// Longest lease that an upstream grants, in milliseconds of its clock; it shortens longer
    /// ones.
    pub max_lease_ms: u64,
    /// Time by which every lease has expired since the owner last confirmed its ownership with a
    /// commit, in milliseconds of its own clock.
    pub lease_bound_ms: u64,
    /// The same while no host that could succeed the owner reaches the store, in milliseconds.
    /// Leases then survive longer outages.
    pub extended_lease_bound_ms: u64,
    /// How long an upstream may delay its reply to a renewal until a run finishes, in milliseconds.
    pub renewal_wait_ms: u64,
    /// Value of `renewal_wait_ms` for upstreams with urgent runs. It is shorter because a lost
    /// reply delays the final state by up to this time.
    pub urgent_renewal_wait_ms: u64,
    /// Interval between renewals of an upstream without runs, in milliseconds.
    pub idle_renewal_interval_ms: u64,
    /// Delay after a finished run before the next renewal of an upstream without urgent runs, in
    /// milliseconds.
    pub batch_renewal_delay_ms: u64,
    /// Maximum age of an upstream's last reply for a start to be allowed, in milliseconds.
    pub max_contact_age_ms: u64,
    /// Minimum interval between two commits that are not urgent, in milliseconds.
    pub commit_interval_ms: u64,
    /// Maximum interval between two commits, in milliseconds. The other hosts take a silent owner
    /// that commits for busy, not for lost.
    pub progress_interval_ms: u64,
    /// Interval between two stop orders for the same run, in milliseconds.
    pub stop_retry_interval_ms: u64,
    /// How long final states are kept, in milliseconds.
    pub final_state_retention_ms: u64,
    /// Interval between two directory reports of an upstream, in milliseconds.
    pub report_interval_ms: u64,
    /// Margin added to the due time of an occurrence, in milliseconds, because hosts' clocks
    /// differ.
    pub due_margin_ms: u64,
}

impl OwnerSettings {
    /// Returns the time without a stored commit after which the longer bound on leases may apply,
    /// in milliseconds. A host that reaches the store again later still waits for long enough with
    /// the shorter bound.
    #[must_use]
    pub fn lease_extension_delay_ms(&self) -> u64 {
        self.extended_lease_bound_ms - self.lease_bound_ms
    }
}

impl Default for OwnerSettings {
    fn default() -> Self {
        Self {
            task_lease_ms: 6000,
            max_lease_ms: 10_000,
            lease_bound_ms: 8500,
            extended_lease_bound_ms: EXTENDED_LEASE_BOUND_MS,
            renewal_wait_ms: 1000,
            urgent_renewal_wait_ms: 500,
            idle_renewal_interval_ms: 1500,
            batch_renewal_delay_ms: 120,
            max_contact_age_ms: 3500,
            commit_interval_ms: 60,
            progress_interval_ms: 300,
            stop_retry_interval_ms: 400,
            final_state_retention_ms: 150_000,
            report_interval_ms: 1500,
            due_margin_ms: 30,
        }
    }
}
