//! HTTP client with connection reuse, and HTTP server with limits and graceful shutdown.

mod body_receiver;
mod byte_budget;
mod connection_state;
mod connection_table;
mod connection_view;
mod eviction_order;
mod http_client;
mod http_server;
mod response_body;
mod shed_order;
mod tracked_stream;
mod traffic_limiter;

pub use byte_budget::{ByteBudget, ByteCharge, ORDINARY_BYTES};
pub use connection_view::{
    ConnectionPhase, ConnectionView, GRACE_MS, SLOW_BYTES_PER_S, ServerPort,
};
pub use eviction_order::{CloseCause, connections_to_evict, expired_cause};
pub use http_client::{ClientError, ClientRequest, ClientResponse, HttpClient};
pub use http_server::{HttpRequest, HttpResponse, HttpServer, RequestHandler, ServerLimits};
pub use shed_order::{RoomSeeker, connections_to_shed};
pub use traffic_limiter::{OpenConnection, TrafficLimiter, TrafficLimits};
