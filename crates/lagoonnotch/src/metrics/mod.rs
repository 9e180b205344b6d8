//! Prometheus metrics, listed in `docs/METRICS.md`.

mod host_metrics;

pub use host_metrics::HostMetrics;
