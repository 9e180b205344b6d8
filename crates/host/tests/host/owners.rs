//! Ownership totals and the order of claims.

use lagoonnotch_host::ownership::is_much_smaller;
use lagoonnotch_host::store::{LeaseBounds, OwnershipTotals};

/// In a chain of claims, the last owner must still wait for the first one, which was replaced
/// without confirming that it stepped down and may act until its lease expires.
#[test]
fn totals_cover_every_replaced_owner() {
    // Arguments: whether another host is replaced, the age of the totals and the Unix time in
    // milliseconds, and the claiming host's CPU capacity in thousandths of a core.
    let first = OwnershipTotals::default().after_claim(false, 0, 1000, 250);

    let second = first.after_claim(true, 19_000, 20_000, 500);
    let third = second.after_claim(false, 1000, 21_000, 250);

    assert_eq!(first.acting_ms, 0);
    assert_eq!(second.acting_ms, 6000);
    assert_eq!(third.acting_ms, 5000);
    assert_eq!(third.remaining_acting_ms(2000), 3000);
    assert_eq!(third.owners, 3);
    assert_eq!(third.largest_processor_milli, 500);
}

/// Guards against a short wait for a replaced owner because the wall clock of the next one jumped.
#[test]
fn wall_clock_does_not_change_how_long_a_replaced_owner_acts() {
    let second = OwnershipTotals::default().after_claim(true, 0, 20_000, 250);

    let behind = second.after_claim(false, 1000, 3000, 250);
    let ahead = second.after_claim(false, 1000, 90_000, 250);

    assert_eq!(behind.acting_ms, 5000);
    assert_eq!(ahead.acting_ms, 5000);
}

/// Guards against a takeover without a wait beside hosts of an earlier version: totals of either
/// version make readers of the other one wait for long enough.
#[test]
fn totals_of_an_earlier_version_mean_the_longest_wait() {
    let stored = r#"{"owners": 3, "acting_until_unix_ms": 17}"#;

    let totals: OwnershipTotals = serde_json::from_str(stored).expect("stored totals are readable");
    let next = totals.after_claim(false, 1000, 20_000, 250);

    assert_eq!(totals.remaining_acting_ms(0), 6000);
    assert_eq!(next.acting_ms, 5000);
    assert_eq!(next.acting_until_unix_ms, 30_000);
}

/// Hosts of similar CPU capacity claim without a delay; only a much smaller host lets larger ones
/// claim first.
#[test]
fn only_much_smaller_hosts_defer_their_claim() {
    // CPU capacities of the claiming host and of the largest other one, in thousandths of a core.
    let cases = [(120, 500), (250, 250), (400, 500), (250, 0)];

    let smaller: Vec<_> = cases
        .iter()
        .map(|(own, other)| is_much_smaller(*own, *other))
        .collect();

    assert_eq!(smaller, vec![true, false, false, false]);
}

/// Bounds of an owner of this version.
const BOUNDS: LeaseBounds = LeaseBounds {
    usual_ms: 8500,
    extended_ms: 12_000,
};

/// Guards against waiting for a lost owner from the claim on: its leases expire a known time after its
/// last commit.
#[test]
fn leases_of_a_lost_owner_expire_by_its_last_commit() {
    let first = OwnershipTotals::default().after_claim(false, 0, 1000, 250);
    let first = first.with_lease_bounds(BOUNDS, 0);

    let usual = first.leases_expire_by(10_000, 42_000, false);
    let extended = first.leases_expire_by(10_000, 42_000, true);

    assert_eq!(usual, Some(50_500));
    assert_eq!(extended, Some(54_000));
}

/// Guards against forgetting the leases of the owners before the last one, which may be of an earlier
/// version that does not bound them.
#[test]
fn leases_of_owners_before_the_last_one_are_waited_for() {
    let unbounded = OwnershipTotals::default().after_claim(false, 0, 1000, 250);
    let bounded = unbounded.with_lease_bounds(BOUNDS, 0);
    let after_unbounded = bounded.with_lease_bounds(BOUNDS, unbounded.lease_ms_at_claim(0, false));

    // By when all leases have expired, in milliseconds from a claim 2 s after the totals were written.
    let at_claim = [
        OwnershipTotals::default(),
        unbounded,
        bounded,
        after_unbounded,
    ]
    .map(|totals| totals.lease_ms_at_claim(2000, false));
    let expire_by = after_unbounded.leases_expire_by(70_000, 71_000, false);

    assert_eq!(at_claim, [0, 12_500, 8500, 10_500]);
    assert_eq!(bounded.lease_ms_at_claim(2000, true), 12_000);
    assert_eq!(expire_by, Some(82_500));
}

/// Guards against a bound that an owner of an earlier version does not keep: its totals lack it.
#[test]
fn totals_of_an_earlier_version_bound_no_leases() {
    let stored = r#"{"owners": 3, "acting_ms": 6000, "acting_until_unix_ms": 17}"#;

    let totals: OwnershipTotals = serde_json::from_str(stored).expect("stored totals are readable");

    assert_eq!(totals.leases_expire_by(1000, 2000, false), None);
}
