//! What a host knows of the configuration, and how old that is.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use lagoonnotch_fleet::model::{ApprovedConfig, RequestLimits};
use lagoonnotch_host::control::HostView;

/// Digest of what every test read first.
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
    let taken = view.set_config(read_at, DIGEST, Some(config(1)), BTreeSet::new());
    assert!(taken, "the first reading");
    view
}

fn read_at(view: &HostView) -> u64 {
    view.config().map_or(0, |(_, read_at)| read_at)
}

/// The owner's reading of the same state counts like one of the host itself.
#[test]
fn same_reading_of_the_owner_confirms_the_configuration() {
    let view = view_read_at(1000);

    view.confirm_config(DIGEST, 1800);

    assert_eq!(read_at(&view), 1800);
    assert!(!view.takes_wanted_reading());
}

/// Another state at the owner proves nothing of this host's: a withdrawn key must not go on.
#[test]
fn other_reading_of_the_owner_has_the_host_read_itself() {
    let view = view_read_at(1000);

    view.confirm_config(DIGEST + 1, 1800);

    assert_eq!(read_at(&view), 1000);
    assert!(view.takes_wanted_reading());
    assert!(!view.takes_wanted_reading());
}

/// An older reading neither makes the knowledge older nor undoes a newer configuration.
#[test]
fn older_reading_changes_nothing() {
    let view = view_read_at(1000);
    assert!(view.set_config(2000, DIGEST + 1, Some(config(2)), BTreeSet::new()));

    let taken = view.set_config(1500, DIGEST, Some(config(1)), BTreeSet::new());
    view.confirm_config(DIGEST + 1, 1700);

    assert!(!taken);
    assert_eq!(read_at(&view), 2000);
    assert_eq!(view.config().map(|(config, _)| config.version), Some(2));
}
