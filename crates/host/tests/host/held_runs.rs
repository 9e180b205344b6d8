//! Metrics of the runs that an owner holds on silent upstreams.

use lagoonnotch_host::metrics::FleetMetrics;

/// The runs on silent upstreams must be visible in the metrics, and again none once they are
/// released.
#[test]
fn held_runs_have_a_gauge() {
    let metrics = FleetMetrics::default();

    metrics.set_held_runs(3);
    let while_held = metrics.encode_text();
    metrics.set_held_runs(0);
    let released = metrics.encode_text();

    assert!(while_held.contains("lagoonnotch_held_runs 3\n"));
    assert!(released.contains("lagoonnotch_held_runs 0\n"));
}
