//! Startup, background tasks and shutdown of a host.

mod config_reader;
mod fleet_daemon;
mod store_relay;
mod work_report;

pub use fleet_daemon::{ApiCodec, FleetDaemon, owner_settings};
