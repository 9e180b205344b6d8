//! RPC service between entry hosts.
#![allow(missing_docs)]

use lagoonnotch_wire::store::{StoreCall, StoreReply};
use serde::{Deserialize, Serialize};

use crate::document::LogUpdate;
use crate::model::ShardName;
use crate::peer::{Heartbeat, HeartbeatReply};
use crate::shard::{ShardCommand, ShardReply};

/// Error of a relayed store call that got no reply.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RelayError;

/// RPC service that an entry host offers to its peers.
#[tarpc::service]
pub trait PeerService {
    /// Exchanges heartbeats.
    async fn exchange(heartbeat: Heartbeat) -> HeartbeatReply;

    /// Executes a command of a shard that this host owns.
    async fn command(shard: ShardName, request: ShardCommand) -> ShardReply;

    /// Returns the documents after a revision.
    async fn documents_since(revision: u64) -> LogUpdate;

    /// Makes a store call on behalf of a host that cannot reach the store.
    async fn relay(call: StoreCall) -> Result<StoreReply, RelayError>;
}
