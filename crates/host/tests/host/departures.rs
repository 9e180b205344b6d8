//! Tests of the proof that an upstream left while no owner read the directory.

use std::sync::Arc;

use bytes::Bytes;
use lagoonnotch_fleet::model::{ResourceSize, UpstreamReport};
use lagoonnotch_host::ownership::departure_report_age_ms;
use lagoonnotch_host::ports::{ReportParser, StoreItem};
use lagoonnotch_host::store::RevisionLog;

const KEY: &str = "directory/u0";

/// Incarnation that all reports are from.
const INCARNATION: u64 = 7000;

const REPORT_INTERVAL_MS: u64 = 1500;

/// Returns the write of a report at a revision; its value is `ready` or `draining`.
fn written(key: &str, revision: u64, value: &str) -> StoreItem {
    StoreItem {
        key: key.to_owned(),
        value: Bytes::from(value.to_owned()),
        revision,
        create_revision: 1,
        deleted: false,
    }
}

fn deleted(key: &str, revision: u64) -> StoreItem {
    StoreItem {
        deleted: true,
        ..written(key, revision, "")
    }
}

/// Returns a parser of the values that `written` makes.
fn report_parser() -> ReportParser {
    Arc::new(|item| {
        let draining = match &*item.value {
            b"draining" => true,
            b"ready" => false,
            _ => return Err("unknown state".to_owned()),
        };
        Ok(UpstreamReport {
            id: "u0".into(),
            incarnation_unix_ms: INCARNATION,
            pool: "harvest".into(),
            address: "u0".into(),
            failure_domain: "west".into(),
            draining,
            revision: item.revision,
            capacity: ResourceSize::ZERO,
            labels: Arc::from([]),
        })
    })
}

/// Returns a log in which revision 9 was current after 1000 ms and revision 20 was seen at
/// `deletion_seen_at`.
fn log(deletion_seen_at: u64) -> RevisionLog {
    let log = RevisionLog::default();
    log.record_request(9, 1000);
    log.record(9, 1010);
    log.record(20, deletion_seen_at);
    log
}

fn report_age_ms(history: &[StoreItem], deletion_seen_at: u64) -> Option<u64> {
    age_for_runs_of(INCARNATION, history, deletion_seen_at)
}

/// Returns the same for an upstream whose runs were placed on an incarnation.
fn age_for_runs_of(incarnation: u64, history: &[StoreItem], deletion_seen_at: u64) -> Option<u64> {
    departure_report_age_ms(
        history,
        KEY,
        incarnation,
        &log(deletion_seen_at),
        &report_parser(),
        REPORT_INTERVAL_MS,
    )
}

/// Guards against waiting for the leases of an upstream that announced its departure.
#[test]
fn entry_deleted_soon_after_a_draining_report_is_a_departure() {
    let history = [written(KEY, 10, "draining"), deleted(KEY, 15)];

    assert_eq!(report_age_ms(&history, 3500), Some(2500));
}

/// Guards against taking an expired entry for a departure: the upstream may run on while it is cut
/// off from the store.
#[test]
fn entry_that_may_have_expired_is_no_departure() {
    let history = [written(KEY, 10, "draining"), deleted(KEY, 15)];

    assert_eq!(report_age_ms(&history, 4000), None);
}

/// Guards against a proof from times that this host does not know.
#[test]
fn entry_without_known_times_is_no_departure() {
    let before_the_log = [written(KEY, 9, "draining"), deleted(KEY, 15)];
    let after_the_log = [written(KEY, 10, "draining"), deleted(KEY, 21)];

    assert_eq!(report_age_ms(&before_the_log, 3500), None);
    assert_eq!(report_age_ms(&after_the_log, 3500), None);
}

/// Guards against releasing runs of an incarnation that has started since and has not reported yet:
/// the one before has left, and its successor runs on.
#[test]
fn departure_of_an_earlier_incarnation_is_none_of_a_later_one() {
    let history = [written(KEY, 10, "draining"), deleted(KEY, 15)];

    let later = age_for_runs_of(INCARNATION + 1, &history, 3500);
    let earlier = age_for_runs_of(INCARNATION - 1, &history, 3500);

    assert_eq!(later, None);
    assert_eq!(earlier, Some(2500));
}

/// Guards against releasing the runs of an upstream that has crashed, is back, or whose history is
/// incomplete or that of another upstream.
#[test]
fn other_histories_are_no_departures() {
    let histories = [
        vec![written(KEY, 10, "ready"), deleted(KEY, 15)],
        vec![written(KEY, 10, "odd"), deleted(KEY, 15)],
        vec![
            written(KEY, 10, "draining"),
            deleted(KEY, 15),
            written(KEY, 16, "ready"),
        ],
        vec![written(KEY, 10, "draining")],
        vec![deleted(KEY, 15)],
        vec![
            written("directory/u01", 10, "draining"),
            deleted("directory/u01", 15),
        ],
        vec![],
    ];

    let ages: Vec<_> = histories
        .iter()
        .map(|history| report_age_ms(history, 3500))
        .collect();

    assert_eq!(ages, vec![None; 7]);
}

/// Guards against waiting for leases because this host itself sent no request in time: the requests
/// of another host bound the report's age, from when that host was asked.
#[test]
fn requests_of_another_host_prove_a_departure() {
    let history = [written(KEY, 10, "draining"), deleted(KEY, 15)];
    let peer_log = RevisionLog::default();
    peer_log.record_request(9, 70_000);
    peer_log.record_request(12, 71_000);
    let log = RevisionLog::default();
    log.record(20, 5000);

    log.add_peer_requests(4500, &peer_log.recent_requests(72_000));
    let age_ms = departure_report_age_ms(
        &history,
        KEY,
        INCARNATION,
        &log,
        &report_parser(),
        REPORT_INTERVAL_MS,
    );

    assert_eq!(age_ms, Some(2500));
}

/// Guards against a report that counts as younger than it is: a revision that a response shows may
/// have been written before the request.
#[test]
fn only_higher_revisions_were_written_after_a_request() {
    let log = RevisionLog::default();
    log.record_request(10, 1000);
    log.record_request(20, 2000);

    let written_after: Vec<_> = [10, 11, 20, 21]
        .into_iter()
        .map(|revision| log.written_after(revision))
        .collect();

    assert_eq!(
        written_after,
        vec![None, Some(1000), Some(1000), Some(2000)]
    );
}
