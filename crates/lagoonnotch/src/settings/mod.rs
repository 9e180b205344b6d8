//! Daemon settings.

mod host_settings;

pub use host_settings::{HostSettings, RequestLimits, parse_settings};
