//! HTTP helpers shared by the stand-in servers.

use std::convert::Infallible;
use std::future::Future;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto::Builder;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;

/// Response with the whole body in memory.
pub(crate) type BufferedResponse = Response<Full<Bytes>>;

/// Accepts connections and serves their requests until the future is dropped.
pub(crate) async fn serve_requests<S, H, F>(listener: TcpListener, state: Arc<S>, handler: H)
where
    S: Send + Sync + 'static,
    H: Fn(Arc<S>, Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = BufferedResponse> + Send + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let state = Arc::clone(&state);
        let handler = handler.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let response = handler(Arc::clone(&state), request);
                async move { Ok::<_, Infallible>(response.await) }
            });
            let builder = Builder::new(TokioExecutor::new());
            let _ = builder
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

/// Parses a JSON body; returns `None` if it can't be read or parsed.
pub(crate) async fn read_json<T: DeserializeOwned>(body: Incoming) -> Option<T> {
    let bytes = body.collect().await.ok()?.to_bytes();
    serde_json::from_slice(&bytes).ok()
}

/// Builds a response with a JSON body.
pub(crate) fn json_response<T: Serialize>(value: &T) -> BufferedResponse {
    let body = serde_json::to_vec(value).unwrap_or_default();
    Response::new(Full::new(Bytes::from(body)))
}

/// Builds a response with a status and an empty body.
pub(crate) fn status_response(status: StatusCode) -> BufferedResponse {
    let mut response = Response::new(Full::new(Bytes::new()));
    *response.status_mut() = status;
    response
}
