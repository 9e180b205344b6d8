//! A deployment's store, host list and upstreams.

mod cell;
mod profile;

pub use cell::PlatformCell;
pub use profile::{CellProfile, UpstreamGroup};
