//! The store, host list and upstreams of a deployment.

mod cell;
mod profile;

pub use cell::PlatformCell;
pub use profile::{CellProfile, UpstreamGroup};
