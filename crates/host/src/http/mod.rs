//! HTTP client with connection reuse, and HTTP server with graceful shutdown.

mod http_client;
mod http_server;

pub use http_client::{ClientError, ClientRequest, ClientResponse, HttpClient};
pub use http_server::{HttpRequest, HttpResponse, RequestHandler, ServerLimits, serve_http};
