//! Intervals and limits of gossip.

/// Intervals of the membership protocol, in milliseconds, and limits on its messages.
#[derive(Clone, Copy, Debug)]
pub struct GossipParameters {
    /// Interval between heartbeats.
    pub heartbeat_ms: u64,
    /// Maximum age at which received information still counts as fresh.
    pub fresh_ms: u64,
    /// Duration of a promise.
    pub promise_ms: u64,
    /// Margin for clock drift between hosts, subtracted from received promises.
    pub drift_margin_ms: u64,
    /// Silence after which a host is forgotten while the store responds.
    pub forget_ms: u64,
    /// Number of hosts in other failure domains that receive each heartbeat.
    pub fanout: usize,
    /// While this host owns no shard, only every n-th heartbeat goes to the hosts of its own failure
    /// domain. An owner sends them every heartbeat because it needs their promises.
    pub same_domain_every: u64,
    /// Maximum number of other hosts' records in a reply.
    pub max_records: usize,
    /// Maximum number of records in the reply to a previously unknown host.
    pub max_join_records: usize,
    /// Every n-th heartbeat carries the resources that teams use.
    pub team_usage_every: u64,
    /// Maximum number of teams whose usage one heartbeat carries.
    pub max_usage_teams: usize,
}

impl Default for GossipParameters {
    fn default() -> Self {
        Self {
            heartbeat_ms: 400,
            fresh_ms: 3000,
            promise_ms: 3000,
            drift_margin_ms: 300,
            forget_ms: 15_000,
            fanout: 1,
            same_domain_every: 3,
            max_records: 1,
            max_join_records: 16,
            team_usage_every: 5,
            max_usage_teams: 16,
        }
    }
}
