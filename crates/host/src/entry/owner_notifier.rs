//! Notifies the owner of submissions and cancellations that this host stored.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

use crate::clock::now_ms;
use crate::control::{ControlHandle, HostView};
use crate::peer::{NewSubmission, PeerClients};

/// Delay after a failed delivery.
const RETRY_DELAY: Duration = Duration::from_millis(60);

/// Time between checks whether the owner has changed.
const OWNER_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Time for which notices are sent again to a new owner, in milliseconds. The previous owner may
/// have accepted them although it had already been replaced.
const RESEND_WINDOW_MS: u64 = 8000;

/// Maximum number of notices received at a time.
const MAX_BATCH_SIZE: usize = 32;

/// Maximum number of delivery attempts; after that the owner finds the items in the store.
const MAX_ATTEMPTS: u32 = 150;

/// A stored item that the owner must be notified of.
#[derive(Clone, Debug)]
enum OwnerNotice {
    Submission(NewSubmission),
    Cancellation(Arc<str>),
}

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
}

impl NoticeDelivery {
    async fn run(self, mut receiver: mpsc::UnboundedReceiver<OwnerNotice>) {
        let mut recent: VecDeque<(u64, OwnerNotice)> = VecDeque::new();
        let mut notified_epoch = 0;
        loop {
            let mut notices = Vec::new();
            let waiting = receiver.recv_many(&mut notices, MAX_BATCH_SIZE);
            if let Ok(0) = timeout(OWNER_CHECK_INTERVAL, waiting).await {
                return;
            }
            let now = now_ms();
            recent.extend(notices.iter().map(|notice| (now, notice.clone())));
            while recent
                .front()
                .is_some_and(|(received_at, _)| received_at + RESEND_WINDOW_MS < now)
            {
                recent.pop_front();
            }
            let epoch = self.view.owner().map_or(0, |owner| owner.epoch);
            if epoch != notified_epoch {
                notified_epoch = epoch;
                notices = recent.iter().map(|(_, notice)| notice.clone()).collect();
            }
            if !notices.is_empty() {
                self.split_and_deliver(notices).await;
            }
        }
    }

    /// Separates the submissions from the cancellations, and delivers both.
    async fn split_and_deliver(&self, notices: Vec<OwnerNotice>) {
        let mut submissions = Vec::new();
        let mut cancellations = Vec::new();
        for notice in notices {
            match notice {
                OwnerNotice::Submission(submission) => submissions.push(submission),
                OwnerNotice::Cancellation(id) => cancellations.push(id),
            }
        }
        self.deliver_with_retries(submissions, cancellations).await;
    }

    /// Delivers the submissions and then the cancellations, and retries until the owner confirms
    /// them or `MAX_ATTEMPTS` is reached.
    async fn deliver_with_retries(
        &self,
        submissions: Vec<NewSubmission>,
        cancellations: Vec<Arc<str>>,
    ) {
        let (mut submissions_delivered, mut cancellations_delivered) =
            (submissions.is_empty(), cancellations.is_empty());
        for _ in 0..MAX_ATTEMPTS {
            if !submissions_delivered {
                submissions_delivered = self.send_submissions(submissions.clone()).await;
            }
            if submissions_delivered && !cancellations_delivered {
                cancellations_delivered = self.send_cancellations(cancellations.clone()).await;
            }
            if submissions_delivered && cancellations_delivered {
                return;
            }
            sleep(RETRY_DELAY).await;
        }
        log::warn!(target: "lagoonnotch", "gave up notifying the owner of {} submissions and {} cancellations", submissions.len(), cancellations.len());
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

    async fn send_cancellations(&self, ids: Vec<Arc<str>>) -> bool {
        if self.view.owned_epoch().is_some() {
            return self.control.notify_cancelled(ids).await;
        }
        match self.view.owner() {
            Some(owner) => {
                let is_accepted = self.clients.notify_cancelled(&owner.address, ids).await;
                is_accepted.unwrap_or(false)
            }
            None => false,
        }
    }
}
