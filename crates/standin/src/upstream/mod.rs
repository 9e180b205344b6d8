//! A host that runs tasks under leases.

mod model;
mod record;
mod server;

pub use model::{TaskAnswer, UpstreamModel};
pub use record::{RecordedRuns, RunRecord};
pub use server::UpstreamServer;
