//! What is known of owners before.

use lagoonnotch_host::ownership::is_much_smaller;
use lagoonnotch_host::store::OwnerHistory;

/// A chain of claims: the last owner still allows for the first one, which never answered.
#[test]
fn history_allows_for_every_owner_that_was_replaced() {
    let first = OwnerHistory::default().after_claim(false, 1000, 6000, 250);

    let second = first.after_claim(true, 20_000, 6000, 500);
    let third = second.after_claim(false, 21_000, 6000, 250);

    assert_eq!(first.acting_until_unix_ms, 0);
    assert_eq!(third.acting_until_unix_ms, 26_000);
    assert_eq!(third.owners, 3);
    assert_eq!(third.largest_processor_milli, 500);
}

/// Hosts of about the same size claim at the same time; small ones leave the claim to large ones.
#[test]
fn small_hosts_leave_the_claim_to_large_ones() {
    let cases = [(120, 500), (250, 250), (400, 500), (250, 0)];

    let smaller: Vec<_> = cases
        .iter()
        .map(|(own, other)| is_much_smaller(*own, *other))
        .collect();

    assert_eq!(smaller, vec![true, false, false, false]);
}
