//! Reports of what the owner makes of the policy service's answers.

use std::collections::BTreeMap;
use std::sync::Arc;

use lagoonnotch_fleet::owner::UsageCounts;
use serde_json::{Value, json};

use crate::event::FleetEvent;
use crate::metrics::FleetMetrics;

/// Interval between two log lines, in milliseconds.
const LOG_INTERVAL_MS: u64 = 5000;

/// Interval between two updates of the metrics, in milliseconds.
const METRICS_INTERVAL_MS: u64 = 1000;

/// Counts by queue.
type CountsByQueue = BTreeMap<Arc<str>, UsageCounts>;

/// Passes an owner's counts of queries and tickets on to the log and the metrics.
#[derive(Debug, Default)]
pub struct QueryUsageLog {
    logged: CountsByQueue,
    logged_at: u64,
    measured: CountsByQueue,
    measured_at: u64,
}

impl QueryUsageLog {
    /// Logs what was counted since the last line, and adds it to the metrics, whenever the
    /// intervals have passed; `now` in milliseconds.
    pub fn update(&mut self, now: u64, counts: &CountsByQueue, metrics: &FleetMetrics) {
        if now >= self.measured_at + METRICS_INTERVAL_MS {
            self.measured_at = now;
            for (_, added) in added_counts(counts, &mut self.measured) {
                metrics.add_query_usage(&added);
            }
        }
        if now >= self.logged_at + LOG_INTERVAL_MS {
            self.logged_at = now;
            let added = added_counts(counts, &mut self.logged);
            if !added.is_empty() {
                FleetEvent::QueryUsage.emit(json!({"queues": usage_fields(&added)}));
            }
        }
    }
}

/// Returns what was counted beyond the earlier counts, and replaces them; leaves out queues
/// without changes.
fn added_counts(counts: &CountsByQueue, earlier: &mut CountsByQueue) -> CountsByQueue {
    let mut changes = CountsByQueue::new();
    for (queue, count) in counts {
        let before = earlier.insert(queue.clone(), *count).unwrap_or_default();
        if before != *count {
            changes.insert(queue.clone(), count.since(&before));
        }
    }
    changes
}

/// Returns the fields of a log line, by queue.
fn usage_fields(counts: &CountsByQueue) -> BTreeMap<Arc<str>, Value> {
    let fields = counts.iter().map(|(queue, count)| {
        let fields = json!({
            "queries": count.sent.queries,
            "work_ms": count.sent.work_ms,
            "started": count.started.queries,
            "started_work_ms": count.started.work_ms,
            "unused": count.unused.queries,
            "unused_work_ms": count.unused.work_ms,
            "failed": count.failed.queries,
            "failed_work_ms": count.failed.work_ms,
            "tickets_used": count.tickets_used,
            "tickets_expired": count.tickets_expired,
            "tickets_no_room": count.tickets_no_room,
            "starts": count.starts,
            "starts_per_work_s": count.starts_per_work_second(),
        });
        (queue.clone(), fields)
    });
    fields.collect()
}
