//! Gossip messages between entry hosts.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::model::{DomainName, HostName, ShardName};
use crate::shard::ShardSummary;

/// Membership state of an entry host.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// Running, and able to own shards.
    Live,
    /// Shutting down; it acquires no more shards.
    Leaving,
    /// Shut down.
    Left,
}

/// A shard that an entry host owns.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct OwnedShard {
    /// The shard.
    pub shard: ShardName,
    /// Epoch of the ownership.
    pub epoch: u64,
    /// State of the shard that other hosts need.
    pub summary: ShardSummary,
}

/// State of an entry host as published by itself.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct MemberRecord {
    /// Name of the host.
    pub host: HostName,
    /// Incarnation of its daemon process; a restart gives a larger one.
    pub incarnation: u64,
    /// Sequence number within the incarnation, incremented with each heartbeat.
    pub sequence: u64,
    /// Failure domain of the host.
    pub domain: DomainName,
    /// Address that other entry hosts connect to.
    pub peer_address: SocketAddr,
    /// Membership state of the host.
    pub state: MemberState,
    /// Revision of the configuration in force on the host.
    pub revision: u64,
    /// Time since it last read the store's document log, in milliseconds, if it has read it.
    pub watched_ms_ago: Option<u64>,
    /// Shards owned by the host.
    pub shards: Vec<OwnedShard>,
}

/// A heartbeat message.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Heartbeat {
    /// Record of the sender.
    pub from: MemberRecord,
    /// Records of some other hosts, as last received by the sender. Only replies carry them.
    pub known: Vec<MemberRecord>,
}

/// A host's promise not to take over a shard for a limited time.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ShardPromise {
    /// The shard.
    pub shard: ShardName,
    /// Epoch of the owner that receives the promise.
    pub epoch: u64,
    /// How long the promise holds, counted from when it was made, in milliseconds.
    pub promise_ms: u64,
}

/// The reply to a heartbeat.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HeartbeatReply {
    /// Heartbeat of the replying host.
    pub heartbeat: Heartbeat,
    /// Promises made to the sender.
    pub promises: Vec<ShardPromise>,
}
