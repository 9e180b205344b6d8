//! RPC server for other entry hosts.

use std::future::ready;

use futures::StreamExt;
use lagoonnotch_wire::store::{StoreCall, StoreReply};
use tarpc::context::Context;
use tarpc::serde_transport::tcp;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Json;
use tokio::net::TcpListener;
use tokio::sync::oneshot;

use crate::daemon::ControlHandle;
use crate::daemon::control_messages::{CommandMessage, DocumentsQuery, HeartbeatMessage};
use crate::document::LogUpdate;
use crate::model::ShardName;
use crate::peer::{Heartbeat, HeartbeatReply, PeerService, RelayError};
use crate::shard::{Refusal, RefusalCode, ShardCommand, ShardReply};
use crate::store::StoreClient;

/// Maximum size of a message from a peer, in bytes.
const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// Implementation of the peer service; cloned for each connection.
#[derive(Clone)]
pub(super) struct PeerServer {
    pub control: ControlHandle,
    pub store: StoreClient,
}

impl PeerServer {
    /// Serves peer connections until the task is dropped.
    pub async fn serve(self, listener: TcpListener) {
        let Ok(mut incoming) = tcp::listen_on(listener, Json::default).await else {
            return;
        };
        incoming.config_mut().max_frame_length(MAX_FRAME_BYTES);
        while let Some(connection) = incoming.next().await {
            let Ok(transport) = connection else {
                continue;
            };
            let channel = BaseChannel::with_defaults(transport);
            let responses = channel.execute(PeerService::serve(self.clone()));
            tokio::spawn(responses.for_each(|response| {
                tokio::spawn(response);
                ready(())
            }));
        }
    }
}

impl PeerService for PeerServer {
    async fn exchange(self, _: Context, heartbeat: Heartbeat) -> HeartbeatReply {
        match self.control.send(HeartbeatMessage(heartbeat.clone())).await {
            Ok(reply) => reply,
            // The control thread has stopped. The sender ignores its own record.
            Err(_) => HeartbeatReply {
                heartbeat,
                promises: Vec::new(),
            },
        }
    }

    async fn command(self, _: Context, shard: ShardName, request: ShardCommand) -> ShardReply {
        execute_locally(&self.control, shard, request).await
    }

    async fn documents_since(self, _: Context, revision: u64) -> LogUpdate {
        let update = self.control.send(DocumentsQuery(revision)).await;
        update.unwrap_or(LogUpdate {
            config: None,
            documents: Vec::new(),
        })
    }

    async fn relay(self, _: Context, call: StoreCall) -> Result<StoreReply, RelayError> {
        self.store
            .call_directly(&call)
            .await
            .map_err(|_| RelayError)
    }
}

/// Executes a command of a shard that this host may own.
pub(crate) async fn execute_locally(
    control: &ControlHandle,
    shard: ShardName,
    command: ShardCommand,
) -> ShardReply {
    let is_submission = matches!(command, ShardCommand::Submit(_));
    let (reply, receiver) = oneshot::channel();
    let sent = control
        .send(CommandMessage {
            shard,
            command,
            reply,
        })
        .await;
    let detail = "the control thread has stopped";
    let refusal = if is_submission || sent.is_ok() {
        Refusal::unknown(RefusalCode::OutcomeUnknown, detail)
    } else {
        Refusal::not_run(RefusalCode::NotOwner, detail)
    };
    receiver.await.unwrap_or(ShardReply::Refused(refusal))
}
