//! The owner's readings of the store: the directory of upstreams, and what hosts have taken.

use std::collections::HashSet;
use std::time::Duration;

use lagoonnotch_fleet::model::UpstreamReport;
use tokio::time::{sleep, timeout};

use crate::clock::{now_ms, unix_ms};
use crate::control::ControlInput;
use crate::ownership::OwnershipContext;
use crate::ports::{ListRequest, StoreError, StoreItem, WatchRequest};
use crate::store::{
    CANCEL_PREFIX, ENDED_PREFIX, EndedRecord, SUBMISSION_PREFIX, TAKEN_PREFIX, list_all,
    parse_submission,
};

/// Time between readings of the directory.
const DIRECTORY_INTERVAL: Duration = Duration::from_millis(500);

/// Longest time of a reading of the directory.
const DIRECTORY_TIMEOUT: Duration = Duration::from_millis(1500);

/// How long a watch of new submissions waits, in milliseconds.
const WATCH_WAIT_MS: u64 = 2000;

/// Time between watches of new submissions; hosts tell the owner of theirs directly.
const WATCH_INTERVAL: Duration = Duration::from_millis(700);

/// Pause after a call to the store that failed.
const FAULT_PAUSE: Duration = Duration::from_millis(200);

/// Time after which all submissions are read again, in milliseconds; watches may miss some.
const RELIST_INTERVAL_MS: u64 = 8000;

/// Time between pages of ended submissions that are looked through.
const SWEEP_INTERVAL: Duration = Duration::from_secs(20);

/// How long ends of submissions are kept, in milliseconds; the settings of the owner say less.
const OLD_END_MS: u64 = 300_000;

/// Pause after all was read again, as a multiple of the time that it took.
const RELIST_PAUSES: u64 = 20;

impl OwnershipContext {
    /// Reads the directory once.
    pub(super) async fn read_directory(&self) -> Option<Vec<UpstreamReport>> {
        let began_at = now_ms();
        let listing = list_all(&self.ports.store, &self.ports.directory_prefix);
        let (items, _) = timeout(DIRECTORY_TIMEOUT, listing).await.ok()?.ok()?;
        self.view.record_store_response(began_at);
        let reports = items
            .iter()
            .filter_map(|item| (self.ports.parse_report)(item))
            .collect();
        Some(reports)
    }

    /// Reads the directory at intervals until the task is dropped.
    pub(super) async fn follow_directory(self) {
        loop {
            sleep(DIRECTORY_INTERVAL).await;
            if let Some(reports) = self.read_directory().await {
                self.control
                    .send(ControlInput::DirectoryRead(reports))
                    .await;
            }
        }
    }

    /// Watches new submissions and cancellings until the task is dropped.
    pub(super) async fn follow_taken(self, mut revision: u64) {
        let mut listed_at = now_ms();
        let mut relist_ms = RELIST_INTERVAL_MS;
        loop {
            sleep(WATCH_INTERVAL).await;
            if now_ms().saturating_sub(listed_at) > relist_ms {
                let began_at = now_ms();
                if let Some(read) = self.list_taken().await {
                    revision = read;
                    listed_at = now_ms();
                    relist_ms = RELIST_INTERVAL_MS.max((listed_at - began_at) * RELIST_PAUSES);
                }
                continue;
            }
            let call = WatchRequest {
                prefix: TAKEN_PREFIX.to_owned(),
                after: revision,
                wait_ms: WATCH_WAIT_MS,
            };
            match (self.ports.store.watch)(call).await {
                Ok(answer) => {
                    revision = answer.revision;
                    self.bring(&answer.items).await;
                }
                Err(StoreError::Compacted) => {
                    if let Some(read) = self.list_taken().await {
                        revision = read;
                        listed_at = now_ms();
                    }
                }
                Err(_) => sleep(FAULT_PAUSE).await,
            }
        }
    }

    /// Reads all that hosts have taken. Cancellings come first in the order of keys: one without a
    /// submission came after its end.
    async fn list_taken(&self) -> Option<u64> {
        let (items, revision) = list_all(&self.ports.store, TAKEN_PREFIX).await.ok()?;
        self.bring(&items).await;
        let listed: HashSet<_> = items
            .iter()
            .filter_map(|item| item.key.strip_prefix(SUBMISSION_PREFIX))
            .collect();
        let strays: Vec<_> = items
            .iter()
            .filter_map(|item| item.key.strip_prefix(CANCEL_PREFIX))
            .filter(|id| !listed.contains(id))
            .map(Into::into)
            .collect();
        if !strays.is_empty() {
            self.control
                .send(ControlInput::StaleCancellations(strays))
                .await;
        }
        Some(revision)
    }

    /// Reads the ends of submissions page by page, and has the old ones deleted, until the task is
    /// dropped. The owner deletes those that it stored itself; others were left by earlier owners.
    pub(super) async fn sweep_ends(self) {
        let mut after = None;
        loop {
            sleep(SWEEP_INTERVAL).await;
            let call = ListRequest {
                prefix: ENDED_PREFIX.to_owned(),
                after: after.take(),
            };
            let Ok(page) = (self.ports.store.list)(call).await else {
                continue;
            };
            let now = unix_ms();
            let old: Vec<_> = page
                .items
                .iter()
                .filter(|item| is_old_end(item, now))
                .filter_map(|item| item.key.strip_prefix(ENDED_PREFIX))
                .map(Into::into)
                .collect();
            if !old.is_empty() {
                self.control.send(ControlInput::ExpiredResults(old)).await;
            }
            after = page
                .items
                .last()
                .filter(|_| page.has_more)
                .map(|item| item.key.clone());
        }
    }

    async fn bring(&self, items: &[StoreItem]) {
        let mut records = Vec::new();
        let mut cancels = Vec::new();
        for item in items.iter().filter(|item| !item.deleted) {
            if item.key.starts_with(SUBMISSION_PREFIX) {
                records.extend(parse_submission(item).map(|record| (record, item.create_revision)));
            } else if let Some(id) = item.key.strip_prefix(CANCEL_PREFIX) {
                cancels.push(id.into());
            }
        }
        if !records.is_empty() {
            self.control
                .send(ControlInput::SubmissionsStored(records))
                .await;
        }
        if !cancels.is_empty() {
            self.control
                .send(ControlInput::CancellationsStored(cancels))
                .await;
        }
    }
}

/// Tells whether the end of a submission has been kept long enough; an unreadable one has.
fn is_old_end(item: &StoreItem, now_unix_ms: u64) -> bool {
    match serde_json::from_slice::<EndedRecord>(&item.value) {
        Ok(record) => record.ended_unix_ms + OLD_END_MS < now_unix_ms,
        Err(error) => {
            log::error!(target: "lagoonnotch", "failed to parse store item {}: {error}", item.key);
            true
        }
    }
}
