//! Serves the other hosts.

use std::future::ready;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use lagoonnotch_fleet::owner::QueryOutcome;
use tarpc::context::Context;
use tarpc::serde_transport::Transport;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::Decoder;
use tarpc::tokio_util::codec::length_delimited::LengthDelimitedCodec;
use tokio::net::TcpListener;

use crate::control::{ControlLink, HostView};
use crate::peer::{FleetPeer, HelloCall, HelloReply, NewSubmission, PeerAdvice, PeerState};
use crate::ports::{
    AskCall, ListCall, ListPage, StoreFault, StoreItem, StorePort, UpstreamPort, WriteCall,
    WriteOutcome,
};

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Longest message of a peer, in bytes.
const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

/// Serves one peer connection.
#[derive(Clone)]
pub struct PeerServer {
    /// The control actor.
    pub control: ControlLink,
    /// The store, reached directly.
    pub store: StorePort,
    /// What the host knows.
    pub view: HostView,
    /// The policy service.
    pub upstream: UpstreamPort,
}

impl PeerServer {
    /// Serves until the task is dropped.
    pub async fn serve(self, listener: TcpListener) {
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    log::warn!(target: "lagoonnotch", "accept of a peer failed: {error}");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                    continue;
                }
            };
            let _ = stream.set_nodelay(true);
            let mut codec = LengthDelimitedCodec::new();
            codec.set_max_frame_length(MAX_FRAME_BYTES);
            let framed = codec.framed(stream);
            let transport = tarpc::serde_transport::new(framed, Bincode::default());
            let channel = BaseChannel::with_defaults(typed(transport));
            let responses = channel.execute(FleetPeer::serve(self.clone()));
            tokio::spawn(responses.for_each(|response| {
                tokio::spawn(response);
                ready(())
            }));
        }
    }
}

/// Fixes the types of a transport that the compiler can't infer.
fn typed<S, Item, SinkItem>(
    transport: Transport<S, Item, SinkItem, Bincode<Item, SinkItem>>,
) -> Transport<S, Item, SinkItem, Bincode<Item, SinkItem>> {
    transport
}

impl FleetPeer for PeerServer {
    async fn hello(self, _: Context, call: HelloCall) -> HelloReply {
        self.control.greeted(call).await;
        self.view.hello_reply()
    }

    async fn yield_to(self, _: Context, epoch: u64) -> bool {
        self.control.yield_to(epoch).await
    }

    async fn submitted(self, _: Context, submissions: Vec<NewSubmission>) -> bool {
        self.control.submitted(submissions).await
    }

    async fn cancelled(self, _: Context, ids: Vec<Arc<str>>) -> bool {
        self.control.cancelled(ids).await
    }

    async fn state_of(self, _: Context, id: Arc<str>) -> PeerState {
        self.control.state_of(id).await
    }

    async fn store_read(self, _: Context, key: String) -> Result<StoreItem, StoreFault> {
        if self.view.store_is_silent() {
            return Err(StoreFault::NotDone);
        }
        (self.store.read)(key).await
    }

    async fn store_list(self, _: Context, call: ListCall) -> Result<ListPage, StoreFault> {
        if self.view.store_is_silent() {
            return Err(StoreFault::NotDone);
        }
        (self.store.list)(call).await
    }

    async fn store_write(self, _: Context, call: WriteCall) -> WriteOutcome {
        if self.view.store_is_silent() {
            return WriteOutcome::NotDone;
        }
        (self.store.write)(call).await
    }

    async fn ask(
        self,
        _: Context,
        step: String,
        upstreams: Vec<Arc<str>>,
        timeout_ms: u64,
    ) -> Option<PeerAdvice> {
        let call = AskCall {
            step,
            upstreams,
            timeout_ms,
        };
        match (self.upstream.ask)(call).await {
            QueryOutcome::Answered(answer) => Some(PeerAdvice {
                allowed: answer.allowed,
                valid_ms: answer.valid_ms,
            }),
            QueryOutcome::Failed => None,
        }
    }
}
