//! Writes the owner's commits, each at most once. Commits are spread over a few lanes. A lane is a
//! sequence of commits, each written only after the previous one.
//!
//! A write without a response may still be applied seconds later. Each commit therefore updates its
//! lane's key on the condition that its revision is unchanged, so a delayed commit can't overwrite
//! a newer one.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use lagoonnotch_fleet::owner::{CommitBatch, CommitOutcome};

use crate::ports::{StoreError, StoreItem, StorePort, WriteOutcome, WriteRequest};
use crate::store::{
    EndedRecord, OWNER_KEY, ROSTER_KEY, cancel_key, commit_key, ended_key, progress_key,
    submission_key,
};

/// State of the commits of one epoch in one lane.
#[derive(Clone, Copy, Debug, Default)]
struct LaneState {
    epoch: u64,
    lane: usize,
    /// Revision of the last commit; `None` if it must be read first.
    revision: Option<u64>,
    /// Number of the lane's last attempted commit in this epoch.
    number: u64,
}

/// Writes commits; those of a lane are written in order.
#[derive(Clone)]
pub struct CommitWriter {
    store: StorePort,
    lanes: Arc<Mutex<HashMap<usize, LaneState>>>,
}

impl CommitWriter {
    /// Creates a writer; callers write at most one commit per lane at a time.
    #[must_use]
    pub fn new(store: StorePort) -> Self {
        Self {
            store,
            lanes: Arc::default(),
        }
    }

    /// Writes a commit.
    pub async fn write(&self, epoch: u64, batch: &CommitBatch) -> CommitOutcome {
        let known = self.lanes().get(&batch.lane).copied();
        let mut state = known
            .filter(|state| state.epoch == epoch)
            .unwrap_or(LaneState {
                epoch,
                lane: batch.lane,
                ..LaneState::default()
            });
        state.number += 1;
        let outcome = self.write_in_lane(&mut state, batch).await;
        self.lanes().insert(batch.lane, state);
        outcome
    }

    fn lanes(&self) -> MutexGuard<'_, HashMap<usize, LaneState>> {
        self.lanes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn write_in_lane(&self, state: &mut LaneState, batch: &CommitBatch) -> CommitOutcome {
        let revision = match state.revision {
            Some(revision) => revision,
            None => match (self.store.read)(commit_key(state.lane)).await {
                Ok(item) => item.revision,
                Err(StoreError::NotFound) => 0,
                Err(_) => return CommitOutcome::Unknown,
            },
        };
        state.revision = None;
        let Some(request) = commit_request(state, revision, batch) else {
            return CommitOutcome::Unknown;
        };
        match (self.store.write)(request).await {
            WriteOutcome::Applied(revision) => {
                state.revision = Some(revision);
                CommitOutcome::Stored { revision }
            }
            WriteOutcome::Unknown | WriteOutcome::Conflict(_) => self.read_back(state).await,
            WriteOutcome::NotApplied | WriteOutcome::LeaseNotFound => CommitOutcome::Unknown,
        }
    }

    /// Reads back whether the commit is stored, and whether this host is still the owner.
    async fn read_back(&self, state: &mut LaneState) -> CommitOutcome {
        match (self.store.read)(commit_key(state.lane)).await {
            Ok(item) if is_own_commit(&item, state) => {
                state.revision = Some(item.revision);
                CommitOutcome::Stored {
                    revision: item.revision,
                }
            }
            Err(StoreError::NoResponse | StoreError::NotExecuted) => CommitOutcome::Unknown,
            _ => match (self.store.read)(OWNER_KEY.to_owned()).await {
                Ok(item) if item.revision == state.epoch => CommitOutcome::Unknown,
                Ok(_) | Err(StoreError::NotFound) => CommitOutcome::Fenced,
                Err(_) => CommitOutcome::Unknown,
            },
        }
    }
}

fn is_own_commit(item: &StoreItem, state: &LaneState) -> bool {
    item.value == commit_value(state.epoch, state.number)
}

fn commit_value(epoch: u64, number: u64) -> Bytes {
    format!("{epoch}.{number}").into()
}

fn commit_request(state: &LaneState, revision: u64, batch: &CommitBatch) -> Option<WriteRequest> {
    let key = commit_key(state.lane);
    let mut request = WriteRequest {
        expected: vec![(OWNER_KEY.to_owned(), state.epoch), (key.clone(), revision)],
        set: vec![(key, commit_value(state.epoch, state.number))],
        ..WriteRequest::default()
    };
    for (id, progress) in &batch.progress {
        request.set.push((progress_key(id), encode(progress)?));
    }
    if let Some(roster) = &batch.roster {
        request.set.push((ROSTER_KEY.to_owned(), encode(roster)?));
    }
    for ended in &batch.ended {
        let record = EndedRecord {
            state: ended.state,
            ended_unix_ms: ended.ended_unix_ms,
        };
        request.set.push((ended_key(&ended.id), encode(&record)?));
        request.delete.push(submission_key(&ended.id));
        request.delete.push(progress_key(&ended.id));
        request.delete.push(cancel_key(&ended.id));
    }
    for id in &batch.expired_results {
        request.delete.push(ended_key(id));
    }
    for id in &batch.stale_cancels {
        request.delete.push(cancel_key(id));
    }
    Some(request)
}

fn encode<T: serde::Serialize>(value: &T) -> Option<Bytes> {
    match serde_json::to_vec(value) {
        Ok(bytes) => Some(bytes.into()),
        Err(error) => {
            log::error!(target: "lagoonnotch", "failed to serialize a record: {error}");
            None
        }
    }
}
