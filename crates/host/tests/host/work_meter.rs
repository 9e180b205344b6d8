//! Metrics of what keeps the host's thread busy.

use lagoonnotch_host::metrics::{FleetMetrics, WorkKind, measured};

/// Work of every kind must be visible in the metrics under its own label.
#[test]
fn every_kind_of_work_has_a_counter() {
    let text = FleetMetrics::default().encode_text();

    for kind in WorkKind::ALL {
        let counter = format!(
            "lagoonnotch_busy_seconds_total{{work=\"{}\"}}",
            kind.label()
        );
        assert!(text.contains(&counter), "{counter} is missing");
    }
}

/// Measuring must not change what a future returns.
#[tokio::test]
async fn measured_future_returns_its_output() {
    let output = measured(WorkKind::Queries, async {
        tokio::task::yield_now().await;
        7
    });

    assert_eq!(output.await, 7);
}
