//! An HTTP server with limits on headers and bodies, and graceful shutdown.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::timeout;

use crate::clock::now_ms;
use crate::metrics::{WorkKind, measured};
use crate::ports::PortFuture;

/// Delay after a failed accept, for example when the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// A complete request.
#[derive(Debug)]
pub struct HttpRequest {
    /// Method.
    pub method: Method,
    /// Path without the query.
    pub path: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Body; `None` if it exceeds the limit or could not be received.
    pub body: Option<Bytes>,
    /// When the header had arrived, in milliseconds of the host's clock.
    pub received_at: u64,
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    /// Status code.
    pub status: u16,
    /// JSON body; empty if there is none.
    pub body: Bytes,
    /// Value of the `Retry-After` header, in seconds.
    pub retry_after_s: Option<u64>,
}

/// Handles a request.
pub type RequestHandler = Arc<dyn Fn(HttpRequest) -> PortFuture<HttpResponse> + Send + Sync>;

/// Limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Maximum size of the body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum size of the header, in bytes.
    pub max_header_bytes: usize,
    /// Maximum time to receive the header, and again to receive the body.
    pub receive_timeout: Duration,
}

/// Accepts connections. Once `closing` is true, each connection closes after its current response.
pub async fn serve_http(
    listener: TcpListener,
    limits: watch::Receiver<ServerLimits>,
    handler: RequestHandler,
    closing: watch::Receiver<bool>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let limits = *limits.borrow();
                let connection = serve_connection(stream, limits, handler.clone(), closing.clone());
                tokio::spawn(measured(WorkKind::Callers, connection));
            }
            Err(error) => {
                log::warn!(target: "lagoonnotch", "failed to accept a connection: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(
    stream: TcpStream,
    limits: ServerLimits,
    handler: RequestHandler,
    mut closing: watch::Receiver<bool>,
) {
    let _ = stream.set_nodelay(true);
    let response_closing = closing.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let handler = handler.clone();
        let close_connection = *response_closing.borrow();
        async move { Ok::<_, Infallible>(respond(request, limits, handler, close_connection).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.receive_timeout)
        // The smallest read buffer that hyper accepts is 8192 bytes.
        .max_buf_size(limits.max_header_bytes.max(8192))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let close_requested = async {
        while !*closing.borrow() {
            if closing.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    };
    tokio::select! {
        result = connection.as_mut() => {
            if let Err(error) = result {
                log::debug!(target: "lagoonnotch", "connection closed with an error: {error}");
            }
            return;
        }
        () = close_requested => connection.as_mut().graceful_shutdown(),
    }
    if let Err(error) = connection.await {
        log::debug!(target: "lagoonnotch", "connection closed with an error: {error}");
    }
}

async fn respond(
    request: Request<Incoming>,
    limits: ServerLimits,
    handler: RequestHandler,
    close_connection: bool,
) -> Response<Full<Bytes>> {
    let received_at = now_ms();
    let (parts, body) = request.into_parts();
    let body = timeout(
        limits.receive_timeout,
        Limited::new(body, limits.max_body_bytes).collect(),
    );
    let body = match body.await {
        Ok(Ok(body)) => Some(body.to_bytes()),
        Ok(Err(_)) => None,
        Err(_) => return build_response(&HttpResponse::empty(StatusCode::REQUEST_TIMEOUT), true),
    };
    let request = HttpRequest {
        method: parts.method,
        path: parts.uri.path().to_owned(),
        headers: parts.headers,
        body,
        received_at,
    };
    build_response(&handler(request).await, close_connection)
}

impl HttpResponse {
    /// Creates a response without a body.
    #[must_use]
    pub fn empty(status: StatusCode) -> Self {
        Self {
            status: status.as_u16(),
            body: Bytes::new(),
            retry_after_s: None,
        }
    }
}

fn build_response(response: &HttpResponse, close_connection: bool) -> Response<Full<Bytes>> {
    let mut builder = Response::builder().status(response.status);
    if !response.body.is_empty() {
        builder = builder.header(CONTENT_TYPE, "application/json");
    }
    if let Some(seconds) = response.retry_after_s {
        builder = builder.header(RETRY_AFTER, seconds);
    }
    if close_connection {
        builder = builder.header(CONNECTION, "close");
    }
    builder
        .body(Full::new(response.body.clone()))
        .unwrap_or_default()
}
