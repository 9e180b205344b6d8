//! A client that keeps idle connections.

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

/// Most idle connections to one address.
const MAX_IDLE: usize = 8;

/// Longest time to connect; addresses behind a partition do not answer.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A call to be sent.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// Address as IP and port.
    pub address: Arc<str>,
    /// Method.
    pub method: Method,
    /// Path with its query.
    pub path: String,
    /// Headers beside those of the protocol.
    pub headers: Vec<(&'static str, String)>,
    /// Body; empty for none.
    pub body: Bytes,
    /// Longest time until the whole answer is there.
    pub timeout: Duration,
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct ClientResponse {
    /// Status code.
    pub status: u16,
    /// Body.
    pub body: Bytes,
}

/// A call without an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClientError {
    /// Nothing was sent.
    NotSent,
    /// It was sent and may be carried out.
    NoResponse,
}

/// Idle connections by address.
type IdleSenders = HashMap<Arc<str>, Vec<SendRequest<Full<Bytes>>>>;

/// Sends calls and keeps connections for the next ones.
#[derive(Clone, Debug, Default)]
pub struct HttpClient {
    idle: Arc<Mutex<IdleSenders>>,
    opened: Arc<AtomicU64>,
}

impl HttpClient {
    /// Sends a call and waits for its whole answer.
    ///
    /// # Errors
    ///
    /// Says whether the call may have been carried out.
    pub async fn send(&self, request: ClientRequest) -> Result<ClientResponse, ClientError> {
        let deadline = Instant::now() + request.timeout;
        while let Some(mut sender) = self.take_idle(&request.address) {
            if sender.is_closed() || sender.ready().await.is_err() {
                continue;
            }
            match self.send_on(&mut sender, &request, deadline).await {
                Err(ClientError::NotSent) => {}
                Ok(answer) => {
                    self.keep(&request.address, sender);
                    return Ok(answer);
                }
                Err(fault) => {
                    self.drop_idle(&request.address);
                    return Err(fault);
                }
            }
        }
        let mut sender = self.connect(&request.address, deadline).await?;
        let answer = self.send_on(&mut sender, &request, deadline).await?;
        self.keep(&request.address, sender);
        Ok(answer)
    }

    /// Returns how many connections were opened.
    #[must_use]
    pub fn opened_connections(&self) -> u64 {
        self.opened.load(Ordering::Relaxed)
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
        self.opened.fetch_add(1, Ordering::Relaxed);
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!(target: "lagoonnotch", "connection ended: {error}");
            }
        });
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
        let answer = timeout_at(deadline, async {
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
        answer.await.map_err(|_| ClientError::NoResponse)?
    }

    fn take_idle(&self, address: &Arc<str>) -> Option<SendRequest<Full<Bytes>>> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.get_mut(address)?.pop()
    }

    fn keep(&self, address: &Arc<str>, sender: SendRequest<Full<Bytes>>) {
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
