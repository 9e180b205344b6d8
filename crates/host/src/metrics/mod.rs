//! Metrics of an entry host.

mod fleet_metrics;

pub use fleet_metrics::FleetMetrics;
