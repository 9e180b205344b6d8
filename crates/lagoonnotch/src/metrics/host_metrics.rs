//! Metrics of one entry host.

use std::sync::atomic::AtomicU64;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// Upper bound of the smallest latency bucket, in seconds.
const SMALLEST_BUCKET_S: f64 = 0.001;

/// Number of latency buckets; each bound is twice the previous one.
const BUCKET_COUNT: u16 = 16;

/// Label set of the store call counter.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct CallLabel {
    kind: &'static str,
}

/// Label set of the request counter.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct RequestLabel {
    code: &'static str,
}

/// Metrics of one entry host.
#[derive(Debug)]
pub struct HostMetrics {
    registry: Registry,
    store_calls: Family<CallLabel, Counter>,
    requests: Family<RequestLabel, Counter>,
    request_seconds: Histogram,
    document_revision: Gauge<u64, AtomicU64>,
    waiting_tasks: Gauge<u64, AtomicU64>,
    retries: Counter,
}

impl HostMetrics {
    /// Creates and registers all metrics, starting at zero.
    #[must_use]
    pub fn new() -> Self {
        let metrics = Self {
            registry: Registry::with_prefix("lagoonnotch"),
            store_calls: Family::default(),
            requests: Family::default(),
            request_seconds: Histogram::new(exponential_buckets(
                SMALLEST_BUCKET_S,
                2.0,
                BUCKET_COUNT,
            )),
            document_revision: Gauge::default(),
            waiting_tasks: Gauge::default(),
            retries: Counter::default(),
        };
        metrics.register_all()
    }

    fn register_all(mut self) -> Self {
        let registry = &mut self.registry;
        registry.register(
            "store_calls",
            "Calls to the store by kind",
            self.store_calls.clone(),
        );
        registry.register("requests", "Answered calls by code", self.requests.clone());
        let help = "Time from a quick request to its whole answer, in seconds";
        registry.register("request_seconds", help, self.request_seconds.clone());
        registry.register(
            "document_revision",
            "Revision in force",
            self.document_revision.clone(),
        );
        registry.register(
            "waiting_tasks",
            "Tasks that wait in owned shards",
            self.waiting_tasks.clone(),
        );
        registry.register(
            "retries",
            "Placements that were asked for again",
            self.retries.clone(),
        );
        self
    }

    /// Counts a store call of the given kind.
    pub fn count_store_call(&self, kind: &'static str) {
        self.store_calls.get_or_create(&CallLabel { kind }).inc();
    }

    /// Counts an answered request by its result code.
    pub fn count_request(&self, code: &'static str) {
        self.requests.get_or_create(&RequestLabel { code }).inc();
    }

    /// Records the latency of a quick request, in seconds.
    pub fn observe_request(&self, seconds: f64) {
        self.request_seconds.observe(seconds);
    }

    /// Counts a repeated placement request.
    pub fn count_retry(&self) {
        self.retries.inc();
    }

    /// Sets the revision of the configuration in force.
    pub fn set_document_revision(&self, revision: u64) {
        self.document_revision.set(revision);
    }

    /// Sets the number of tasks waiting in owned shards.
    pub fn set_waiting_tasks(&self, waiting: u64) {
        self.waiting_tasks.set(waiting);
    }

    /// Returns the metrics in the Prometheus text format.
    #[must_use]
    pub fn render(&self) -> String {
        let mut text = String::new();
        let _ = encode(&mut text, &self.registry);
        text
    }
}

impl Default for HostMetrics {
    fn default() -> Self {
        Self::new()
    }
}
