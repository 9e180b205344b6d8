//! Tests of the sightings of the store's revision.

use lagoonnotch_host::ports::ListRequest;
use lagoonnotch_host::store::{
    ROSTER_KEY, RevisionLog, commit_key, logged_store, read_recovery_state,
};

use crate::fake_store::FakeStore;

/// Guards against counting from a sighting that came before the write.
#[test]
fn record_was_written_by_the_first_sighting_at_or_beyond_its_revision() {
    let log = RevisionLog::default();
    log.record(10, 1000);
    log.record(20, 3000);
    log.record(15, 3500);
    log.record(30, 5000);

    let written_by: Vec<_> = [10, 11, 20, 21, 31]
        .into_iter()
        .map(|revision| log.written_by(revision))
        .collect();

    assert_eq!(
        written_by,
        vec![Some(1000), Some(3000), Some(3000), Some(5000), None]
    );
}

/// Guards against a wait that ends early after old sightings are dropped.
#[test]
fn dropped_sighting_makes_the_time_later() {
    let log = RevisionLog::default();
    log.record(10, 1000);
    log.record(20, 20_000);

    assert_eq!(log.written_by(10), Some(20_000));
}

/// Guards against a full wait for the leases of an upstream that was recorded as silent long before
/// the takeover: the roster counts as written from when this host first saw the store beyond it.
#[tokio::test]
async fn roster_counts_from_the_first_sighting_of_its_revision() {
    let store = FakeStore::default();
    let log = RevisionLog::default();
    let port = logged_store(&store.port(), &log);
    let roster_revision = store.put(ROSTER_KEY, "[]");
    let request = ListRequest {
        prefix: "op/".to_owned(),
        after: None,
    };
    (port.list)(request).await.expect("the store responds");
    let seen_at = log.written_by(roster_revision);
    store.put("other", "1");

    let read = read_recovery_state(&port, &log)
        .await
        .expect("the store responds");

    assert_eq!(Some(read.state.roster_written_by), seen_at);
}

/// Guards against a bound on leases that misses a commit of the previous owner: any lane may have the
/// last one.
#[tokio::test]
async fn last_commit_of_all_lanes_is_read() {
    let store = FakeStore::default();
    let log = RevisionLog::default();
    let port = logged_store(&store.port(), &log);
    store.put(&commit_key(0), "3.1");
    let last_revision = store.put(&commit_key(2), "3.1");
    store.put("other", "1");

    let read = read_recovery_state(&port, &log)
        .await
        .expect("the store responds");

    assert_eq!(read.last_commit_revision, last_revision);
}
