//! Handling of the upstreams' answers to start and stop orders.
//!
//! An order without an answer may still be executed, possibly later. The same attempt is ordered
//! again, which is idempotent; after that it is withdrawn by a stop order, after which the upstream
//! rejects any later start of this attempt. The run stays allocated until its state is known.

use std::sync::Arc;

use crate::model::{RejectReason, StartOutcome, StopOutcome, TaskName};
use crate::owner::upstream_entry::{ContactState, RunPhase};
use crate::owner::{OwnerEffect, OwnerMachine, StartOrder, StopOrder, StopReason};

/// Maximum number of start orders for one attempt before it is withdrawn.
const MAX_START_ORDERS: u32 = 3;

/// Time during which nothing is placed on an upstream that did not execute a start order because it
/// was unhealthy, restarted or not reached, in milliseconds.
const UNHEALTHY_BACKOFF_MS: u64 = 1000;

/// Time during which nothing is placed on an upstream that rejected a start for lack of capacity,
/// in milliseconds.
const NO_CAPACITY_BACKOFF_MS: u64 = 300;

impl OwnerMachine {
    /// Handles the outcome of a start order.
    pub fn on_start(&mut self, now: u64, order: &StartOrder, outcome: StartOutcome) {
        let upstream = order.upstream.clone();
        let is_outdated = self.is_outdated_fence(&upstream, order.fence);
        let known = self
            .upstreams
            .get_mut(&upstream)
            .and_then(|entry| entry.runs.get_mut(&order.task));
        let Some(run) = known.filter(|run| run.attempt == order.attempt) else {
            return;
        };
        let sent_at = run.order_sent_at;
        match outcome {
            StartOutcome::Started => {
                run.confirmed_at = Some(now);
                if matches!(run.phase, RunPhase::Starting | RunPhase::Unconfirmed) {
                    run.phase = RunPhase::Running;
                }
                if let Some(entry) = self.upstreams.get_mut(&upstream) {
                    entry.hasten_renewal(now, &mut self.renewal_queue);
                    entry.answered_at = entry.answered_at.max(now);
                }
                self.mark_started(&order.task.submission);
            }
            StartOutcome::Unknown => self.retry_start(now, order),
            StartOutcome::Rejected(RejectReason::Fenced) if !is_outdated => self.step_down(),
            // A rejection says nothing about an earlier order for the same attempt that got no
            // answer, so the run is released only if there was one order.
            StartOutcome::Rejected(reason) if run.start_orders == 1 => {
                self.release_rejected(now, order, Some(reason));
            }
            StartOutcome::Rejected(_) => self.withdraw_start(now, order),
            StartOutcome::Unhealthy | StartOutcome::NotSent | StartOutcome::OtherIncarnation
                if run.start_orders > 1 =>
            {
                self.withdraw_start(now, order);
            }
            StartOutcome::Unhealthy | StartOutcome::NotSent | StartOutcome::OtherIncarnation => {
                self.release_rejected(now, order, None);
            }
        }
        if outcome == StartOutcome::NotSent
            && let Some(entry) = self.upstreams.get_mut(&upstream)
        {
            entry.doubt_unanswered_start(now, sent_at);
            self.view_cache.mark_changed(&upstream);
        }
    }

    /// Marks a submission as started.
    pub(super) fn mark_started(&mut self, id: &Arc<str>) {
        let queued = crate::model::SubmissionState::Queued;
        if let Some(entry) = self.submissions.get_mut(id)
            && entry.state == queued
        {
            entry.state = crate::model::SubmissionState::Running;
            self.record_change(id, false);
        }
    }

    /// Orders the same attempt again, or withdraws it. While it is unknown which incarnation would
    /// execute the order, it waits.
    fn retry_start(&mut self, now: u64, order: &StartOrder) {
        let Some(entry) = self.upstreams.get_mut(&order.upstream) else {
            return;
        };
        entry.schedule_renewal(now, &mut self.renewal_queue);
        let Some(run) = entry.runs.get(&order.task) else {
            return;
        };
        let sent_at = run.order_sent_at;
        let is_final = run.phase != RunPhase::Starting || run.start_orders >= MAX_START_ORDERS;
        entry.doubt_unanswered_start(now, sent_at);
        self.view_cache.mark_changed(&order.upstream);
        let is_silent = entry.contact != ContactState::Responsive;
        if is_final || is_silent {
            self.withdraw_start(now, order);
        } else if entry.doubt.is_some() {
            entry.deferred_starts.push(order.clone());
        } else if self.can_start(now, &order.upstream, &order.task) {
            self.repeat_start(now, order);
        } else {
            self.withdraw_start(now, order);
        }
    }

    /// Orders the same attempt again.
    pub(super) fn repeat_start(&mut self, now: u64, order: &StartOrder) {
        let terms = self.lease_terms();
        let Some(entry) = self.upstreams.get_mut(&order.upstream) else {
            return;
        };
        let deadline = entry.grant_lease(now, terms);
        let fence = entry.fence;
        let Some(run) = entry.runs.get_mut(&order.task) else {
            return;
        };
        run.start_orders += 1;
        run.order_sent_at = now;
        let mut again = order.clone();
        again.deadline_ms = deadline.unwrap_or(order.deadline_ms);
        again.fence = fence;
        self.effects.push(OwnerEffect::Start(again));
    }

    /// Withdraws an attempt by a stop order, because a start order may still be executed.
    pub(super) fn withdraw_start(&mut self, now: u64, order: &StartOrder) {
        self.stop_gang(now, &order.task);
        let Some(entry) = self.upstreams.get_mut(&order.upstream) else {
            return;
        };
        if let Some(run) = entry.runs.get_mut(&order.task)
            && run.phase != RunPhase::Stopping
        {
            run.phase = RunPhase::Unconfirmed;
            run.stop_reason = Some(StopReason::StartUnconfirmed);
            run.stop_due_at = now;
            self.stop_queue.push(now, &order.upstream);
        }
    }

    /// Releases a run whose only start order was certainly not executed.
    pub(super) fn release_rejected(
        &mut self,
        now: u64,
        order: &StartOrder,
        reason: Option<RejectReason>,
    ) {
        self.release(now, &order.upstream, &order.task);
        self.stop_gang(now, &order.task);
        if reason == Some(RejectReason::Ticket) {
            self.expire_ticket(&order.task, &order.upstream);
            return;
        }
        let Some(entry) = self.upstreams.get_mut(&order.upstream) else {
            return;
        };
        entry.schedule_renewal(now, &mut self.renewal_queue);
        match reason {
            None => entry.backoff_until = now + UNHEALTHY_BACKOFF_MS,
            Some(RejectReason::NoRoom) => entry.backoff_until = now + NO_CAPACITY_BACKOFF_MS,
            Some(_) => {}
        }
    }

    fn expire_ticket(&mut self, name: &TaskName, upstream: &Arc<str>) {
        let Some(index) = self.upstreams.get(upstream).map(|entry| entry.index) else {
            return;
        };
        let step = self
            .submissions
            .get_mut(&name.submission)
            .and_then(|entry| entry.occurrences.get_mut(name.occurrence as usize))
            .and_then(|occurrence| occurrence.steps.get_mut(name.step as usize));
        if let Some(ticket) = step.and_then(|step| step.tickets.get_mut(&index)) {
            ticket.expires_at = 0;
        }
    }

    /// Stops the other members of a gang, so that they do not wait for one that is gone.
    pub(super) fn stop_gang(&mut self, now: u64, name: &TaskName) {
        let members = self.gang_runs(name);
        for (member, upstream) in members {
            if member != *name {
                self.stop_run(now, &upstream, &member, StopReason::GangBroken);
            }
        }
    }

    /// Returns the placed members of the task's gang; empty if the step is not a gang.
    pub(super) fn gang_runs(&self, name: &TaskName) -> Vec<(TaskName, Arc<str>)> {
        let Some(entry) = self.submissions.get(&name.submission) else {
            return Vec::new();
        };
        if !entry
            .record
            .steps
            .get(name.step as usize)
            .is_some_and(|step| step.gang)
        {
            return Vec::new();
        }
        let Some(step) = entry
            .occurrences
            .get(name.occurrence as usize)
            .and_then(|occurrence| occurrence.steps.get(name.step as usize))
        else {
            return Vec::new();
        };
        (0..)
            .zip(&step.tasks)
            .filter_map(|(index, task)| {
                let member = TaskName {
                    index,
                    ..name.clone()
                };
                task.upstream.clone().map(|upstream| (member, upstream))
            })
            .collect()
    }

    /// Handles the outcome of a stop order.
    pub fn on_stop(&mut self, now: u64, order: &StopOrder, outcome: StopOutcome) {
        match outcome {
            StopOutcome::Fenced if self.is_outdated_fence(&order.upstream, order.fence) => {}
            StopOutcome::Fenced => self.step_down(),
            StopOutcome::Accepted => {
                let Some(entry) = self.upstreams.get_mut(&order.upstream) else {
                    return;
                };
                entry.schedule_renewal(now, &mut self.renewal_queue);
                if let Some(run) = entry.runs.get_mut(&order.task)
                    && run.attempt == order.attempt
                {
                    run.stop_accepted_at.get_or_insert(now);
                }
            }
            StopOutcome::OtherIncarnation => {
                self.on_other_incarnation(now, &order.upstream, &order.address);
            }
            StopOutcome::Unknown => {}
        }
    }
}
