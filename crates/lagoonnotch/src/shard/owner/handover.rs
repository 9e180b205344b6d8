//! Handover of jobs to other shards while the failure domain is out of service.
//!
//! A job moves in two steps. First it is offered: the journal records that it will not start here,
//! and names the shard that takes it, which never changes afterwards. Then the job is sent until
//! that shard confirms it. Repeated sends are harmless, since the other shard recognizes the job by
//! its identifier.

use crate::journal::{AcceptedWork, JournalRecord};
use crate::model::{ShardName, TaskId, WorkId};
use crate::shard::effect_buffer::CallPurpose;
use crate::shard::messages::{CallFailure, CommandId, ShardCommand, ShardReply};
use crate::shard::owner::commits::FollowUp;
use crate::shard::owner::state::WorkTimer;
use crate::shard::owner::work_entry::{JobLocation, TaskPhase, WorkEntry};
use crate::shard::owner::{OwnerState, StepContext};

/// Maximum number of jobs that one maintenance round asks other shards about.
const MAX_PROBES_PER_ROUND: usize = 32;

/// Time after which another shard is asked again, in milliseconds.
const PROBE_RETRY_MS: u64 = 5000;

/// Time after which an offered job is sent again, in milliseconds.
const OFFER_RETRY_MS: u64 = 1000;

/// Time for which a moved job is remembered, as a multiple of `durable_retention_ms`.
const MOVED_RETENTION_FACTOR: u64 = 24;

impl WorkEntry {
    /// Returns whether the job may be handed over, which requires that no task of it ever started.
    fn is_movable(&self) -> bool {
        let not_started = self.tasks.iter().all(|task| {
            task.phase() == TaskPhase::Waiting && !task.ran_before && task.failures == 0
        });
        self.accepted.lasting
            && !self.cancelled
            && self.location == JobLocation::Local
            && not_started
    }
}

impl OwnerState {
    /// Asks another shard to take waiting jobs while the failure domain is out of service, and
    /// sends the jobs that were offered.
    pub(super) fn update_handover(&mut self, context: &mut StepContext<'_>) {
        self.send_offers(context);
        let out = !context.config.in_service(&context.identity.domain);
        let Some(to) = context
            .peer_view
            .available_shards
            .first()
            .filter(|_| out)
            .cloned()
        else {
            return;
        };
        let now_ms = context.now_ms;
        let movable = self
            .works
            .values_mut()
            .filter(|work| work.is_movable() && now_ms >= work.next_offer_ms);
        let mut asked = Vec::new();
        for work in movable.take(MAX_PROBES_PER_ROUND) {
            work.next_offer_ms = now_ms + PROBE_RETRY_MS;
            asked.push(work.accepted.clone());
        }
        for accepted in asked {
            let purpose = CallPurpose::Probe {
                work: accepted.id.clone(),
                to: to.clone(),
            };
            context
                .effects
                .call_shard(&to, ShardCommand::Probe(accepted), purpose);
        }
    }

    /// Handles the reply of another shard.
    pub(in crate::shard) fn handle_shard_result(
        &mut self,
        context: &mut StepContext<'_>,
        purpose: &CallPurpose,
        result: &Result<ShardReply, CallFailure>,
    ) {
        match (purpose, result) {
            (CallPurpose::Probe { work, to }, Ok(ShardReply::Noted)) => self.offer_job(work, to),
            (CallPurpose::Offer { work }, Ok(ShardReply::Accepted(_))) => {
                self.mark_moved(context, work);
            }
            _ => {}
        }
    }

    /// Replies whether a job of another shard could run here.
    pub(super) fn probe(
        &self,
        context: &mut StepContext<'_>,
        command_id: CommandId,
        accepted: &AcceptedWork,
    ) {
        let checked = self.check_startable(context, accepted);
        match checked {
            Ok(()) => context.effects.reply(command_id, ShardReply::Noted),
            Err(refusal) => context.effects.refuse(command_id, refusal),
        }
    }

    /// Accepts a job that another shard hands over. It must not be refused, since the offer is
    /// final.
    pub(super) fn adopt_job(
        &mut self,
        context: &mut StepContext<'_>,
        command_id: CommandId,
        accepted: AcceptedWork,
    ) {
        if self.works.contains_key(&accepted.id) {
            return context
                .effects
                .reply(command_id, ShardReply::Accepted(accepted.id));
        }
        self.accept_once(command_id, accepted);
    }

    /// Removes a job from the queue and journals its offer. The job is sent once the offer is
    /// committed.
    fn offer_job(&mut self, work: &WorkId, to: &ShardName) {
        let Some(entry) = self.works.get_mut(work).filter(|entry| entry.is_movable()) else {
            return;
        };
        entry.location = JobLocation::Offering(to.clone());
        let tasks: Vec<TaskId> = (0..entry.accepted.tasks)
            .map(|index| entry.task_id(index))
            .collect();
        for task in tasks {
            self.queue.remove(&task);
        }
        let record = JournalRecord::Offered {
            work: work.clone(),
            to: to.clone(),
        };
        self.append(record, Some(FollowUp::Offer(work.clone())));
    }

    /// Sends an offered job to the other shard. A job that was cancelled before its offer was
    /// committed stays here.
    pub(super) fn send_offer(&mut self, context: &mut StepContext<'_>, work: &WorkId) {
        let Some(entry) = self.works.get_mut(work) else {
            return;
        };
        let (JobLocation::Offering(to) | JobLocation::Offered(to)) = entry.location.clone() else {
            return;
        };
        if entry.cancelled {
            entry.location = JobLocation::Local;
            return;
        }
        entry.next_offer_ms = context.now_ms + OFFER_RETRY_MS;
        entry.location = JobLocation::Offered(to.clone());
        let request = ShardCommand::Adopt(entry.accepted.clone());
        let purpose = CallPurpose::Offer { work: work.clone() };
        context.effects.call_shard(&to, request, purpose);
    }

    fn send_offers(&mut self, context: &mut StepContext<'_>) {
        let now_ms = context.now_ms;
        let due = self.works.values().filter(|work| {
            matches!(work.location, JobLocation::Offered(_)) && now_ms >= work.next_offer_ms
        });
        let due: Vec<WorkId> = due.map(|work| work.accepted.id.clone()).collect();
        for work in due {
            self.send_offer(context, &work);
        }
    }

    fn mark_moved(&mut self, context: &mut StepContext<'_>, work: &WorkId) {
        let Some(entry) = self.works.get_mut(work) else {
            return;
        };
        let JobLocation::Offered(to) = entry.location.clone() else {
            return;
        };
        entry.location = JobLocation::Moved(to);
        let at_ms = context.now_ms + context.timing.durable_retention_ms * MOVED_RETENTION_FACTOR;
        self.retention_ends.insert(WorkTimer {
            at_ms,
            work: work.clone(),
        });
        self.append(JournalRecord::Moved { work: work.clone() }, None);
    }
}
