//! Interfaces that the platform implements for an entry host, in the sense of ports and adapters.

mod platform_ports;
mod store_port;
mod upstream_port;

pub use platform_ports::{
    OperatorState, PlatformPorts, Port, PortFuture, ReportParser, SubmissionDraft, port,
};
pub use store_port::{
    LeaseGrant, ListPage, ListRequest, StoreError, StoreItem, StorePort, WatchRequest,
    WatchResponse, WriteOutcome, WriteRequest,
};
pub use upstream_port::{OrderAnswer, PolicyRequest, RenewOutcome, UpstreamPort};
