//! Answers callers.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use lagoonnotch_fleet::model::{ApprovedConfig, QueuePolicy, SubmissionRecord};
use serde_json::json;
use tokio::time::timeout;

use crate::clock::{now_ms, unix_ms};
use crate::control::{ControlLink, HostView};
use crate::entry::{EntryAnswer, EntryCall, EntryVerb, OwnerOutbox, RefusalReason};
use crate::event::FleetEvent;
use crate::metrics::FleetMetrics;
use crate::peer::{NewSubmission, PeerLinks, PeerState};
use crate::ports::{PlatformPorts, StoreFault};
use crate::store::{StoreAnswer, SubmissionStore};

/// Part of the time for withdrawn keys that is not used, in milliseconds.
const REVOKE_MARGIN_MS: u64 = 1000;

/// Seconds after which a refused caller may come again; the balancer has turned away by then.
const RETRY_AFTER_S: u64 = 1;

/// How long a caller waits who doesn't say so, in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 3000;

/// Part of the caller's time that is left to the way of the answer, in milliseconds.
const ANSWER_MARGIN_MS: u64 = 150;

/// Largest part of a short wait that is left to the way of the answer.
const ANSWER_MARGIN_PART: u64 = 8;

/// Age of the owner's counts up to which they are told, in milliseconds.
const COUNT_AGE_MS: u64 = 1900;

/// Longest identifier of a submission, in bytes.
const MAX_ID_BYTES: usize = 64;

/// Answers callers.
#[derive(Clone)]
pub struct EntryDesk {
    view: HostView,
    ports: PlatformPorts,
    store: SubmissionStore,
    outbox: OwnerOutbox,
    control: ControlLink,
    links: PeerLinks,
    metrics: Arc<FleetMetrics>,
    revoke_ms: u64,
}

impl EntryDesk {
    /// Makes a desk.
    #[must_use]
    pub fn new(
        view: HostView,
        ports: PlatformPorts,
        outbox: OwnerOutbox,
        control: ControlLink,
        links: PeerLinks,
        metrics: Arc<FleetMetrics>,
        revoke_ms: u64,
    ) -> Self {
        Self {
            view,
            store: SubmissionStore::new(ports.store.clone()),
            ports,
            outbox,
            control,
            links,
            metrics,
            revoke_ms,
        }
    }

    /// Answers a request.
    pub async fn answer(&self, call: EntryCall) -> EntryAnswer {
        let received_at = call.received_at;
        let wait_ms = call.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS);
        let margin_ms = ANSWER_MARGIN_MS.min(wait_ms / ANSWER_MARGIN_PART);
        let limit = Duration::from_millis(wait_ms - margin_ms);
        let path = call.path.clone();
        let answer = timeout(limit, self.decide(call)).await;
        let answer = answer.unwrap_or(EntryAnswer::Unsettled);
        let took_ms = now_ms().saturating_sub(received_at);
        #[expect(clippy::cast_precision_loss, reason = "small times")]
        self.metrics
            .count_answer(answer.kind(), took_ms as f64 / 1000.0);
        let fields = json!({
            "request": path.rsplit('/').next(),
            "path": path,
            "answer": format!("{answer:?}"),
            "took_ms": took_ms,
            "store_age_ms": self.view.store_age_ms(),
        });
        match answer {
            EntryAnswer::Unsettled => FleetEvent::RequestUnsettled.emit(fields),
            EntryAnswer::Refused(..)
            | EntryAnswer::Invalid(_)
            | EntryAnswer::TooLong
            | EntryAnswer::UnknownKey
            | EntryAnswer::NoQueue => FleetEvent::RequestRefused.emit(fields),
            _ => {}
        }
        answer
    }

    async fn decide(&self, call: EntryCall) -> EntryAnswer {
        let Some((config, read_at)) = self.view.config() else {
            return refused(RefusalReason::NoConfig);
        };
        let Some(queue) = config.find_queue(&call.host, &call.path).cloned() else {
            return EntryAnswer::NoQueue;
        };
        let team = if queue.open {
            None
        } else {
            let team = call.key.as_deref().and_then(|key| config.keys.get(key));
            let Some(team) = team else {
                return EntryAnswer::UnknownKey;
            };
            let sure_until = read_at + self.revoke_ms.saturating_sub(REVOKE_MARGIN_MS);
            if call.received_at > sure_until {
                return refused(RefusalReason::StaleConfig);
            }
            Some(team.clone())
        };
        let id = call.path[queue.prefix.len()..].to_owned();
        if id.len() > MAX_ID_BYTES || id.contains(['/', '.']) {
            return EntryAnswer::Invalid(
                "path: the identifier is too long or has a dot".to_owned(),
            );
        }
        match call.verb {
            EntryVerb::Submit(body) if !id.is_empty() => {
                self.submit(&config, &queue, team, id, body).await
            }
            EntryVerb::Show if id.is_empty() => self.count(&queue),
            EntryVerb::Show => self.show(id.into()).await,
            EntryVerb::Cancel if !id.is_empty() => self.cancel(id.into()).await,
            _ => EntryAnswer::NoMethod,
        }
    }

    async fn submit(
        &self,
        config: &ApprovedConfig,
        queue: &Arc<QueuePolicy>,
        team: Option<Arc<str>>,
        id: String,
        body: Option<Bytes>,
    ) -> EntryAnswer {
        let Some(body) = body else {
            return EntryAnswer::TooLong;
        };
        let draft = match (self.ports.read_draft)(&body) {
            Ok(draft) => draft,
            Err(finding) => return EntryAnswer::Invalid(finding),
        };
        let record = SubmissionRecord {
            id: id.as_str().into(),
            team: team.clone(),
            queue: queue.clone(),
            payload: draft.payload,
            steps: draft.steps,
            repeats: draft.repeats,
            first_due_unix_ms: draft.first_due_unix_ms,
            period_ms: draft.period_ms,
            accepted_unix_ms: unix_ms(),
        };
        let Ok(bytes) = serde_json::to_vec(&record) else {
            return EntryAnswer::Invalid("body: can't be stored".to_owned());
        };
        let began_at = now_ms();
        let stored = self.store.create(&id, bytes.clone().into()).await;
        match stored {
            StoreAnswer::Stored(created) => {
                FleetEvent::SubmissionAccepted.emit(json!({
                    "request": id,
                    "queue": queue.name,
                    "team": team,
                    "config_version": config.version,
                    "revision": created,
                    "store_ms": now_ms().saturating_sub(began_at),
                }));
                self.outbox.submitted(NewSubmission {
                    record: bytes,
                    created,
                });
                EntryAnswer::Accepted
            }
            StoreAnswer::Present(_) => EntryAnswer::Accepted,
            StoreAnswer::NotStored | StoreAnswer::Ended => refused(RefusalReason::NoStore),
            StoreAnswer::Unsettled => EntryAnswer::Unsettled,
        }
    }

    fn count(&self, queue: &QueuePolicy) -> EntryAnswer {
        let (count, age_ms) = self.view.waiting(&queue.name);
        if age_ms > COUNT_AGE_MS {
            return refused(RefusalReason::NoOwner);
        }
        EntryAnswer::Waiting(count)
    }

    async fn show(&self, id: Arc<str>) -> EntryAnswer {
        if let PeerState::Known(state) = self.ask_owner(&id).await {
            return EntryAnswer::State(state);
        }
        match self.store.state(&id).await {
            Ok(state) => EntryAnswer::State(state),
            Err(StoreFault::Missing) => EntryAnswer::NoSubmission,
            Err(_) => refused(RefusalReason::NoOwner),
        }
    }

    async fn ask_owner(&self, id: &Arc<str>) -> PeerState {
        if self.view.owned_epoch().is_some() {
            return self.control.state_of(id.clone()).await;
        }
        let Some(owner) = self.view.owner() else {
            return PeerState::NotOwner;
        };
        let state = self.links.state_of(&owner.address, id.clone()).await;
        state.unwrap_or(PeerState::NotOwner)
    }

    async fn cancel(&self, id: Arc<str>) -> EntryAnswer {
        let began_at = now_ms();
        let revision = match self.store.revision(&id).await {
            Ok(revision) => revision,
            Err(StoreFault::Missing) => return self.cancel_ended(&id).await,
            Err(_) => return refused(RefusalReason::NoStore),
        };
        match self.store.cancel(&id, revision).await {
            StoreAnswer::Stored(_) | StoreAnswer::Present(_) => {
                FleetEvent::CancelStored.emit(json!({
                    "request": id,
                    "store_ms": now_ms().saturating_sub(began_at),
                }));
                self.outbox.cancelled(id);
                EntryAnswer::Cancelled
            }
            StoreAnswer::Ended => self.cancel_ended(&id).await,
            StoreAnswer::NotStored => refused(RefusalReason::NoStore),
            StoreAnswer::Unsettled => EntryAnswer::Unsettled,
        }
    }

    /// Answers the cancelling of a submission that has no record any more.
    async fn cancel_ended(&self, id: &str) -> EntryAnswer {
        match self.store.ended_state(id).await {
            Ok(_) => EntryAnswer::Cancelled,
            Err(StoreFault::Missing) => EntryAnswer::NoSubmission,
            Err(_) => refused(RefusalReason::NoStore),
        }
    }
}

fn refused(reason: RefusalReason) -> EntryAnswer {
    EntryAnswer::Refused(reason, RETRY_AFTER_S)
}
