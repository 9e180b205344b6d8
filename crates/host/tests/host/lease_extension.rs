//! Which bound on leases a successor waits for after an outage of the store.

use std::collections::HashSet;

use lagoonnotch_host::clock::now_ms;
use lagoonnotch_host::control::{HostView, OwnerInfo};
use lagoonnotch_host::ownership::ReplacedOwner;
use lagoonnotch_host::store::ContactLog;

/// Epoch of the present owner.
const EPOCH: u64 = 7;

/// Returns the log of a host whose contact with the store had a gap from 10 s to 15 s.
fn contacts_with_gap() -> ContactLog {
    let contacts = ContactLog::default();
    for second in (1..=10).chain(15..=20) {
        contacts.record(second * 1000);
    }
    contacts
}

fn view_with_owner(epoch: u64) -> HostView {
    let view = HostView::default();
    view.set_owner(Some(OwnerInfo {
        host: "h1".into(),
        address: "10.0.0.1:7180".into(),
        epoch,
    }));
    view
}

/// Guards against starting tasks while the owner has extended their leases: this host may have told
/// it that it had no contact.
#[test]
fn commit_before_the_end_of_a_gap_means_the_longer_bound() {
    let replaced = ReplacedOwner::new(20_500, Some(19_000), &contacts_with_gap());

    assert!(replaced.may_be_extended(10_000));
    assert!(replaced.may_be_extended(15_000));
}

/// Guards against the same while the gap lasts, or ends while this host claims.
#[test]
fn gap_that_lasts_means_the_longer_bound() {
    let contacts = contacts_with_gap();
    let during = ReplacedOwner::new(22_500, Some(22_000), &contacts);
    let before = ReplacedOwner::new(20_500, Some(19_000), &contacts);

    contacts.record(23_000);
    let after = before.with_later_gap(23_100, &contacts);

    assert!(during.may_be_extended(20_000));
    assert!(!before.may_be_extended(20_000));
    assert!(after.may_be_extended(20_000));
}

/// Guards against totals that say too early when all leases have expired.
#[test]
fn extension_may_last_as_long_after_a_gap_as_extended_leases() {
    let replaced = ReplacedOwner::new(20_500, Some(19_000), &contacts_with_gap());

    assert!(replaced.extension_may_last(27_000, 12_000));
    assert!(!replaced.extension_may_last(27_001, 12_000));
}

/// Guards against waiting longer for an owner that is lost some seconds after an outage.
#[test]
fn commit_after_the_end_of_a_gap_means_the_usual_bound() {
    let replaced = ReplacedOwner::new(20_500, Some(19_000), &contacts_with_gap());

    assert!(!replaced.may_be_extended(15_500));
}

/// Guards against starting tasks early by a host that has just started: the time before its first
/// contact is a gap.
#[test]
fn commit_before_the_first_contact_means_the_longer_bound() {
    let contacts = ContactLog::default();
    contacts.record(5000);
    let replaced = ReplacedOwner::new(5500, Some(5200), &contacts);

    assert!(replaced.may_be_extended(5000));
}

/// Guards against the same by a host whose heartbeats the owner has not answered lately while it
/// reached the store.
#[test]
fn owner_that_does_not_know_the_host_may_extend_its_leases() {
    let unknown = ReplacedOwner::new(20_500, None, &contacts_with_gap());
    let forgotten = ReplacedOwner::new(20_500, Some(10_000), &contacts_with_gap());

    assert!(unknown.may_be_extended(19_000));
    assert!(forgotten.may_be_extended(19_000));
}

/// Guards against an owner that extends its leases because a host that may have replaced it has lost
/// the store since.
#[test]
fn host_that_may_have_claimed_does_not_answer_the_predecessor() {
    let view = view_with_owner(EPOCH);
    let replaced = view_with_owner(EPOCH + 1);

    let before = view.contact_age_for(EPOCH, 15_000);
    view.record_possible_claim(now_ms());
    let after = view.contact_age_for(EPOCH, 15_000);

    assert!(before.is_some());
    assert_eq!(after, None);
    assert_eq!(replaced.contact_age_for(EPOCH, 15_000), None);
}

/// Guards against a host that counts as asked although it sent its first heartbeat after the others
/// were asked: the reply says that the owner does not reach the store.
#[test]
fn heartbeat_after_the_question_shows_no_contact() {
    let view = HostView::default();
    let now = now_ms();
    view.record_store_response(now);

    let before = view
        .heartbeat_reply("10.0.0.2:7180", 0)
        .store_response_age_ms;
    view.report_outage_until(now + 3_600_000, HashSet::from(["10.0.0.3:7180".into()]));
    let after = view
        .heartbeat_reply("10.0.0.2:7180", 0)
        .store_response_age_ms;
    let asked = view
        .heartbeat_reply("10.0.0.3:7180", 0)
        .store_response_age_ms;

    assert!(before <= 1000, "{before}");
    assert!(after > 1000, "{after}");
    assert!(asked <= 1000, "{asked}");
}

/// Guards against leaving out a host that has sent a heartbeat lately.
#[test]
fn hosts_are_asked_until_their_last_heartbeat_is_old() {
    let view = HostView::default();
    view.record_heartbeat("10.0.0.2:7180".into(), 1000);
    view.record_heartbeat("10.0.0.3:7180".into(), 20_000);

    let both = view.followers(30_000, 30_000).len();
    let one = view.followers(32_000, 30_000);

    assert_eq!(both, 2);
    assert_eq!(one, ["10.0.0.3:7180".into()]);
}
