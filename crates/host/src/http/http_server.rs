//! A server that bounds heads and bodies and stops gracefully.

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
use crate::ports::PortFuture;

/// Pause after a failed accept, for example when descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// A whole request.
#[derive(Debug)]
pub struct HttpRequest {
    /// Method.
    pub method: Method,
    /// Path without its query.
    pub path: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Body, or none if it was too long.
    pub body: Option<Bytes>,
    /// When the head had arrived, in milliseconds of the host's clock.
    pub received_at: u64,
}

/// A whole response.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    /// Status code.
    pub status: u16,
    /// JSON body; empty for none.
    pub body: Bytes,
    /// Seconds after which the caller may come again.
    pub retry_after_s: Option<u64>,
}

/// Answers requests.
pub type RequestHandler = Arc<dyn Fn(HttpRequest) -> PortFuture<HttpResponse> + Send + Sync>;

/// Limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Longest body, in bytes.
    pub max_body_bytes: usize,
    /// Longest head, in bytes.
    pub max_header_bytes: usize,
    /// Longest time until a head is complete.
    pub header_timeout: Duration,
}

/// Serves until `stopping` turns true; then each connection ends after its present answer.
pub async fn serve_http(
    listener: TcpListener,
    limits: watch::Receiver<ServerLimits>,
    handler: RequestHandler,
    stopping: watch::Receiver<bool>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let limits = *limits.borrow();
                let connection =
                    serve_connection(stream, limits, handler.clone(), stopping.clone());
                tokio::spawn(connection);
            }
            Err(error) => {
                log::warn!(target: "lagoonnotch", "accept failed: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection(
    stream: TcpStream,
    limits: ServerLimits,
    handler: RequestHandler,
    mut stopping: watch::Receiver<bool>,
) {
    let _ = stream.set_nodelay(true);
    let closing = stopping.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let handler = handler.clone();
        let close = *closing.borrow();
        async move { Ok::<_, Infallible>(answer(request, limits, handler, close).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(limits.max_header_bytes.max(8192))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let stop = async {
        while !*stopping.borrow() {
            if stopping.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    };
    tokio::select! {
        result = connection.as_mut() => {
            if let Err(error) = result {
                log::debug!(target: "lagoonnotch", "connection ended: {error}");
            }
            return;
        }
        () = stop => connection.as_mut().graceful_shutdown(),
    }
    if let Err(error) = connection.await {
        log::debug!(target: "lagoonnotch", "connection ended: {error}");
    }
}

async fn answer(
    request: Request<Incoming>,
    limits: ServerLimits,
    handler: RequestHandler,
    close: bool,
) -> Response<Full<Bytes>> {
    let received_at = now_ms();
    let (head, body) = request.into_parts();
    let body = timeout(
        limits.header_timeout,
        Limited::new(body, limits.max_body_bytes).collect(),
    );
    let body = match body.await {
        Ok(Ok(body)) => Some(body.to_bytes()),
        Ok(Err(_)) => None,
        Err(_) => return build(&HttpResponse::empty(StatusCode::REQUEST_TIMEOUT), true),
    };
    let request = HttpRequest {
        method: head.method,
        path: head.uri.path().to_owned(),
        headers: head.headers,
        body,
        received_at,
    };
    build(&handler(request).await, close)
}

impl HttpResponse {
    /// Makes a response without a body.
    #[must_use]
    pub fn empty(status: StatusCode) -> Self {
        Self {
            status: status.as_u16(),
            body: Bytes::new(),
            retry_after_s: None,
        }
    }
}

fn build(response: &HttpResponse, close: bool) -> Response<Full<Bytes>> {
    let mut builder = Response::builder().status(response.status);
    if !response.body.is_empty() {
        builder = builder.header(CONTENT_TYPE, "application/json");
    }
    if let Some(seconds) = response.retry_after_s {
        builder = builder.header(RETRY_AFTER, seconds);
    }
    if close {
        builder = builder.header(CONNECTION, "close");
    }
    builder
        .body(Full::new(response.body.clone()))
        .unwrap_or_default()
}
