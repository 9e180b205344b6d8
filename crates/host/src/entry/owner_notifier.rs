//! Notifies the owner of submissions and cancellations that this host stored.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::clock::now_ms;
use crate::control::{ControlHandle, HostView};
use crate::entry::{NoticeQueue, OwnerNotice};
use crate::peer::{NewSubmission, PeerClients};

/// Delay before unconfirmed notices are sent again.
const RETRY_DELAY: Duration = Duration::from_millis(60);

/// Time between checks whether the owner has changed.
const OWNER_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum number of notices received at a time, and of notices of one kind in a call.
const MAX_BATCH_SIZE: usize = 32;

/// Notifies the owner of stored items, and retries until the owner confirms.
#[derive(Clone, Debug)]
pub struct OwnerNotifier {
    sender: mpsc::UnboundedSender<OwnerNotice>,
}

impl OwnerNotifier {
    /// Starts the task that delivers the notices.
    #[must_use]
    pub fn start(view: HostView, control: ControlHandle, clients: PeerClients) -> Self {
        let (sender, receiver) = mpsc::unbounded_channel();
        let delivery = NoticeDelivery {
            view,
            control,
            clients,
            queue: NoticeQueue::default(),
        };
        tokio::spawn(delivery.run(receiver));
        Self { sender }
    }

    /// Notifies the owner of a stored submission.
    pub fn notify_submitted(&self, submission: NewSubmission) {
        let _ = self.sender.send(OwnerNotice::Submission(submission));
    }

    /// Notifies the owner of a stored cancellation.
    pub fn notify_cancelled(&self, id: Arc<str>) {
        let _ = self.sender.send(OwnerNotice::Cancellation(id));
    }
}

struct NoticeDelivery {
    view: HostView,
    control: ControlHandle,
    clients: PeerClients,
    queue: NoticeQueue,
}

impl NoticeDelivery {
    async fn run(mut self, mut receiver: mpsc::UnboundedReceiver<OwnerNotice>) {
        loop {
            let mut notices = Vec::new();
            let wait = if self.queue.is_empty() {
                OWNER_CHECK_INTERVAL
            } else {
                RETRY_DELAY
            };
            let waiting = receiver.recv_many(&mut notices, MAX_BATCH_SIZE);
            if let Ok(0) = timeout(wait, waiting).await {
                return;
            }
            let now = now_ms();
            for notice in notices {
                self.queue.push(now, notice);
            }
            let epoch = self.view.owner().map_or(0, |owner| owner.epoch);
            self.queue.set_epoch(now, epoch);
            self.deliver_submissions().await;
            self.deliver_cancellations().await;
            let (submissions, cancellations) = self.queue.drop_expired(now_ms());
            if submissions + cancellations > 0 {
                log::warn!(target: "lagoonnotch", "gave up notifying the owner of {submissions} submissions and {cancellations} cancellations");
            }
        }
    }

    /// Sends the unconfirmed submissions until all are confirmed or a call fails.
    async fn deliver_submissions(&mut self) {
        loop {
            let submissions = self.queue.submissions(MAX_BATCH_SIZE);
            let count = submissions.len();
            if count == 0 || !self.send_submissions(submissions).await {
                return;
            }
            self.queue.confirm_submissions(count);
        }
    }

    /// Sends the cancellations that are due until none is left or a call fails.
    async fn deliver_cancellations(&mut self) {
        loop {
            let ids = self.queue.due_cancellations(now_ms(), MAX_BATCH_SIZE);
            if ids.is_empty() {
                return;
            }
            let Some(unknown) = self.send_cancellations(ids.clone()).await else {
                return;
            };
            self.queue.finish_cancellations(now_ms(), &ids, &unknown);
        }
    }

    async fn send_submissions(&self, submissions: Vec<NewSubmission>) -> bool {
        if self.view.owned_epoch().is_some() {
            return self.control.notify_submitted(submissions).await;
        }
        match self.view.owner() {
            Some(owner) => {
                let is_accepted = self
                    .clients
                    .notify_submitted(&owner.address, submissions)
                    .await;
                is_accepted.unwrap_or(false)
            }
            None => false,
        }
    }

    /// Returns the cancellations whose submissions the owner does not know, or `None` if the owner
    /// did not reply.
    async fn send_cancellations(&self, ids: Vec<Arc<str>>) -> Option<Vec<Arc<str>>> {
        if self.view.owned_epoch().is_some() {
            return Some(self.control.notify_cancelled(ids).await);
        }
        let owner = self.view.owner()?;
        let reply = self.clients.notify_cancelled(&owner.address, ids).await;
        reply.ok()
    }
}
