//! Which bound on leases a successor waits for after an outage of the store.

use lagoonnotch_host::clock::now_ms;
use lagoonnotch_host::control::{HostView, OwnerInfo};
use lagoonnotch_host::ownership::may_be_extended;
use lagoonnotch_host::store::ContactLog;

/// Epoch of the present owner.
const EPOCH: u64 = 7;

/// Returns the log of a host to which the store responds every second from 1 s to `until`.
fn contacts_until(until: u64) -> ContactLog {
    let contacts = ContactLog::default();
    for at in (1000..=until).step_by(1000) {
        contacts.record(at);
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

/// Guards against waiting longer for a lost owner although the store was never away.
#[test]
fn unbroken_contact_means_the_usual_bound() {
    let contacts = contacts_until(20_000);

    assert!(!may_be_extended(20_500, Some(19_000), &contacts));
}

/// Guards against starting tasks while the owner of before an outage has extended their leases: this
/// host may have told it that it had no contact.
#[test]
fn gap_in_the_contact_means_the_longer_bound() {
    let contacts = contacts_until(20_000);

    let before = may_be_extended(20_500, Some(19_000), &contacts);
    contacts.record(23_000);
    let after = may_be_extended(23_100, Some(19_000), &contacts);

    assert!(!before);
    assert!(after);
}

/// Guards against the same by a host that has just started, which the owner did not have to ask.
#[test]
fn first_contact_means_the_longer_bound() {
    let contacts = contacts_until(5000);

    assert!(may_be_extended(5500, Some(5000), &contacts));
}

/// Guards against the same by a host whose heartbeats the owner has not answered while it reached the
/// store.
#[test]
fn owner_that_does_not_know_the_host_may_extend_its_leases() {
    let contacts = contacts_until(40_000);

    assert!(may_be_extended(40_500, None, &contacts));
    assert!(may_be_extended(40_500, Some(30_000), &contacts));
}

/// Guards against an owner that extends its leases because a host that may have replaced it has lost
/// the store since.
#[test]
fn host_that_may_have_claimed_does_not_answer_the_predecessor() {
    let view = view_with_owner(EPOCH);
    let replaced = view_with_owner(EPOCH + 1);

    let before = view.contact_age_for(EPOCH, 15_000);
    view.record_claim(now_ms());
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

    let before = view.heartbeat_reply(0).store_response_age_ms;
    view.report_outage_until(now + 3_600_000);
    let after = view.heartbeat_reply(0).store_response_age_ms;

    assert!(before <= 1000, "{before}");
    assert!(after > 1000, "{after}");
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
