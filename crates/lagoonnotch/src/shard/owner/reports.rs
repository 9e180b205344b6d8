//! Handling of the attempts that upstreams report.

use std::collections::BTreeSet;
use std::sync::Arc;

use lagoonnotch_wire::upstream::{
    FenceReply, FinishOutcome, FinishReport, RenewReply, TaskAction, TaskOrder, TaskReport,
};

use crate::document::WorkClass;
use crate::event::EventCode;
use crate::journal::{AcceptedWork, TaskOutcome};
use crate::model::{AttemptId, ResourceSize, TaskId, TeamName, UpstreamName, WorkloadName};
use crate::shard::owner::settle::EndedAttempt;
use crate::shard::owner::upstream_entry::Reservation;
use crate::shard::owner::work_entry::{AttemptPlacement, TaskEvent, TaskPhase};
use crate::shard::owner::{OwnerState, StepContext};

impl OwnerState {
    /// Reconciles the owner's state with an upstream's inventory after a new fence.
    ///
    /// A new fence invalidates every older ticket. An attempt that the inventory lacks therefore
    /// never started, unless the upstream restarted and forgot it.
    pub(super) fn apply_inventory(
        &mut self,
        context: &mut StepContext<'_>,
        name: &UpstreamName,
        reply: &FenceReply,
    ) {
        let reported = self.apply_attempt_reports(context, name, &reply.running, &reply.finished);
        let Some(entry) = self.upstreams.get(name) else {
            return;
        };
        let absent: Vec<AttemptId> = entry
            .reservations
            .keys()
            .filter(|attempt| !reported.contains(*attempt))
            .cloned()
            .collect();
        for attempt in absent {
            self.handle_absent_attempt(context, name, &attempt, &reply.incarnation);
        }
        self.resolve_doubtful(context, name, Some(reply));
    }

    /// Applies the reports in the reply to a renewal.
    ///
    /// An attempt that was running when the call was made and is missing from the reply has ended
    /// without a report. An attempt that started in the meantime may be missing for a valid reason.
    pub(super) fn apply_reports(
        &mut self,
        context: &mut StepContext<'_>,
        name: &UpstreamName,
        running: &[AttemptId],
        reply: &RenewReply,
    ) {
        let reported = self.apply_attempt_reports(context, name, &reply.running, &reply.finished);
        let vanished: Vec<AttemptId> = running
            .iter()
            .filter(|attempt| !reported.contains(*attempt))
            .cloned()
            .collect();
        for attempt in vanished {
            let runs = self
                .task_of_attempt(&attempt)
                .is_some_and(|entry| entry.phase() == TaskPhase::Running);
            if runs && !self.uncommitted_ends.contains(&attempt) {
                self.lose_attempt(context, &attempt);
            }
        }
    }

    /// Applies the reports of running and finished attempts and returns the reported attempts.
    fn apply_attempt_reports(
        &mut self,
        context: &mut StepContext<'_>,
        name: &UpstreamName,
        running: &[TaskReport],
        finished: &[FinishReport],
    ) -> BTreeSet<AttemptId> {
        let mut reported = BTreeSet::new();
        for report in running {
            let Some(attempt) = attempt_id(&report.task, report.attempt) else {
                continue;
            };
            self.apply_running_report(context, name, &attempt, report);
            reported.insert(attempt);
        }
        for report in finished {
            let Some(attempt) = attempt_id(&report.task, report.attempt) else {
                continue;
            };
            self.apply_finish_report(context, name, &attempt, report);
            reported.insert(attempt);
        }
        reported
    }

    fn apply_running_report(
        &mut self,
        context: &mut StepContext<'_>,
        name: &UpstreamName,
        attempt: &AttemptId,
        report: &TaskReport,
    ) {
        let phase = self.task_of_attempt(attempt).map(|entry| entry.phase());
        if phase.is_some_and(|phase| phase != TaskPhase::Settled) {
            self.ensure_reserved(name, attempt);
            self.mark_running(attempt);
            self.reply_for_running_request(context, attempt);
        } else if self.works.contains_key(&attempt.task.work)
            || self.committed.works.contains_key(&attempt.task.work)
        {
            let (task, attempt) = (attempt.task.to_string(), attempt.number);
            self.push_order(
                name,
                TaskOrder {
                    task,
                    attempt,
                    action: TaskAction::Stop,
                },
            );
        } else {
            self.adopt_attempt(context, name, attempt, report);
        }
    }

    /// Reserves capacity for an attempt that had been considered ended.
    fn ensure_reserved(&mut self, name: &UpstreamName, attempt: &AttemptId) {
        let Some(work) = self.works.get(&attempt.task.work) else {
            return;
        };
        let accepted = &work.accepted;
        let reservation = Reservation {
            size: accepted.size,
            team: accepted.team.clone(),
            needs_journal: work.needs_journal(),
        };
        self.reserve(name, attempt, reservation);
    }

    /// Replies to the commands that wait for a quick request that was found running.
    fn reply_for_running_request(&mut self, context: &mut StepContext<'_>, attempt: &AttemptId) {
        let quick = self
            .works
            .get(&attempt.task.work)
            .is_some_and(|work| !work.accepted.lasting);
        if quick {
            self.reply_with_outcome(context, &attempt.task.work);
        }
    }

    /// Adopts a running quick request of the previous owner that is not in the journal.
    fn adopt_attempt(
        &mut self,
        context: &mut StepContext<'_>,
        name: &UpstreamName,
        attempt: &AttemptId,
        report: &TaskReport,
    ) {
        context.effects.log_event(
            EventCode::AttemptAdopted,
            format!("task {} at upstream {name}", attempt.task),
        );
        let accepted = AcceptedWork {
            id: attempt.task.work.clone(),
            team: TeamName::from(report.team.as_str()),
            workload: WorkloadName::from(""),
            class: WorkClass::Urgent,
            idempotent: true,
            preemptible: false,
            lasting: false,
            size: ResourceSize::from(report.size.clone()),
            tasks: 1,
            max_attempts: 1,
            deadline_ms: 0,
            payload: Arc::from(""),
        };
        let reservation = Reservation {
            size: accepted.size,
            team: accepted.team.clone(),
            needs_journal: false,
        };
        self.insert_work(accepted, 0);
        let Some(active_fence) = self
            .upstreams
            .get(name)
            .and_then(|entry| entry.fence.clone())
        else {
            return;
        };
        if let Some(entry) = self.task(&attempt.task) {
            entry.advance(TaskEvent::Place);
            entry.advance(TaskEvent::Permit);
            entry.advance(TaskEvent::Run);
            entry.attempt = Some(AttemptPlacement {
                number: attempt.number,
                upstream: name.clone(),
                incarnation: active_fence.incarnation,
                fence_number: active_fence.number,
                permitted_ms: context.now_ms,
                revoking: false,
            });
        }
        self.reserve(name, attempt, reservation);
    }

    fn apply_finish_report(
        &mut self,
        context: &mut StepContext<'_>,
        name: &UpstreamName,
        attempt: &AttemptId,
        report: &FinishReport,
    ) {
        if self.uncommitted_ends.contains(attempt) {
            return;
        }
        let Some(work) = self.works.get(&attempt.task.work).filter(|work| {
            let entry = work.tasks.get(attempt.task.index as usize);
            entry.is_some_and(|entry| entry.attempt_number() == Some(attempt.number))
        }) else {
            self.acknowledge(name, attempt);
            return;
        };
        let (idempotent, cancelled) = (work.accepted.idempotent, work.cancelled);
        let answer = report
            .answer
            .as_deref()
            .map(Arc::from)
            .filter(|_| work.accepted.lasting);
        if self
            .task(&attempt.task)
            .is_some_and(|entry| entry.phase() == TaskPhase::Settled)
        {
            self.acknowledge(name, attempt);
            return;
        }
        if let Some(entry) = self.task(&attempt.task) {
            entry.ran_before = true;
        }
        match report.outcome {
            FinishOutcome::Completed => {
                self.end_attempt(context, attempt, TaskOutcome::Completed, answer);
            }
            FinishOutcome::Failed if idempotent && !cancelled => {
                self.retry_attempt(context, name, attempt, true);
            }
            FinishOutcome::Failed => self.end_attempt(context, attempt, TaskOutcome::Failed, None),
            _ if cancelled => self.end_attempt(context, attempt, TaskOutcome::Cancelled, None),
            _ if idempotent => self.retry_attempt(context, name, attempt, false),
            _ => self.end_attempt(context, attempt, TaskOutcome::Unknown, None),
        }
    }

    fn retry_attempt(
        &mut self,
        context: &mut StepContext<'_>,
        name: &UpstreamName,
        attempt: &AttemptId,
        failed: bool,
    ) {
        self.return_attempt(context, attempt, failed);
        self.acknowledge(name, attempt);
    }

    /// Ends an attempt that is missing from the inventory of a new fence.
    fn handle_absent_attempt(
        &mut self,
        context: &mut StepContext<'_>,
        name: &UpstreamName,
        attempt: &AttemptId,
        incarnation: &str,
    ) {
        let placement = self
            .task_of_attempt(attempt)
            .and_then(|entry| entry.attempt.clone());
        let same_incarnation =
            placement.is_some_and(|placement| *placement.incarnation == *incarnation);
        let was_running = self
            .task_of_attempt(attempt)
            .is_some_and(|entry| entry.phase() == TaskPhase::Running);
        if same_incarnation && !was_running {
            self.return_attempt(context, attempt, false);
        } else {
            self.lose_attempt(context, attempt);
        }
        self.release_reservation(name, attempt);
    }

    /// Resolves the non-idempotent attempts with an unknown end, once their upstream replies again
    /// or is gone. `reply` is none if it is gone.
    pub(super) fn resolve_doubtful(
        &mut self,
        context: &mut StepContext<'_>,
        name: &UpstreamName,
        reply: Option<&FenceReply>,
    ) {
        let Some(entry) = self.upstreams.get_mut(name) else {
            return;
        };
        for attempt in std::mem::take(&mut entry.doubtful) {
            self.resolve_doubtful_attempt(context, &attempt, reply);
        }
    }

    fn resolve_doubtful_attempt(
        &mut self,
        context: &mut StepContext<'_>,
        attempt: &AttemptId,
        reply: Option<&FenceReply>,
    ) {
        let Some(placement) = self
            .task_of_attempt(attempt)
            .and_then(|entry| entry.attempt.clone())
        else {
            return;
        };
        if self
            .task_of_attempt(attempt)
            .is_none_or(|entry| entry.phase() != TaskPhase::Doubtful)
        {
            return;
        }
        let same_incarnation =
            reply.is_some_and(|reply| *reply.incarnation == *placement.incarnation);
        let runs = reply.is_some_and(|reply| {
            let task = attempt.task.to_string();
            reply
                .running
                .iter()
                .any(|report| report.task == task && report.attempt == attempt.number)
        });
        if runs {
            return;
        }
        let is_job = self
            .works
            .get(&attempt.task.work)
            .is_some_and(|work| work.accepted.lasting);
        let ended = EndedAttempt {
            upstream: placement.upstream,
            attempt: attempt.clone(),
        };
        if !same_incarnation {
            self.settle_task(
                context,
                &attempt.task,
                TaskOutcome::Unknown,
                None,
                Some(ended),
            );
        } else if is_job {
            self.return_attempt(context, attempt, false);
        } else {
            self.settle_task(
                context,
                &attempt.task,
                TaskOutcome::NotRun,
                None,
                Some(ended),
            );
        }
    }
}

fn attempt_id(task: &str, number: u64) -> Option<AttemptId> {
    Some(AttemptId {
        task: TaskId::parse(task)?,
        number,
    })
}
