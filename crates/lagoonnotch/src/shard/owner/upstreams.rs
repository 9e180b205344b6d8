//! Calls to upstreams: fences, renewals, starts and revocations.

use std::sync::Arc;

use lagoonnotch_wire::upstream::{
    FenceCall, FenceReply, RenewCall, RenewReply, RevokeCall, RevokeOutcome, RevokeReply,
    StartOutcome, TaskAction, TaskOrder,
};

use crate::event::EventCode;
use crate::model::{AttemptId, TaskId, UpstreamName};
use crate::shard::effect_buffer::CallPurpose;
use crate::shard::messages::{CallFailure, UpstreamCall, UpstreamReply};
use crate::shard::owner::upstream_entry::{ActiveFence, LeaseState, UpstreamEntry, attempt_ref};
use crate::shard::owner::work_entry::{TaskEvent, TaskPhase};
use crate::shard::owner::{OwnerState, StepContext};

impl OwnerState {
    /// Ends the attempts at lost upstreams, and fences or renews each upstream that is due.
    pub(super) fn contact_upstreams(&mut self, context: &mut StepContext<'_>) {
        let suspects = self.upstreams.values().filter(|entry| entry.may_be_lost());
        let suspects: Vec<UpstreamName> = suspects.map(|entry| entry.name.clone()).collect();
        for name in suspects {
            self.expire_upstream(context, &name);
        }
        let due = self
            .upstreams
            .values()
            .filter(|entry| entry.is_due(context.now_ms));
        let due: Vec<UpstreamName> = due.map(|entry| entry.name.clone()).collect();
        for name in due {
            self.contact_upstream(context, &name);
        }
    }

    fn contact_upstream(&mut self, context: &mut StepContext<'_>, name: &UpstreamName) {
        let epoch = self.epoch;
        let running = self.running_attempts(name);
        let Some(entry) = self.upstreams.get_mut(name) else {
            return;
        };
        entry.call_pending = true;
        entry.next_contact_ms = context.now_ms + context.timing.upstream_renew_interval_ms;
        let (request, purpose) = match entry.fence.clone() {
            Some(fence) => renewal(context, epoch, &fence, entry, running),
            None => fence_call(context, epoch, entry),
        };
        context
            .effects
            .call_upstream(&Arc::clone(&entry.address), request, purpose);
    }

    /// Returns the attempts that are known to be running at an upstream.
    fn running_attempts(&self, name: &UpstreamName) -> Vec<AttemptId> {
        let reservations = self.upstreams.get(name).map(|entry| &entry.reservations);
        let attempts = reservations
            .into_iter()
            .flat_map(|reservations| reservations.keys());
        let running = attempts.filter(|attempt| {
            let work = self.works.get(&attempt.task.work);
            let task = work.and_then(|work| work.tasks.get(attempt.task.index as usize));
            task.is_some_and(|task| task.phase() == TaskPhase::Running)
        });
        running.cloned().collect()
    }

    /// Ends the attempts at an upstream once their leases have expired or the upstream is gone.
    fn expire_upstream(&mut self, context: &mut StepContext<'_>, name: &UpstreamName) {
        let Some(entry) = self.upstreams.get(name) else {
            return;
        };
        let missing_ms = entry
            .missing_since_ms
            .map_or(0, |since| context.now_ms.saturating_sub(since));
        let unreachable = entry.is_silent() || entry.address.is_empty();
        let gone = unreachable && missing_ms >= context.timing.missing_timeout_ms;
        let expired = entry.lease_state == LeaseState::Own
            && entry.is_silent()
            && context.now_ms >= entry.leases_end_ms(context.timing);
        if !gone && !expired {
            return;
        }
        context
            .effects
            .log_event(EventCode::UpstreamLost, name.to_string());
        self.mark_upstream_lost(context, name);
        if gone {
            self.resolve_doubtful(context, name, None);
            self.upstreams.remove(name);
            self.capacity_index.remove(name);
            self.update_total_capacity();
        }
    }

    /// Ends every attempt at an upstream.
    pub(super) fn mark_upstream_lost(
        &mut self,
        context: &mut StepContext<'_>,
        name: &UpstreamName,
    ) {
        let Some(entry) = self.upstreams.get_mut(name) else {
            return;
        };
        entry.lease_state = LeaseState::Expired;
        entry.fence = None;
        let attempts: Vec<AttemptId> = entry.reservations.keys().cloned().collect();
        for attempt in attempts {
            self.lose_attempt(context, &attempt);
            self.release_reservation(name, &attempt);
        }
        self.reindex(name);
    }

    /// Handles the result of a call to an upstream.
    pub(in crate::shard) fn handle_upstream_result(
        &mut self,
        context: &mut StepContext<'_>,
        purpose: &CallPurpose,
        result: Result<UpstreamReply, CallFailure>,
    ) {
        match (purpose, result) {
            (CallPurpose::Fence { upstream, sent_ms }, Ok(UpstreamReply::Fence(reply))) => {
                self.handle_fence_reply(context, upstream, *sent_ms, &reply);
            }
            (
                CallPurpose::Renew {
                    upstream,
                    fence_number,
                    running,
                },
                Ok(UpstreamReply::Renew(reply)),
            ) => {
                self.handle_renew_reply(context, upstream, *fence_number, running, &reply);
            }
            (CallPurpose::Start { upstream, attempt }, Ok(UpstreamReply::Start(reply))) => {
                self.handle_start_reply(context, upstream, attempt, reply.outcome);
            }
            (CallPurpose::Revoke { upstream, attempt }, Ok(UpstreamReply::Revoke(reply))) => {
                self.handle_revoke_reply(context, upstream, attempt, &reply);
            }
            (CallPurpose::Fence { upstream, .. } | CallPurpose::Renew { upstream, .. }, _) => {
                self.handle_contact_failure(context, upstream);
            }
            (CallPurpose::Start { attempt, .. }, _) => self.revoke_attempt(context, &attempt.task),
            (CallPurpose::Revoke { attempt, .. }, _) => self.handle_revoke_failure(attempt),
            _ => {}
        }
    }

    /// Revokes a task's current attempt, whose start is in doubt.
    pub(super) fn revoke_attempt(&mut self, context: &mut StepContext<'_>, task: &TaskId) {
        let epoch = self.epoch;
        let Some(placement) = self.task(task).and_then(|entry| entry.attempt.as_mut()) else {
            return;
        };
        if placement.revoking {
            return;
        }
        placement.revoking = true;
        let (upstream, number) = (placement.upstream.clone(), placement.number);
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
            .effects
            .call_upstream(&entry.address, UpstreamCall::Revoke(request), purpose);
    }

    /// Orders a task's current attempt to stop. The order is sent with the next renewal.
    pub(super) fn order_stop(&mut self, task: &TaskId) {
        let Some(placement) = self.task(task).and_then(|entry| entry.attempt.clone()) else {
            return;
        };
        let order = TaskOrder {
            task: task.to_string(),
            attempt: placement.number,
            action: TaskAction::Stop,
        };
        self.push_order(&placement.upstream, order);
    }

    pub(super) fn push_order(&mut self, upstream: &UpstreamName, order: TaskOrder) {
        if let Some(entry) = self.upstreams.get_mut(upstream)
            && !entry.orders.contains(&order)
        {
            entry.orders.push(order);
        }
    }

    fn handle_fence_reply(
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
            self.step_down_reason = Some(format!(
                "upstream {name} was fenced by the owner of epoch {}",
                reply.epoch
            ));
            return;
        }
        entry.failed_calls = 0;
        entry.lease_state = LeaseState::Own;
        entry.last_extension_ms = sent_ms;
        entry.next_contact_ms = context.now_ms;
        entry.fence = Some(ActiveFence {
            number: reply.fence,
            sent_ms,
            round_trip_ms: context.now_ms.saturating_sub(sent_ms),
            incarnation: Arc::from(reply.incarnation.as_str()),
        });
        context.effects.log_event(
            EventCode::UpstreamFenced,
            format!("upstream {name}, incarnation {}", reply.incarnation),
        );
        self.apply_inventory(context, name, reply);
        self.reindex(name);
        self.dispatch_needed = true;
    }

    fn handle_renew_reply(
        &mut self,
        context: &mut StepContext<'_>,
        name: &UpstreamName,
        fence_number: u64,
        running: &[AttemptId],
        reply: &RenewReply,
    ) {
        let Some(entry) = self.upstreams.get_mut(name) else {
            return;
        };
        entry.call_pending = false;
        if reply.epoch > self.epoch {
            self.step_down_reason = Some(format!(
                "upstream {name} was fenced by the owner of epoch {}",
                reply.epoch
            ));
            return;
        }
        let was_failing = std::mem::take(&mut entry.failed_calls) > 0;
        if !reply.accepted {
            entry.fence = None;
            entry.next_contact_ms = context.now_ms;
            self.reindex(name);
            return;
        }
        if entry
            .fence
            .as_ref()
            .is_none_or(|active_fence| active_fence.number != fence_number)
        {
            return;
        }
        if was_failing {
            self.reindex(name);
            self.dispatch_needed = true;
        }
        self.apply_reports(context, name, running, reply);
    }

    fn handle_start_reply(
        &mut self,
        context: &mut StepContext<'_>,
        name: &UpstreamName,
        attempt: &AttemptId,
        outcome: StartOutcome,
    ) {
        match outcome {
            StartOutcome::Started | StartOutcome::AlreadyKnown => self.mark_running(attempt),
            StartOutcome::Revoked => self.return_attempt(context, attempt, false),
            StartOutcome::StaleEpoch | StartOutcome::FenceExpired => {
                self.return_attempt(context, attempt, false);
                self.refence(context, name);
            }
        }
    }

    fn handle_revoke_reply(
        &mut self,
        context: &mut StepContext<'_>,
        name: &UpstreamName,
        attempt: &AttemptId,
        reply: &RevokeReply,
    ) {
        let Some(placement) = self
            .task_of_attempt(attempt)
            .and_then(|entry| entry.attempt.as_mut())
        else {
            return;
        };
        placement.revoking = false;
        let same_incarnation = *placement.incarnation == *reply.incarnation;
        match reply.outcome {
            RevokeOutcome::NeverStarted if same_incarnation => {
                self.return_attempt(context, attempt, false);
            }
            RevokeOutcome::NeverStarted | RevokeOutcome::StaleEpoch => {
                self.refence(context, name);
            }
            RevokeOutcome::Running => {
                self.mark_running(attempt);
                self.reply_with_outcome(context, &attempt.task.work);
            }
            RevokeOutcome::Finished => self.schedule_contact(context, name),
        }
    }

    fn handle_revoke_failure(&mut self, attempt: &AttemptId) {
        if let Some(placement) = self
            .task_of_attempt(attempt)
            .and_then(|entry| entry.attempt.as_mut())
        {
            placement.revoking = false;
        }
    }

    /// Marks an attempt as running.
    pub(super) fn mark_running(&mut self, attempt: &AttemptId) {
        let cancelled = self
            .works
            .get(&attempt.task.work)
            .is_some_and(|work| work.cancelled);
        let Some(entry) = self.task_of_attempt(attempt) else {
            return;
        };
        let changed = entry.phase() != TaskPhase::Running && entry.advance(TaskEvent::Run);
        entry.ran_before |= changed;
        if cancelled {
            self.order_stop(&attempt.task);
        }
    }

    fn handle_contact_failure(&mut self, context: &mut StepContext<'_>, name: &UpstreamName) {
        let Some(entry) = self.upstreams.get_mut(name) else {
            return;
        };
        entry.call_pending = false;
        entry.failed_calls += 1;
        if entry.failed_calls == super::upstream_entry::SILENT_AFTER_FAILED_CALLS {
            context
                .effects
                .log_event(EventCode::UpstreamSilent, name.to_string());
        }
        self.reindex(name);
    }

    fn refence(&mut self, context: &StepContext<'_>, name: &UpstreamName) {
        if let Some(entry) = self.upstreams.get_mut(name) {
            entry.fence = None;
        }
        self.reindex(name);
        self.schedule_contact(context, name);
    }

    fn schedule_contact(&mut self, context: &StepContext<'_>, name: &UpstreamName) {
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
        fence_ms: context.timing.fence_ttl_ms,
    };
    let purpose = CallPurpose::Fence {
        upstream: entry.name.clone(),
        sent_ms: context.now_ms,
    };
    (UpstreamCall::Fence(call), purpose)
}

/// Creates the renewal call for an upstream.
///
/// The leases and the fence of a silent upstream are not extended, so that they expire at a known
/// time. When another host may have taken over, the fence is not extended, and leases are extended
/// only for attempts that the journal records: a new owner finds those there.
fn renewal(
    context: &StepContext<'_>,
    epoch: u64,
    fence: &ActiveFence,
    entry: &mut UpstreamEntry,
    running: Vec<AttemptId>,
) -> (UpstreamCall, CallPurpose) {
    let extends = !entry.is_silent();
    let renewed = entry
        .reservations
        .iter()
        .filter(|(_, reservation)| extends && (context.exclusive || reservation.needs_journal));
    let renew = renewed.map(|(attempt, _)| attempt_ref(attempt)).collect();
    if extends {
        entry.last_extension_ms = context.now_ms;
    }
    let call = RenewCall {
        epoch,
        fence: fence.number,
        elapsed_ms: context.now_ms.saturating_sub(fence.sent_ms),
        fence_ms: if extends && context.exclusive {
            context.timing.fence_ttl_ms
        } else {
            0
        },
        lease_ms: context.timing.task_lease_ttl_ms,
        renew,
        acknowledge: std::mem::take(&mut entry.to_acknowledge),
        orders: std::mem::take(&mut entry.orders),
    };
    let purpose = CallPurpose::Renew {
        upstream: entry.name.clone(),
        fence_number: fence.number,
        running,
    };
    (UpstreamCall::Renew(call), purpose)
}
