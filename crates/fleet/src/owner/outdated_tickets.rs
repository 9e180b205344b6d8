//! Tickets of upstreams' former incarnations.
//!
//! The load: a third of a pool restarts under the same identifiers. A ticket holds for one
//! incarnation, so that a start with an older one is rejected, and breaks a gang. The tickets that
//! were requested before the owner learned of an incarnation are therefore dropped; which upstreams
//! may run a step stays known.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use crate::owner::OwnerMachine;
use crate::owner::fleet_view::UpstreamIndex;
use crate::owner::submission_entry::StepEntry;

/// An incarnation that followed another one.
#[derive(Clone, Copy, Debug)]
struct KnownIncarnation {
    incarnation_unix_ms: u64,
    /// When the owner learned of it, by the directory or by an answer.
    known_at: u64,
}

/// Upstreams that have restarted, and since when the owner knows their incarnations.
#[derive(Debug, Default)]
pub(super) struct TicketIncarnations {
    known: HashMap<Arc<str>, KnownIncarnation>,
    /// Upstreams whose tickets were not dropped yet.
    restarted: BTreeSet<Arc<str>>,
}

impl TicketIncarnations {
    /// Records that another incarnation of an upstream is listed or answers.
    pub fn record(&mut self, now: u64, upstream: &Arc<str>, incarnation_unix_ms: u64) {
        let known = self.known.get(upstream);
        if known.is_some_and(|known| known.incarnation_unix_ms == incarnation_unix_ms) {
            return;
        }
        let incarnation = KnownIncarnation {
            incarnation_unix_ms,
            known_at: now,
        };
        self.known.insert(upstream.clone(), incarnation);
        self.restarted.insert(upstream.clone());
    }

    /// Returns whether a ticket for an upstream that was requested at `requested_at` may be for a
    /// former incarnation.
    pub fn is_outdated(&self, upstream: &str, requested_at: u64) -> bool {
        let known = self.known.get(upstream);
        known.is_some_and(|known| requested_at < known.known_at)
    }
}

impl OwnerMachine {
    /// Drops the tickets of former incarnations of upstreams that have restarted since the last
    /// call.
    pub(super) fn drop_outdated_tickets(&mut self) {
        let restarted = std::mem::take(&mut self.ticket_incarnations.restarted);
        if restarted.is_empty() {
            return;
        }
        let upstreams = &self.upstreams;
        let known = &mut self.ticket_incarnations.known;
        known.retain(|id, _| upstreams.contains_key(id));
        let indexes: Vec<_> = restarted
            .iter()
            .filter_map(|id| Some(upstreams.get(id)?.index))
            .collect();
        for id in &self.active {
            let Some(submission) = self.submissions.get_mut(id) else {
                continue;
            };
            let occurrences = submission.occurrences.iter_mut();
            for step in occurrences.flat_map(|occurrence| &mut occurrence.steps) {
                if !step.tickets.is_empty() {
                    for index in &indexes {
                        drop_ticket(step, *index);
                    }
                }
            }
        }
        self.request_placement();
    }
}

/// Drops a step's ticket for an upstream; the upstream stays known to be allowed.
fn drop_ticket(step: &mut StepEntry, index: UpstreamIndex) {
    if let Some(ticket) = step.tickets.get_mut(&index) {
        ticket.expires_at = 0;
    }
}
