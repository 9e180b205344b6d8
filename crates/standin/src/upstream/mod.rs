//! An upstream that runs tasks under leases.

mod model;
mod record;
mod server;

pub use model::{TaskAnswer, UpstreamModel};
pub use record::{RunHistory, RunRecord};
pub use server::UpstreamServer;
