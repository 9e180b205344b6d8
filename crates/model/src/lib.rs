//! Discrete-event simulation of the fleet that an owner schedules, in virtual time.
//!
//! The scheduler under test is the real [`lagoonnotch_fleet::owner::OwnerMachine`]. Simulated
//! upstreams follow the published protocol, the policy service handles one call at a time from each
//! host, and commits take as long as a write to the store. Loads are generated from a seed.

mod accelerator_mix;
mod fleet_simulation;
mod random_source;
mod simulated_upstream;
mod simulation_settings;
mod simulation_summary;
mod submission_kind;

pub use fleet_simulation::FleetSimulation;
pub use random_source::RandomSource;
pub use simulated_upstream::{SimulatedRun, SimulatedUpstream};
pub use simulation_settings::{SimulationSettings, TeamLoad, UpstreamFault};
pub use simulation_summary::{BacklogCost, KindSummary, OwnerCost, SimulationSummary};
pub use submission_kind::{Burst, LoadMix, PoolShape, SubmissionKind};
