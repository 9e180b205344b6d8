//! Names, resource sizes and identifiers that all modules share.

mod identity;
mod names;
mod resource;

pub use identity::{AttemptId, TaskId, WorkId};
pub use names::{DomainName, HostName, ShardName, TeamName, UpstreamName, WorkloadName};
pub use resource::ResourceSize;
