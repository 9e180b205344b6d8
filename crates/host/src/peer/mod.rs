//! RPC between hosts.

mod peer_clients;
mod peer_server;
mod peer_service;

pub use peer_clients::{PeerClients, PeerError};
pub use peer_server::PeerServer;
pub use peer_service::{
    AgedRequest, ConfigFingerprint, HeartbeatReply, HeartbeatRequest, NewSubmission, PeerInfo,
    PeerService, PeerServiceClient, RelayedDecision, SubmissionLookup,
};
