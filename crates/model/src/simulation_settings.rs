//! What a model is made of, and what goes wrong in it.

use lagoonnotch_fleet::model::ResourceSize;

use crate::LoadMix;

/// A team and its part of the load.
#[derive(Clone, Debug)]
pub struct TeamLoad {
    /// Name of the team.
    pub name: &'static str,
    /// Its part of all submissions.
    pub submission_share: f64,
    /// Its share when the fleet is full.
    pub weight: u64,
    /// What it may have running at a time; 0 of a resource means no limit.
    pub upper_limit: ResourceSize,
}

/// A time in which a share of the upstreams is faulty.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamFault {
    /// Begin, in milliseconds.
    pub start_ms: u64,
    /// Length, in milliseconds.
    pub duration_ms: u64,
    /// Share of each pool's upstreams.
    pub upstream_share: f64,
    /// Factor by which runs that start meanwhile take longer; 1 for none.
    pub duration_factor: f64,
    /// Whether all runs that start meanwhile fail.
    pub fails_runs: bool,
    /// Whether no message reaches them.
    pub unreachable: bool,
}

/// What a model is made of.
#[derive(Clone, Debug)]
pub struct SimulationSettings {
    /// Pools and submissions.
    pub mix: LoadMix,
    /// Teams.
    pub teams: Vec<TeamLoad>,
    /// Hosts that may ask the policy service.
    pub host_count: u32,
    /// Time in which submissions come, in milliseconds.
    pub load_ms: u64,
    /// Time after that in which work may be completed, in milliseconds.
    pub drain_ms: u64,
    /// Faults.
    pub faults: Vec<UpstreamFault>,
    /// Times at which another owner takes over, in milliseconds.
    pub takeovers_ms: Vec<u64>,
    /// Seed of all draws.
    pub seed: u64,
}

impl SimulationSettings {
    /// Makes a baseline model of a mix: six teams, a few of them large, without upper limits.
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
