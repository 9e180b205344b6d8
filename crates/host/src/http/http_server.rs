//! An HTTP server with limits on headers and bodies, and graceful shutdown.

use std::convert::Infallible;
use std::future::pending;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::clock::now_ms;
use crate::http::body_receiver::{ReceivedBody, receive_body};
use crate::http::connection_state::{BUFFER_BYTES, ConnectionState};
use crate::http::connection_view::{ConnectionPhase, ServerPort};
use crate::http::eviction_order::CloseCause;
use crate::http::response_body::ResponseBody;
use crate::http::shed_order::RoomSeeker;
use crate::http::tracked_stream::TrackedStream;
use crate::http::traffic_limiter::{OpenConnection, ShedCause, TrafficLimiter};
use crate::metrics::{WorkKind, measured};
use crate::ports::PortFuture;

/// Delay after a failed accept, for example when the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Number of attempts to charge the buffers of a connection.
const BUFFER_ATTEMPTS: u32 = 8;

/// Delay after a failed attempt. All attempts together last longer than the grace time
/// (`connection_view.rs`).
const BUFFER_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Seconds after which a refused caller may retry; by then the load balancer sends requests to
/// another host.
const RETRY_AFTER_S: u64 = 1;

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
    /// Maximum time to receive the header, again to receive the body, and without progress of a
    /// response that the client does not read.
    pub receive_timeout: Duration,
    /// Maximum time without a request.
    pub idle_timeout: Duration,
}

/// A server on one port.
#[derive(Clone)]
pub struct HttpServer {
    /// Its port.
    pub port: ServerPort,
    /// Limits of the connections that it accepts.
    pub limits: watch::Receiver<ServerLimits>,
    /// Handles the requests.
    pub handler: RequestHandler,
    /// Once this is true, each connection closes after its current response.
    pub closing: watch::Receiver<bool>,
    /// Limits of what all clients of the host hold.
    pub limiter: TrafficLimiter,
}

impl HttpServer {
    /// Accepts connections until the task is dropped.
    pub async fn serve(self, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, address)) => {
                    let limits = *self.limits.borrow();
                    let opened = self.limiter.open(self.port, address.ip(), limits).await;
                    let Some(connection) = opened else {
                        continue;
                    };
                    let serving = self.clone().serve_connection(stream, connection);
                    // `measured` holds its future twice, so it gets a pointer to this large one.
                    tokio::spawn(measured(WorkKind::Callers, Box::pin(serving)));
                }
                Err(error) => {
                    log::warn!(target: "lagoonnotch", "failed to accept a connection: {error}");
                    self.limiter.evict(None);
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Serves a connection until it ends or must be closed.
    async fn serve_connection(self, stream: TcpStream, connection: OpenConnection) {
        let state = connection.state.clone();
        tokio::select! {
            // A request must not be handed to the handler once its connection must be closed.
            biased;
            () = state.close_requested() => {}
            () = self.wait_and_serve(stream, &state) => {}
        }
    }

    /// Waits for the first bytes, and then serves the connection. What serving needs is allocated
    /// only then, so that a silent connection holds little.
    async fn wait_and_serve(mut self, stream: TcpStream, state: &Arc<ConnectionState>) {
        let _ = stream.set_nodelay(true);
        // The readiness of a new socket does not prove that bytes have arrived.
        let mut first = [0];
        let has_bytes = tokio::select! {
            peeked = stream.peek(&mut first) => peeked.is_ok_and(|bytes| bytes > 0),
            () = close_requested(&mut self.closing) => false,
        };
        if !has_bytes {
            return;
        }
        Box::pin(self.serve_requests(stream, state)).await;
    }

    async fn serve_requests(mut self, stream: TcpStream, state: &Arc<ConnectionState>) {
        if !self.reserve_buffers(state).await {
            self.limiter
                .report_closed(CloseCause::Crowded, self.port, state.address);
            return;
        }
        let stream = TrackedStream {
            stream,
            state: state.clone(),
        };
        let server = self.clone();
        let service = service_fn(move |request: Request<Incoming>| {
            let (server, state) = (server.clone(), state.clone());
            async move { Ok::<_, Infallible>(server.respond(request, state).await) }
        });
        let connection = http1::Builder::new()
            // The limiter closes connections on which headers arrive too slowly.
            .header_read_timeout(None)
            // The smallest read buffer that hyper accepts is 8192 bytes.
            .max_buf_size(state.limits.max_header_bytes.max(8192))
            .serve_connection(TokioIo::new(stream), service);
        tokio::pin!(connection);
        tokio::select! {
            result = connection.as_mut() => {
                log_end(result);
                return;
            }
            () = close_requested(&mut self.closing) => connection.as_mut().graceful_shutdown(),
        }
        log_end(connection.await);
    }

    /// Charges the buffers of a connection; waits for room as long as slow clients take to pass
    /// their grace time. Probes and metrics are served without room, too; their connections are few.
    async fn reserve_buffers(&self, state: &ConnectionState) -> bool {
        if self.port != ServerPort::Callers {
            state.buffers.force(BUFFER_BYTES);
            return true;
        }
        for _ in 0..BUFFER_ATTEMPTS {
            let seeker = RoomSeeker::NewRequest;
            let reserving = self.limiter.reserve(&state.buffers, BUFFER_BYTES, seeker);
            if reserving.await {
                return true;
            }
            sleep(BUFFER_RETRY_DELAY).await;
        }
        false
    }

    async fn respond(
        &self,
        request: Request<Incoming>,
        state: Arc<ConnectionState>,
    ) -> Response<ResponseBody> {
        let received_at = now_ms();
        let close_connection = *self.closing.borrow();
        let (parts, body) = request.into_parts();
        let body = match receive_body(body, &state, &self.limiter).await {
            ReceivedBody::Complete(body) => Some(body),
            ReceivedBody::Unusable => None,
            ReceivedBody::TimedOut => {
                let response = HttpResponse::empty(StatusCode::REQUEST_TIMEOUT);
                return build_response(response, true, state);
            }
            ReceivedBody::NoMemory => return build_response(refusal(), true, state),
        };
        if !state.enter(ConnectionPhase::Handling) {
            // The connection closes before the request is handled.
            pending::<()>().await;
        }
        let mut permit = None;
        if self.port == ServerPort::Callers {
            permit = self.limiter.begin_handling().await;
            if permit.is_none() {
                let held = state.request.bytes();
                self.limiter.report_shed(ShedCause::Busy, &state, held);
                return build_response(refusal(), close_connection, state);
            }
        }
        let request = HttpRequest {
            method: parts.method,
            path: parts.uri.path().to_owned(),
            headers: parts.headers,
            body,
            received_at,
        };
        let response = (self.handler)(request).await;
        drop(permit);
        build_response(response, close_connection, state)
    }
}

/// Waits until the server is closing.
async fn close_requested(closing: &mut watch::Receiver<bool>) {
    if closing.wait_for(|closing| *closing).await.is_err() {
        pending::<()>().await;
    }
}

/// Returns the response to a request of which nothing was handled.
fn refusal() -> HttpResponse {
    HttpResponse {
        retry_after_s: Some(RETRY_AFTER_S),
        ..HttpResponse::empty(StatusCode::SERVICE_UNAVAILABLE)
    }
}

fn log_end(result: hyper::Result<()>) {
    if let Err(error) = result {
        log::debug!(target: "lagoonnotch", "connection closed with an error: {error}");
    }
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

fn build_response(
    response: HttpResponse,
    close_connection: bool,
    state: Arc<ConnectionState>,
) -> Response<ResponseBody> {
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
    let body = ResponseBody::new(response.body, state.clone());
    builder.body(body).unwrap_or_else(|_| {
        // The status is not one of HTTP.
        let mut response = Response::new(ResponseBody::new(Bytes::new(), state));
        *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        response
    })
}
