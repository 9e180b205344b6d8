//! Settings file of a host.

mod fleet_settings;
mod memory_limits;

pub use fleet_settings::{FleetSettings, SettingsError, TimeBounds, read_settings};
