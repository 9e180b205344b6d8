//! HTTP plumbing: a client that keeps connections, and a server that stops gracefully.

mod http_client;
mod http_server;

pub use http_client::{ClientError, ClientRequest, ClientResponse, HttpClient};
pub use http_server::{HttpRequest, HttpResponse, RequestHandler, ServerLimits, serve_http};
