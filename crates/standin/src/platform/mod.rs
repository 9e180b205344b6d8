//! The store, host list and upstreams of a deployment.

mod profile;
mod standin_platform;

pub use profile::{PlatformProfile, UpstreamGroup};
pub use standin_platform::StandinPlatform;
