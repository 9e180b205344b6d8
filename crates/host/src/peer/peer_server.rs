//! Server of the RPC service between hosts.

use std::future::ready;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use lagoonnotch_fleet::owner::QueryOutcome;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::{self, formats::Bincode};
use tarpc::tokio_util::codec::Decoder;
use tokio::net::TcpListener;
use tokio::task::yield_now;

use crate::clock::now_ms;
use crate::control::{ControlHandle, ControlInput, HostView};
use crate::forward::{BatchReceipt, RenewalBatch, RenewalDelegate, RenewalReport};
use crate::metrics::{WorkKind, measured};
use crate::ownership::CLAIM_MEMORY_MS;
use crate::peer::{
    AgedRequest, FrameCodec, HeartbeatReply, HeartbeatRequest, NewSubmission, OpenPeers,
    PeerService, RelayedDecision, SubmissionLookup,
};
use crate::ports::{
    ListPage, ListRequest, PolicyRequest, StoreError, StoreItem, StorePort, UpstreamPort,
    WriteOutcome, WriteRequest,
};

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Handles the calls of other hosts.
#[derive(Clone)]
pub struct PeerServer {
    /// Failure domain of the host.
    pub failure_domain: Arc<str>,
    /// Handle of the control actor.
    pub control: ControlHandle,
    /// Direct access to the store.
    pub store: StorePort,
    /// Shared state of the host.
    pub view: HostView,
    /// Port to the upstreams and the policy service; only the policy query is used here.
    pub upstream: UpstreamPort,
    /// Sends renewals for the owner.
    pub delegate: RenewalDelegate,
    /// Connections to the port.
    pub connections: OpenPeers,
}

impl PeerServer {
    /// Accepts connections until the task is dropped.
    pub async fn serve(self, listener: TcpListener) {
        loop {
            let (stream, address) = match listener.accept().await {
                Ok(accepted) => accepted,
                Err(error) => {
                    log::warn!(target: "lagoonnotch", "failed to accept a peer connection: {error}");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            };
            let _ = stream.set_nodelay(true);
            let (connection, closes_another) = self.connections.open(address.ip());
            if closes_another {
                // The closed connection's task releases its descriptor first.
                yield_now().await;
            }
            let framed = FrameCodec::new(connection.clone()).framed(stream);
            let transport = tokio_serde::Framed::new(framed, Bincode::default());
            let channel = BaseChannel::with_defaults(with_item_types(transport));
            let responses = channel.execute(PeerService::serve(self.clone()));
            let serving = async move {
                let serving = responses.for_each(|response| {
                    tokio::spawn(measured(WorkKind::Peers, response));
                    ready(())
                });
                tokio::select! {
                    () = serving => {}
                    () = connection.closed() => {}
                }
            };
            tokio::spawn(measured(WorkKind::Peers, serving));
        }
    }
}

/// Fixes the item types of a transport, which the compiler can't infer.
fn with_item_types<S, Item, SinkItem>(
    transport: tokio_serde::Framed<S, Item, SinkItem, Bincode<Item, SinkItem>>,
) -> tokio_serde::Framed<S, Item, SinkItem, Bincode<Item, SinkItem>> {
    transport
}

impl PeerService for PeerServer {
    async fn heartbeat(self, _: Context, request: HeartbeatRequest) -> HeartbeatReply {
        let (address, peers_digest) = (request.address.clone(), request.peers_digest);
        self.view.record_heartbeat(address.clone(), now_ms());
        self.control.notify_heartbeat(request).await;
        self.view.heartbeat_reply(&address, peers_digest)
    }

    async fn step_down(self, _: Context, epoch: u64) -> bool {
        self.control.step_down(epoch).await
    }

    async fn notify_submitted(self, _: Context, submissions: Vec<NewSubmission>) -> bool {
        self.control.notify_submitted(submissions).await
    }

    async fn notify_cancelled(self, _: Context, ids: Vec<Arc<str>>) -> Vec<Arc<str>> {
        self.control.notify_cancelled(ids).await
    }

    async fn submission_state(self, _: Context, id: Arc<str>) -> SubmissionLookup {
        self.control.submission_state(id).await
    }

    async fn store_read(self, _: Context, key: String) -> Result<StoreItem, StoreError> {
        if self.view.is_store_unresponsive() {
            return Err(StoreError::NotExecuted);
        }
        (self.store.read)(key).await
    }

    async fn store_list(self, _: Context, request: ListRequest) -> Result<ListPage, StoreError> {
        if self.view.is_store_unresponsive() {
            return Err(StoreError::NotExecuted);
        }
        (self.store.list)(request).await
    }

    async fn store_write(self, _: Context, request: WriteRequest) -> WriteOutcome {
        if self.view.is_store_unresponsive() {
            return WriteOutcome::NotApplied;
        }
        (self.store.write)(request).await
    }

    async fn query_policy(
        self,
        _: Context,
        step: String,
        upstreams: Vec<Arc<str>>,
        timeout_ms: u64,
    ) -> Option<RelayedDecision> {
        let request = PolicyRequest {
            step,
            upstreams,
            timeout_ms,
        };
        match (self.upstream.query_policy)(request).await {
            QueryOutcome::Answered(answer) => Some(RelayedDecision {
                allowed: answer.allowed,
                valid_ms: answer.valid_ms,
            }),
            QueryOutcome::Failed => None,
        }
    }

    async fn revision_requests(self, _: Context) -> Vec<AgedRequest> {
        self.view.revision_log().recent_requests(now_ms())
    }

    async fn failure_domain(self, _: Context) -> Arc<str> {
        self.failure_domain
    }

    async fn forward_renewals(self, _: Context, batch: RenewalBatch) -> BatchReceipt {
        self.delegate.accept(batch)
    }

    async fn store_contact_age(self, _: Context, epoch: u64) -> Option<u64> {
        self.view.contact_age_for(epoch, CLAIM_MEMORY_MS)
    }

    async fn report_renewals(self, _: Context, report: RenewalReport) {
        self.control
            .send(ControlInput::RenewalsReported(report))
            .await;
    }
}
