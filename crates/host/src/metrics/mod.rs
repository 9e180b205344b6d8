//! Metrics of an entry host.

mod fleet_metrics;
mod work_meter;

pub use fleet_metrics::FleetMetrics;
pub use work_meter::{WorkKind, busy_time, measure, measured, timer_delay_ms, watch_timers};
