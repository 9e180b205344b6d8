//! Metrics of an entry host.

mod fleet_metrics;
mod traffic_metrics;
mod work_meter;

pub use fleet_metrics::FleetMetrics;
pub use traffic_metrics::TrafficMetrics;
pub use work_meter::{
    WorkKind, busy_time, measure, measured, record_inbox_delay, take_max_inbox_delay_ms,
    timer_delay_ms, watch_timers,
};
