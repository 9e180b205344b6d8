//! Commits of the owner, each at most once and in order.
//!
//! A write without an answer may still be done seconds later. Each commit therefore sets one key
//! under the condition of that key's last revision: a commit that comes late can't overwrite a
//! newer one.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use lagoonnotch_fleet::owner::{CommitBatch, CommitOutcome};

use crate::ports::{StoreFault, StoreItem, StorePort, WriteCall, WriteOutcome};
use crate::store::{
    EndedRecord, OWNER_KEY, ROSTER_KEY, cancel_key, commit_key, ended_key, progress_key,
    submission_key,
};

/// What is known of the commits of one epoch in one lane.
#[derive(Clone, Copy, Debug, Default)]
struct CommitPlace {
    epoch: u64,
    lane: usize,
    /// Revision of the last commit; none if it has to be read first.
    revision: Option<u64>,
    number: u64,
}

/// Writes commits; those of one lane in order.
#[derive(Clone)]
pub struct CommitDesk {
    store: StorePort,
    places: Arc<Mutex<HashMap<usize, CommitPlace>>>,
}

impl CommitDesk {
    /// Makes a desk; one commit of a lane is written at a time.
    #[must_use]
    pub fn new(store: StorePort) -> Self {
        Self {
            store,
            places: Arc::default(),
        }
    }

    /// Writes a commit.
    pub async fn write(&self, epoch: u64, batch: &CommitBatch) -> CommitOutcome {
        let known = self.places().get(&batch.lane).copied();
        let mut place = known
            .filter(|place| place.epoch == epoch)
            .unwrap_or(CommitPlace {
                epoch,
                lane: batch.lane,
                ..CommitPlace::default()
            });
        place.number += 1;
        let outcome = self.write_at(&mut place, batch).await;
        self.places().insert(batch.lane, place);
        outcome
    }

    fn places(&self) -> MutexGuard<'_, HashMap<usize, CommitPlace>> {
        self.places.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn write_at(&self, place: &mut CommitPlace, batch: &CommitBatch) -> CommitOutcome {
        let revision = match place.revision {
            Some(revision) => revision,
            None => match (self.store.read)(commit_key(place.lane)).await {
                Ok(item) => item.revision,
                Err(StoreFault::Missing) => 0,
                Err(_) => return CommitOutcome::Unknown,
            },
        };
        place.revision = None;
        let Some(call) = commit_call(place, revision, batch) else {
            return CommitOutcome::Unknown;
        };
        match (self.store.write)(call).await {
            WriteOutcome::Done(revision) => {
                place.revision = Some(revision);
                CommitOutcome::Stored
            }
            WriteOutcome::Unknown | WriteOutcome::Conflict(_) => self.settle(place).await,
            WriteOutcome::NotDone | WriteOutcome::NoLease => CommitOutcome::Unknown,
        }
    }

    /// Finds out whether the commit is stored, and whether this host is still the owner.
    async fn settle(&self, place: &mut CommitPlace) -> CommitOutcome {
        match (self.store.read)(commit_key(place.lane)).await {
            Ok(item) if is_commit(&item, place) => {
                place.revision = Some(item.revision);
                CommitOutcome::Stored
            }
            Err(StoreFault::Unknown | StoreFault::NotDone) => CommitOutcome::Unknown,
            _ => match (self.store.read)(OWNER_KEY.to_owned()).await {
                Ok(item) if item.revision == place.epoch => CommitOutcome::Unknown,
                Ok(_) | Err(StoreFault::Missing) => CommitOutcome::Fenced,
                Err(_) => CommitOutcome::Unknown,
            },
        }
    }
}

fn is_commit(item: &StoreItem, place: &CommitPlace) -> bool {
    item.value == commit_value(place.epoch, place.number)
}

fn commit_value(epoch: u64, number: u64) -> Bytes {
    format!("{epoch}.{number}").into()
}

fn commit_call(place: &CommitPlace, revision: u64, batch: &CommitBatch) -> Option<WriteCall> {
    let key = commit_key(place.lane);
    let mut call = WriteCall {
        expected: vec![(OWNER_KEY.to_owned(), place.epoch), (key.clone(), revision)],
        set: vec![(key, commit_value(place.epoch, place.number))],
        ..WriteCall::default()
    };
    for (id, progress) in &batch.progress {
        call.set.push((progress_key(id), encode(progress)?));
    }
    if let Some(roster) = &batch.roster {
        call.set.push((ROSTER_KEY.to_owned(), encode(roster)?));
    }
    for ended in &batch.ended {
        let record = EndedRecord {
            state: ended.state,
            ended_unix_ms: ended.ended_unix_ms,
        };
        call.set.push((ended_key(&ended.id), encode(&record)?));
        call.delete.push(submission_key(&ended.id));
        call.delete.push(progress_key(&ended.id));
        call.delete.push(cancel_key(&ended.id));
    }
    for id in &batch.expired {
        call.delete.push(ended_key(id));
    }
    for id in &batch.stale_cancels {
        call.delete.push(cancel_key(id));
    }
    Some(call)
}

fn encode<T: serde::Serialize>(value: &T) -> Option<Bytes> {
    match serde_json::to_vec(value) {
        Ok(bytes) => Some(bytes.into()),
        Err(error) => {
            log::error!(target: "lagoonnotch", "a record can't be written: {error}");
            None
        }
    }
}
