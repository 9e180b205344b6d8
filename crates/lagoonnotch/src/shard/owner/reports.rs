//! What upstreams report of attempts.

use std::collections::BTreeSet;
use std::sync::Arc;

use lagoonnotch_wire::upstream::{
    FenceReply, FinishOutcome, FinishReport, RenewReply, TaskAction, TaskOrder, TaskReport,
};

use crate::document::WorkClass;
use crate::event::EventCode;
use crate::journal::{AcceptedWork, TaskOutcome};
use crate::model::{AttemptId, ResourceSize, TaskId, TeamName, UpstreamName, WorkloadName};
use crate::shard::owner::settle::PlacedAttempt;
use crate::shard::owner::upstream_entry::Booking;
use crate::shard::owner::work_entry::{TaskAttempt, TaskEvent, TaskPhase};
use crate::shard::owner::{OwnerState, StepContext};

impl OwnerState {
    /// Compares an upstream's inventory with what is known of it.
    ///
    /// A new fence ends every older ticket, so that an attempt which the inventory lacks never
    /// started, unless the upstream restarted and forgot it.
    pub(super) fn take_inventory(
        &mut self,
        context: &mut StepContext<'_>,
        name: &UpstreamName,
        reply: &FenceReply,
    ) {
        let known = self.inventoried(context, name, &reply.running, &reply.finished);
        let Some(entry) = self.upstreams.get(name) else {
            return;
        };
        let absent: Vec<AttemptId> = entry
            .bookings
            .keys()
            .filter(|attempt| !known.contains(*attempt))
            .cloned()
            .collect();
        for attempt in absent {
            self.attempt_absent(context, name, &attempt, &reply.incarnation);
        }
        self.settle_doubtful(context, name, Some(reply));
    }

    /// Takes the reports of an answered renewal.
    ///
    /// An attempt that ran when the call was made and that the answer lacks has ended unseen. An
    /// attempt that started meanwhile may rightly be missing.
    pub(super) fn take_reports(
        &mut self,
        context: &mut StepContext<'_>,
        name: &UpstreamName,
        running: &[AttemptId],
        reply: &RenewReply,
    ) {
        let known = self.inventoried(context, name, &reply.running, &reply.finished);
        let vanished: Vec<AttemptId> = running
            .iter()
            .filter(|attempt| !known.contains(*attempt))
            .cloned()
            .collect();
        for attempt in vanished {
            let runs = self
                .attempt_task(&attempt)
                .is_some_and(|entry| entry.phase() == TaskPhase::Running);
            if runs && !self.uncommitted.contains(&attempt) {
                self.lose_attempt(context, &attempt);
            }
        }
    }

    /// Takes note of the reported attempts and returns them.
    fn inventoried(
        &mut self,
        context: &mut StepContext<'_>,
        name: &UpstreamName,
        running: &[TaskReport],
        finished: &[FinishReport],
    ) -> BTreeSet<AttemptId> {
        let mut known = BTreeSet::new();
        for report in running {
            let Some(attempt) = attempt_id(&report.task, report.attempt) else {
                continue;
            };
            self.reported_running(context, name, &attempt, report);
            known.insert(attempt);
        }
        for report in finished {
            let Some(attempt) = attempt_id(&report.task, report.attempt) else {
                continue;
            };
            self.reported_finished(context, name, &attempt, report);
            known.insert(attempt);
        }
        known
    }

    fn reported_running(
        &mut self,
        context: &mut StepContext<'_>,
        name: &UpstreamName,
        attempt: &AttemptId,
        report: &TaskReport,
    ) {
        let phase = self.attempt_task(attempt).map(|entry| entry.phase());
        if phase.is_some_and(|phase| phase != TaskPhase::Settled) {
            self.ensure_booked(name, attempt);
            self.attempt_runs(attempt);
            self.answer_running(context, attempt);
        } else if self.works.contains_key(&attempt.task.work)
            || self.ledger.works.contains_key(&attempt.task.work)
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
            self.adopt(context, name, attempt, report);
        }
    }

    /// Books the capacity of an attempt that was taken for ended.
    fn ensure_booked(&mut self, name: &UpstreamName, attempt: &AttemptId) {
        let Some(work) = self.works.get(&attempt.task.work) else {
            return;
        };
        let accepted = &work.accepted;
        let booking = Booking {
            size: accepted.size,
            team: accepted.team.clone(),
            journaled: work.journaled(),
        };
        self.book(name, attempt, booking);
    }

    /// Answers the commands that wait for a quick request which was found running.
    fn answer_running(&mut self, context: &mut StepContext<'_>, attempt: &AttemptId) {
        let quick = self
            .works
            .get(&attempt.task.work)
            .is_some_and(|work| !work.accepted.lasting);
        if quick {
            self.answer_joined(context, &attempt.task.work);
        }
    }

    /// Takes over a quick request of the previous owner, which no journal holds.
    fn adopt(
        &mut self,
        context: &mut StepContext<'_>,
        name: &UpstreamName,
        attempt: &AttemptId,
        report: &TaskReport,
    ) {
        context.desk.event(
            EventCode::AttemptAdopted,
            format!("{} at {name}", attempt.task),
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
        let booking = Booking {
            size: accepted.size,
            team: accepted.team.clone(),
            journaled: false,
        };
        self.insert_work(accepted, 0);
        let Some(hold) = self
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
            entry.attempt = Some(TaskAttempt {
                number: attempt.number,
                upstream: name.clone(),
                incarnation: hold.incarnation,
                fence: hold.number,
                permitted_ms: context.now_ms,
                revoking: false,
            });
        }
        self.book(name, attempt, booking);
    }

    fn reported_finished(
        &mut self,
        context: &mut StepContext<'_>,
        name: &UpstreamName,
        attempt: &AttemptId,
        report: &FinishReport,
    ) {
        if self.uncommitted.contains(attempt) {
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

    /// Ends an attempt that a new fence's inventory lacks.
    fn attempt_absent(
        &mut self,
        context: &mut StepContext<'_>,
        name: &UpstreamName,
        attempt: &AttemptId,
        incarnation: &str,
    ) {
        let place = self
            .attempt_task(attempt)
            .and_then(|entry| entry.attempt.clone());
        let same = place.is_some_and(|place| *place.incarnation == *incarnation);
        let ran = self
            .attempt_task(attempt)
            .is_some_and(|entry| entry.phase() == TaskPhase::Running);
        if same && !ran {
            self.return_attempt(context, attempt, false);
        } else {
            self.lose_attempt(context, attempt);
        }
        self.unbook(name, attempt);
    }

    /// Settles the non-idempotent attempts whose end was in doubt, now that the upstream answers
    /// again or is gone for good.
    pub(super) fn settle_doubtful(
        &mut self,
        context: &mut StepContext<'_>,
        name: &UpstreamName,
        reply: Option<&FenceReply>,
    ) {
        let Some(entry) = self.upstreams.get_mut(name) else {
            return;
        };
        for attempt in std::mem::take(&mut entry.doubtful) {
            self.settle_doubt(context, &attempt, reply);
        }
    }

    fn settle_doubt(
        &mut self,
        context: &mut StepContext<'_>,
        attempt: &AttemptId,
        reply: Option<&FenceReply>,
    ) {
        let Some(place) = self
            .attempt_task(attempt)
            .and_then(|entry| entry.attempt.clone())
        else {
            return;
        };
        if self
            .attempt_task(attempt)
            .is_none_or(|entry| entry.phase() != TaskPhase::Doubtful)
        {
            return;
        }
        let remembered = reply.is_some_and(|reply| *reply.incarnation == *place.incarnation);
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
        let lasting = self
            .works
            .get(&attempt.task.work)
            .is_some_and(|work| work.accepted.lasting);
        let ended = PlacedAttempt {
            upstream: place.upstream,
            attempt: attempt.clone(),
        };
        if !remembered {
            self.settle(
                context,
                &attempt.task,
                TaskOutcome::Unknown,
                None,
                Some(ended),
            );
        } else if lasting {
            self.return_attempt(context, attempt, false);
        } else {
            self.settle(
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
