//! Orders that get no reply and are executed late, by the incarnation that lives then.

use std::sync::Arc;

use lagoonnotch_fleet::model::RenewReply;
use lagoonnotch_fleet::owner::RenewOrder;

use crate::simulation::{FleetSimulation, Message};

/// Shortest delay of an order that is executed late, in milliseconds.
const SHORTEST_DELAY_MS: u64 = 2000;

/// Kind of an order to an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum OrderKind {
    Start,
    Stop,
    /// Any renewal.
    Renewal,
    /// A renewal that acknowledges finished runs.
    Acknowledgement,
}

impl FleetSimulation {
    /// Intercepts the next order of a kind to an upstream: it gets no reply.
    pub(crate) fn intercept_next(&mut self, id: &str, kind: OrderKind) {
        self.to_intercept.push((id.into(), kind));
    }

    /// Has the upstreams execute all intercepted orders now.
    pub(crate) fn execute_intercepted(&mut self) {
        for message in std::mem::take(&mut self.intercepted) {
            self.deliver(message);
        }
    }

    /// Returns whether an order is to be intercepted.
    pub(crate) fn intercepts(&mut self, id: &Arc<str>, kind: OrderKind) -> bool {
        let is_match = |(upstream, wanted): &(Arc<str>, OrderKind)| {
            let is_kind = match wanted {
                OrderKind::Renewal => {
                    matches!(kind, OrderKind::Renewal | OrderKind::Acknowledgement)
                }
                _ => *wanted == kind,
            };
            upstream == id && is_kind
        };
        let found = self.to_intercept.iter().position(is_match);
        if let Some(index) = found {
            self.to_intercept.remove(index);
        }
        found.is_some()
    }

    /// Delays or intercepts a renewal or a stop order, which the incarnation that lives then
    /// executes.
    pub(crate) fn delay_order(&mut self, id: &Arc<str>, epoch: u64, late: Message) -> bool {
        let kind = match &late {
            Message::LateRenew(order) if order.ack_number > 0 => OrderKind::Acknowledgement,
            Message::LateRenew(_) => OrderKind::Renewal,
            _ => OrderKind::Stop,
        };
        if self.intercepts(id, kind) {
            self.intercepted.push(late);
            return true;
        }
        let delayed = self.faults.late_renewals > 0
            && !self.is_partitioned(id, epoch)
            && self.random.chance(self.faults.late_renewals);
        if delayed {
            let delay = self.draw_delay();
            self.push(delay, late);
        }
        delayed
    }

    pub(crate) fn draw_delay(&mut self) -> u64 {
        let range = self.longest_delay_ms - SHORTEST_DELAY_MS;
        SHORTEST_DELAY_MS + self.random.below(range)
    }

    /// Has an upstream execute a renewal; returns `None` if there is none of that name.
    pub(crate) fn execute_renewal(&mut self, order: &RenewOrder) -> Option<Result<RenewReply, ()>> {
        self.check_forgotten(order);
        let upstream = self.upstreams.get_mut(&order.upstream)?;
        Some(upstream.renew_and_report(self.now, order).ok_or(()))
    }

    /// Records that an upstream has executed a renewal, if it was sent in the lifetime of the
    /// present incarnation.
    pub(crate) fn record_contact(&mut self, id: &Arc<str>, sent_at: u64) {
        if let Some(upstream) = self.upstreams.get(id)
            && sent_at >= upstream.clock_started_at
        {
            self.contacted
                .insert((id.clone(), upstream.incarnation_unix_ms));
        }
    }

    /// Returns whether the present incarnation of an upstream has executed such a renewal.
    pub(crate) fn is_contacted(&self, id: &Arc<str>) -> bool {
        self.upstreams.get(id).is_some_and(|upstream| {
            let key = (id.clone(), upstream.incarnation_unix_ms);
            self.contacted.contains(&key)
        })
    }
}
