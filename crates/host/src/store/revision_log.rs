//! When this host saw how far the store had advanced.
//!
//! A record in the store carries no time that another host could use, because wall clocks jump. Its
//! revision does instead: once a host has seen the store at that revision, the record had been
//! written by then.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::clock::now_ms;
use crate::ports::{ListRequest, StorePort, WatchRequest, port};

/// Time for which sightings are kept, in milliseconds; no wait that they shorten is longer.
const RETENTION_MS: u64 = 15_000;

/// The store was at or beyond a revision at this time.
#[derive(Clone, Copy, Debug)]
struct RevisionSighting {
    revision: u64,
    /// Time in milliseconds on this host's boot-time clock.
    seen_at: u64,
}

/// Sightings of the store's revision by this host.
#[derive(Clone, Debug, Default)]
pub struct RevisionLog {
    /// Ordered by revision, without duplicates.
    sightings: Arc<Mutex<VecDeque<RevisionSighting>>>,
}

impl RevisionLog {
    /// Records that the store was at or beyond a revision at a time.
    pub fn record(&self, revision: u64, seen_at: u64) {
        let mut sightings = self.lock();
        if sightings
            .back()
            .is_some_and(|last| last.revision >= revision)
        {
            return;
        }
        sightings.push_back(RevisionSighting { revision, seen_at });
        let kept_from = seen_at.saturating_sub(RETENTION_MS);
        while sightings
            .front()
            .is_some_and(|first| first.seen_at < kept_from)
        {
            sightings.pop_front();
        }
    }

    /// Returns a time by which everything up to a revision had been written, if one is known. It may
    /// be much later than the write.
    #[must_use]
    pub fn written_by(&self, revision: u64) -> Option<u64> {
        let sightings = self.lock();
        let index = sightings.partition_point(|sighting| sighting.revision < revision);
        sightings.get(index).map(|sighting| sighting.seen_at)
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<RevisionSighting>> {
        self.sightings
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns a store port whose reads, lists and watches record the revisions that they return.
#[must_use]
pub fn logged_store(store: &StorePort, log: &RevisionLog) -> StorePort {
    let read = {
        let (read, log) = (store.read.clone(), log.clone());
        port(move |key: String| {
            let (response, log) = (read(key), log.clone());
            async move {
                let response = response.await;
                if let Ok(item) = &response {
                    log.record(item.revision, now_ms());
                }
                response
            }
        })
    };
    let list = {
        let (list, log) = (store.list.clone(), log.clone());
        port(move |request: ListRequest| {
            let (response, log) = (list(request), log.clone());
            async move {
                let response = response.await;
                if let Ok(page) = &response {
                    log.record(page.revision, now_ms());
                }
                response
            }
        })
    };
    let watch = {
        let (watch, log) = (store.watch.clone(), log.clone());
        port(move |request: WatchRequest| {
            let (response, log) = (watch(request), log.clone());
            async move {
                let response = response.await;
                if let Ok(changes) = &response {
                    log.record(changes.revision, now_ms());
                }
                response
            }
        })
    };
    StorePort {
        read,
        list,
        watch,
        ..store.clone()
    }
}
