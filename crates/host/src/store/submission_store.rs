//! Stores submissions and cancellations for the entry host that accepted them.

use bytes::Bytes;
use lagoonnotch_fleet::model::{ProgressRecord, SubmissionState};

use crate::ports::{StoreError, StoreItem, StorePort, WriteOutcome, WriteRequest};
use crate::store::{EndedRecord, cancel_key, ended_key, progress_key, submission_key};

/// Maximum number of reads per key after a write without a response.
const MAX_READ_BACKS: u32 = 2;

/// Outcome of storing a submission or a cancellation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreOutcome {
    /// Stored, at this revision.
    Stored(u64),
    /// A cancellation was not stored, because the submission has ended.
    Ended,
    /// A record was already stored at this revision: the same key, or the final state of an ended
    /// submission with this identifier.
    AlreadyStored(u64),
    /// Not stored, and this request will not store it later.
    NotStored,
    /// The outcome is unknown.
    Unknown,
}

/// Stores submissions and cancellations.
#[derive(Clone)]
pub struct SubmissionStore {
    store: StorePort,
}

impl SubmissionStore {
    /// Creates a submission store.
    #[must_use]
    pub fn new(store: StorePort) -> Self {
        Self { store }
    }

    /// Stores a submission under its identifier, unless one with that identifier exists or has
    /// ended.
    pub async fn create(&self, id: &str, record: Bytes) -> StoreOutcome {
        let key = submission_key(id);
        let request = WriteRequest {
            expected: vec![(key.clone(), 0), (ended_key(id), 0)],
            set: vec![(key.clone(), record)],
            ..WriteRequest::default()
        };
        self.write(request, vec![key, ended_key(id)]).await
    }

    /// Stores the cancellation of a submission, unless the submission has ended; `revision` is the
    /// revision of its record.
    pub async fn cancel(&self, id: &str, revision: u64) -> StoreOutcome {
        let key = cancel_key(id);
        let request = WriteRequest {
            expected: vec![(key.clone(), 0), (submission_key(id), revision)],
            set: vec![(key.clone(), Bytes::from_static(b"{}"))],
            ..WriteRequest::default()
        };
        self.write(request, vec![key]).await
    }

    /// Performs a write whose first set key is `keys[0]`; the write is unnecessary if any of `keys`
    /// exists.
    async fn write(&self, request: WriteRequest, keys: Vec<String>) -> StoreOutcome {
        let written = request.set.first().map(|(_, value)| value.clone());
        match (self.store.write)(request).await {
            WriteOutcome::Applied(revision) => StoreOutcome::Stored(revision),
            WriteOutcome::Conflict(items) => match conflict_outcome(&keys, &items) {
                // The write may have been sent twice and applied the first time.
                StoreOutcome::AlreadyStored(create_revision)
                    if is_written(&keys[0], &items, written.as_ref()) =>
                {
                    StoreOutcome::Stored(create_revision)
                }
                outcome => outcome,
            },
            WriteOutcome::NotApplied | WriteOutcome::LeaseNotFound => StoreOutcome::NotStored,
            WriteOutcome::Unknown => self.read_back(keys, written.as_ref()).await,
        }
    }

    /// Checks whether a write without a response was applied: the first key then holds the written
    /// value. If none of the keys exists, the outcome is unknown, because the write may still be
    /// applied.
    async fn read_back(&self, keys: Vec<String>, written: Option<&Bytes>) -> StoreOutcome {
        for key in &keys {
            for _ in 0..MAX_READ_BACKS {
                match (self.store.read)(key.clone()).await {
                    Ok(item) if is_written(&keys[0], std::slice::from_ref(&item), written) => {
                        return StoreOutcome::Stored(item.create_revision);
                    }
                    Ok(item) => return StoreOutcome::AlreadyStored(item.create_revision),
                    Err(StoreError::NotFound) => break,
                    Err(_) => {}
                }
            }
        }
        StoreOutcome::Unknown
    }

    /// Returns the record of a submission that has not ended.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::NotFound`] if the store has no such submission.
    pub async fn record(&self, id: &str) -> Result<StoreItem, StoreError> {
        (self.store.read)(submission_key(id)).await
    }

    /// Returns the revision of the record of a submission that has not ended.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::NotFound`] if the store has no such submission.
    pub async fn revision(&self, id: &str) -> Result<u64, StoreError> {
        Ok(self.record(id).await?.revision)
    }

    /// Returns the state of a submission; [`StoreError::NotFound`] only if the store currently has
    /// no such submission.
    ///
    /// # Errors
    ///
    /// Returns the first error of a request to the store.
    pub async fn state(&self, id: &str) -> Result<SubmissionState, StoreError> {
        match (self.store.read)(submission_key(id)).await {
            Ok(_) => {}
            Err(StoreError::NotFound) => return self.ended_state(id).await,
            Err(error) => return Err(error),
        }
        match (self.store.read)(progress_key(id)).await {
            Ok(item) => {
                let progress: Option<ProgressRecord> = serde_json::from_slice(&item.value).ok();
                let state = progress.map(|progress| progress.state);
                if let Some(state) = state.filter(|state| state.is_final()) {
                    return Ok(state);
                }
                self.cancelled_or(id, state.unwrap_or_default()).await
            }
            // The submission may have ended between the two reads.
            Err(StoreError::NotFound) => match self.ended_state(id).await {
                Err(StoreError::NotFound) => self.cancelled_or(id, SubmissionState::Queued).await,
                result => result,
            },
            Err(error) => Err(error),
        }
    }

    /// Returns the final state of an ended submission.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::NotFound`] if no such submission has ended recently.
    pub async fn ended_state(&self, id: &str) -> Result<SubmissionState, StoreError> {
        let item = (self.store.read)(ended_key(id)).await?;
        let record: EndedRecord = serde_json::from_slice(&item.value).map_err(|error| {
            log::error!(target: "lagoonnotch", "failed to parse store item {}: {error}", item.key);
            StoreError::NoResponse
        })?;
        Ok(record.state)
    }

    async fn cancelled_or(
        &self,
        id: &str,
        state: SubmissionState,
    ) -> Result<SubmissionState, StoreError> {
        match (self.store.read)(cancel_key(id)).await {
            Ok(_) => Ok(SubmissionState::Cancelled),
            Err(StoreError::NotFound) => Ok(state),
            Err(error) => Err(error),
        }
    }
}

/// Returns whether an item holds exactly the value that was to be written.
fn is_written(key: &str, items: &[StoreItem], written: Option<&Bytes>) -> bool {
    let mut items = items.iter();
    items.any(|item| item.key == key && Some(&item.value) == written)
}

/// Maps the items of a conflict to an outcome. An item that does not exist is missing or has
/// revision 0.
fn conflict_outcome(keys: &[String], items: &[StoreItem]) -> StoreOutcome {
    let existing = |wanted: &str| {
        items
            .iter()
            .find(|item| item.key == wanted && item.revision > 0)
    };
    match keys.iter().find_map(|key| existing(key)) {
        Some(item) => StoreOutcome::AlreadyStored(item.create_revision),
        None => StoreOutcome::Ended,
    }
}
