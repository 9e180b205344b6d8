//! Model of the systems that an owner schedules for, in virtual time.
//!
//! The owner under test is the real [`lagoonnotch_fleet::owner::OwnerMachine`]. Upstreams keep the
//! published protocol, the policy service takes one call at a time from each host, and commits take
//! as long as the store does. Loads are drawn from a seed.

mod draw;
mod fleet_model;
mod fleet_outcome;
mod job_kind;
mod model_settings;
mod model_upstream;

pub use draw::Draw;
pub use fleet_model::FleetModel;
pub use fleet_outcome::{FleetOutcome, KindOutcome, OwnerCost};
pub use job_kind::{Burst, JobKind, LoadMix, PoolShape};
pub use model_settings::{ModelSettings, TeamLoad, UpstreamFault};
pub use model_upstream::{ModelRun, ModelUpstream};
