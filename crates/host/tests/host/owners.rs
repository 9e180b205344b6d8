//! Ownership totals and the order of claims.

use lagoonnotch_host::ownership::is_much_smaller;
use lagoonnotch_host::store::OwnershipTotals;

/// In a chain of claims, the last owner must still wait for the first one, which was replaced
/// without confirming that it stepped down and may act until its lease expires.
#[test]
fn totals_cover_every_replaced_owner() {
    // Arguments: whether another host is replaced, the Unix time and the lease in milliseconds, and
    // the claiming host's CPU capacity in thousandths of a core.
    let first = OwnershipTotals::default().after_claim(false, 1000, 6000, 250);

    let second = first.after_claim(true, 20_000, 6000, 500);
    let third = second.after_claim(false, 21_000, 6000, 250);

    assert_eq!(first.acting_until_unix_ms, 0);
    assert_eq!(third.acting_until_unix_ms, 26_000);
    assert_eq!(third.owners, 3);
    assert_eq!(third.largest_processor_milli, 500);
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
