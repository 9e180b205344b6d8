//! Calls to upstreams: fences, renewals, starts and revocations.

use std::sync::Arc;

use lagoonnotch_wire::upstream::{
    FenceCall, FenceReply, RenewCall, RenewReply, RevokeCall, RevokeOutcome, RevokeReply,
    StartOutcome, TaskAction, TaskOrder,
};

use crate::event::EventCode;
use crate::model::{AttemptId, TaskId, UpstreamName};
use crate::shard::effect_desk::CallPurpose;
use crate::shard::messages::{CallFailure, UpstreamCall, UpstreamReply};
use crate::shard::owner::upstream_entry::{
    FenceHold, UpstreamEntry, UpstreamStanding, attempt_ref,
};
use crate::shard::owner::work_entry::{TaskEvent, TaskPhase};
use crate::shard::owner::{OwnerState, StepContext};

impl OwnerState {
    /// Fences or renews each upstream that is due, and gives up those that are gone.
    pub(super) fn contact_upstreams(&mut self, context: &mut StepContext<'_>) {
        let doubted = self.upstreams.values().filter(|entry| entry.may_be_lost());
        let doubted: Vec<UpstreamName> = doubted.map(|entry| entry.name.clone()).collect();
        for name in doubted {
            self.give_up_lost(context, &name);
        }
        let due = self
            .upstreams
            .values()
            .filter(|entry| entry.is_due(context.now_ms));
        let due: Vec<UpstreamName> = due.map(|entry| entry.name.clone()).collect();
        for name in due {
            self.contact(context, &name);
        }
    }

    fn contact(&mut self, context: &mut StepContext<'_>, name: &UpstreamName) {
        let epoch = self.epoch;
        let running = self.running_attempts(name);
        let Some(entry) = self.upstreams.get_mut(name) else {
            return;
        };
        entry.call_pending = true;
        entry.next_contact_ms = context.now_ms + context.timing.renew_ms;
        let (request, purpose) = match entry.fence.clone() {
            Some(fence) => renewal(context, epoch, &fence, entry, running),
            None => fence_call(context, epoch, entry),
        };
        context
            .desk
            .call_upstream(&Arc::clone(&entry.address), request, purpose);
    }

    /// Returns the attempts that surely run at an upstream.
    fn running_attempts(&self, name: &UpstreamName) -> Vec<AttemptId> {
        let bookings = self.upstreams.get(name).map(|entry| &entry.bookings);
        let attempts = bookings.into_iter().flat_map(|bookings| bookings.keys());
        let running = attempts.filter(|attempt| {
            let work = self.works.get(&attempt.task.work);
            let task = work.and_then(|work| work.tasks.get(attempt.task.index as usize));
            task.is_some_and(|task| task.phase() == TaskPhase::Running)
        });
        running.cloned().collect()
    }

    /// Ends the attempts at an upstream once their leases have surely run out.
    fn give_up_lost(&mut self, context: &mut StepContext<'_>, name: &UpstreamName) {
        let Some(entry) = self.upstreams.get(name) else {
            return;
        };
        let missing_ms = entry
            .missing_since_ms
            .map_or(0, |since| context.now_ms.saturating_sub(since));
        let unreachable = entry.silent() || entry.address.is_empty();
        let gone = unreachable && missing_ms >= context.timing.gone_ms;
        let expired = entry.standing == UpstreamStanding::Held
            && entry.silent()
            && context.now_ms >= entry.leases_end_ms(context.timing);
        if !gone && !expired {
            return;
        }
        context
            .desk
            .event(EventCode::UpstreamLost, name.to_string());
        self.lose_upstream(context, name);
        if gone {
            self.settle_doubtful(context, name, None);
            self.upstreams.remove(name);
            self.index.remove(name);
            self.sum_capacity();
        }
    }

    /// Ends every attempt at an upstream.
    pub(super) fn lose_upstream(&mut self, context: &mut StepContext<'_>, name: &UpstreamName) {
        let Some(entry) = self.upstreams.get_mut(name) else {
            return;
        };
        entry.standing = UpstreamStanding::Lost;
        entry.fence = None;
        let attempts: Vec<AttemptId> = entry.bookings.keys().cloned().collect();
        for attempt in attempts {
            self.lose_attempt(context, &attempt);
            self.unbook(name, &attempt);
        }
        self.reindex(name);
    }

    /// Takes the result of a call to an upstream.
    pub(in crate::shard) fn upstream_result(
        &mut self,
        context: &mut StepContext<'_>,
        purpose: &CallPurpose,
        result: Result<UpstreamReply, CallFailure>,
    ) {
        match (purpose, result) {
            (CallPurpose::Fence { upstream, sent_ms }, Ok(UpstreamReply::Fence(reply))) => {
                self.fence_answered(context, upstream, *sent_ms, &reply);
            }
            (
                CallPurpose::Renew {
                    upstream,
                    fence,
                    running,
                },
                Ok(UpstreamReply::Renew(reply)),
            ) => {
                self.renewal_answered(context, upstream, *fence, running, &reply);
            }
            (CallPurpose::Start { upstream, attempt }, Ok(UpstreamReply::Start(reply))) => {
                self.start_answered(context, upstream, attempt, reply.outcome);
            }
            (CallPurpose::Revoke { upstream, attempt }, Ok(UpstreamReply::Revoke(reply))) => {
                self.revoke_answered(context, upstream, attempt, &reply);
            }
            (CallPurpose::Fence { upstream, .. } | CallPurpose::Renew { upstream, .. }, _) => {
                self.contact_failed(context, upstream);
            }
            (CallPurpose::Start { attempt, .. }, _) => self.revoke(context, &attempt.task),
            (CallPurpose::Revoke { attempt, .. }, _) => self.revoke_failed(attempt),
            _ => {}
        }
    }

    /// Withdraws a task's present attempt, whose start is in doubt.
    pub(super) fn revoke(&mut self, context: &mut StepContext<'_>, task: &TaskId) {
        let epoch = self.epoch;
        let Some(place) = self.task(task).and_then(|entry| entry.attempt.as_mut()) else {
            return;
        };
        if place.revoking {
            return;
        }
        place.revoking = true;
        let (upstream, number) = (place.upstream.clone(), place.number);
        let Some(entry) = self.upstreams.get(&upstream) else {
            return;
        };
        let request = RevokeCall {
            epoch,
            task: task.to_string(),
            attempt: number,
        };
        let attempt = AttemptId {
            task: task.clone(),
            number,
        };
        let purpose = CallPurpose::Revoke { upstream, attempt };
        context
            .desk
            .call_upstream(&entry.address, UpstreamCall::Revoke(request), purpose);
    }

    /// Has a task's present attempt stopped with the next message.
    pub(super) fn order_stop(&mut self, task: &TaskId) {
        let Some(place) = self.task(task).and_then(|entry| entry.attempt.clone()) else {
            return;
        };
        let order = TaskOrder {
            task: task.to_string(),
            attempt: place.number,
            action: TaskAction::Stop,
        };
        self.push_order(&place.upstream, order);
    }

    pub(super) fn push_order(&mut self, upstream: &UpstreamName, order: TaskOrder) {
        if let Some(entry) = self.upstreams.get_mut(upstream)
            && !entry.orders.contains(&order)
        {
            entry.orders.push(order);
        }
    }

    fn fence_answered(
        &mut self,
        context: &mut StepContext<'_>,
        name: &UpstreamName,
        sent_ms: u64,
        reply: &FenceReply,
    ) {
        let Some(entry) = self.upstreams.get_mut(name) else {
            return;
        };
        entry.call_pending = false;
        if !reply.accepted {
            self.deposed = Some(format!(
                "upstream {name} is fenced for epoch {}",
                reply.epoch
            ));
            return;
        }
        entry.failures = 0;
        entry.standing = UpstreamStanding::Held;
        entry.extended_ms = sent_ms;
        entry.next_contact_ms = context.now_ms;
        entry.fence = Some(FenceHold {
            number: reply.fence,
            sent_ms,
            round_trip_ms: context.now_ms.saturating_sub(sent_ms),
            incarnation: Arc::from(reply.incarnation.as_str()),
        });
        context.desk.event(
            EventCode::UpstreamFenced,
            format!("{name} in {}", reply.incarnation),
        );
        self.take_inventory(context, name, reply);
        self.reindex(name);
        self.dirty = true;
    }

    fn renewal_answered(
        &mut self,
        context: &mut StepContext<'_>,
        name: &UpstreamName,
        fence: u64,
        running: &[AttemptId],
        reply: &RenewReply,
    ) {
        let Some(entry) = self.upstreams.get_mut(name) else {
            return;
        };
        entry.call_pending = false;
        if reply.epoch > self.epoch {
            self.deposed = Some(format!(
                "upstream {name} is fenced for epoch {}",
                reply.epoch
            ));
            return;
        }
        let silent = std::mem::take(&mut entry.failures) > 0;
        if !reply.accepted {
            entry.fence = None;
            entry.next_contact_ms = context.now_ms;
            self.reindex(name);
            return;
        }
        if entry.fence.as_ref().is_none_or(|hold| hold.number != fence) {
            return;
        }
        if silent {
            self.reindex(name);
            self.dirty = true;
        }
        self.take_reports(context, name, running, reply);
    }

    fn start_answered(
        &mut self,
        context: &mut StepContext<'_>,
        name: &UpstreamName,
        attempt: &AttemptId,
        outcome: StartOutcome,
    ) {
        match outcome {
            StartOutcome::Started | StartOutcome::AlreadyKnown => self.attempt_runs(attempt),
            StartOutcome::Revoked => self.return_attempt(context, attempt, false),
            StartOutcome::StaleEpoch | StartOutcome::FenceExpired => {
                self.return_attempt(context, attempt, false);
                self.fence_again(context, name);
            }
        }
    }

    fn revoke_answered(
        &mut self,
        context: &mut StepContext<'_>,
        name: &UpstreamName,
        attempt: &AttemptId,
        reply: &RevokeReply,
    ) {
        let Some(place) = self
            .attempt_task(attempt)
            .and_then(|entry| entry.attempt.as_mut())
        else {
            return;
        };
        place.revoking = false;
        let same = *place.incarnation == *reply.incarnation;
        match reply.outcome {
            RevokeOutcome::NeverStarted if same => self.return_attempt(context, attempt, false),
            RevokeOutcome::NeverStarted | RevokeOutcome::StaleEpoch => {
                self.fence_again(context, name);
            }
            RevokeOutcome::Running => {
                self.attempt_runs(attempt);
                self.answer_joined(context, &attempt.task.work);
            }
            RevokeOutcome::Finished => self.contact_now(context, name),
        }
    }

    fn revoke_failed(&mut self, attempt: &AttemptId) {
        if let Some(place) = self
            .attempt_task(attempt)
            .and_then(|entry| entry.attempt.as_mut())
        {
            place.revoking = false;
        }
    }

    /// Takes note that an attempt runs.
    pub(super) fn attempt_runs(&mut self, attempt: &AttemptId) {
        let cancelled = self
            .works
            .get(&attempt.task.work)
            .is_some_and(|work| work.cancelled);
        let Some(entry) = self.attempt_task(attempt) else {
            return;
        };
        let changed = entry.phase() != TaskPhase::Running && entry.advance(TaskEvent::Run);
        entry.ran_before |= changed;
        if cancelled {
            self.order_stop(&attempt.task);
        }
    }

    fn contact_failed(&mut self, context: &mut StepContext<'_>, name: &UpstreamName) {
        let Some(entry) = self.upstreams.get_mut(name) else {
            return;
        };
        entry.call_pending = false;
        entry.failures += 1;
        if entry.failures == super::upstream_entry::SILENT_FAILURES {
            context
                .desk
                .event(EventCode::UpstreamSilent, name.to_string());
        }
        self.reindex(name);
    }

    fn fence_again(&mut self, context: &StepContext<'_>, name: &UpstreamName) {
        if let Some(entry) = self.upstreams.get_mut(name) {
            entry.fence = None;
        }
        self.reindex(name);
        self.contact_now(context, name);
    }

    fn contact_now(&mut self, context: &StepContext<'_>, name: &UpstreamName) {
        if let Some(entry) = self.upstreams.get_mut(name) {
            entry.next_contact_ms = context.now_ms;
        }
    }
}

fn fence_call(
    context: &StepContext<'_>,
    epoch: u64,
    entry: &UpstreamEntry,
) -> (UpstreamCall, CallPurpose) {
    let shard = context.identity.shard.to_string();
    let call = FenceCall {
        shard,
        epoch,
        fence_ms: context.timing.fence_ms,
    };
    let purpose = CallPurpose::Fence {
        upstream: entry.name.clone(),
        sent_ms: context.now_ms,
    };
    (UpstreamCall::Fence(call), purpose)
}

/// Makes the renewal of an upstream.
///
/// A silent upstream gets nothing extended, so that its leases run out at a known time. An owner
/// whose bound has passed extends no fence, and only the leases that the journal holds, since a
/// new owner knows of those.
fn renewal(
    context: &StepContext<'_>,
    epoch: u64,
    fence: &FenceHold,
    entry: &mut UpstreamEntry,
    running: Vec<AttemptId>,
) -> (UpstreamCall, CallPurpose) {
    let extends = !entry.silent();
    let renewed = entry
        .bookings
        .iter()
        .filter(|(_, booking)| extends && (context.bound_held || booking.journaled));
    let renew = renewed.map(|(attempt, _)| attempt_ref(attempt)).collect();
    if extends {
        entry.extended_ms = context.now_ms;
    }
    let call = RenewCall {
        epoch,
        fence: fence.number,
        elapsed_ms: context.now_ms.saturating_sub(fence.sent_ms),
        fence_ms: if extends && context.bound_held {
            context.timing.fence_ms
        } else {
            0
        },
        lease_ms: context.timing.task_lease_ms,
        renew,
        acknowledge: std::mem::take(&mut entry.acknowledge),
        orders: std::mem::take(&mut entry.orders),
    };
    let purpose = CallPurpose::Renew {
        upstream: entry.name.clone(),
        fence: fence.number,
        running,
    };
    (UpstreamCall::Renew(call), purpose)
}
