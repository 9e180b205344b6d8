//! Age of a host's configuration, and its confirmation by the owner.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use lagoonnotch_fleet::model::{ApprovedConfig, RequestLimits};
use lagoonnotch_host::control::HostView;

/// Digest of the first read in every test.
const DIGEST: u64 = 7;

fn config(revision: u64) -> Arc<ApprovedConfig> {
    Arc::new(ApprovedConfig {
        version: revision,
        revision,
        queues: Vec::new(),
        pools: HashMap::new(),
        teams: HashMap::new(),
        keys: HashMap::new(),
        limits: RequestLimits {
            max_body_bytes: 1024,
            max_header_bytes: 1024,
            header_timeout_ms: 1000,
            idle_timeout_ms: 1000,
        },
    })
}

fn view_read_at(read_at: u64) -> HostView {
    let view = HostView::default();
    let applied = view.set_config(read_at, DIGEST, Some(config(1)), BTreeSet::new());
    assert!(applied, "the first read");
    view
}

fn read_at(view: &HostView) -> u64 {
    view.config().map_or(0, |(_, read_at)| read_at)
}

/// If the owner read the same state, the configuration counts as fresh as of that read.
#[test]
fn equal_read_of_the_owner_confirms_the_configuration() {
    let view = view_read_at(1000);

    view.confirm_config(DIGEST, 1800);

    assert_eq!(read_at(&view), 1800);
    assert!(!view.take_read_request());
}

/// A different state at the owner must not confirm this host's configuration, or a revoked key
/// would keep working; instead the host reads the state once more.
#[test]
fn different_read_of_the_owner_requests_a_read() {
    let view = view_read_at(1000);

    view.confirm_config(DIGEST + 1, 1800);

    assert_eq!(read_at(&view), 1000);
    assert!(view.take_read_request());
    assert!(!view.take_read_request());
}

/// An older read that arrives late must neither reduce the freshness nor replace a newer
/// configuration.
#[test]
fn older_read_changes_nothing() {
    let view = view_read_at(1000);
    assert!(view.set_config(2000, DIGEST + 1, Some(config(2)), BTreeSet::new()));

    let applied = view.set_config(1500, DIGEST, Some(config(1)), BTreeSet::new());
    view.confirm_config(DIGEST + 1, 1700);

    assert!(!applied);
    assert_eq!(read_at(&view), 2000);
    assert_eq!(view.config().map(|(config, _)| config.version), Some(2));
}
