//! Sends renewals for the owner, and reports their outcomes.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crate::clock::now_ms;
use crate::control::HostView;
use crate::forward::report_outbox::{ReportOutbox, ReportTarget};
use crate::forward::{
    BatchReceipt, DelegateGate, DelegatedOutcome, ForwardedRenewal, RenewalBatch, RenewalReport,
    ReportedRenewal,
};
use crate::metrics::{WorkKind, measured};
use crate::peer::PeerClients;
use crate::ports::{RenewOutcome, UpstreamPort};

/// Time for which an outcome that lists finished runs may wait for others, in milliseconds.
const FINISHED_GATHER_MS: u64 = 3;

/// Time for which any other outcome may wait for others, in milliseconds.
const GATHER_MS: u64 = 10;

/// Sends renewals for the owner through this host's own connections.
#[derive(Clone)]
pub struct RenewalDelegate {
    view: HostView,
    upstream: UpstreamPort,
    clients: PeerClients,
    gate: Arc<Mutex<DelegateGate>>,
    outbox: Arc<Mutex<ReportOutbox>>,
}

impl RenewalDelegate {
    /// Creates the delegate of this process.
    #[must_use]
    pub fn new(view: HostView, upstream: UpstreamPort, clients: PeerClients) -> Self {
        // Never 0, which stands for an unknown process.
        let instance = rand::random::<u64>() | 1;
        Self {
            view,
            upstream,
            clients,
            gate: Arc::new(Mutex::new(DelegateGate::new(instance))),
            outbox: Arc::default(),
        }
    }

    /// Sends the renewals of a batch, unless their time has passed or a later owner is known.
    #[must_use]
    pub fn accept(&self, batch: RenewalBatch) -> BatchReceipt {
        let now = now_ms();
        let known_epoch = self.known_epoch();
        let (instance, admitted) = {
            let mut gate = lock(&self.gate);
            (gate.instance(), gate.admit(now, known_epoch, &batch))
        };
        let accepted = admitted && !self.view.is_stopping();
        if accepted {
            let target = (batch.owner_address, batch.epoch);
            for renewal in batch.renewals {
                let renewing = self
                    .clone()
                    .renew(target.clone(), renewal, batch.expires_at);
                tokio::spawn(measured(WorkKind::Delegated, renewing));
            }
        }
        BatchReceipt {
            instance,
            clock_ms: now,
            accepted,
        }
    }

    async fn renew(self, target: ReportTarget, renewal: ForwardedRenewal, expires_at: u64) {
        let epoch = target.1;
        let known_epoch = self.known_epoch();
        // The host may have been suspended since it accepted the batch.
        let may_send = lock(&self.gate).may_send(now_ms(), known_epoch, epoch, expires_at);
        let outcome = if may_send {
            DelegatedOutcome::Sent((self.upstream.renew_leases)(renewal.order).await)
        } else {
            DelegatedOutcome::Dropped
        };
        let gather_ms = match &outcome {
            DelegatedOutcome::Sent(RenewOutcome::Answered(reply)) if reply.finished.is_empty() => {
                GATHER_MS
            }
            _ => FINISHED_GATHER_MS,
        };
        let reported = ReportedRenewal {
            number: renewal.number,
            outcome,
        };
        if !lock(&self.outbox).push(&target, reported, now_ms() + gather_ms) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(gather_ms)).await;
        let renewals = lock(&self.outbox).take(&target);
        if renewals.is_empty() {
            return;
        }
        let (owner_address, epoch) = target;
        let report = RenewalReport { epoch, renewals };
        if let Err(error) = self.clients.report_renewals(&owner_address, report).await {
            // The owner sends these renewals again itself.
            log::debug!(target: "lagoonnotch", "failed to report renewals to {owner_address}: {error:?}");
        }
    }

    /// Returns the epoch of the owner according to the store; 0 if none is known.
    fn known_epoch(&self) -> u64 {
        self.view.owner().map_or(0, |owner| owner.epoch)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
