//! Actions of the simulated callers and their entry hosts.

use lagoonnotch::document::WorkClass;
use lagoonnotch::model::{AttemptId, TaskId, WorkId};
use lagoonnotch::shard::{AttemptEnd, AttemptReport, AttemptTicket, ShardCommand, ShardReply};
use lagoonnotch_wire::upstream::{AttemptRef, FinishOutcome, StartOutcome};

use crate::caller_work::{CallerOutcome, REQUEST_TIMEOUT_MS};
use crate::simulation::{Event, START_MS, Simulation};

impl Simulation {
    pub(crate) fn run_callers(&mut self) {
        let now_ms = self.now_ms - START_MS;
        let ids: Vec<WorkId> = self.works.keys().cloned().collect();
        for id in ids {
            let Some(command) = self
                .works
                .get_mut(&id)
                .and_then(|work| work.next_command(now_ms))
            else {
                continue;
            };
            let home = self.works[&id].home.clone();
            let host = self.pick_owner(&home);
            let delay = self.delay();
            self.push(
                delay,
                Event::Command {
                    host,
                    work: id,
                    command,
                },
            );
        }
    }

    pub(crate) fn deliver_reply(&mut self, work: &WorkId, reply: ShardReply) {
        let now_ms = self.now_ms - START_MS;
        let Some(entry) = self.works.get_mut(work) else {
            return;
        };
        let Some(ticket) = entry.handle_reply(reply) else {
            return;
        };
        if entry.at_upstream || now_ms > entry.plan.at_ms + REQUEST_TIMEOUT_MS {
            return;
        }
        entry.at_upstream = true;
        let delay = self.delay();
        let work = work.clone();
        let event = if ticket.started {
            Event::Fetch { work, ticket }
        } else {
            Event::SendToUpstream { work, ticket }
        };
        self.push(delay, event);
    }

    pub(crate) fn run_at_upstream(&mut self, work: &WorkId, ticket: &AttemptTicket) {
        let index: usize = ticket.address.parse().expect("the address is an index");
        if self.upstreams[index].down || self.chance(3) {
            return self.fail_attempt(work, ticket, true);
        }
        match self.upstreams[index]
            .model
            .start(self.now_ms, &ticket.ticket)
        {
            StartOutcome::Started => {
                self.schedule_end(index, &ticket.ticket.task, ticket.ticket.attempt);
            }
            StartOutcome::AlreadyKnown => {}
            _ => return self.fail_attempt(work, ticket, false),
        }
        self.push(
            20,
            Event::Fetch {
                work: work.clone(),
                ticket: ticket.clone(),
            },
        );
    }

    /// Waits for the end of an attempt and delivers its answer to the caller.
    pub(crate) fn fetch_answer(&mut self, work: &WorkId, ticket: &AttemptTicket) {
        let index: usize = ticket.address.parse().expect("the address is an index");
        let attempt = AttemptRef {
            task: ticket.ticket.task.clone(),
            attempt: ticket.ticket.attempt,
        };
        if self.upstreams[index].down || self.chance(1) {
            return self.fail_attempt(work, ticket, true);
        }
        let now_ms = self.now_ms;
        let model = &mut self.upstreams[index].model;
        model.expire(now_ms);
        match model.answer(&attempt) {
            Some((FinishOutcome::Completed, _)) => self.complete_attempt(work, ticket),
            None if model.is_running(&attempt) => {
                self.push(
                    20,
                    Event::Fetch {
                        work: work.clone(),
                        ticket: ticket.clone(),
                    },
                );
            }
            _ => self.fail_attempt(work, ticket, true),
        }
    }

    pub(crate) fn fail_attempt(
        &mut self,
        work: &WorkId,
        ticket: &AttemptTicket,
        may_have_run: bool,
    ) {
        if let Some(entry) = self.works.get_mut(work) {
            entry.at_upstream = false;
            entry.may_have_run |= may_have_run;
            entry.failed_attempt = Some(ticket.ticket.attempt);
        }
    }

    pub(crate) fn complete_attempt(&mut self, work: &WorkId, ticket: &AttemptTicket) {
        let Some(entry) = self.works.get_mut(work) else {
            return;
        };
        entry.at_upstream = false;
        if entry.outcome == CallerOutcome::Nothing {
            entry.outcome = CallerOutcome::Answered;
        }
        let Some(task) = TaskId::parse(&ticket.ticket.task) else {
            return;
        };
        let attempt = AttemptId {
            task,
            number: ticket.ticket.attempt,
        };
        let command = ShardCommand::Report(AttemptReport {
            attempt,
            end: AttemptEnd::Completed,
        });
        let home = self.works[work].home.clone();
        let host = self.pick_owner(&home);
        let delay = self.delay();
        self.push(
            delay,
            Event::Command {
                host,
                work: work.clone(),
                command,
            },
        );
    }

    pub(crate) fn schedule_end(&mut self, upstream: usize, task: &str, attempt: u64) {
        let work = TaskId::parse(task).and_then(|task| self.works.get(&task.work));
        let Some(plan) = work.map(|work| work.plan.clone()) else {
            return;
        };
        if plan.class != WorkClass::Service {
            let attempt = AttemptRef {
                task: task.to_owned(),
                attempt,
            };
            self.push(plan.run_ms, Event::TaskEnd { upstream, attempt });
        }
    }
}
