//! Messages to the control actor.

use lagoonnotch_wire::document::SignedDocument;
use lagoonnotch_wire::upstream::HostEntry;
use tokio::sync::oneshot;

use crate::document::{LogUpdate, LoggedDocument};
use crate::finding::FindingList;
use crate::model::ShardName;
use crate::peer::{Heartbeat, HeartbeatReply, HeartbeatTarget};
use crate::shard::{ShardCommand, ShardInput, ShardReply};

/// Time has passed.
pub(super) struct TickMessage;

/// A command for a shard that this host may own.
pub(crate) struct CommandMessage {
    pub shard: ShardName,
    pub request: ShardCommand,
    pub reply: oneshot::Sender<ShardReply>,
}

/// A result for a shard's machine.
pub(super) struct ShardMessage {
    pub shard: ShardName,
    pub input: ShardInput,
}

/// A heartbeat is due.
pub(super) struct BeatMessage;

/// A heartbeat and where it goes.
pub(super) struct OutgoingBeat {
    pub sent_ms: u64,
    pub heartbeat: Heartbeat,
    pub targets: Vec<HeartbeatTarget>,
}

/// A heartbeat came in.
pub(super) struct HeartbeatMessage(pub Heartbeat);

/// A heartbeat was answered.
pub(super) struct BeatAnswerMessage {
    pub sent_ms: u64,
    pub reply: HeartbeatReply,
}

/// A peer wants documents.
pub(super) struct DocumentsWanted(pub u64);

/// Documents came in from a peer.
pub(super) struct DocumentsMessage(pub LogUpdate);

/// Documents were read from the store's log, which ends with them.
pub(crate) struct LogMessage {
    pub documents: Vec<LoggedDocument>,
}

/// A document is to be checked against the configuration in force.
pub(crate) struct PreviewMessage(pub SignedDocument);

/// What a check of a document found.
pub(crate) enum PreviewOutcome {
    /// The document is in force already.
    InForce(u64),
    /// The document can become the next of the log.
    Next(u64),
    /// The document has faults or conflicts.
    Refused(FindingList),
}

/// The platform's list of upstreams came in.
pub(super) struct HostsMessage(pub Vec<HostEntry>);

/// Whether this host is the one that watches the store's log.
pub(super) struct WatchTurn;

/// What the watcher needs to know.
pub(super) struct WatchState {
    pub watching: bool,
    pub revision: u64,
}

/// A graceful shutdown begins.
pub(super) struct ShutdownMessage;

/// Whether every shard is handed over.
pub(super) struct ReleasedQuestion;
