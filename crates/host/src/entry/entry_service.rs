//! Handles callers' requests.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use lagoonnotch_fleet::model::{ApprovedConfig, QueuePolicy, SubmissionRecord};
use serde_json::json;
use tokio::sync::{Semaphore, SemaphorePermit};
use tokio::time::{sleep, timeout};

use crate::clock::{now_ms, unix_ms};
use crate::control::{ControlHandle, HostView};
use crate::entry::{
    EntryOperation, EntryRequest, EntryResponse, OwnerNotifier, RefusalReason, UnfinishedWork,
    estimate_bytes, has_ended,
};
use crate::event::FleetEvent;
use crate::metrics::FleetMetrics;
use crate::peer::{NewSubmission, PeerClients, SubmissionLookup};
use crate::ports::{PlatformPorts, StoreError};
use crate::store::{StoreOutcome, SubmissionStore};

/// Safety margin subtracted from the time in which a revoked key must stop working, in
/// milliseconds.
const KEY_REVOCATION_MARGIN_MS: u64 = 1000;

/// Seconds after which a rejected caller may retry; by then the load balancer sends requests to
/// another host.
const RETRY_AFTER_S: u64 = 1;

/// Deadline of a caller that does not specify one, in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 3000;

/// Part of the deadline reserved for returning the response, in milliseconds.
const RESPONSE_MARGIN_MS: u64 = 150;

/// Divisor that limits the reserved part of a short deadline: at most an eighth of it.
const RESPONSE_MARGIN_DIVISOR: u64 = 8;

/// Maximum age of the owner's counts that are returned to callers, in milliseconds.
const MAX_COUNT_AGE_MS: u64 = 1900;

/// Maximum length of a submission's identifier, in bytes.
const MAX_ID_BYTES: usize = 64;

/// Maximum length of a stored submission, in bytes: the longest value that the store takes.
const MAX_RECORD_BYTES: usize = 1024 * 1024;

/// Memory of one permit for records that are being written to the store, in bytes.
const RECORD_PERMIT_BYTES: usize = 1024;

/// Divisor of the memory for large submissions that gives the length of all records that are being
/// written at a time. Each exists several times meanwhile: in encodings and in the store's answer.
const WRITTEN_RECORDS_DIVISOR: usize = 8;

/// Least length of all records that are being written at a time, in bytes.
const MIN_WRITTEN_BYTES: usize = 2 * MAX_RECORD_BYTES;

/// Maximum number of records that are read at a time to notify the owner of them again.
const MAX_ANNOUNCEMENTS: usize = 4;

/// Interval at which large submissions are looked up.
const LOOKUP_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of lookups at a time.
const MAX_LOOKUPS: usize = 16;

/// Handles callers' requests.
#[derive(Clone)]
pub struct EntryService {
    view: HostView,
    ports: PlatformPorts,
    store: SubmissionStore,
    notifier: OwnerNotifier,
    control: ControlHandle,
    clients: PeerClients,
    metrics: Arc<FleetMetrics>,
    unfinished: UnfinishedWork,
    /// Permits for the records that are being written, in units of `RECORD_PERMIT_BYTES`.
    record_permits: Arc<Semaphore>,
    /// Permits for the records that are read to notify the owner of them again.
    announce_permits: Arc<Semaphore>,
    /// Maximum time until a revoked key stops working, in milliseconds.
    revoke_ms: u64,
}

impl EntryService {
    /// Creates a service.
    #[must_use]
    pub fn new(
        view: HostView,
        ports: PlatformPorts,
        notifier: OwnerNotifier,
        control: ControlHandle,
        clients: PeerClients,
        metrics: Arc<FleetMetrics>,
        revoke_ms: u64,
    ) -> Self {
        Self {
            view,
            store: SubmissionStore::new(ports.store.clone()),
            ports,
            notifier,
            control,
            clients,
            metrics,
            unfinished: UnfinishedWork::new(usize::MAX),
            record_permits: Arc::new(Semaphore::new(Semaphore::MAX_PERMITS)),
            announce_permits: Arc::new(Semaphore::new(MAX_ANNOUNCEMENTS)),
            revoke_ms,
        }
    }

    /// Bounds the memory of large submissions that have not ended, in bytes for all hosts together.
    #[must_use]
    pub fn with_unfinished_bound(mut self, max_bytes: usize) -> Self {
        self.unfinished = UnfinishedWork::new(max_bytes);
        let written_bytes = (max_bytes / WRITTEN_RECORDS_DIVISOR).max(MIN_WRITTEN_BYTES);
        self.record_permits = Arc::new(Semaphore::new(written_bytes / RECORD_PERMIT_BYTES));
        tokio::spawn(self.clone().release_ended());
        self
    }

    /// Handles a request within the caller's deadline, and logs and counts the response.
    pub async fn handle(&self, request: EntryRequest) -> EntryResponse {
        let received_at = request.received_at;
        let wait_ms = request.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS);
        let margin_ms = RESPONSE_MARGIN_MS.min(wait_ms / RESPONSE_MARGIN_DIVISOR);
        // The request may have waited before.
        let waited_ms = now_ms().saturating_sub(received_at);
        let limit = Duration::from_millis((wait_ms - margin_ms).saturating_sub(waited_ms));
        let path = request.path.clone();
        let response = timeout(limit, self.process(request)).await;
        let response = response.unwrap_or(EntryResponse::Unsettled);
        let took_ms = now_ms().saturating_sub(received_at);
        #[expect(clippy::cast_precision_loss, reason = "small times")]
        self.metrics
            .count_answer(response.kind(), took_ms as f64 / 1000.0);
        let fields = json!({
            "request": path.rsplit('/').next(),
            "path": path,
            "answer": format!("{response:?}"),
            "took_ms": took_ms,
            "store_age_ms": self.view.store_response_age_ms(),
        });
        match response {
            EntryResponse::Unsettled => FleetEvent::RequestUnsettled.emit(fields),
            EntryResponse::Refused(..)
            | EntryResponse::Invalid(_)
            | EntryResponse::TooLong
            | EntryResponse::UnknownKey
            | EntryResponse::NoQueue => FleetEvent::RequestRefused.emit(fields),
            _ => {}
        }
        response
    }

    async fn process(&self, request: EntryRequest) -> EntryResponse {
        let Some((config, read_at)) = self.view.config() else {
            return refusal(RefusalReason::NoConfig);
        };
        let Some(queue) = config.find_queue(&request.host, &request.path).cloned() else {
            return EntryResponse::NoQueue;
        };
        let team = if queue.open {
            None
        } else {
            let team = request.key.as_deref().and_then(|key| config.keys.get(key));
            let Some(team) = team else {
                return EntryResponse::UnknownKey;
            };
            let config_valid_until =
                read_at + self.revoke_ms.saturating_sub(KEY_REVOCATION_MARGIN_MS);
            if request.received_at > config_valid_until {
                return refusal(RefusalReason::StaleConfig);
            }
            Some(team.clone())
        };
        let id = request.path[queue.prefix.len()..].to_owned();
        if id.len() > MAX_ID_BYTES || id.contains(['/', '.']) {
            return EntryResponse::Invalid(
                "path: the identifier is too long or has a dot".to_owned(),
            );
        }
        match request.operation {
            EntryOperation::Submit(body) if !id.is_empty() => {
                self.submit(&config, &queue, team, id, body).await
            }
            EntryOperation::Show if id.is_empty() => self.count(&queue),
            EntryOperation::Show => self.show(id.into()).await,
            EntryOperation::Cancel if !id.is_empty() => self.cancel(id.into()).await,
            _ => EntryResponse::NoMethod,
        }
    }

    async fn submit(
        &self,
        config: &ApprovedConfig,
        queue: &Arc<QueuePolicy>,
        team: Option<Arc<str>>,
        id: String,
        body: Option<Bytes>,
    ) -> EntryResponse {
        let Some(body) = body else {
            return EntryResponse::TooLong;
        };
        let draft = match (self.ports.parse_submission)(&body) {
            Ok(draft) => draft,
            Err(finding) => return EntryResponse::Invalid(finding),
        };
        drop(body);
        let id: Arc<str> = id.into();
        let record = SubmissionRecord {
            id: id.clone(),
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
            return EntryResponse::Invalid("body: can't be stored".to_owned());
        };
        if bytes.len() > MAX_RECORD_BYTES {
            return EntryResponse::Invalid(format!(
                "phases: the stored form is longer than {MAX_RECORD_BYTES} bytes"
            ));
        }
        let estimate = estimate_bytes(&record, bytes.len());
        // The steps take several times the record's length, and are not needed while the store
        // writes it.
        drop(record);
        let bytes = Bytes::from(bytes);
        let began_at = now_ms();
        let hosts = self.view.peer_count();
        let Some(reservation) = self.unfinished.reserve(&id, estimate, hosts, began_at) else {
            drop(bytes);
            return self.refuse_large(&id).await;
        };
        // Nobody knows here whether an earlier request stored the submission, so this is no refusal.
        let Some(_permit) = self.record_permit(bytes.len()) else {
            return EntryResponse::Unsettled;
        };
        let stored = self.store.create(&id, bytes.clone()).await;
        if matches!(stored, StoreOutcome::NotStored | StoreOutcome::Ended) {
            reservation.cancel();
        }
        match stored {
            StoreOutcome::Stored(create_revision) => {
                FleetEvent::SubmissionAccepted.emit(json!({
                    "request": id,
                    "queue": queue.name,
                    "team": team,
                    "config_version": config.version,
                    "revision": create_revision,
                    "store_ms": now_ms().saturating_sub(began_at),
                }));
                self.notifier.notify_submitted(NewSubmission {
                    record: bytes,
                    create_revision,
                });
                EntryResponse::Accepted
            }
            StoreOutcome::AlreadyStored(_) => {
                // The host that stored it may not have notified the owner.
                tokio::spawn(self.clone().announce_stored(id));
                EntryResponse::Accepted
            }
            StoreOutcome::NotStored | StoreOutcome::Ended => refusal(RefusalReason::NoStore),
            StoreOutcome::Unknown => EntryResponse::Unsettled,
        }
    }

    /// Reserves memory for a record while the store writes it; `None` if too many are being written.
    fn record_permit(&self, record_bytes: usize) -> Option<SemaphorePermit<'_>> {
        let permits = record_bytes.div_ceil(RECORD_PERMIT_BYTES);
        let permits = u32::try_from(permits).unwrap_or(u32::MAX);
        self.record_permits.try_acquire_many(permits).ok()
    }

    /// Answers a large submission for which there is no room. It is accepted if an earlier request
    /// stored it: a refusal says that nothing of it runs.
    async fn refuse_large(&self, id: &Arc<str>) -> EntryResponse {
        match self.store.revision(id).await {
            Ok(_) => {
                tokio::spawn(self.clone().announce_stored(id.clone()));
                return EntryResponse::Accepted;
            }
            Err(StoreError::NotFound) => {}
            Err(_) => return EntryResponse::Unsettled,
        }
        match self.store.ended_state(id).await {
            Ok(_) => EntryResponse::Accepted,
            Err(StoreError::NotFound) => refusal(RefusalReason::UnfinishedWork),
            Err(_) => EntryResponse::Unsettled,
        }
    }

    /// Gives back the room of large submissions that have ended, until the task is dropped.
    async fn release_ended(self) {
        loop {
            sleep(LOOKUP_INTERVAL).await;
            for (id, reserved_at) in self.unfinished.next_lookups(MAX_LOOKUPS) {
                let lookup = self.lookup_at_owner(&id).await;
                if has_ended(lookup, now_ms().saturating_sub(reserved_at)) {
                    self.unfinished.release(&id);
                }
            }
        }
    }

    /// Notifies the owner of a submission that an earlier request stored, unless it has ended.
    async fn announce_stored(self, id: Arc<str>) {
        let Ok(_permit) = self.announce_permits.acquire().await else {
            return;
        };
        match self.store.record(&id).await {
            Ok(item) => self.notifier.notify_submitted(NewSubmission {
                record: item.value,
                create_revision: item.create_revision,
            }),
            Err(StoreError::NotFound) => {}
            Err(error) => {
                log::warn!(target: "lagoonnotch", "failed to read submission {id} to notify the owner: {error:?}");
            }
        }
    }

    fn count(&self, queue: &QueuePolicy) -> EntryResponse {
        let waiting = self.view.waiting_count(&queue.name);
        let Some(waiting) = waiting.filter(|waiting| waiting.age_ms <= MAX_COUNT_AGE_MS) else {
            return refusal(RefusalReason::NoOwner);
        };
        FleetEvent::WaitingCountReturned.emit(json!({
            "queue": queue.name,
            "count": waiting.count,
            "age_ms": waiting.age_ms,
            "epoch": waiting.epoch,
            "unknown_ms": waiting.unknown_ms,
        }));
        EntryResponse::Waiting(waiting.count)
    }

    async fn show(&self, id: Arc<str>) -> EntryResponse {
        if let SubmissionLookup::Known(state) = self.lookup_at_owner(&id).await {
            return EntryResponse::State(state);
        }
        match self.store.state(&id).await {
            Ok(state) => EntryResponse::State(state),
            Err(StoreError::NotFound) => EntryResponse::NoSubmission,
            Err(_) => refusal(RefusalReason::NoOwner),
        }
    }

    async fn lookup_at_owner(&self, id: &Arc<str>) -> SubmissionLookup {
        if self.view.owned_epoch().is_some() {
            return self.control.submission_state(id.clone()).await;
        }
        let Some(owner) = self.view.owner() else {
            return SubmissionLookup::NotOwner;
        };
        let state = self
            .clients
            .submission_state(&owner.address, id.clone())
            .await;
        state.unwrap_or(SubmissionLookup::NotOwner)
    }

    async fn cancel(&self, id: Arc<str>) -> EntryResponse {
        let began_at = now_ms();
        let revision = match self.store.revision(&id).await {
            Ok(revision) => revision,
            Err(StoreError::NotFound) => return self.cancel_ended(&id).await,
            Err(_) => return refusal(RefusalReason::NoStore),
        };
        match self.store.cancel(&id, revision).await {
            StoreOutcome::Stored(_) | StoreOutcome::AlreadyStored(_) => {
                FleetEvent::CancelStored.emit(json!({
                    "request": id,
                    "store_ms": now_ms().saturating_sub(began_at),
                }));
                self.notifier.notify_cancelled(id);
                EntryResponse::Cancelled
            }
            StoreOutcome::Ended => self.cancel_ended(&id).await,
            StoreOutcome::NotStored => refusal(RefusalReason::NoStore),
            StoreOutcome::Unknown => EntryResponse::Unsettled,
        }
    }

    /// Handles the cancellation of a submission that no longer has a record.
    async fn cancel_ended(&self, id: &str) -> EntryResponse {
        match self.store.ended_state(id).await {
            Ok(_) => EntryResponse::Cancelled,
            Err(StoreError::NotFound) => EntryResponse::NoSubmission,
            Err(_) => refusal(RefusalReason::NoStore),
        }
    }
}

fn refusal(reason: RefusalReason) -> EntryResponse {
    EntryResponse::Refused(reason, RETRY_AFTER_S)
}
