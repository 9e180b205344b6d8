//! Handle of the control actor.

use std::sync::Arc;

use xtra::Address;

use crate::clock::now_ms;
use crate::control::control_messages::{
    CancelledMessage, ControlInput, LookupMessage, OwnHeartbeatMessage, PeerHeartbeatMessage,
    STOPPED_LOOKUP, StepDownMessage, SubmittedMessage, TimedInput, stopped_reply,
};
use crate::control::{AcceptedSubmission, ControlActor};
use crate::peer::{HeartbeatReply, HeartbeatRequest, NewSubmission, SubmissionLookup};

/// Sends messages to the control actor.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    address: Address<ControlActor>,
}

impl ControlHandle {
    /// Creates a handle of an actor.
    #[must_use]
    pub fn new(address: Address<ControlActor>) -> Self {
        Self { address }
    }

    /// Sends an input without waiting until it is processed.
    pub async fn send(&self, input: ControlInput) {
        let message = TimedInput {
            input,
            sent_at: now_ms(),
        };
        if self.address.send(message).detach().await.is_err() {
            log::error!(target: "lagoonnotch", "the control actor has stopped");
        }
    }

    /// Delivers this host's own heartbeat and returns the control actor's reply.
    pub async fn own_heartbeat(&self, request: HeartbeatRequest) -> HeartbeatReply {
        let reply = self.address.send(OwnHeartbeatMessage(request)).await;
        reply.unwrap_or_else(|_| stopped_reply())
    }

    /// Queues the heartbeat of another host without waiting until it is processed; the reply is
    /// [`HostView::heartbeat_reply`](crate::control::HostView::heartbeat_reply).
    pub async fn notify_heartbeat(&self, request: HeartbeatRequest) {
        if self
            .address
            .send(PeerHeartbeatMessage(request))
            .detach()
            .await
            .is_err()
        {
            log::error!(target: "lagoonnotch", "the control actor has stopped");
        }
    }

    /// Ends the host's ownership if its epoch is lower than this one; returns true afterwards, and
    /// false only if the control actor has stopped.
    pub async fn step_down(&self, epoch: u64) -> bool {
        self.address
            .send(StepDownMessage(epoch))
            .await
            .unwrap_or(false)
    }

    /// Delivers stored submissions; returns true if the host is the owner and knows them now.
    pub async fn notify_submitted(&self, submissions: Vec<NewSubmission>) -> bool {
        let mut records: Vec<AcceptedSubmission> = Vec::new();
        for submission in submissions {
            match serde_json::from_slice(&submission.record) {
                Ok(record) => {
                    records.push((Arc::new(record), submission.create_revision));
                }
                Err(error) => {
                    log::error!(target: "lagoonnotch", "failed to parse a submission from a peer: {error}");
                    return false;
                }
            }
        }
        self.address
            .send(SubmittedMessage(records))
            .await
            .unwrap_or(false)
    }

    /// Delivers stored cancellations; returns those whose submissions the owner does not know, which
    /// are all of them if the host is not the owner.
    pub async fn notify_cancelled(&self, ids: Vec<Arc<str>>) -> Vec<Arc<str>> {
        let reply = self.address.send(CancelledMessage(ids.clone())).await;
        reply.unwrap_or(ids)
    }

    /// Returns the state of a submission.
    pub async fn submission_state(&self, id: Arc<str>) -> SubmissionLookup {
        self.address
            .send(LookupMessage(id))
            .await
            .unwrap_or(STOPPED_LOOKUP)
    }
}
