//! Answers of the policy service.

use crate::owner::OwnerMachine;
use crate::owner::query_dispatcher::{PolicyQuery, QueryOutcome};
use crate::owner::submission_entry::TicketEntry;

/// Part of a ticket's validity that is reserved for delivery of the start order, in milliseconds.
const TICKET_MARGIN_MS: u64 = 150;

/// Delay before a host sends another query after a failed one, in milliseconds.
const QUERY_RETRY_DELAY_MS: u64 = 300;

/// Delay of a step's next query after one that allowed no upstream, in milliseconds.
const EMPTY_DECISION_DELAY_MS: u64 = 100;

impl OwnerMachine {
    /// Handles the outcome of a query.
    pub fn on_query_outcome(&mut self, now: u64, query_id: u64, outcome: &QueryOutcome) {
        let pause_until =
            matches!(outcome, QueryOutcome::Failed).then_some(now + QUERY_RETRY_DELAY_MS);
        let Some(query) = self.queries.finish(query_id, pause_until) else {
            return;
        };
        self.request_placement();
        self.store_decision(now, query_id, &query, outcome);
        match outcome {
            QueryOutcome::Answered(decision) => {
                let valid_ms = decision.valid_ms.min(query.valid_ms);
                let expires_at = now + valid_ms.saturating_sub(TICKET_MARGIN_MS);
                let has_room = self.has_room_with_tickets(now, &query);
                let tickets = decision.allowed.len() as u64;
                self.query_usage
                    .record_answer(query_id, tickets, expires_at, has_room);
            }
            QueryOutcome::Failed => self.query_usage.record_failed(query_id),
        }
    }

    /// Keeps the tickets and denials of a query's answer in the step that it was about.
    fn store_decision(
        &mut self,
        now: u64,
        query_id: u64,
        query: &PolicyQuery,
        outcome: &QueryOutcome,
    ) {
        let indexes: Vec<_> = query
            .upstreams
            .iter()
            .filter_map(|id| Some((id, self.upstreams.get(id)?.index)))
            .collect();
        let submission = &query.submission;
        let entry = self.submissions.get_mut(submission);
        let occurrence =
            entry.and_then(|entry| entry.occurrences.get_mut(query.occurrence as usize));
        let Some(step) = occurrence.and_then(|found| found.steps.get_mut(query.step as usize))
        else {
            return;
        };
        step.pending_queries.remove(&query_id);
        step.query_failed = matches!(outcome, QueryOutcome::Failed);
        let QueryOutcome::Answered(decision) = outcome else {
            return;
        };
        let valid_ms = decision.valid_ms.min(query.valid_ms);
        let expires_at = now + valid_ms.saturating_sub(TICKET_MARGIN_MS);
        step.tickets_expire_at = step.tickets_expire_at.max(expires_at);
        let mut undecided = 0;
        let mut newly_allowed = 0;
        for (id, index) in indexes {
            let allowed = decision.allowed.iter().find(|(allowed, _)| allowed == id);
            let Some((_, ticket)) = allowed else {
                undecided += 1;
                step.denied.insert(index);
                continue;
            };
            let ticket = ticket.clone();
            let is_outdated = self.ticket_incarnations.is_outdated(id, query.sent_at);
            let entry = TicketEntry {
                ticket,
                expires_at: if is_outdated { 0 } else { expires_at },
                query_id,
                used: false,
            };
            if step.tickets.insert(index, entry).is_none() {
                undecided += 1;
                newly_allowed += 1;
            }
        }
        if decision.allowed.is_empty() {
            step.query_not_before = now + EMPTY_DECISION_DELAY_MS;
        }
        self.ready.mark_fresh(submission);
        if let Some(entry) = self.submissions.get(submission) {
            let queue = entry.record.queue.name.clone();
            self.queries.learn_share(&queue, newly_allowed, undecided);
        }
    }
}
