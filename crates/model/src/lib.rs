//! Model of the systems that an owner schedules for, in virtual time.
//!
//! The owner under test is the real [`lagoonnotch_fleet::owner::OwnerMachine`]. Upstreams keep the
//! published protocol, the policy service takes one call at a time from each host, and commits take
//! as long as the store does. Loads are drawn from a seed.

mod fleet_simulation;
mod job_kind;
mod random_source;
mod simulated_upstream;
mod simulation_settings;
mod simulation_summary;

pub use fleet_simulation::FleetSimulation;
pub use job_kind::{Burst, JobKind, LoadMix, PoolShape};
pub use random_source::RandomSource;
pub use simulated_upstream::{SimulatedRun, SimulatedUpstream};
pub use simulation_settings::{SimulationSettings, TeamLoad, UpstreamFault};
pub use simulation_summary::{KindSummary, OwnerCost, SimulationSummary};
