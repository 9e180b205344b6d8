//! HTTP server with limits and a graceful shutdown.

use std::convert::Infallible;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, watch};
use tokio::time::timeout;

/// Timeout for receiving the headers of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum time that a graceful shutdown waits for open requests.
const DRAIN_TIMEOUT: Duration = Duration::from_mins(1);

/// Response with a complete body.
pub type FullResponse = Response<Full<Bytes>>;

/// Limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Maximum size of the headers of a request, in bytes.
    pub header_bytes: usize,
    /// Maximum number of open connections.
    pub connections: usize,
}

/// HTTP server on one listening socket.
#[derive(Debug)]
pub struct HttpServer {
    /// Listening socket.
    pub listener: TcpListener,
    /// Limits of the server.
    pub limits: ServerLimits,
    /// Becomes true when the server must shut down.
    pub stop: watch::Receiver<bool>,
}

impl HttpServer {
    /// Serves requests until `stop` becomes true, and then completes the open ones.
    pub async fn serve<S, H, F>(mut self, state: Arc<S>, handler: H)
    where
        S: Send + Sync + 'static,
        H: Fn(Arc<S>, Request<Incoming>) -> F + Copy + Send + Sync + 'static,
        F: Future<Output = FullResponse> + Send + 'static,
    {
        let graceful = GracefulShutdown::new();
        let permits = Arc::new(Semaphore::new(self.limits.connections));
        loop {
            let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
                break;
            };
            let stream = tokio::select! {
                accepted = self.listener.accept() => match accepted {
                    Ok((stream, _)) => stream,
                    Err(_) => continue,
                },
                _ = self.stop.wait_for(|stop| *stop) => break,
            };
            let _ = stream.set_nodelay(true);
            let state = Arc::clone(&state);
            let service = service_fn(move |request| {
                let response = handler(Arc::clone(&state), request);
                async move { Ok::<_, Infallible>(response.await) }
            });
            let connection = self
                .builder()
                .serve_connection(TokioIo::new(stream), service)
                .into_owned();
            let connection = graceful.watch(connection);
            tokio::spawn(async move {
                let _ = connection.await;
                drop(permit);
            });
        }
        drop(self.listener);
        let _ = timeout(DRAIN_TIMEOUT, graceful.shutdown()).await;
    }

    fn builder(&self) -> Builder<TokioExecutor> {
        let mut builder = Builder::new(TokioExecutor::new());
        let header_bytes = self.limits.header_bytes;
        builder
            .http1()
            .timer(TokioTimer::new())
            .header_read_timeout(HEADER_TIMEOUT)
            .max_buf_size(header_bytes);
        builder
            .http2()
            .timer(TokioTimer::new())
            .max_header_list_size(u32::try_from(header_bytes).unwrap_or(u32::MAX));
        builder
    }
}
