//! Membership, gossip and calls between entry hosts.

mod gossip_parameters;
mod heartbeat;
mod member_table;
mod peer_clients;
mod service;
mod summary_selector;

pub use gossip_parameters::GossipParameters;
pub use heartbeat::{
    Heartbeat, HeartbeatReply, MemberRecord, MemberState, OwnedShard, ShardPromise,
};
pub use member_table::{HeartbeatTarget, MemberEntry, MemberTable};
pub use peer_clients::{PeerClients, PeerError};
pub use service::{PeerService, PeerServiceClient, RelayError};
