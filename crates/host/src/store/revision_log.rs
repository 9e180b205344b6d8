//! When this host saw how far the store had advanced.
//!
//! A record in the store carries no time that another host could use, because wall clocks jump. Its
//! revision does instead: once a host has seen the store at that revision, the record had been
//! written by then.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::clock::now_ms;
use crate::peer::AgedRequest;
use crate::ports::{ListRequest, StorePort, WatchRequest, WriteOutcome, WriteRequest, port};
use crate::store::ContactLog;

/// Time for which sightings are kept, in milliseconds; no wait that they shorten is longer.
const RETENTION_MS: u64 = 15_000;

/// The store was at or beyond a revision at this time.
#[derive(Clone, Copy, Debug)]
struct RevisionSighting {
    revision: u64,
    /// Time in milliseconds on this host's boot-time clock.
    seen_at: u64,
}

/// The store was at a revision at some time after this request, so that every higher revision was
/// written after it.
#[derive(Clone, Copy, Debug)]
struct RevisionRequest {
    revision: u64,
    /// Time in milliseconds on this host's boot-time clock.
    sent_at: u64,
}

/// Minimum time between two requests that are kept, in milliseconds.
const REQUEST_SPACING_MS: u64 = 50;

/// Maximum number of requests that a host tells another one.
const MAX_SHARED_REQUESTS: usize = 100;

/// Sightings of the store's revision by this host.
#[derive(Clone, Debug, Default)]
pub struct RevisionLog {
    /// Ordered by revision, without duplicates.
    sightings: Arc<Mutex<VecDeque<RevisionSighting>>>,
    /// Ordered by time.
    requests: Arc<Mutex<VecDeque<RevisionRequest>>>,
    contacts: ContactLog,
}

impl RevisionLog {
    /// Records that the store was at or beyond a revision at a time.
    pub fn record(&self, revision: u64, seen_at: u64) {
        self.contacts.record(seen_at);
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

    /// Returns this host's contact with the store.
    #[must_use]
    pub fn contacts(&self) -> &ContactLog {
        &self.contacts
    }

    /// Returns a time by which everything up to a revision had been written, if one is known. It may
    /// be much later than the write.
    #[must_use]
    pub fn written_by(&self, revision: u64) -> Option<u64> {
        let sightings = self.lock();
        let index = sightings.partition_point(|sighting| sighting.revision < revision);
        sightings.get(index).map(|sighting| sighting.seen_at)
    }

    /// Records a linearizable request that was sent at a time and answered with the store's
    /// revision.
    pub fn record_request(&self, revision: u64, sent_at: u64) {
        let mut requests = lock(&self.requests);
        let is_close = |last: &RevisionRequest| sent_at < last.sent_at + REQUEST_SPACING_MS;
        if requests.back().is_some_and(is_close) {
            return;
        }
        requests.push_back(RevisionRequest { revision, sent_at });
        let kept_from = sent_at.saturating_sub(RETENTION_MS);
        while requests
            .front()
            .is_some_and(|first| first.sent_at < kept_from)
        {
            requests.pop_front();
        }
    }

    /// Returns a time after which a revision was written, if one is known. It may be much earlier
    /// than the write.
    #[must_use]
    pub fn written_after(&self, revision: u64) -> Option<u64> {
        let requests = lock(&self.requests);
        let earlier = requests
            .iter()
            .rev()
            .find(|request| request.revision < revision);
        earlier.map(|request| request.sent_at)
    }

    /// Returns the newest requests, with their ages at a time.
    #[must_use]
    pub fn recent_requests(&self, now: u64) -> Vec<AgedRequest> {
        let requests = lock(&self.requests);
        let newest = requests.iter().rev().take(MAX_SHARED_REQUESTS);
        newest
            .map(|request| AgedRequest {
                revision: request.revision,
                age_ms: now.saturating_sub(request.sent_at),
            })
            .collect()
    }

    /// Adds the requests of another host, whose ages are those at a time after `asked_at`.
    pub fn add_peer_requests(&self, asked_at: u64, aged: &[AgedRequest]) {
        let mut requests = lock(&self.requests);
        for request in aged {
            requests.push_back(RevisionRequest {
                revision: request.revision,
                sent_at: asked_at.saturating_sub(request.age_ms),
            });
        }
        requests
            .make_contiguous()
            .sort_unstable_by_key(|request| request.sent_at);
    }

    /// Returns the lowest revision of which a sighting is kept.
    #[must_use]
    pub fn oldest_revision(&self) -> Option<u64> {
        self.lock().front().map(|sighting| sighting.revision)
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<RevisionSighting>> {
        lock(&self.sightings)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns a store port whose reads, lists, watches and writes record the revisions that they
/// return. A watch may have got its revision long after it was sent, and a read returns that of its
/// item, so neither counts as a request.
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
            let (sent_at, response, log) = (now_ms(), list(request), log.clone());
            async move {
                let response = response.await;
                if let Ok(page) = &response {
                    log.record_request(page.revision, sent_at);
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
    let write = {
        let (write, log) = (store.write.clone(), log.clone());
        port(move |request: WriteRequest| {
            let (sent_at, response, log) = (now_ms(), write(request), log.clone());
            async move {
                let response = response.await;
                if let WriteOutcome::Applied(revision) = response {
                    log.record_request(revision, sent_at);
                    log.record(revision, now_ms());
                }
                response
            }
        })
    };
    StorePort {
        read,
        list,
        watch,
        write,
        ..store.clone()
    }
}
