//! An HTTP client that reuses connections.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout_at};

use crate::metrics::{WorkKind, measured};

/// Maximum number of idle connections per address.
const MAX_IDLE: usize = 8;

/// Maximum time to connect; addresses behind a network partition do not respond.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A request to be sent.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// Address of the server, as `IP:PORT`.
    pub address: Arc<str>,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Additional headers.
    pub headers: Vec<(&'static str, String)>,
    /// Body; empty if there is none.
    pub body: Bytes,
    /// Maximum time until the complete response has arrived.
    pub timeout: Duration,
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct ClientResponse {
    /// Status code.
    pub status: u16,
    /// Body.
    pub body: Bytes,
}

/// Why a request got no response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClientError {
    /// The request was not sent.
    NotSent,
    /// The request was sent and may have been executed.
    NoResponse,
}

/// Idle connections, by address.
type IdleSenders = HashMap<Arc<str>, Vec<SendRequest<Full<Bytes>>>>;

/// Sends requests, and keeps connections open for later ones.
#[derive(Clone, Debug, Default)]
pub struct HttpClient {
    idle: Arc<Mutex<IdleSenders>>,
    opened_count: Arc<AtomicU64>,
}

impl HttpClient {
    /// Sends a request and waits for the complete response.
    ///
    /// # Errors
    ///
    /// Returns [`ClientError::NotSent`] if the request was certainly not executed, and
    /// [`ClientError::NoResponse`] if it may have been.
    pub async fn send(&self, request: ClientRequest) -> Result<ClientResponse, ClientError> {
        let deadline = Instant::now() + request.timeout;
        while let Some(mut sender) = self.take_idle(&request.address) {
            if sender.is_closed() || sender.ready().await.is_err() {
                continue;
            }
            match self.send_on(&mut sender, &request, deadline).await {
                Err(ClientError::NotSent) => {}
                Ok(response) => {
                    self.retain_idle(&request.address, sender);
                    return Ok(response);
                }
                Err(error) => {
                    self.drop_idle(&request.address);
                    return Err(error);
                }
            }
        }
        let mut sender = self.connect(&request.address, deadline).await?;
        let response = self.send_on(&mut sender, &request, deadline).await?;
        self.retain_idle(&request.address, sender);
        Ok(response)
    }

    /// Returns the number of connections opened so far.
    #[must_use]
    pub fn opened_connections(&self) -> u64 {
        self.opened_count.load(Ordering::Relaxed)
    }

    async fn connect(
        &self,
        address: &Arc<str>,
        deadline: Instant,
    ) -> Result<SendRequest<Full<Bytes>>, ClientError> {
        let deadline = deadline.min(Instant::now() + CONNECT_TIMEOUT);
        let stream = timeout_at(deadline, TcpStream::connect(&**address))
            .await
            .map_err(|_| ClientError::NotSent)?
            .map_err(|_| ClientError::NotSent)?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) = handshake(TokioIo::new(stream))
            .await
            .map_err(|_| ClientError::NotSent)?;
        self.opened_count.fetch_add(1, Ordering::Relaxed);
        let driver = async move {
            if let Err(error) = connection.await {
                log::debug!(target: "lagoonnotch", "connection closed with an error: {error}");
            }
        };
        tokio::spawn(measured(WorkKind::Connections, driver));
        Ok(sender)
    }

    async fn send_on(
        &self,
        sender: &mut SendRequest<Full<Bytes>>,
        request: &ClientRequest,
        deadline: Instant,
    ) -> Result<ClientResponse, ClientError> {
        let mut builder = Request::builder()
            .method(request.method.clone())
            .uri(&request.path)
            .header(HOST, &*request.address);
        if !request.body.is_empty() {
            builder = builder.header(CONTENT_TYPE, "application/json");
        }
        for (name, value) in &request.headers {
            builder = builder.header(*name, value);
        }
        let message = builder
            .body(Full::new(request.body.clone()))
            .map_err(|_| ClientError::NotSent)?;
        let exchange = timeout_at(deadline, async {
            let response = sender.send_request(message).await.map_err(|error| {
                if error.is_canceled() {
                    ClientError::NotSent
                } else {
                    ClientError::NoResponse
                }
            })?;
            let status = response.status().as_u16();
            let body = response.into_body().collect().await;
            let body = body.map_err(|_| ClientError::NoResponse)?.to_bytes();
            Ok(ClientResponse { status, body })
        });
        exchange.await.map_err(|_| ClientError::NoResponse)?
    }

    fn take_idle(&self, address: &Arc<str>) -> Option<SendRequest<Full<Bytes>>> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.get_mut(address)?.pop()
    }

    fn retain_idle(&self, address: &Arc<str>, sender: SendRequest<Full<Bytes>>) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let senders = idle.entry(address.clone()).or_default();
        if !sender.is_closed() && senders.len() < MAX_IDLE {
            senders.push(sender);
        }
    }

    fn drop_idle(&self, address: &Arc<str>) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.remove(address);
    }
}
