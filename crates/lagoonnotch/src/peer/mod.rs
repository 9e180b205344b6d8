//! The other entry hosts: membership, gossip and calls between hosts.

mod heartbeat;
mod member_table;
mod member_timing;
mod peer_clients;
mod service;
mod summary_digest;

pub use heartbeat::{
    Heartbeat, HeartbeatReply, MemberRecord, MemberState, OwnedShard, ShardPromise,
};
pub use member_table::{HeartbeatTarget, MemberEntry, MemberTable};
pub use member_timing::MemberTiming;
pub use peer_clients::{PeerClients, PeerFault};
pub use service::{PeerService, PeerServiceClient, RelayFault};
