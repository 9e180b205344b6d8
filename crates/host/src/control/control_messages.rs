//! Messages of the control actor.

use std::sync::Arc;

use lagoonnotch_fleet::model::{StartOutcome, StopOutcome, SubmissionRecord, UpstreamReport};
use lagoonnotch_fleet::owner::{
    CommitBatch, CommitOutcome, QueryOutcome, RecoveredState, RenewOrder, StartOrder, StopOrder,
};

use crate::peer::{HelloCall, HelloReply, PeerState};
use crate::ports::HoldOutcome;

/// An ownership that the store granted, with what the store holds.
#[derive(Debug)]
pub struct OwnershipGrant {
    /// Epoch: the revision of the owner's record.
    pub epoch: u64,
    /// Number of owners before.
    pub generation: u32,
    /// What the store holds.
    pub recovered: RecoveredState,
    /// Until when the host may act, in milliseconds of its clock.
    pub valid_until: u64,
}

/// A stored submission, and the revision of its creation.
pub type TakenSubmission = (Arc<SubmissionRecord>, u64);

/// An input of the control actor.
#[derive(Debug)]
pub enum ControlInput {
    /// A configuration or an evacuation came into force.
    ConfigChanged,
    /// A whole reading of the directory.
    Directory(Vec<UpstreamReport>),
    /// Stored submissions.
    Submissions(Vec<TakenSubmission>),
    /// Stored cancellings.
    Cancels(Vec<Arc<str>>),
    /// Cancellings that were stored after their submissions had ended.
    StrayCancels(Vec<Arc<str>>),
    /// Ends of submissions that were kept long enough.
    OldEnds(Vec<Arc<str>>),
    /// The host owns the fleet now.
    Granted(Box<OwnershipGrant>),
    /// The ownership of an epoch was renewed.
    Renewed {
        /// Epoch that was renewed.
        epoch: u64,
        /// Until when the host may act, in milliseconds of its clock.
        valid_until: u64,
    },
    /// The ownership of an epoch is over.
    Ended {
        /// Epoch that is over.
        epoch: u64,
        /// Why it is over.
        reason: &'static str,
    },
    /// A renewal of leases ended.
    HoldDone(RenewOrder, u64, HoldOutcome),
    /// An order to start ended.
    StartDone(StartOrder, StartOutcome),
    /// An order to stop ended.
    StopDone(StopOrder, StopOutcome),
    /// A question ended.
    AskDone(u64, u64, QueryOutcome),
    /// A commit ended.
    CommitDone(u64, CommitBatch, CommitOutcome),
}

/// Lets the actor do what is due.
pub(super) struct PumpMessage;

/// Greets the owner.
pub(super) struct HelloMessage(pub HelloCall);

/// Stops an ownership of a lower epoch; answered with whether none acts.
pub(super) struct YieldMessage(pub u64);

/// Brings stored submissions; answered with whether the host owns the fleet.
pub(super) struct SubmittedMessage(pub Vec<TakenSubmission>);

/// Brings stored cancellings; answered with whether the host owns the fleet.
pub(super) struct CancelledMessage(pub Vec<Arc<str>>);

/// Asks for the state of a submission.
pub(super) struct StateMessage(pub Arc<str>);

/// Answer to a greeting, when the actor is gone.
pub(super) fn no_reply() -> HelloReply {
    HelloReply {
        epoch: None,
        store_age_ms: u64::MAX,
        config: None,
        waiting: std::collections::HashMap::new(),
        peers: Vec::new(),
    }
}

/// Answer to a question for a state, when the actor is gone.
pub(super) const NO_STATE: PeerState = PeerState::NotOwner;
