//! Metrics of the connections and requests of clients.

use std::sync::atomic::AtomicU64;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Label that carries a port.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct PortLabel {
    port: &'static str,
}

/// Label that carries a cause.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct CauseLabel {
    cause: &'static str,
}

/// What clients hold of a host, and what was kept from them.
#[derive(Debug, Default)]
pub struct TrafficMetrics {
    request_memory_bytes: Gauge<u64, AtomicU64>,
    open_connections: Family<PortLabel, Gauge<u64, AtomicU64>>,
    connections_closed: Family<CauseLabel, Counter>,
    requests_shed: Family<CauseLabel, Counter>,
}

impl TrafficMetrics {
    /// Adds the metrics to a registry.
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register(
            "request_memory_bytes",
            "Memory held for requests that are not answered yet",
            self.request_memory_bytes.clone(),
        );
        registry.register(
            "open_connections",
            "Connections that clients hold open",
            self.open_connections.clone(),
        );
        registry.register(
            "connections_closed",
            "Connections that were closed early",
            self.connections_closed.clone(),
        );
        registry.register(
            "requests_shed",
            "Requests that were refused or closed because memory for requests ran out",
            self.requests_shed.clone(),
        );
    }

    /// Sets the memory that is held for requests, in bytes.
    pub fn set_request_memory(&self, bytes: usize) {
        self.request_memory_bytes.set(bytes as u64);
    }

    /// Sets the number of open connections of a port.
    pub fn set_open_connections(&self, port: &'static str, count: usize) {
        self.open_connections
            .get_or_create(&PortLabel { port })
            .set(count as u64);
    }

    /// Counts a connection that was closed early.
    pub fn count_closed(&self, cause: &'static str) {
        self.connections_closed
            .get_or_create(&CauseLabel { cause })
            .inc();
    }

    /// Counts a request that was refused or closed.
    pub fn count_shed(&self, cause: &'static str) {
        self.requests_shed
            .get_or_create(&CauseLabel { cause })
            .inc();
    }
}
