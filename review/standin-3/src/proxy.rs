//! A proxy in front of the store, which answers some writes not at all and carries them out late.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use eyre::Result;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use crate::http::request_length;
use crate::record::Record;

/// Which writes are carried out late.
#[derive(Clone)]
pub struct LateWrites {
    /// Text that the write contains; `None` for no write.
    marker: Arc<Mutex<Option<String>>>,
    delay: Duration,
    record: Record,
}

impl LateWrites {
    pub fn new(delay: Duration, record: &Record) -> Self {
        Self {
            marker: Arc::default(),
            delay,
            record: record.clone(),
        }
    }

    /// Sets the text that late writes contain.
    pub fn set(&self, marker: Option<&str>) {
        let mut known = self.marker.lock().unwrap_or_else(PoisonError::into_inner);
        *known = marker.map(str::to_owned);
    }

    fn applies_to(&self, request: &[u8]) -> bool {
        let known = self.marker.lock().unwrap_or_else(PoisonError::into_inner);
        let text = String::from_utf8_lossy(request);
        known
            .as_ref()
            .is_some_and(|marker| text.starts_with("POST /-/kv-txn") && text.contains(marker))
    }

    /// Opens an address that passes requests on to the store at `store`.
    pub async fn open_address(&self, store: String) -> Result<String> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?.to_string();
        let late = self.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (late, store) = (late.clone(), store.clone());
                tokio::spawn(async move {
                    let _ = late.serve(stream, store).await;
                });
            }
        });
        Ok(address)
    }

    async fn serve(self, mut caller: TcpStream, address: String) -> Result<()> {
        caller.set_nodelay(true)?;
        let mut store = TcpStream::connect(&address).await?;
        store.set_nodelay(true)?;
        let (mut from_caller, mut to_caller) = caller.split();
        let (mut from_store, mut to_store) = store.split();
        let requests = async {
            let mut bytes = Vec::new();
            loop {
                while let Some(length) = request_length(&bytes) {
                    let request: Vec<u8> = bytes.drain(..length).collect();
                    if !self.applies_to(&request) {
                        to_store.write_all(&request).await?;
                        continue;
                    }
                    self.record
                        .line("store: a write is not answered, and is carried out late");
                    let (late, address) = (self.clone(), address.clone());
                    tokio::spawn(async move {
                        sleep(late.delay).await;
                        let _ = late.carry_out(&address, &request).await;
                    });
                    // A connection on which a response is lost returns nothing further.
                    while from_caller.read_buf(&mut bytes).await? > 0 {
                        bytes.clear();
                    }
                    return Ok(());
                }
                if from_caller.read_buf(&mut bytes).await? == 0 {
                    return Ok::<(), eyre::Report>(());
                }
            }
        };
        let responses = async {
            tokio::io::copy(&mut from_store, &mut to_caller).await?;
            Ok::<(), eyre::Report>(())
        };
        tokio::select! {
            outcome = requests => outcome,
            outcome = responses => outcome,
        }
    }

    async fn carry_out(&self, address: &str, request: &[u8]) -> Result<()> {
        let mut store = TcpStream::connect(address).await?;
        store.write_all(request).await?;
        let mut answer = vec![0; 256];
        let length = store.read(&mut answer).await?;
        let text = String::from_utf8_lossy(&answer[..length]);
        let status = text.lines().next().unwrap_or_default();
        self.record
            .line(&format!("store: the late write is carried out: {status}"));
        Ok(())
    }
}
