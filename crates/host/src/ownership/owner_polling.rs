//! The owner's periodic reads of the store: the upstream directory, and the submissions and
//! cancellations that hosts accepted.

use std::collections::{HashMap, HashSet};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use lagoonnotch_fleet::model::DirectoryRead;
use serde_json::json;
use tokio::time::{sleep, timeout};

use crate::clock::{now_ms, unix_ms};
use crate::control::ControlInput;
use crate::event::FleetEvent;
use crate::ownership::{AcceptedCursor, OwnershipContext, WatchCoverage};
use crate::ports::{ListRequest, StoreError, StoreItem, WatchRequest};
use crate::store::{
    CANCEL_PREFIX, ENDED_PREFIX, EndedRecord, SUBMISSION_PREFIX, TAKEN_PREFIX, list_all,
    parse_submission,
};

/// Time between reads of the directory.
const DIRECTORY_READ_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum time of a read of the directory.
const DIRECTORY_TIMEOUT: Duration = Duration::from_millis(1500);

/// Maximum time that a watch for new submissions waits, in milliseconds. The owner's counts are given
/// only if a watch or a listing shows what it knows at least every 3 s.
const WATCH_TIMEOUT_MS: u64 = 800;

/// Time between watches for new submissions; hosts also notify the owner directly.
const WATCH_INTERVAL: Duration = Duration::from_millis(700);

/// Time after which all submissions are listed again, in milliseconds; watches may miss some.
const RELIST_INTERVAL_MS: u64 = 8000;

/// Delay after a failed listing, in milliseconds.
const RELIST_RETRY_DELAY_MS: u64 = 700;

/// Time between reads of a page of final states to find expired ones.
const FINAL_STATE_CHECK_INTERVAL: Duration = Duration::from_secs(20);

/// Age from which the final states of ended submissions are deleted, in milliseconds. It is longer
/// than the owner's own retention time, so that only those left by earlier owners are found.
const FINAL_STATE_EXPIRY_MS: u64 = 300_000;

/// Minimum time between full listings, as a multiple of the duration of the last one.
const RELIST_INTERVAL_FACTOR: u64 = 20;

/// Unreadable directory entries that have been logged: their keys and revisions.
#[derive(Debug, Default)]
pub(super) struct DirectoryFindings {
    logged: HashMap<String, u64>,
}

impl DirectoryFindings {
    /// Logs the entries of a read that were not unreadable at this revision before.
    fn log_new(&mut self, unreadable: &[(&StoreItem, String)]) {
        let mut current = HashMap::new();
        for (item, finding) in unreadable {
            if self.logged.get(&item.key) != Some(&item.revision) {
                FleetEvent::DirectoryEntryUnreadable
                    .emit(json!({"key": item.key, "finding": finding}));
            }
            current.insert(item.key.clone(), item.revision);
        }
        self.logged = current;
    }
}

impl OwnershipContext {
    /// Reads the directory once; returns `None` on failure.
    pub(super) async fn read_directory(
        &self,
        findings: &mut DirectoryFindings,
    ) -> Option<DirectoryRead> {
        let requested_at = now_ms();
        let listing = list_all(&self.ports.store, &self.ports.directory_prefix);
        let (items, revision) = timeout(DIRECTORY_TIMEOUT, listing).await.ok()?.ok()?;
        self.view.record_store_response(requested_at);
        let mut reports = Vec::new();
        let mut unreadable = Vec::new();
        for item in &items {
            match (self.ports.parse_report)(item) {
                Ok(report) => reports.push(report),
                Err(finding) => unreadable.push((item, finding)),
            }
        }
        let prefix = &*self.ports.directory_prefix;
        let unreadable_ids = unreadable
            .iter()
            .filter_map(|(item, _)| item.key.strip_prefix(prefix))
            .map(Into::into)
            .collect();
        findings.log_new(&unreadable);
        let log = self.view.revision_log();
        let draining = reports.iter().filter(|report| report.draining);
        let written_after = draining
            .filter_map(|report| Some((report.id.clone(), log.written_after(report.revision)?)))
            .collect();
        Some(DirectoryRead {
            reports,
            written_after,
            unreadable: unreadable_ids,
            requested_at,
            revision,
        })
    }

    /// Reads the directory periodically until the task is dropped.
    pub(super) async fn poll_directory(self, mut findings: DirectoryFindings) {
        loop {
            sleep(DIRECTORY_READ_INTERVAL).await;
            if let Some(read) = self.read_directory(&mut findings).await {
                self.control.send(ControlInput::DirectoryRead(read)).await;
            }
        }
    }

    /// Watches for new submissions and cancellations, and lists them periodically, until the task is
    /// dropped. A listing may take seconds and does not delay the watches.
    pub(super) async fn poll_accepted(self, epoch: u64, cursor: AcceptedCursor) {
        let cursor = Mutex::new(cursor);
        tokio::join!(
            self.watch_accepted(epoch, &cursor),
            self.relist_accepted(epoch, &cursor)
        );
    }

    /// Watches for new submissions and cancellations until the task is dropped.
    ///
    /// The first watch is sent at once: after a long recovery much may have been accepted that the
    /// recovered state lacks.
    async fn watch_accepted(&self, epoch: u64, cursor: &Mutex<AcceptedCursor>) {
        loop {
            if !self.watch_once(cursor).await
                && let Some(listed) = self.list_accepted().await
            {
                lock(cursor).apply_listing(listed);
            }
            self.report_known(epoch, cursor).await;
            sleep(WATCH_INTERVAL).await;
        }
    }

    /// Lists all submissions and cancellations periodically until the task is dropped.
    async fn relist_accepted(&self, epoch: u64, cursor: &Mutex<AcceptedCursor>) {
        let mut relist_ms = RELIST_INTERVAL_MS;
        loop {
            sleep(Duration::from_millis(relist_ms)).await;
            let began_at = now_ms();
            let Some(listed) = self.list_accepted().await else {
                relist_ms = RELIST_RETRY_DELAY_MS;
                continue;
            };
            let took_ms = now_ms().saturating_sub(began_at);
            relist_ms = RELIST_INTERVAL_MS.max(took_ms * RELIST_INTERVAL_FACTOR);
            lock(cursor).apply_listing(listed);
            self.report_known(epoch, cursor).await;
        }
    }

    /// Reports to the control actor what has been sent to it.
    async fn report_known(&self, epoch: u64, cursor: &Mutex<AcceptedCursor>) {
        let until = lock(cursor).known_until();
        let input = ControlInput::AcceptedKnown { epoch, until };
        self.control.send(input).await;
    }

    /// Watches once; returns false if changes were skipped or are no longer available, so that they
    /// must be listed.
    async fn watch_once(&self, cursor: &Mutex<AcceptedCursor>) -> bool {
        let reported_revision = self.view.reported_revision();
        let request = WatchRequest {
            prefix: TAKEN_PREFIX.to_owned(),
            after: lock(cursor).revision(),
            wait_ms: WATCH_TIMEOUT_MS,
        };
        let sent_at = now_ms();
        match (self.ports.store.watch)(request).await {
            Ok(response) => {
                self.forward_accepted(&response.items).await;
                let coverage = lock(cursor).apply_watch(sent_at, &response, reported_revision);
                coverage != WatchCoverage::Gap
            }
            Err(StoreError::Compacted) => false,
            Err(_) => true,
        }
    }

    /// Lists all stored submissions and cancellations. Pages are read in key order, cancellations
    /// before submissions, so a cancellation without a listed submission belongs to one that has
    /// ended. Returns the position in the changes from which to watch.
    async fn list_accepted(&self) -> Option<AcceptedCursor> {
        let began_at = now_ms();
        let (items, revision) = list_all(&self.ports.store, TAKEN_PREFIX).await.ok()?;
        self.forward_accepted(&items).await;
        let listed: HashSet<_> = items
            .iter()
            .filter_map(|item| item.key.strip_prefix(SUBMISSION_PREFIX))
            .collect();
        let stale_ids: Vec<_> = items
            .iter()
            .filter_map(|item| item.key.strip_prefix(CANCEL_PREFIX))
            .filter(|id| !listed.contains(id))
            .map(Into::into)
            .collect();
        if !stale_ids.is_empty() {
            self.control
                .send(ControlInput::StaleCancellations(stale_ids))
                .await;
        }
        Some(AcceptedCursor::after_listing(began_at, revision))
    }

    /// Reads the final states of ended submissions page by page, and requests the deletion of
    /// expired ones, until the task is dropped. The owner itself deletes those that it stored; the
    /// others were left by earlier owners.
    pub(super) async fn sweep_expired_final_states(self) {
        let mut after = None;
        loop {
            sleep(FINAL_STATE_CHECK_INTERVAL).await;
            let request = ListRequest {
                prefix: ENDED_PREFIX.to_owned(),
                after: after.take(),
            };
            let Ok(page) = (self.ports.store.list)(request).await else {
                continue;
            };
            let now = unix_ms();
            let expired: Vec<_> = page
                .items
                .iter()
                .filter(|item| is_expired(item, now))
                .filter_map(|item| item.key.strip_prefix(ENDED_PREFIX))
                .map(Into::into)
                .collect();
            if !expired.is_empty() {
                self.control
                    .send(ControlInput::ExpiredFinalStates(expired))
                    .await;
            }
            after = page
                .items
                .last()
                .filter(|_| page.has_more)
                .map(|item| item.key.clone());
        }
    }

    /// Sends the stored submissions and cancellations among the items to the control actor.
    async fn forward_accepted(&self, items: &[StoreItem]) {
        let mut records = Vec::new();
        let mut cancellations = Vec::new();
        for item in items.iter().filter(|item| !item.deleted) {
            if item.key.starts_with(SUBMISSION_PREFIX) {
                records.extend(parse_submission(item).map(|record| (record, item.create_revision)));
            } else if let Some(id) = item.key.strip_prefix(CANCEL_PREFIX) {
                cancellations.push(id.into());
            }
        }
        if !records.is_empty() {
            self.control
                .send(ControlInput::SubmissionsStored(records))
                .await;
        }
        if !cancellations.is_empty() {
            self.control
                .send(ControlInput::CancellationsStored(cancellations))
                .await;
        }
    }
}

fn lock(cursor: &Mutex<AcceptedCursor>) -> MutexGuard<'_, AcceptedCursor> {
    cursor.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns whether the final state of a submission has expired; an unreadable one counts as
/// expired.
fn is_expired(item: &StoreItem, now_unix_ms: u64) -> bool {
    match serde_json::from_slice::<EndedRecord>(&item.value) {
        Ok(record) => record.ended_unix_ms + FINAL_STATE_EXPIRY_MS < now_unix_ms,
        Err(error) => {
            log::error!(target: "lagoonnotch", "failed to parse store item {}: {error}", item.key);
            true
        }
    }
}
