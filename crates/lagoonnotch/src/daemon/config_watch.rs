//! Watches the store's log of documents, and the platform's list of upstreams.

use std::time::Duration;

use lagoonnotch_wire::document::SignedDocument;
use lagoonnotch_wire::store::{StoreCall, StoreEntry, StoreReply};
use tokio::time::sleep;

use crate::daemon::ControlHandle;
use crate::daemon::control_messages::{HostsMessage, LogMessage, WatchTurn};
use crate::document::LoggedDocument;
use crate::event::EventCode;
use crate::store::{StoreClient, StoreError};

/// Prefix of the log's keys.
const LOG_PREFIX: &str = "config/log/";

/// Longest time that a watch waits, in milliseconds.
const WATCH_MS: u64 = 1000;

/// Time between two looks of a host that does not watch, and after a fault.
const IDLE_TIME: Duration = Duration::from_millis(300);

/// Time between two reads of the list of upstreams.
const HOSTS_TIME: Duration = Duration::from_secs(1);

/// Most documents that one call reads.
const DOCUMENTS_PER_CALL: u64 = 200;

/// Returns the key of a document in the log.
pub(crate) fn log_key(revision: u64) -> String {
    format!("{LOG_PREFIX}{revision:020}")
}

/// Reads the log again and again while this host is the watcher of its failure domain.
pub(super) async fn watch_documents(control: ControlHandle, store: StoreClient) {
    let mut seen = 0;
    while let Ok(turn) = control.send(WatchTurn).await {
        if !turn.watching {
            sleep(IDLE_TIME).await;
            continue;
        }
        if let Ok(()) = read_log(&control, &store).await {
        } else {
            sleep(IDLE_TIME).await;
            continue;
        }
        let watch = StoreCall::Watch {
            prefix: LOG_PREFIX.to_owned(),
            after_revision: seen,
            wait_ms: WATCH_MS,
        };
        if let Ok(StoreReply::Changes { revision, .. }) = store.call_directly(&watch).await {
            seen = revision;
        }
    }
}

/// Reads the documents that this host lacks, to the end of the log.
pub(crate) async fn read_log(
    control: &ControlHandle,
    store: &StoreClient,
) -> Result<(), StoreError> {
    let mut after = control
        .send(WatchTurn)
        .await
        .map_err(|_| StoreError)?
        .revision;
    loop {
        let range = StoreCall::Range {
            prefix: LOG_PREFIX.to_owned(),
            after: log_key(after),
            limit: DOCUMENTS_PER_CALL,
        };
        let StoreReply::Entries { entries, more } = store.call(&range).await? else {
            return Err(StoreError);
        };
        let documents: Vec<LoggedDocument> = entries.iter().filter_map(parse_entry).collect();
        let Ok(revision) = control.send(LogMessage { documents }).await else {
            return Err(StoreError);
        };
        if !more || revision == after {
            return Ok(());
        }
        after = revision;
    }
}

/// Reads the list of upstreams again and again.
pub(super) async fn poll_hosts(control: ControlHandle, store: StoreClient) {
    loop {
        if let Ok(list) = store.hosts().await
            && control.send(HostsMessage(list.hosts)).await.is_err()
        {
            return;
        }
        sleep(HOSTS_TIME).await;
    }
}

/// Parses a document of the log; one that can't be read keeps its place and changes nothing.
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
