//! Notices of submissions and cancellations that wait for the owner.

use std::sync::Arc;

use lagoonnotch_host::entry::{NoticeQueue, OwnerNotice};
use lagoonnotch_host::peer::NewSubmission;

fn submission(create_revision: u64) -> NewSubmission {
    NewSubmission {
        record: Vec::new(),
        create_revision,
    }
}

fn cancellation(id: &str) -> OwnerNotice {
    OwnerNotice::Cancellation(id.into())
}

/// The owner never confirms the cancellation of a submission that has ended; submissions accepted
/// afterwards must still be sent at once.
#[test]
fn unknown_cancellation_does_not_delay_submissions() {
    let mut queue = NoticeQueue::default();
    let unknown: Arc<str> = "ended".into();
    queue.push(0, cancellation(&unknown));
    let sent = queue.due_cancellations(0, 32);
    queue.finish_cancellations(1, &sent, &[unknown]);

    queue.push(10, OwnerNotice::Submission(submission(7)));

    assert_eq!(queue.submissions(32), [submission(7)]);
    assert!(queue.due_cancellations(10, 32).is_empty());
}

/// A cancellation may overtake its submission, so it must be sent again, until it is too old.
#[test]
fn unknown_cancellation_is_sent_again_until_it_expires() {
    let mut queue = NoticeQueue::default();
    let id: Arc<str> = "early".into();
    queue.push(0, cancellation(&id));
    queue.finish_cancellations(0, std::slice::from_ref(&id), std::slice::from_ref(&id));

    let retried = queue.due_cancellations(60, 32);
    let dropped_early = queue.drop_expired(9000);
    let dropped_late = queue.drop_expired(9001);

    assert_eq!(retried, [id]);
    assert_eq!(dropped_early, (0, 0));
    assert_eq!(dropped_late, (0, 1));
    assert!(queue.is_empty());
}

/// A new owner may not know what the previous one confirmed after it had been replaced.
#[test]
fn new_owner_gets_recent_notices_again() {
    let mut queue = NoticeQueue::default();
    queue.set_epoch(0, 1);
    queue.push(0, OwnerNotice::Submission(submission(1)));
    queue.push(5000, OwnerNotice::Submission(submission(2)));
    queue.confirm_submissions(2);

    queue.set_epoch(9000, 2);

    assert_eq!(queue.submissions(32), [submission(2)]);
}
