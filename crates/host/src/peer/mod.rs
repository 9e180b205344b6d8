//! RPC between hosts.

mod frame_codec;
mod open_peers;
mod peer_clients;
mod peer_server;
mod peer_service;

pub use frame_codec::{FrameCodec, MAX_FRAME_BYTES};
pub use open_peers::{FRAME_GRACE_MS, ORDINARY_FRAME_BYTES, OpenPeer, OpenPeers, PeerLimits};
pub use peer_clients::{PeerClients, PeerError};
pub use peer_server::PeerServer;
pub use peer_service::{
    AgedRequest, ConfigFingerprint, HeartbeatReply, HeartbeatRequest, NewSubmission, PeerInfo,
    PeerService, PeerServiceClient, RelayedDecision, SubmissionLookup,
};
