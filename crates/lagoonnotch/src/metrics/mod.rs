//! Metrics for Prometheus; `docs/METRICS.md` is their catalogue.

mod host_metrics;

pub use host_metrics::HostMetrics;
