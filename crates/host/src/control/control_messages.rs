//! Messages of the control actor.

use std::sync::Arc;

use lagoonnotch_fleet::model::{DirectoryRead, StartOutcome, StopOutcome, SubmissionRecord};
use lagoonnotch_fleet::owner::{
    CommitBatch, CommitOutcome, QueryOutcome, RecoveredState, RenewOrder, StartOrder, StopOrder,
};

use crate::forward::{BatchReceipt, RenewalReport};
use crate::peer::{HeartbeatReply, HeartbeatRequest, SubmissionLookup};
use crate::ports::{OrderAnswer, RenewOutcome};

/// An ownership granted by the store, with the state to recover from.
#[derive(Debug)]
pub struct OwnershipGrant {
    /// Epoch, which is the revision of the owner's record.
    pub epoch: u64,
    /// Number of owners before this one.
    pub generation: u32,
    /// State read from the store.
    pub recovered: RecoveredState,
    /// Until when the host may act as owner, in milliseconds of its clock.
    pub valid_until: u64,
    /// The recovered state has every submission that was stored before this time, in milliseconds
    /// of the host's clock.
    pub known_until: u64,
}

/// A parsed `NewSubmission`: the record, and the revision at which it was created.
pub type AcceptedSubmission = (Arc<SubmissionRecord>, u64);

/// What became of a batch of renewals.
#[derive(Debug)]
pub struct ForwardedBatch {
    /// Epoch of the owner that forwarded it.
    pub epoch: u64,
    /// Name of the delegate.
    pub delegate: Arc<str>,
    /// Numbers of the renewals.
    pub renewals: Vec<u64>,
    /// The delegate's receipt; `None` if there was none in time.
    pub receipt: Option<BatchReceipt>,
    /// When the receipt arrived, in milliseconds of the host's clock.
    pub received_at: u64,
}

/// An input to the control actor.
#[derive(Debug)]
pub enum ControlInput {
    /// The configuration or the set of evacuated failure domains changed.
    ConfigChanged,
    /// All entries of the upstream directory in the store were read.
    DirectoryRead(DirectoryRead),
    /// Submissions were stored. They may be known already.
    SubmissionsStored(Vec<AcceptedSubmission>),
    /// Cancellations were stored; carries the identifiers of their submissions.
    CancellationsStored(Vec<Arc<str>>),
    /// Every submission that was stored before a time has been sent to the control actor.
    AcceptedKnown {
        /// Epoch of the ownership.
        epoch: u64,
        /// The time, in milliseconds of the host's clock.
        until: u64,
    },
    /// Cancellations without a stored submission were found, because the submissions have ended.
    StaleCancellations(Vec<Arc<str>>),
    /// The retention time of the final states of these submissions has passed.
    ExpiredFinalStates(Vec<Arc<str>>),
    /// The host became the owner.
    OwnershipGranted(Box<OwnershipGrant>),
    /// No host that could succeed the owner of an epoch reached the store when it was asked.
    OutageObserved {
        /// Epoch of the owner.
        epoch: u64,
        /// A time before the hosts were asked, in milliseconds of the host's clock.
        asked_at: u64,
    },
    /// The ownership of an epoch was renewed.
    OwnershipRenewed {
        /// Epoch of the ownership.
        epoch: u64,
        /// Until when the host may act as owner, in milliseconds of its clock.
        valid_until: u64,
    },
    /// The ownership of an epoch ended.
    OwnershipEnded {
        /// Epoch of the ownership.
        epoch: u64,
        /// Why the ownership ended.
        reason: &'static str,
    },
    /// A lease renewal finished; carries the order, the time at which it was sent, and the outcome.
    RenewalFinished(RenewOrder, u64, RenewOutcome),
    /// A host told its failure domain; carries its name and address.
    FailureDomainRead(Arc<str>, Arc<str>, Arc<str>),
    /// A batch of renewals was received by a delegate, or was lost.
    RenewalsForwarded(ForwardedBatch),
    /// A delegate reported outcomes of renewals.
    RenewalsReported(RenewalReport),
    /// A start order finished; carries the order, the time at which it was sent, and the answer.
    StartFinished(StartOrder, u64, OrderAnswer<StartOutcome>),
    /// A stop order finished; carries the order, the time at which it was sent, and the answer.
    StopFinished(StopOrder, u64, OrderAnswer<StopOutcome>),
    /// A policy query finished; carries the epoch in which it was sent, its number, and the
    /// outcome.
    QueryFinished(u64, u64, QueryOutcome),
    /// A commit finished; carries the epoch in which it was written, what it wrote, and the
    /// outcome.
    CommitFinished(u64, CommitBatch, CommitOutcome),
}

/// An input and when it was sent.
pub(super) struct TimedInput {
    pub input: ControlInput,
    pub sent_at: u64,
}

/// Makes the actor do the work that is due.
pub(super) struct TickMessage {
    /// When the tick was requested.
    pub requested_at: u64,
}

/// Delivers the heartbeat of another host.
pub(super) struct PeerHeartbeatMessage(pub HeartbeatRequest);

/// Delivers this host's own heartbeat; the reply is that of the owner if the host is the owner.
pub(super) struct OwnHeartbeatMessage(pub HeartbeatRequest);

/// Ends the host's ownership if its epoch is lower than this one; replies true afterwards.
pub(super) struct StepDownMessage(pub u64);

/// Delivers stored submissions; replies whether the host is the owner.
pub(super) struct SubmittedMessage(pub Vec<AcceptedSubmission>);

/// Delivers stored cancellations; replies with those whose submissions the owner does not know.
pub(super) struct CancelledMessage(pub Vec<Arc<str>>);

/// Looks up the state of a submission.
pub(super) struct LookupMessage(pub Arc<str>);

/// Returns the reply to a heartbeat after the actor has stopped.
pub(super) fn stopped_reply() -> HeartbeatReply {
    HeartbeatReply {
        epoch: None,
        store_response_age_ms: u64::MAX,
        config: None,
        waiting_counts: std::collections::HashMap::new(),
        peers: None,
    }
}

/// Result of a lookup after the actor has stopped.
pub(super) const STOPPED_LOOKUP: SubmissionLookup = SubmissionLookup::NotOwner;
