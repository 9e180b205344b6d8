//! Settings of a simulation: the load, the teams and the faults to inject.

use lagoonnotch_fleet::model::ResourceSize;

use crate::LoadMix;

/// A team and its share of the load.
#[derive(Clone, Debug)]
pub struct TeamLoad {
    /// Name of the team.
    pub name: &'static str,
    /// Share of all submissions that the team makes.
    pub submission_share: f64,
    /// Weight of the team in fair sharing when demand exceeds the capacity.
    pub weight: u64,
    /// Upper limit on the resources of its running tasks; 0 of a resource means no limit.
    pub upper_limit: ResourceSize,
}

/// A period in which a share of the upstreams is faulty.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamFault {
    /// Start of the period after the start of the load, in milliseconds.
    pub start_ms: u64,
    /// Length of the period, in milliseconds.
    pub duration_ms: u64,
    /// Share of the upstreams that are faulty.
    pub upstream_share: f64,
    /// Factor by which runs that start in the period take longer; 1 for no slowdown.
    pub duration_factor: f64,
    /// Whether all runs that start in the period fail.
    pub fails_runs: bool,
    /// Whether no message reaches the faulty upstreams.
    pub unreachable: bool,
}

/// Settings of a simulation.
#[derive(Clone, Debug)]
pub struct SimulationSettings {
    /// Pools of upstreams and the submissions to them.
    pub mix: LoadMix,
    /// Teams that make the submissions.
    pub teams: Vec<TeamLoad>,
    /// Number of entry hosts that may call the policy service.
    pub host_count: u32,
    /// Period in which submissions arrive, in milliseconds.
    pub load_ms: u64,
    /// Period after the load in which work may still complete, in milliseconds.
    pub drain_ms: u64,
    /// Faults to inject.
    pub faults: Vec<UpstreamFault>,
    /// Times after the start of the load at which a new owner takes over, in milliseconds.
    pub takeovers_ms: Vec<u64>,
    /// Seed of the random numbers.
    pub seed: u64,
}

impl SimulationSettings {
    /// Returns settings without faults: six teams, a few of them large, without upper limits.
    #[must_use]
    pub fn baseline(mix: LoadMix, seed: u64) -> Self {
        let team = |name, submission_share| TeamLoad {
            name,
            submission_share,
            weight: 10,
            upper_limit: ResourceSize::ZERO,
        };
        Self {
            mix,
            teams: vec![
                team("team-a", 0.35),
                team("team-b", 0.25),
                team("team-c", 0.15),
                team("team-d", 0.1),
                team("team-e", 0.1),
                team("team-f", 0.05),
            ],
            host_count: 6,
            load_ms: 34_000,
            drain_ms: 15_000,
            faults: Vec::new(),
            takeovers_ms: Vec::new(),
            seed,
        }
    }
}
