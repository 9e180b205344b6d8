//! The owner's side of forwarding: which renewals other hosts send, and what is still to come back.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use lagoonnotch_fleet::owner::RenewOrder;

use crate::forward::{
    BatchReceipt, DelegateTable, DelegatedOutcome, ForwardPeer, ForwardedRenewal, RenewalBatch,
    RenewalReport,
};
use crate::ports::RenewOutcome;

/// Number of upstreams for each core of the owner up to which it sends all renewals itself.
const DIRECT_UPSTREAMS_PER_CORE: usize = 1000;

/// Time for which a renewal may wait for others to the same delegate, in milliseconds.
const GATHER_MS: u64 = 10;

/// Time after the hand-over to the network in which a delegate may still send a renewal, in
/// milliseconds.
const SEND_BUDGET_MS: u64 = 400;

/// Time by which the outcome of a renewal may exceed its wait for a run to finish, in milliseconds:
/// the send budget, the upstream's time to answer, and the gathering on both sides.
const OUTCOME_MARGIN_MS: u64 = 800;

/// Maximum age of a reading of a delegate's clock, in milliseconds. Clocks that drift apart by 2%
/// differ by 40 ms then.
const MAX_CLOCK_AGE_MS: u64 = 2000;

/// Time between two requests for a delegate's clock, in milliseconds.
const CLOCK_RETRY_MS: u64 = 500;

/// Time for which the owner sends an upstream's renewals itself after a delegate got no answer from
/// it, in milliseconds.
const DIRECT_MS: u64 = 2000;

/// A delegate's clock, read from a receipt.
#[derive(Clone, Copy, Debug)]
struct DelegateClock {
    /// Identifies the delegate's process.
    instance: u64,
    clock_ms: u64,
    /// When the receipt arrived, on the owner's clock. The reading was taken before that, so that
    /// times derived from it are early.
    received_at: u64,
}

/// A delegate's queue.
#[derive(Debug, Default)]
struct DelegateQueue {
    address: Arc<str>,
    clock: Option<DelegateClock>,
    /// Whether the clock must be read before renewals are queued again.
    clock_wanted: bool,
    /// When the clock was last asked for.
    clock_asked_at: u64,
    renewals: Vec<ForwardedRenewal>,
    /// When the renewals are sent; meaningless without any.
    due_at: u64,
}

/// A renewal whose outcome is still to come.
#[derive(Clone, Debug)]
struct PendingRenewal {
    order: RenewOrder,
    /// When the owner handed the renewal over, in milliseconds of its clock. The delegate sends it
    /// later, so that its list is at least as new as this says.
    handed_over_at: u64,
    delegate: Arc<str>,
    due_at: u64,
}

/// A batch and where to send it.
#[derive(Clone, Debug, PartialEq)]
pub struct BatchOrder {
    /// Name of the delegate.
    pub delegate: Arc<str>,
    /// Address of the delegate.
    pub address: Arc<str>,
    /// The batch.
    pub batch: RenewalBatch,
}

/// A renewal with its outcome.
#[derive(Clone, Debug, PartialEq)]
pub struct SettledRenewal {
    /// The order.
    pub order: RenewOrder,
    /// When the owner handed the renewal over, in milliseconds of its clock.
    pub handed_over_at: u64,
    /// Outcome.
    pub outcome: RenewOutcome,
}

/// Forwards renewals while the owner has more upstreams than its processor carries.
#[derive(Debug)]
pub struct RenewalForwarder {
    host: Arc<str>,
    /// Address to which delegates report.
    address: Arc<str>,
    epoch: u64,
    is_needed: bool,
    table: DelegateTable,
    queues: BTreeMap<Arc<str>, DelegateQueue>,
    next_number: u64,
    pending: BTreeMap<u64, PendingRenewal>,
    /// Pending renewals by `due_at`.
    due: BTreeSet<(u64, u64)>,
    /// Until when the owner sends an upstream's renewals itself.
    direct_until: HashMap<Arc<str>, u64>,
    /// Renewals that the owner must send itself now.
    retries: Vec<RenewOrder>,
    /// Delegates that were given up, each with the reason, until they are logged.
    lost_delegates: Vec<(Arc<str>, &'static str)>,
}

impl RenewalForwarder {
    /// Creates a forwarder of a host with a name and an address for calls between hosts.
    #[must_use]
    pub fn new(host: Arc<str>, address: Arc<str>) -> Self {
        Self {
            host,
            address,
            epoch: 0,
            is_needed: false,
            table: DelegateTable::default(),
            queues: BTreeMap::new(),
            next_number: 1,
            pending: BTreeMap::new(),
            due: BTreeSet::new(),
            direct_until: HashMap::new(),
            retries: Vec::new(),
            lost_delegates: Vec::new(),
        }
    }

    /// Begins an ownership: everything that an earlier one has forwarded is forgotten.
    pub fn begin(&mut self, epoch: u64) {
        self.epoch = epoch;
        self.is_needed = false;
        self.pending.clear();
        self.due.clear();
        self.direct_until.clear();
        self.retries.clear();
        self.lost_delegates.clear();
        for queue in self.queues.values_mut() {
            queue.renewals.clear();
            queue.clock_wanted = false;
        }
    }

    /// Sets the hosts that accept work, among them this one, and the number of upstreams.
    pub fn update(&mut self, now: u64, peers: &[ForwardPeer], upstream_count: usize) {
        let own = peers.iter().find(|peer| peer.host == self.host);
        let own_milli = own.map_or(0, |peer| peer.processor_milli as usize);
        self.is_needed =
            own_milli > 0 && upstream_count * 1000 > DIRECT_UPSTREAMS_PER_CORE * own_milli;
        self.direct_until.retain(|_, until| *until > now);
        let others: Vec<_> = peers
            .iter()
            .filter(|peer| peer.host != self.host)
            .cloned()
            .collect();
        self.table.update(now, &others, upstream_count);
    }

    /// Returns whether the owner has more upstreams than its processor carries.
    #[must_use]
    pub fn needs_delegates(&self) -> bool {
        self.is_needed
    }

    /// Queues a renewal for a delegate. Returns it if the owner must send it itself.
    pub fn enqueue(&mut self, now: u64, order: RenewOrder) -> Option<RenewOrder> {
        let is_direct = |until: &u64| *until > now;
        if !self.is_needed
            || self
                .direct_until
                .get(&order.upstream)
                .is_some_and(is_direct)
        {
            return Some(order);
        }
        let Some(delegate) = self.table.delegate(&order.upstream, &order.failure_domain) else {
            return Some(order);
        };
        let queue = self.queues.entry(delegate.host.clone()).or_default();
        if queue.address != delegate.address {
            *queue = DelegateQueue {
                address: delegate.address.clone(),
                ..DelegateQueue::default()
            };
        }
        let is_recent =
            |clock: &DelegateClock| now.saturating_sub(clock.received_at) < MAX_CLOCK_AGE_MS;
        if !queue.clock.as_ref().is_some_and(is_recent) {
            queue.clock_wanted = now >= queue.clock_asked_at + CLOCK_RETRY_MS;
            return Some(order);
        }
        if queue.renewals.is_empty() {
            queue.due_at = now + GATHER_MS;
        }
        let number = self.next_number;
        self.next_number += 1;
        queue.renewals.push(ForwardedRenewal {
            number,
            order: order.clone(),
        });
        let due_at = now + order.wait_ms + OUTCOME_MARGIN_MS;
        self.due.insert((due_at, number));
        let pending = PendingRenewal {
            order,
            handed_over_at: now,
            delegate: delegate.host.clone(),
            due_at,
        };
        self.pending.insert(number, pending);
        None
    }

    /// Takes the batches that are due. `valid_until` is until when the host may act as owner.
    pub fn take_batches(&mut self, now: u64, valid_until: u64) -> Vec<BatchOrder> {
        let mut batches = Vec::new();
        for (delegate, queue) in &mut self.queues {
            let has_due = !queue.renewals.is_empty() && queue.due_at <= now;
            if !has_due && !queue.clock_wanted {
                continue;
            }
            let budget_ms = SEND_BUDGET_MS.min(valid_until.saturating_sub(now));
            let clock = queue.clock;
            if std::mem::take(&mut queue.clock_wanted) {
                queue.clock_asked_at = now;
            }
            batches.push(BatchOrder {
                delegate: delegate.clone(),
                address: queue.address.clone(),
                batch: RenewalBatch {
                    epoch: self.epoch,
                    owner_address: self.address.clone(),
                    instance: clock.map_or(0, |clock| clock.instance),
                    expires_at: clock.map_or(0, |clock| {
                        clock.clock_ms + now.saturating_sub(clock.received_at) + budget_ms
                    }),
                    renewals: std::mem::take(&mut queue.renewals),
                },
            });
        }
        batches
    }

    /// Handles the receipt of a batch, or its absence. `renewals` are those of the batch.
    pub fn on_receipt(
        &mut self,
        now: u64,
        delegate: &Arc<str>,
        renewals: &[u64],
        receipt: Option<BatchReceipt>,
    ) {
        let Some(receipt) = receipt else {
            if self.queues.contains_key(delegate) {
                self.give_up(now, delegate, "no receipt");
            }
            return;
        };
        if let Some(queue) = self.queues.get_mut(delegate) {
            queue.clock = Some(DelegateClock {
                instance: receipt.instance,
                clock_ms: receipt.clock_ms,
                received_at: now,
            });
        }
        if !receipt.accepted {
            for number in renewals {
                self.retry(now, *number);
            }
        }
    }

    /// Handles a report; returns the renewals that are settled by it. Those that were settled or
    /// given up before are ignored.
    pub fn on_report(&mut self, now: u64, report: RenewalReport) -> Vec<SettledRenewal> {
        if report.epoch != self.epoch {
            return Vec::new();
        }
        let mut settled = Vec::new();
        for renewal in report.renewals {
            match renewal.outcome {
                // The fault may be the delegate's or its links'.
                DelegatedOutcome::Dropped | DelegatedOutcome::Sent(RenewOutcome::Failed) => {
                    self.retry(now, renewal.number);
                }
                DelegatedOutcome::Sent(outcome) => {
                    if let Some(pending) = self.take_pending(renewal.number) {
                        settled.push(SettledRenewal {
                            order: pending.order,
                            handed_over_at: pending.handed_over_at,
                            outcome,
                        });
                    }
                }
            }
        }
        settled
    }

    /// Gives up the delegates whose outcomes are overdue.
    pub fn check_overdue(&mut self, now: u64) {
        while let Some((due_at, number)) = self.due.first().copied()
            && due_at <= now
        {
            let Some(pending) = self.pending.get(&number) else {
                self.due.remove(&(due_at, number));
                continue;
            };
            let delegate = pending.delegate.clone();
            self.give_up(now, &delegate, "no outcome");
        }
    }

    /// Takes the renewals that the owner must send itself now. They only ask for a list, and do not
    /// wait for a run to finish.
    pub fn take_retries(&mut self) -> Vec<RenewOrder> {
        std::mem::take(&mut self.retries)
    }

    /// Takes the delegates that were given up, each with the reason.
    pub fn take_lost_delegates(&mut self) -> Vec<(Arc<str>, &'static str)> {
        std::mem::take(&mut self.lost_delegates)
    }

    /// Returns when a batch or an outcome is due next; `u64::MAX` if nothing is pending.
    #[must_use]
    pub fn next_due_at(&self) -> u64 {
        let waiting = self
            .queues
            .values()
            .filter(|queue| !queue.renewals.is_empty());
        let next_batch = waiting.map(|queue| queue.due_at).min();
        let next_overdue = self.due.first().map(|(due_at, _)| *due_at);
        let next = next_batch.into_iter().chain(next_overdue).min();
        next.unwrap_or(u64::MAX)
    }

    /// Gives up a delegate: the owner sends what it was to send itself, at once.
    fn give_up(&mut self, now: u64, delegate: &Arc<str>, reason: &'static str) {
        self.table.remove(now, delegate);
        self.queues.remove(delegate);
        let is_theirs = |(_, pending): &(&u64, &PendingRenewal)| pending.delegate == *delegate;
        let numbers: Vec<_> = self
            .pending
            .iter()
            .filter(is_theirs)
            .map(|(number, _)| *number)
            .collect();
        self.lost_delegates.push((delegate.clone(), reason));
        for number in numbers {
            self.retry(now, number);
        }
    }

    /// Makes the owner send a renewal itself, and the next ones of its upstream. This one grants
    /// and acknowledges nothing: another incarnation may answer by now, and the order's terms rest
    /// on what the one before said.
    fn retry(&mut self, now: u64, number: u64) {
        if let Some(pending) = self.take_pending(number) {
            self.direct_until
                .insert(pending.order.upstream.clone(), now + DIRECT_MS);
            self.retries.push(RenewOrder {
                ack_number: 0,
                deadline_ms: None,
                wait_ms: 0,
                ..pending.order
            });
        }
    }

    fn take_pending(&mut self, number: u64) -> Option<PendingRenewal> {
        let pending = self.pending.remove(&number)?;
        self.due.remove(&(pending.due_at, number));
        Some(pending)
    }
}
