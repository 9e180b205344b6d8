//! Admission checks of an owner, and acceptance of jobs.

use crate::document::{WorkClass, WorkloadPolicy};
use crate::journal::{AcceptedWork, JournalRecord};
use crate::model::ResourceSize;
use crate::shard::messages::{CommandId, PlaceRequest, Refusal, RefusalCode, ShardReply};
use crate::shard::owner::commits::FollowUp;
use crate::shard::owner::{OwnerState, StepContext};

/// Time after which work may be submitted again that was refused because the queue was full or
/// starts were suspended, in milliseconds.
const REFUSED_RETRY_AFTER_MS: u64 = 500;

impl OwnerState {
    pub(super) fn admit_request(
        &self,
        context: &StepContext<'_>,
        request: &PlaceRequest,
    ) -> Result<AcceptedWork, Refusal> {
        let Some(policy) = context.config.workloads.get(&request.workload) else {
            let detail = format!("there is no workload {}", request.workload);
            return Err(Refusal::not_run(RefusalCode::UnknownWorkload, detail));
        };
        check_starts(context)?;
        let accepted = AcceptedWork {
            id: request.work.clone(),
            team: request.team.clone(),
            workload: request.workload.clone(),
            class: policy.class,
            idempotent: policy.idempotent && !request.non_idempotent,
            preemptible: policy.preemptible,
            lasting: false,
            size: policy.size,
            tasks: 1,
            max_attempts: policy.max_attempts,
            deadline_ms: policy.deadline_ms,
            payload: "".into(),
        };
        self.check_possible(context, &accepted)?;
        self.check_queue(context, &accepted, policy)?;
        Ok(accepted)
    }

    /// Refuses work that can never run in this shard.
    pub(super) fn check_possible(
        &self,
        context: &StepContext<'_>,
        accepted: &AcceptedWork,
    ) -> Result<(), Refusal> {
        let simultaneous_tasks = if accepted.class == WorkClass::Gang {
            accepted.tasks
        } else {
            1
        };
        let needed = accepted.size.saturating_mul(u64::from(simultaneous_tasks));
        let limit = context
            .config
            .teams
            .get(&accepted.team)
            .map_or(ResourceSize::ZERO, |team| team.limit);
        if !needed.fits(&limit) {
            let detail = format!("{needed:?} is beyond the limit of team {}", accepted.team);
            return Err(Refusal::not_run(RefusalCode::Impossible, detail));
        }
        let slots = self
            .upstreams
            .values()
            .map(|entry| entry.capacity.slots_for(&accepted.size));
        if slots.sum::<u64>() < u64::from(simultaneous_tasks) {
            let detail = format!(
                "the upstreams of shard {} can't hold {simultaneous_tasks} tasks of {:?} at once",
                context.identity.shard, accepted.size
            );
            return Err(Refusal::not_run(RefusalCode::Impossible, detail));
        }
        Ok(())
    }

    pub(super) fn check_queue(
        &self,
        context: &StepContext<'_>,
        accepted: &AcceptedWork,
        policy: &WorkloadPolicy,
    ) -> Result<(), Refusal> {
        let max_waiting = context
            .config
            .queues
            .get(&policy.queue)
            .map_or(0, |queue| queue.max_waiting as usize);
        let waiting = self.queue.entry_count(accepted.class, &accepted.team);
        if waiting + accepted.tasks as usize > max_waiting {
            let detail = format!(
                "{waiting} tasks of team {} wait, of at most {max_waiting}",
                accepted.team
            );
            return Err(Refusal::not_run(RefusalCode::QueueFull, detail)
                .retry_after(REFUSED_RETRY_AFTER_MS));
        }
        Ok(())
    }

    /// Journals the acceptance of a job. A second command for the same job awaits the same record.
    pub(super) fn accept_once(&mut self, command_id: CommandId, accepted: AcceptedWork) {
        if let Some(command_ids) = self.pending_submissions.get_mut(&accepted.id) {
            return command_ids.push(command_id);
        }
        self.pending_submissions
            .insert(accepted.id.clone(), vec![command_id]);
        let record = JournalRecord::Accepted {
            work: accepted.clone(),
        };
        self.append(record, Some(FollowUp::AcceptJob(accepted)));
    }

    /// Checks whether a job could be accepted and started here now.
    pub(super) fn check_startable(
        &self,
        context: &StepContext<'_>,
        accepted: &AcceptedWork,
    ) -> Result<(), Refusal> {
        check_starts(context)?;
        self.check_possible(context, accepted)
    }

    pub(super) fn submit_job(
        &mut self,
        context: &mut StepContext<'_>,
        command_id: CommandId,
        accepted: AcceptedWork,
    ) {
        if let Some(entry) = self.works.get(&accepted.id) {
            if entry.accepted.team == accepted.team {
                return context
                    .effects
                    .reply(command_id, ShardReply::Accepted(accepted.id));
            }
            let refusal = Refusal::not_run(
                RefusalCode::OtherTeam,
                "the identifier belongs to another team",
            );
            return context.effects.refuse(command_id, refusal);
        }
        if self.pending_submissions.contains_key(&accepted.id) {
            return self.accept_once(command_id, accepted);
        }
        let Some(policy) = context.config.workloads.get(&accepted.workload) else {
            let detail = format!("there is no workload {}", accepted.workload);
            return context.effects.refuse(
                command_id,
                Refusal::not_run(RefusalCode::UnknownWorkload, detail),
            );
        };
        let possible = self.check_possible(context, &accepted);
        let checked = possible.and_then(|()| self.check_queue(context, &accepted, policy));
        if let Err(refusal) = checked {
            return context.effects.refuse(command_id, refusal);
        }
        self.accept_once(command_id, accepted);
    }
}

/// Refuses work while tasks must not start.
fn check_starts(context: &StepContext<'_>) -> Result<(), Refusal> {
    if !context.config.in_service(&context.identity.domain) {
        let detail = format!(
            "failure domain {} is out of service",
            context.identity.domain
        );
        return Err(Refusal::not_run(RefusalCode::DomainOut, detail));
    }
    if !context.may_start {
        let refusal = Refusal::not_run(
            RefusalCode::StartsSuspended,
            "the owner may start nothing at present",
        );
        return Err(refusal.retry_after(REFUSED_RETRY_AFTER_MS));
    }
    Ok(())
}
