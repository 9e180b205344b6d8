//! Tells the owner of what this host has stored.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

use crate::clock::now_ms;
use crate::control::{ControlHandle, HostView};
use crate::peer::{NewSubmission, PeerClients};

/// Pause after an owner did not take the news.
const RETRY_PAUSE: Duration = Duration::from_millis(60);

/// Time between looks at whether the owner has changed.
const OWNER_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// How long news are told again to a new owner, in milliseconds: the one before may have taken
/// them although it was replaced already.
const RETELL_MS: u64 = 8000;

/// Most items of one call.
const MAX_ITEMS: usize = 32;

/// Tries for one item; after that the owner's own readings have to bring it.
const MAX_TRIES: u32 = 150;

/// Something that is stored and that the owner should know.
#[derive(Clone, Debug)]
enum News {
    Submission(NewSubmission),
    Cancelling(Arc<str>),
}

/// Tells the owner of what this host has stored, until it knows.
#[derive(Clone, Debug)]
pub struct OwnerNotifier {
    sender: mpsc::UnboundedSender<News>,
}

impl OwnerNotifier {
    /// Starts an outbox.
    #[must_use]
    pub fn start(view: HostView, control: ControlHandle, clients: PeerClients) -> Self {
        let (sender, receiver) = mpsc::unbounded_channel();
        let courier = NewsCourier {
            view,
            control,
            clients,
        };
        tokio::spawn(courier.run(receiver));
        Self { sender }
    }

    /// Tells the owner of a submission.
    pub fn notify_submitted(&self, submission: NewSubmission) {
        let _ = self.sender.send(News::Submission(submission));
    }

    /// Tells the owner of a cancelling.
    pub fn notify_cancelled(&self, id: Arc<str>) {
        let _ = self.sender.send(News::Cancelling(id));
    }
}

struct NewsCourier {
    view: HostView,
    control: ControlHandle,
    clients: PeerClients,
}

impl NewsCourier {
    async fn run(self, mut receiver: mpsc::UnboundedReceiver<News>) {
        let mut recent: VecDeque<(u64, News)> = VecDeque::new();
        let mut told_epoch = 0;
        loop {
            let mut news = Vec::new();
            let waiting = receiver.recv_many(&mut news, MAX_ITEMS);
            if let Ok(0) = timeout(OWNER_CHECK_INTERVAL, waiting).await {
                return;
            }
            let now = now_ms();
            recent.extend(news.iter().map(|item| (now, item.clone())));
            while recent
                .front()
                .is_some_and(|(told_at, _)| told_at + RETELL_MS < now)
            {
                recent.pop_front();
            }
            let epoch = self.view.owner().map_or(0, |owner| owner.epoch);
            if epoch != told_epoch {
                told_epoch = epoch;
                news = recent.iter().map(|(_, item)| item.clone()).collect();
            }
            if !news.is_empty() {
                self.deliver_all(news).await;
            }
        }
    }

    async fn deliver_all(&self, news: Vec<News>) {
        let mut submissions = Vec::new();
        let mut cancels = Vec::new();
        for item in news {
            match item {
                News::Submission(submission) => submissions.push(submission),
                News::Cancelling(id) => cancels.push(id),
            }
        }
        self.deliver(submissions, cancels).await;
    }

    async fn deliver(&self, submissions: Vec<NewSubmission>, cancels: Vec<Arc<str>>) {
        let (mut told_submissions, mut told_cancels) = (submissions.is_empty(), cancels.is_empty());
        for _ in 0..MAX_TRIES {
            if !told_submissions {
                told_submissions = self.tell_submissions(submissions.clone()).await;
            }
            if told_submissions && !told_cancels {
                told_cancels = self.tell_cancels(cancels.clone()).await;
            }
            if told_submissions && told_cancels {
                return;
            }
            sleep(RETRY_PAUSE).await;
        }
        log::warn!(target: "lagoonnotch", "the owner was not told of {} submissions and {} cancellings", submissions.len(), cancels.len());
    }

    async fn tell_submissions(&self, submissions: Vec<NewSubmission>) -> bool {
        if self.view.owned_epoch().is_some() {
            return self.control.notify_submitted(submissions).await;
        }
        match self.view.owner() {
            Some(owner) => {
                let told = self
                    .clients
                    .notify_submitted(&owner.address, submissions)
                    .await;
                told.unwrap_or(false)
            }
            None => false,
        }
    }

    async fn tell_cancels(&self, ids: Vec<Arc<str>>) -> bool {
        if self.view.owned_epoch().is_some() {
            return self.control.notify_cancelled(ids).await;
        }
        match self.view.owner() {
            Some(owner) => {
                let told = self.clients.notify_cancelled(&owner.address, ids).await;
                told.unwrap_or(false)
            }
            None => false,
        }
    }
}
