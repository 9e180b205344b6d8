//! One host from its start to its end.

mod config_reader;
mod fleet_daemon;
mod store_relay;

pub use fleet_daemon::{ApiCodec, FleetDaemon};
