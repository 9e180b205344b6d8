//! Times and bounds of gossip.

/// Times of membership, in milliseconds, and bounds of its messages.
#[derive(Clone, Copy, Debug)]
pub struct GossipParameters {
    /// Time between two heartbeats.
    pub heartbeat_ms: u64,
    /// Age up to which what was heard counts as fresh.
    pub fresh_ms: u64,
    /// Time for which a promise holds.
    pub promise_ms: u64,
    /// Allowance for clocks that run at different speeds.
    pub drift_margin_ms: u64,
    /// Silence after which a host is forgotten while the store answers.
    pub forget_ms: u64,
    /// Number of hosts of other failure domains that each heartbeat goes to.
    pub fanout: usize,
    /// Number of heartbeats of which one goes to the hosts of the own failure domain, when this
    /// host owns no shard; an owner sends them every one, since it needs their promises.
    pub same_domain_every: u64,
    /// Most records of other hosts in one answer.
    pub records: usize,
    /// Most records in the answer to a host that was not known.
    pub join_records: usize,
    /// Number of heartbeats of which one tells what runs for teams.
    pub team_totals_every: u64,
    /// Most teams that one heartbeat tells of.
    pub max_teams: usize,
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
            records: 1,
            join_records: 16,
            team_totals_every: 5,
            max_teams: 16,
        }
    }
}
