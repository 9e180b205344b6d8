//! Messages of the gossip between entry hosts.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::model::{DomainName, HostName, ShardName};
use crate::shard::ShardSummary;

/// State of an entry host.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// Takes part.
    Live,
    /// Shuts down, and will not own a shard again.
    Leaving,
    /// Has shut down.
    Left,
}

/// A shard that an entry host owns.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct OwnedShard {
    /// The shard.
    pub shard: ShardName,
    /// Epoch of the ownership.
    pub epoch: u64,
    /// What the others need to know of it.
    pub summary: ShardSummary,
}

/// What an entry host says of itself.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct MemberRecord {
    /// Name of the host.
    pub host: HostName,
    /// Number of this run of its daemon; a later run has a larger one.
    pub incarnation: u64,
    /// Grows with each heartbeat of the run.
    pub sequence: u64,
    /// Failure domain of the host.
    pub domain: DomainName,
    /// Address for other entry hosts.
    pub peer_address: SocketAddr,
    /// State of the host.
    pub state: MemberState,
    /// Revision of its configuration.
    pub revision: u64,
    /// Time since it last heard the store's log of documents, in milliseconds, if it watches.
    pub watched_ms_ago: Option<u64>,
    /// Shards that it owns.
    pub shards: Vec<OwnedShard>,
}

/// One side of an exchange.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Heartbeat {
    /// The sender.
    pub from: MemberRecord,
    /// Other hosts as the sender last heard of them.
    pub known: Vec<MemberRecord>,
}

/// A host's word that it will not take a shard over for a while.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ShardPromise {
    /// The shard.
    pub shard: ShardName,
    /// Epoch of the owner that the promise is for.
    pub epoch: u64,
    /// How long the promise holds from its making, in milliseconds.
    pub promise_ms: u64,
}

/// The other side of an exchange.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HeartbeatReply {
    /// The answering host's own heartbeat.
    pub heartbeat: Heartbeat,
    /// What it promises to the sender.
    pub promises: Vec<ShardPromise>,
}
