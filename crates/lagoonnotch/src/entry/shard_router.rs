//! Commands to the owners of shards, wherever they are.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::timeout;

use crate::daemon::{CellView, ControlHandle, RouteTarget, execute_locally};
use crate::model::ShardName;
use crate::peer::PeerClients;
use crate::shard::{ShardCommand, ShardReply};

/// Why a command has no reply.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RouteError {
    /// No owner is known; the command was not sent.
    NoOwner,
    /// The owner did not answer; the command may have taken effect.
    NoAnswer,
}

/// Sends commands to owners.
#[derive(Clone)]
pub(crate) struct ShardRouter {
    pub control: ControlHandle,
    pub peers: PeerClients,
    pub view: watch::Receiver<Arc<CellView>>,
}

impl ShardRouter {
    /// Returns what is known of the cell.
    pub fn view(&self) -> Arc<CellView> {
        Arc::clone(&self.view.borrow())
    }

    /// Sends a command to the owner of a shard.
    ///
    /// # Errors
    /// Fails when no owner is known or when it does not answer in time.
    pub async fn send(
        &self,
        shard: &ShardName,
        request: ShardCommand,
        time: Duration,
    ) -> Result<ShardReply, RouteError> {
        let route = self
            .view()
            .owners
            .get(shard)
            .cloned()
            .ok_or(RouteError::NoOwner)?;
        match route.target {
            RouteTarget::Local => {
                let reply = execute_locally(&self.control, shard.clone(), request);
                timeout(time, reply).await.map_err(|_| RouteError::NoAnswer)
            }
            RouteTarget::Peer(address) => {
                let reply = self
                    .peers
                    .command(address, shard.clone(), request, time)
                    .await;
                reply.map_err(|_| RouteError::NoAnswer)
            }
        }
    }
}
