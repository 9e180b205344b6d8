//! Background tasks that follow the store's document log and the platform's list of upstreams.

use std::time::Duration;

use lagoonnotch_wire::document::SignedDocument;
use lagoonnotch_wire::store::{StoreCall, StoreEntry, StoreReply};
use tokio::time::sleep;

use crate::daemon::ControlHandle;
use crate::daemon::control_messages::{LogReadMessage, UpstreamListMessage, WatchQuery};
use crate::document::LoggedDocument;
use crate::event::EventCode;
use crate::store::{StoreClient, StoreError};

/// Key prefix of the document log.
const LOG_PREFIX: &str = "config/log/";

/// Maximum time that a watch call waits for changes, in milliseconds.
const WATCH_WAIT_MS: u64 = 1000;

/// Pause of a host that is not the watcher, and after a failed read.
const IDLE_INTERVAL: Duration = Duration::from_millis(300);

/// Interval between reads of the list of upstreams.
const UPSTREAM_LIST_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of documents read by one call.
const MAX_DOCUMENTS_PER_CALL: u64 = 200;

/// Returns the key of the document at a revision of the log.
pub(crate) fn log_key(revision: u64) -> String {
    format!("{LOG_PREFIX}{revision:020}")
}

/// Follows the document log while this host is the watcher of its failure domain.
pub(super) async fn watch_documents(control: ControlHandle, store: StoreClient) {
    let mut store_revision = 0;
    while let Ok(state) = control.send(WatchQuery).await {
        if !state.watching {
            sleep(IDLE_INTERVAL).await;
            continue;
        }
        // A failed read is repeated after a pause.
        if let Ok(()) = read_log(&control, &store).await {
        } else {
            sleep(IDLE_INTERVAL).await;
            continue;
        }
        let watch = StoreCall::Watch {
            prefix: LOG_PREFIX.to_owned(),
            after_revision: store_revision,
            wait_ms: WATCH_WAIT_MS,
        };
        if let Ok(StoreReply::Changes { revision, .. }) = store.call_directly(&watch).await {
            store_revision = revision;
        }
    }
}

/// Reads the log from this host's revision to the end.
pub(crate) async fn read_log(
    control: &ControlHandle,
    store: &StoreClient,
) -> Result<(), StoreError> {
    let mut after = control
        .send(WatchQuery)
        .await
        .map_err(|_| StoreError)?
        .revision;
    loop {
        let range = StoreCall::Range {
            prefix: LOG_PREFIX.to_owned(),
            after: log_key(after),
            limit: MAX_DOCUMENTS_PER_CALL,
        };
        let StoreReply::Entries { entries, more } = store.call(&range).await? else {
            return Err(StoreError);
        };
        let documents: Vec<LoggedDocument> = entries.iter().filter_map(parse_entry).collect();
        let Ok(revision) = control.send(LogReadMessage { documents }).await else {
            return Err(StoreError);
        };
        if !more || revision == after {
            return Ok(());
        }
        after = revision;
    }
}

/// Reads the list of upstreams periodically.
pub(super) async fn poll_upstream_list(control: ControlHandle, store: StoreClient) {
    loop {
        if let Ok(list) = store.hosts().await
            && control.send(UpstreamListMessage(list.hosts)).await.is_err()
        {
            return;
        }
        sleep(UPSTREAM_LIST_INTERVAL).await;
    }
}

/// Parses an entry of the document log.
///
/// An unreadable document becomes an invalid one, which takes up its revision without changing the
/// configuration.
fn parse_entry(entry: &StoreEntry) -> Option<LoggedDocument> {
    let revision = entry.key.strip_prefix(LOG_PREFIX)?.parse().ok()?;
    let signed = serde_json::from_str(&entry.value).unwrap_or_else(|error| {
        EventCode::DocumentUnreadable.log(&format!("{}: {error}", entry.key));
        SignedDocument {
            text: String::new(),
            approver: String::new(),
            signature: String::new(),
        }
    });
    Some(LoggedDocument { revision, signed })
}
