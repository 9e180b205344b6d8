//! Settings file of a host.

mod fleet_settings;

pub use fleet_settings::{FleetSettings, SettingsError, TimeBounds, read_settings};
