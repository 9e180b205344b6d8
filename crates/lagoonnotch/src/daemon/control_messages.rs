//! Messages of the control actor.

use lagoonnotch_wire::document::SignedDocument;
use lagoonnotch_wire::upstream::HostEntry;
use tokio::sync::oneshot;

use crate::document::{LogUpdate, LoggedDocument};
use crate::finding::FindingList;
use crate::model::ShardName;
use crate::peer::{Heartbeat, HeartbeatReply, HeartbeatTarget};
use crate::shard::{ShardCommand, ShardInput, ShardReply};

/// A periodic tick.
pub(super) struct TickMessage;

/// Executes a command for a shard that this host may own.
pub(crate) struct CommandMessage {
    pub shard: ShardName,
    pub command: ShardCommand,
    pub reply: oneshot::Sender<ShardReply>,
}

/// Passes the result of an effect to a shard's controller.
pub(super) struct ShardMessage {
    pub shard: ShardName,
    pub input: ShardInput,
}

/// Requests the next heartbeat and its recipients.
pub(super) struct HeartbeatTick;

/// A heartbeat and its recipients.
pub(super) struct OutgoingHeartbeat {
    pub sent_ms: u64,
    pub heartbeat: Heartbeat,
    pub targets: Vec<HeartbeatTarget>,
}

/// Passes on a received heartbeat, and requests the reply.
pub(super) struct HeartbeatMessage(pub Heartbeat);

/// Passes on a received reply to a heartbeat.
pub(super) struct HeartbeatReplyMessage {
    pub sent_ms: u64,
    pub reply: HeartbeatReply,
}

/// Requests the documents after a revision, for a peer.
pub(super) struct DocumentsQuery(pub u64);

/// Passes on documents received from a peer.
pub(super) struct DocumentsMessage(pub LogUpdate);

/// Passes on documents read from the store's log, and requests the new revision.
pub(crate) struct LogReadMessage {
    pub documents: Vec<LoggedDocument>,
}

/// Requests a check of a document against the configuration in force.
pub(crate) struct PreviewMessage(pub SignedDocument);

/// The result of checking a document.
pub(crate) enum PreviewOutcome {
    /// The document was already applied, at this revision.
    Applied(u64),
    /// The document can be appended to the log, at this revision.
    Applicable(u64),
    /// The document is invalid or conflicts with another.
    Refused(FindingList),
}

/// Passes on the platform's list of upstreams.
pub(super) struct UpstreamListMessage(pub Vec<HostEntry>);

/// Asks whether this host watches the store's log, and for its document revision.
pub(super) struct WatchQuery;

/// State that the watch of the store's log depends on.
pub(super) struct WatchState {
    pub watching: bool,
    pub revision: u64,
}

/// Starts a graceful shutdown.
pub(super) struct ShutdownMessage;

/// Asks whether every shard has been released.
pub(super) struct ReleaseQuery;
