//! Calls between hosts.

mod fleet_peer;
mod peer_links;
mod peer_server;

pub use fleet_peer::{
    ConfigSight, FleetPeer, FleetPeerClient, HelloCall, HelloReply, NewSubmission, PeerAdvice,
    PeerRef, PeerState,
};
pub use peer_links::{PeerFault, PeerLinks};
pub use peer_server::PeerServer;
