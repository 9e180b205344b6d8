//! Reports on what keeps the host busy.

use std::sync::Arc;
use std::time::Duration;

use serde_json::{Map, Value, json};

use crate::clock::now_ms;
use crate::control::HostView;
use crate::event::FleetEvent;
use crate::metrics::{FleetMetrics, WorkKind, busy_time, take_max_inbox_delay_ms, watch_timers};

/// Time between two reports, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 2000;

/// Measures how late timers fire, and reports the work of the owner and of busy hosts, until the
/// task is dropped.
pub(super) async fn report_work(view: HostView, metrics: Arc<FleetMetrics>) {
    let mut reported_at = now_ms();
    let mut max_delay_ms = 0;
    let mut last_times = [Duration::ZERO; WorkKind::ALL.len()];
    watch_timers(|delay_ms| {
        metrics.record_timer_delay(Duration::from_millis(delay_ms).as_secs_f64());
        max_delay_ms = max_delay_ms.max(delay_ms);
        let elapsed_ms = now_ms().saturating_sub(reported_at);
        if elapsed_ms < REPORT_INTERVAL_MS {
            return;
        }
        let times = WorkKind::ALL.map(busy_time);
        let since_last = |(time, last): (&Duration, &Duration)| time.saturating_sub(*last);
        let spent: Vec<_> = times.iter().zip(&last_times).map(since_last).collect();
        let busy: Duration = spent.iter().sum();
        let max_inbox_delay_ms = take_max_inbox_delay_ms();
        if view.owned_epoch().is_some() || busy > Duration::from_millis(elapsed_ms / 2) {
            let mut fields: Map<String, Value> = WorkKind::ALL
                .iter()
                .zip(&spent)
                .map(|(kind, time)| (kind.label().into(), millis(*time)))
                .collect();
            fields.insert("busy_ms".into(), millis(busy));
            fields.insert("elapsed_ms".into(), elapsed_ms.into());
            fields.insert("max_inbox_delay_ms".into(), max_inbox_delay_ms.into());
            fields.insert("max_timer_delay_ms".into(), max_delay_ms.into());
            FleetEvent::WorkReport.emit(json!(fields));
        }
        (reported_at, max_delay_ms, last_times) = (now_ms(), 0, times);
    })
    .await;
}

fn millis(duration: Duration) -> Value {
    u64::try_from(duration.as_millis())
        .unwrap_or(u64::MAX)
        .into()
}
