//! The store, host list and upstreams of a cell, as each deployment has them.

mod profile;
mod standin_platform;

pub use profile::{PlatformProfile, UpstreamGroup};
pub use standin_platform::StandinPlatform;
