//! Routing of commands to shard owners.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::timeout;

use crate::daemon::{ControlHandle, HostView, RouteTarget, execute_locally};
use crate::model::ShardName;
use crate::peer::PeerClients;
use crate::shard::{ShardCommand, ShardReply};

/// Why a command got no reply.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RouteError {
    /// No owner is known; the command was not sent.
    NoOwner,
    /// The owner did not reply; the command may have taken effect.
    NoReply,
}

/// Sends commands to shard owners, on this host or on a peer.
#[derive(Clone)]
pub(crate) struct ShardRouter {
    pub control: ControlHandle,
    pub peers: PeerClients,
    pub view: watch::Receiver<Arc<HostView>>,
}

impl ShardRouter {
    /// Returns the current view of the cell.
    pub fn view(&self) -> Arc<HostView> {
        Arc::clone(&self.view.borrow())
    }

    /// Sends a command to the owner of a shard.
    ///
    /// # Errors
    /// Fails when no owner is known, or when the owner does not reply in time.
    pub async fn send(
        &self,
        shard: &ShardName,
        command: ShardCommand,
        time_limit: Duration,
    ) -> Result<ShardReply, RouteError> {
        let route = self
            .view()
            .owners
            .get(shard)
            .cloned()
            .ok_or(RouteError::NoOwner)?;
        match route.target {
            RouteTarget::Local => {
                let reply = execute_locally(&self.control, shard.clone(), command);
                timeout(time_limit, reply)
                    .await
                    .map_err(|_| RouteError::NoReply)
            }
            RouteTarget::Peer(address) => {
                let reply = self
                    .peers
                    .command(address, shard.clone(), command, time_limit)
                    .await;
                reply.map_err(|_| RouteError::NoReply)
            }
        }
    }
}
