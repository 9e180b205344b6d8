//! Stores submissions and cancellings for the host that took them.

use bytes::Bytes;
use lagoonnotch_fleet::model::{ProgressRecord, SubmissionState};

use crate::ports::{StoreError, StoreItem, StorePort, WriteOutcome, WriteRequest};
use crate::store::{EndedRecord, cancel_key, ended_key, progress_key, submission_key};

/// Reads after a write without an answer.
const SETTLE_READS: u32 = 2;

/// What became of a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreOutcome {
    /// It is stored, since this revision.
    Stored(u64),
    /// It is not stored, since the submission has ended.
    Ended,
    /// It was stored before, at this revision.
    AlreadyStored(u64),
    /// It is not stored and never will be by this call.
    NotStored,
    /// Not known.
    Unknown,
}

/// Stores submissions and cancellings.
#[derive(Clone)]
pub struct SubmissionStore {
    store: StorePort,
}

impl SubmissionStore {
    /// Makes a store of submissions.
    #[must_use]
    pub fn new(store: StorePort) -> Self {
        Self { store }
    }

    /// Stores a submission under its identifier, unless one is there or has ended.
    pub async fn create(&self, id: &str, record: Bytes) -> StoreOutcome {
        let key = submission_key(id);
        let call = WriteRequest {
            expected: vec![(key.clone(), 0), (ended_key(id), 0)],
            set: vec![(key.clone(), record)],
            ..WriteRequest::default()
        };
        self.write(call, vec![key, ended_key(id)]).await
    }

    /// Stores that a submission is cancelled, unless it has ended; `revision` is that of its
    /// record.
    pub async fn cancel(&self, id: &str, revision: u64) -> StoreOutcome {
        let key = cancel_key(id);
        let call = WriteRequest {
            expected: vec![(key.clone(), 0), (submission_key(id), revision)],
            set: vec![(key.clone(), Bytes::from_static(b"{}"))],
            ..WriteRequest::default()
        };
        self.write(call, vec![key]).await
    }

    /// Writes a call that sets the first of the keys; each of them says that it is not needed.
    async fn write(&self, call: WriteRequest, keys: Vec<String>) -> StoreOutcome {
        let written = call.set.first().map(|(_, value)| value.clone());
        match (self.store.write)(call).await {
            WriteOutcome::Applied(revision) => StoreOutcome::Stored(revision),
            WriteOutcome::Conflict(items) => match conflict(&keys, &items) {
                // The call may have been made twice, and done the first time.
                StoreOutcome::AlreadyStored(created)
                    if is_written(&keys[0], &items, written.as_ref()) =>
                {
                    StoreOutcome::Stored(created)
                }
                answer => answer,
            },
            WriteOutcome::NotApplied | WriteOutcome::LeaseNotFound => StoreOutcome::NotStored,
            WriteOutcome::Unknown => self.settle(keys).await,
        }
    }

    /// Reads back a write without an answer; its absence proves nothing, since it may come late.
    async fn settle(&self, keys: Vec<String>) -> StoreOutcome {
        for key in keys {
            for _ in 0..SETTLE_READS {
                match (self.store.read)(key.clone()).await {
                    Ok(item) => return StoreOutcome::Stored(item.create_revision),
                    Err(StoreError::NotFound) => break,
                    Err(_) => {}
                }
            }
        }
        StoreOutcome::Unknown
    }

    /// Reads the revision of the record of a submission that has not ended.
    ///
    /// # Errors
    ///
    /// Returns `Missing` if the store has no such submission.
    pub async fn revision(&self, id: &str) -> Result<u64, StoreError> {
        let item = (self.store.read)(submission_key(id)).await?;
        Ok(item.revision)
    }

    /// Reads the state of a submission; `Missing` only if the store has no such submission now.
    ///
    /// # Errors
    ///
    /// Returns the fault of the first call that failed.
    pub async fn state(&self, id: &str) -> Result<SubmissionState, StoreError> {
        match (self.store.read)(submission_key(id)).await {
            Ok(_) => {}
            Err(StoreError::NotFound) => return self.ended_state(id).await,
            Err(fault) => return Err(fault),
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
            // It may have ended between the two readings.
            Err(StoreError::NotFound) => match self.ended_state(id).await {
                Err(StoreError::NotFound) => self.cancelled_or(id, SubmissionState::Queued).await,
                found => found,
            },
            Err(fault) => Err(fault),
        }
    }

    /// Reads the final state of a submission that has ended.
    ///
    /// # Errors
    ///
    /// Returns `Missing` if no such submission has ended of late.
    pub async fn ended_state(&self, id: &str) -> Result<SubmissionState, StoreError> {
        let item = (self.store.read)(ended_key(id)).await?;
        let record: EndedRecord = serde_json::from_slice(&item.value).map_err(|error| {
            log::error!(target: "lagoonnotch", "item {} of the store can't be read: {error}", item.key);
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
            Err(fault) => Err(fault),
        }
    }
}

/// Tells whether an item holds just what was to be written.
fn is_written(key: &str, items: &[StoreItem], written: Option<&Bytes>) -> bool {
    let mut items = items.iter();
    items.any(|item| item.key == key && Some(&item.value) == written)
}

/// Tells which condition of a write did not hold; items that do not exist have revision 0.
fn conflict(keys: &[String], items: &[StoreItem]) -> StoreOutcome {
    let present = |wanted: &str| {
        items
            .iter()
            .find(|item| item.key == wanted && item.revision > 0)
    };
    match keys.iter().find_map(|key| present(key)) {
        Some(item) => StoreOutcome::AlreadyStored(item.create_revision),
        None => StoreOutcome::Ended,
    }
}
