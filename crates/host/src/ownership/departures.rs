//! Finds the upstreams that left while no owner read the directory.
//!
//! A draining upstream whose entry is deleted less than two report intervals after its last report
//! has left: an entry without reports expires only after three. The store's history has both events
//! with their revisions but without times. This host's log of revisions bounds the times: from
//! below for the report, and from above for the deletion.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use futures::{StreamExt, stream};
use lagoonnotch_fleet::model::DirectoryRead;
use lagoonnotch_fleet::owner::{DepartedUpstream, RosterEntry};
use tokio::time::timeout;

use crate::clock::now_ms;
use crate::ownership::OwnershipContext;
use crate::ports::{ReportParser, StoreItem, WatchRequest};
use crate::store::RevisionLog;

/// Maximum number of upstreams whose history is read; after the loss of many, a takeover must not
/// overload the store.
const MAX_HISTORIES: usize = 64;

/// Number of histories that are read at a time.
const PARALLEL_HISTORIES: usize = 8;

/// Time that a watch waits for an event if there is none, in milliseconds.
const HISTORY_WAIT_MS: u64 = 20;

/// Maximum number of hosts that are asked for their requests.
const MAX_ASKED_PEERS: usize = 8;

/// Maximum time for the answers of the hosts; the takeover waits for them.
const PEERS_TIMEOUT: Duration = Duration::from_millis(100);

/// Maximum time for reading all histories; the takeover waits for it.
const HISTORIES_TIMEOUT: Duration = Duration::from_millis(600);

impl OwnershipContext {
    /// Returns the upstreams of the roster that are missing in a read of the directory because they
    /// have left. Others may be missing for the same reason without a proof.
    pub(super) async fn find_departed(
        &self,
        roster: &[RosterEntry],
        directory: &DirectoryRead,
    ) -> Vec<DepartedUpstream> {
        let log = self.view.revision_log();
        let Some(after) = log.oldest_revision() else {
            return Vec::new();
        };
        let listed = directory.reports.iter().map(|report| &report.id);
        let listed: HashSet<_> = listed.chain(&directory.unreadable).collect();
        let missing = roster.iter().filter(|entry| !listed.contains(&entry.id));
        let missing = missing.map(|entry| (entry.id.clone(), entry.incarnation_unix_ms));
        let missing: Vec<_> = missing.take(MAX_HISTORIES).collect();
        if missing.is_empty() {
            return Vec::new();
        }
        self.ask_peers().await;
        let mut departed = Vec::new();
        let searches = stream::iter(missing)
            .map(|(id, incarnation_unix_ms)| self.read_departure(id, incarnation_unix_ms, after))
            .buffer_unordered(PARALLEL_HISTORIES)
            .for_each(|found| {
                departed.extend(found);
                std::future::ready(())
            });
        // Without all histories, the departures that were found still count.
        let _ = timeout(HISTORIES_TIMEOUT, searches).await;
        departed
    }

    /// Adds the requests of some other hosts to the log, since this one may have sent few.
    async fn ask_peers(&self) {
        let addresses = self.view.relay_addresses(&self.address);
        let asked = addresses.iter().take(MAX_ASKED_PEERS);
        let calls = asked.map(|address| async move {
            let asked_at = now_ms();
            if let Ok(requests) = self.clients.revision_requests(address).await {
                let log = self.view.revision_log();
                log.add_peer_requests(asked_at, &requests);
            }
        });
        // A host that does not answer, or does not know the call, bounds nothing.
        let _ = timeout(PEERS_TIMEOUT, join_all(calls)).await;
    }

    async fn read_departure(
        &self,
        id: Arc<str>,
        incarnation_unix_ms: u64,
        after: u64,
    ) -> Option<DepartedUpstream> {
        let key = format!("{}{id}", self.ports.directory_prefix);
        let request = WatchRequest {
            prefix: key.clone(),
            after,
            wait_ms: HISTORY_WAIT_MS,
        };
        let history = (self.ports.store.watch)(request).await.ok()?;
        let log = self.view.revision_log();
        let max_report_age_ms = departure_report_age_ms(
            &history.items,
            &key,
            incarnation_unix_ms,
            log,
            &self.ports.parse_report,
            self.report_interval_ms,
        )?;
        Some(DepartedUpstream {
            id,
            max_report_age_ms,
        })
    }
}

/// Returns the maximum age that the last report of an upstream had when its entry was deleted, if
/// its history shows that an incarnation, or a later one, has left; `None` if the history shows
/// nothing. Upstreams report every `report_interval_ms` milliseconds.
///
/// A later incarnation may run before it has reported, so the departure of an earlier one says
/// nothing about it.
#[must_use]
pub fn departure_report_age_ms(
    history: &[StoreItem],
    key: &str,
    incarnation_unix_ms: u64,
    log: &RevisionLog,
    parse_report: &ReportParser,
    report_interval_ms: u64,
) -> Option<u64> {
    let mut newest_first = history.iter().rev().filter(|item| item.key == key);
    let (deletion, last_report) = (newest_first.next()?, newest_first.next()?);
    if !deletion.deleted || last_report.deleted {
        return None;
    }
    let report = parse_report(last_report).ok()?;
    let written_after = log.written_after(last_report.revision)?;
    let deleted_by = log.written_by(deletion.revision)?;
    let age_ms = deleted_by.saturating_sub(written_after);
    let has_left = report.draining
        && report.incarnation_unix_ms >= incarnation_unix_ms
        && age_ms < 2 * report_interval_ms;
    has_left.then_some(age_ms)
}
