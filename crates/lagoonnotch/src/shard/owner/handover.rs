//! Handing jobs over to other shards while the failure domain is out of service.
//!
//! A job moves in two steps. First it is offered: the journal says that it will not start here,
//! and names the other shard for good. Then it is sent until that shard has it, however often the
//! answer is lost; the other shard knows it by its identifier.

use crate::journal::{AcceptedWork, JournalRecord};
use crate::model::{ShardName, TaskId, WorkId};
use crate::shard::effect_desk::CallPurpose;
use crate::shard::messages::{CallFailure, CommandId, ShardCommand, ShardReply};
use crate::shard::owner::commits::FollowUp;
use crate::shard::owner::state::WorkTimer;
use crate::shard::owner::work_entry::{JobPlace, TaskPhase, WorkEntry};
use crate::shard::owner::{OwnerState, StepContext};

/// Most jobs that one round of upkeep asks about.
const PROBES_PER_ROUND: usize = 32;

/// Time after which another shard is asked again, in milliseconds.
const PROBE_RETRY_MS: u64 = 5000;

/// Time after which an offer is sent again, in milliseconds.
const OFFER_RETRY_MS: u64 = 1000;

/// A moved job is remembered for this many times the retention of an ended one.
const MOVED_RETENTION: u64 = 24;

impl WorkEntry {
    /// Tells whether the job may be handed over: it lasts and surely never started.
    fn is_movable(&self) -> bool {
        let untouched = self.tasks.iter().all(|task| {
            task.phase() == TaskPhase::Waiting && !task.ran_before && task.failures == 0
        });
        self.accepted.lasting && !self.cancelled && self.place == JobPlace::Here && untouched
    }
}

impl OwnerState {
    /// Asks other shards to take waiting jobs while tasks may not start here, and sends the jobs
    /// that are offered.
    pub(super) fn tend_handover(&mut self, context: &mut StepContext<'_>) {
        self.send_offers(context);
        let out = !context.config.in_service(&context.identity.domain);
        let Some(to) = context
            .peers
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
        for work in movable.take(PROBES_PER_ROUND) {
            work.next_offer_ms = now_ms + PROBE_RETRY_MS;
            asked.push(work.accepted.clone());
        }
        for accepted in asked {
            let purpose = CallPurpose::Probe {
                work: accepted.id.clone(),
                to: to.clone(),
            };
            context
                .desk
                .call_shard(&to, ShardCommand::Probe(accepted), purpose);
        }
    }

    /// Takes the answer of another shard.
    pub(in crate::shard) fn peer_result(
        &mut self,
        context: &mut StepContext<'_>,
        purpose: &CallPurpose,
        result: &Result<ShardReply, CallFailure>,
    ) {
        match (purpose, result) {
            (CallPurpose::Probe { work, to }, Ok(ShardReply::Noted)) => self.offer(work, to),
            (CallPurpose::Offer { work }, Ok(ShardReply::Accepted(_))) => self.moved(context, work),
            _ => {}
        }
    }

    /// Answers whether a job of another shard could run here.
    pub(super) fn probe(
        &self,
        context: &mut StepContext<'_>,
        command: CommandId,
        accepted: &AcceptedWork,
    ) {
        let checked = self.check_startable(context, accepted);
        match checked {
            Ok(()) => context.desk.reply(command, ShardReply::Noted),
            Err(refusal) => context.desk.refuse(command, refusal),
        }
    }

    /// Accepts a job that another shard hands over; it is never refused, since its offer is final.
    pub(super) fn adopt_job(
        &mut self,
        context: &mut StepContext<'_>,
        command: CommandId,
        accepted: AcceptedWork,
    ) {
        if self.works.contains_key(&accepted.id) {
            return context
                .desk
                .reply(command, ShardReply::Accepted(accepted.id));
        }
        self.accept_once(command, accepted);
    }

    /// Takes a job out of the queue for good; it is sent once the journal says so.
    fn offer(&mut self, work: &WorkId, to: &ShardName) {
        let Some(entry) = self.works.get_mut(work).filter(|entry| entry.is_movable()) else {
            return;
        };
        entry.place = JobPlace::Offering(to.clone());
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

    /// Sends an offered job to the other shard; one that was cancelled before the offer stays.
    pub(super) fn send_offer(&mut self, context: &mut StepContext<'_>, work: &WorkId) {
        let Some(entry) = self.works.get_mut(work) else {
            return;
        };
        let (JobPlace::Offering(to) | JobPlace::Offered(to)) = entry.place.clone() else {
            return;
        };
        if entry.cancelled {
            entry.place = JobPlace::Here;
            return;
        }
        entry.next_offer_ms = context.now_ms + OFFER_RETRY_MS;
        entry.place = JobPlace::Offered(to.clone());
        let request = ShardCommand::Adopt(entry.accepted.clone());
        let purpose = CallPurpose::Offer { work: work.clone() };
        context.desk.call_shard(&to, request, purpose);
    }

    fn send_offers(&mut self, context: &mut StepContext<'_>) {
        let now_ms = context.now_ms;
        let due = self.works.values().filter(|work| {
            matches!(work.place, JobPlace::Offered(_)) && now_ms >= work.next_offer_ms
        });
        let due: Vec<WorkId> = due.map(|work| work.accepted.id.clone()).collect();
        for work in due {
            self.send_offer(context, &work);
        }
    }

    fn moved(&mut self, context: &mut StepContext<'_>, work: &WorkId) {
        let Some(entry) = self.works.get_mut(work) else {
            return;
        };
        let JobPlace::Offered(to) = entry.place.clone() else {
            return;
        };
        entry.place = JobPlace::Moved(to);
        let at_ms = context.now_ms + context.timing.lasting_retention_ms * MOVED_RETENTION;
        self.retention.insert(WorkTimer {
            at_ms,
            work: work.clone(),
        });
        self.append(JournalRecord::Moved { work: work.clone() }, None);
    }
}
