//! The way to the control actor.

use std::sync::Arc;

use xtra::Address;

use crate::control::control_messages::{
    CancelledMessage, ControlInput, HelloMessage, NO_STATE, StateMessage, SubmittedMessage,
    YieldMessage, no_reply,
};
use crate::control::{ControlActor, TakenSubmission};
use crate::peer::{HelloCall, HelloReply, NewSubmission, PeerState};

/// Sends messages to the control actor.
#[derive(Clone, Debug)]
pub struct ControlLink {
    address: Address<ControlActor>,
}

impl ControlLink {
    /// Makes a link to an actor.
    #[must_use]
    pub fn new(address: Address<ControlActor>) -> Self {
        Self { address }
    }

    /// Sends an input without waiting for its effect.
    pub async fn input(&self, input: ControlInput) {
        if self.address.send(input).detach().await.is_err() {
            log::error!(target: "lagoonnotch", "the control actor has ended");
        }
    }

    /// Greets the owner.
    pub async fn hello(&self, call: HelloCall) -> HelloReply {
        let reply = self.address.send(HelloMessage(call)).await;
        reply.unwrap_or_else(|_| no_reply())
    }

    /// Brings a greeting without waiting for what the actor has to do before it.
    pub async fn greeted(&self, call: HelloCall) {
        if self
            .address
            .send(HelloMessage(call))
            .detach()
            .await
            .is_err()
        {
            log::error!(target: "lagoonnotch", "the control actor has ended");
        }
    }

    /// Stops an ownership of a lower epoch; true once none acts.
    pub async fn yield_to(&self, epoch: u64) -> bool {
        self.address
            .send(YieldMessage(epoch))
            .await
            .unwrap_or(false)
    }

    /// Brings stored submissions; true if the host owns the fleet and knows them now.
    pub async fn submitted(&self, submissions: Vec<NewSubmission>) -> bool {
        let mut records: Vec<TakenSubmission> = Vec::new();
        for submission in submissions {
            match serde_json::from_slice(&submission.record) {
                Ok(record) => {
                    records.push((Arc::new(record), submission.created));
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
    pub async fn cancelled(&self, ids: Vec<Arc<str>>) -> bool {
        self.address
            .send(CancelledMessage(ids))
            .await
            .unwrap_or(false)
    }

    /// Asks for the state of a submission.
    pub async fn state_of(&self, id: Arc<str>) -> PeerState {
        self.address
            .send(StateMessage(id))
            .await
            .unwrap_or(NO_STATE)
    }
}
