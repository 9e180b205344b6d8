//! Reads the state from which a new owner recovers.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use futures::try_join;
use lagoonnotch_fleet::model::{ProgressRecord, SubmissionRecord};
use lagoonnotch_fleet::owner::{RecoveredState, RosterEntry, StoredSubmission};
use serde::de::DeserializeOwned;

use crate::clock::now_ms;
use crate::ports::{ListRequest, StoreError, StoreItem, StorePort};
use crate::store::key_layout::{CANCEL_PREFIX, COMMIT_PREFIX, PROGRESS_PREFIX, SUBMISSION_PREFIX};
use crate::store::{ROSTER_KEY, RevisionLog};

/// Lists all items with a prefix, and returns them with the store's revision at the first page.
///
/// # Errors
///
/// Returns the error of the first page that can't be read.
pub async fn list_all(
    store: &StorePort,
    prefix: &str,
) -> Result<(Vec<StoreItem>, u64), StoreError> {
    let mut items = Vec::new();
    let mut revision = None;
    let mut after = None;
    loop {
        let request = ListRequest {
            prefix: prefix.to_owned(),
            after: after.take(),
        };
        let page = (store.list)(request).await?;
        revision.get_or_insert(page.revision);
        after = page.items.last().map(|item| item.key.clone());
        items.extend(page.items);
        if !page.has_more || after.is_none() {
            return Ok((items, revision.unwrap_or(0)));
        }
    }
}

/// The stored state for a new owner.
#[derive(Debug)]
pub struct RecoveryRead {
    /// What the owner recovers from.
    pub state: RecoveredState,
    /// Revision after which to watch submissions and cancellations: that of the first listing.
    pub watch_revision: u64,
    /// Revision of the last commit of an earlier owner; 0 if there is none.
    pub last_commit_revision: u64,
}

/// Reads the state for a new owner, which has stored its claim, so that earlier owners commit no
/// more.
///
/// # Errors
///
/// Returns the first error of a request to the store.
pub async fn read_recovery_state(
    store: &StorePort,
    log: &RevisionLog,
) -> Result<RecoveryRead, StoreError> {
    // Cancellations are listed before submissions, so a cancellation without a listed submission
    // belongs to one that has ended.
    let ((cancels, watch_revision), (progress, _), (roster, roster_revision), (commits, _)) = try_join!(
        list_all(store, CANCEL_PREFIX),
        list_all(store, PROGRESS_PREFIX),
        read_roster(store),
        list_all(store, COMMIT_PREFIX),
    )?;
    let (submissions, submissions_revision) = list_all(store, SUBMISSION_PREFIX).await?;
    let cancelled: HashSet<_> = cancels
        .iter()
        .filter_map(|item| item.key.strip_prefix(CANCEL_PREFIX))
        .collect();
    let mut progress_by_id: HashMap<_, ProgressRecord> = progress
        .iter()
        .filter_map(|item| Some((item.key.strip_prefix(PROGRESS_PREFIX)?, parse(item)?)))
        .collect();
    let listed: HashSet<_> = submissions
        .iter()
        .filter_map(|item| item.key.strip_prefix(SUBMISSION_PREFIX))
        .collect();
    let stale_cancels = cancelled.difference(&listed);
    let stale_cancels = stale_cancels.map(|id| Arc::from(*id)).collect();
    let submissions = submissions
        .iter()
        .filter_map(|item| {
            let id = item.key.strip_prefix(SUBMISSION_PREFIX)?;
            Some(StoredSubmission {
                record: parse_submission(item)?,
                progress: progress_by_id.remove(id),
                cancelled: cancelled.contains(id),
            })
        })
        .collect();
    let state = RecoveredState {
        submissions,
        roster,
        departed: Vec::new(),
        roster_written_by: log.written_by(roster_revision).unwrap_or_else(now_ms),
        revision: submissions_revision,
        stale_cancels,
        previous_owner_active_ms: 0,
        leases_expire_by: None,
        leases_may_be_extended: false,
        claim_requested_at: 0,
    };
    let last_commit_revision = commits.iter().map(|item| item.revision).max();
    Ok(RecoveryRead {
        state,
        watch_revision,
        last_commit_revision: last_commit_revision.unwrap_or(0),
    })
}

/// Reads the roster and its revision.
async fn read_roster(store: &StorePort) -> Result<(Vec<RosterEntry>, u64), StoreError> {
    match (store.read)(ROSTER_KEY.to_owned()).await {
        Ok(item) => Ok((parse(&item).unwrap_or_default(), item.revision)),
        Err(StoreError::NotFound) => Ok((Vec::new(), 0)),
        Err(error) => Err(error),
    }
}

/// Parses the record of a submission.
#[must_use]
pub fn parse_submission(item: &StoreItem) -> Option<Arc<SubmissionRecord>> {
    parse(item).map(Arc::new)
}

fn parse<T: DeserializeOwned>(item: &StoreItem) -> Option<T> {
    match serde_json::from_slice(&item.value) {
        Ok(value) => Some(value),
        Err(error) => {
            log::error!(target: "lagoonnotch", "failed to parse store item {}: {error}", item.key);
            None
        }
    }
}
