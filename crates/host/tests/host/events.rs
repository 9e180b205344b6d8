//! The documented catalogue of events.

use std::collections::BTreeSet;

use lagoonnotch_host::event::FleetEvent;

/// Every event must have a unique number and be listed in docs/EVENTS.md.
#[test]
fn events_are_in_the_catalogue() {
    let catalogue = include_str!("../../../../docs/EVENTS.md");
    let mut numbers = BTreeSet::new();

    for event in FleetEvent::ALL {
        let row = format!("| {} | {} |", event.number(), event.name());
        assert!(catalogue.contains(&row), "docs/EVENTS.md lacks {row}");
        assert!(
            numbers.insert(event.number()),
            "event number {} is used twice",
            event.number()
        );
    }
}
