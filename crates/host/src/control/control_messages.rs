//! Messages of the control actor.

use std::sync::Arc;

use lagoonnotch_fleet::model::{StartOutcome, StopOutcome, SubmissionRecord, UpstreamReport};
use lagoonnotch_fleet::owner::{
    CommitBatch, CommitOutcome, QueryOutcome, RecoveredState, RenewOrder, StartOrder, StopOrder,
};

use crate::peer::{HeartbeatReply, HeartbeatRequest, SubmissionLookup};
use crate::ports::RenewOutcome;

/// An ownership granted by the store, with the state to recover from.
#[derive(Debug)]
pub struct OwnershipGrant {
    /// Epoch, which is the revision of the owner's record.
    pub epoch: u64,
    /// Number of previous owners.
    pub generation: u32,
    /// State read from the store.
    pub recovered: RecoveredState,
    /// Until when the host may act as owner, in milliseconds of its clock.
    pub valid_until: u64,
}

/// A stored submission, and the revision at which it was created.
pub type AcceptedSubmission = (Arc<SubmissionRecord>, u64);

/// An input to the control actor.
#[derive(Debug)]
pub enum ControlInput {
    /// The configuration or the set of evacuated failure domains changed.
    ConfigChanged,
    /// The directory was read completely.
    DirectoryRead(Vec<UpstreamReport>),
    /// Submissions were stored.
    SubmissionsStored(Vec<AcceptedSubmission>),
    /// Cancellations were stored.
    CancellationsStored(Vec<Arc<str>>),
    /// Cancellations were stored after their submissions had ended.
    StaleCancellations(Vec<Arc<str>>),
    /// The retention time of ended submissions' results has passed.
    ExpiredFinalStates(Vec<Arc<str>>),
    /// The host became the owner.
    OwnershipGranted(Box<OwnershipGrant>),
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
    /// A lease renewal finished; carries the time at which it was sent.
    RenewalFinished(RenewOrder, u64, RenewOutcome),
    /// A start order finished.
    StartFinished(StartOrder, StartOutcome),
    /// A stop order finished.
    StopFinished(StopOrder, StopOutcome),
    /// A policy query finished; carries the epoch and the number of the query.
    QueryFinished(u64, u64, QueryOutcome),
    /// A commit finished; carries the epoch in which it was written.
    CommitFinished(u64, CommitBatch, CommitOutcome),
}

/// Makes the actor do the work that is due.
pub(super) struct TickMessage;

/// Delivers a heartbeat.
pub(super) struct HeartbeatMessage(pub HeartbeatRequest);

/// Ends an ownership of a lower epoch; the reply is true once the host has none.
pub(super) struct StepDownMessage(pub u64);

/// Delivers stored submissions; the reply is whether the host is the owner.
pub(super) struct SubmittedMessage(pub Vec<AcceptedSubmission>);

/// Delivers stored cancellations; the reply is whether the host is the owner and knows the
/// submissions.
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
        peers: Vec::new(),
    }
}

/// Result of a lookup after the actor has stopped.
pub(super) const STOPPED_LOOKUP: SubmissionLookup = SubmissionLookup::NotOwner;
