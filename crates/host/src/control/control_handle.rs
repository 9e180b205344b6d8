//! The way to the control actor.

use std::sync::Arc;

use xtra::Address;

use crate::control::control_messages::{
    CancelledMessage, ControlInput, HeartbeatMessage, NO_STATE, StateMessage, SubmittedMessage,
    YieldMessage, no_reply,
};
use crate::control::{AcceptedSubmission, ControlActor};
use crate::peer::{HeartbeatReply, HeartbeatRequest, NewSubmission, SubmissionLookup};

/// Sends messages to the control actor.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    address: Address<ControlActor>,
}

impl ControlHandle {
    /// Makes a link to an actor.
    #[must_use]
    pub fn new(address: Address<ControlActor>) -> Self {
        Self { address }
    }

    /// Sends an input without waiting for its effect.
    pub async fn send(&self, input: ControlInput) {
        if self.address.send(input).detach().await.is_err() {
            log::error!(target: "lagoonnotch", "the control actor has ended");
        }
    }

    /// Greets the owner.
    pub async fn heartbeat(&self, call: HeartbeatRequest) -> HeartbeatReply {
        let reply = self.address.send(HeartbeatMessage(call)).await;
        reply.unwrap_or_else(|_| no_reply())
    }

    /// Brings a greeting without waiting for what the actor has to do before it.
    pub async fn notify_heartbeat(&self, call: HeartbeatRequest) {
        if self
            .address
            .send(HeartbeatMessage(call))
            .detach()
            .await
            .is_err()
        {
            log::error!(target: "lagoonnotch", "the control actor has ended");
        }
    }

    /// Stops an ownership of a lower epoch; true once none acts.
    pub async fn step_down(&self, epoch: u64) -> bool {
        self.address
            .send(YieldMessage(epoch))
            .await
            .unwrap_or(false)
    }

    /// Brings stored submissions; true if the host owns the fleet and knows them now.
    pub async fn notify_submitted(&self, submissions: Vec<NewSubmission>) -> bool {
        let mut records: Vec<AcceptedSubmission> = Vec::new();
        for submission in submissions {
            match serde_json::from_slice(&submission.record) {
                Ok(record) => {
                    records.push((Arc::new(record), submission.create_revision));
                }
                Err(error) => {
                    log::error!(target: "lagoonnotch", "a peer's submission can't be read: {error}");
                    return false;
                }
            }
        }
        self.address
            .send(SubmittedMessage(records))
            .await
            .unwrap_or(false)
    }

    /// Brings stored cancellings; true if the host owns the fleet and knows them now.
    pub async fn notify_cancelled(&self, ids: Vec<Arc<str>>) -> bool {
        self.address
            .send(CancelledMessage(ids))
            .await
            .unwrap_or(false)
    }

    /// Asks for the state of a submission.
    pub async fn submission_state(&self, id: Arc<str>) -> SubmissionLookup {
        self.address
            .send(StateMessage(id))
            .await
            .unwrap_or(NO_STATE)
    }
}
