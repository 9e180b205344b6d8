//! An upstream as a pure state machine that also records every run.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use lagoonnotch_wire::upstream::{
    AttemptRef, FenceCall, FenceReply, FinishOutcome, FinishReport, RenewCall, RenewReply,
    ResourceSize, RevokeCall, RevokeOutcome, RevokeReply, StartOutcome, StartTicket, TaskAction,
    TaskOrder, TaskReport,
};

use crate::upstream::RunRecord;

/// Largest answer that a finish report includes, in bytes.
const MAX_INLINE_ANSWER_BYTES: usize = 4096;

/// Number of acknowledged attempts whose answers are retained.
const RETAINED_ANSWERS: usize = 1000;

/// The complete answer of a finished attempt.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TaskAnswer {
    /// Content of the answer.
    pub body: Vec<u8>,
    /// SHA-256 of the body, in hexadecimal.
    pub digest: String,
}

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct AttemptKey {
    task: String,
    attempt: u64,
}

#[derive(Clone, Debug)]
struct RunningTask {
    ticket: StartTicket,
    lease_until_ms: u64,
    throttled: bool,
    /// Index of the run in the history.
    record: usize,
}

#[derive(Clone, Debug)]
struct FinishedTask {
    report: FinishReport,
    answer: TaskAnswer,
    /// Whether the owner acknowledged the report; acknowledged attempts are no longer reported.
    acknowledged: bool,
}

/// Task attempts, fence and run history of one upstream.
#[derive(Clone, Debug)]
pub struct UpstreamModel {
    name: String,
    incarnation: u64,
    /// Highest owner epoch that has fenced this upstream; calls of older epochs are refused.
    epoch: u64,
    /// Number of the current fence; starts and renewals with another number are refused.
    fence: u64,
    fenced_at_ms: u64,
    fence_until_ms: u64,
    running: BTreeMap<AttemptKey, RunningTask>,
    finished: BTreeMap<AttemptKey, FinishedTask>,
    /// Acknowledged attempts whose answers are retained, oldest first.
    retained: VecDeque<AttemptKey>,
    revoked: BTreeSet<AttemptKey>,
    history: Vec<RunRecord>,
}

impl UpstreamModel {
    /// Creates an idle upstream.
    #[must_use]
    pub fn new(name: impl Into<String>) -> Self {
        Self {
            name: name.into(),
            incarnation: 1,
            epoch: 0,
            fence: 0,
            fenced_at_ms: 0,
            fence_until_ms: 0,
            running: BTreeMap::new(),
            finished: BTreeMap::new(),
            retained: VecDeque::new(),
            revoked: BTreeSet::new(),
            history: Vec::new(),
        }
    }

    /// Returns all runs so far, in order of their starts.
    #[must_use]
    pub fn history(&self) -> &[RunRecord] {
        &self.history
    }

    /// Discards all tasks and reports, and changes the incarnation, as a restarted host does.
    ///
    /// The run history stays, since it is what a [`RunChecker`](crate::RunChecker) reads.
    pub fn restart(&mut self, now_ms: u64) {
        let running: Vec<AttemptKey> = self.running.keys().cloned().collect();
        for key in running {
            self.end_run(now_ms, &key, FinishOutcome::Expired, TaskAnswer::default());
        }
        self.incarnation += 1;
        self.epoch = 0;
        self.fence = 0;
        self.fence_until_ms = 0;
        self.finished.clear();
        self.retained.clear();
        self.revoked.clear();
    }

    /// Makes the caller's epoch the only one that may start tasks here, under a new fence number
    /// and until the fence expires. Refused if a newer epoch has fenced the upstream.
    pub fn fence(&mut self, now_ms: u64, call: &FenceCall) -> FenceReply {
        self.expire(now_ms);
        let accepted = call.epoch >= self.epoch;
        if accepted {
            self.epoch = call.epoch;
            self.fence += 1;
            self.fenced_at_ms = now_ms;
            self.fence_until_ms = now_ms + call.fence_ms;
        }
        FenceReply {
            accepted,
            epoch: self.epoch,
            fence: self.fence,
            incarnation: self.incarnation_id(),
            running: self.task_reports(),
            finished: self.finish_reports(),
        }
    }

    /// Renews the fence and the leases, records acknowledgements and applies orders.
    pub fn renew(&mut self, now_ms: u64, call: &RenewCall) -> RenewReply {
        self.expire(now_ms);
        let accepted = call.epoch == self.epoch && call.fence == self.fence;
        if accepted {
            self.apply_renewal(now_ms, call);
        }
        RenewReply {
            accepted,
            epoch: self.epoch,
            incarnation: self.incarnation_id(),
            running: self.task_reports(),
            finished: self.finish_reports(),
        }
    }

    /// Starts an attempt if its ticket names the current incarnation, epoch and unexpired fence.
    pub fn start(&mut self, now_ms: u64, ticket: &StartTicket) -> StartOutcome {
        self.expire(now_ms);
        let key = AttemptKey {
            task: ticket.task.clone(),
            attempt: ticket.attempt,
        };
        if self.running.contains_key(&key) || self.finished.contains_key(&key) {
            return StartOutcome::AlreadyKnown;
        }
        if self.revoked.contains(&key) {
            return StartOutcome::Revoked;
        }
        let same_incarnation = ticket.incarnation == self.incarnation_id();
        if !same_incarnation || ticket.epoch != self.epoch || ticket.fence != self.fence {
            return StartOutcome::StaleEpoch;
        }
        if now_ms >= self.fence_until_ms {
            return StartOutcome::FenceExpired;
        }
        self.begin_run(now_ms, key, ticket);
        StartOutcome::Started
    }

    /// Prevents an attempt from ever starting, or reports that it has started already.
    pub fn revoke(&mut self, now_ms: u64, call: &RevokeCall) -> RevokeReply {
        self.expire(now_ms);
        let key = AttemptKey {
            task: call.task.clone(),
            attempt: call.attempt,
        };
        let outcome = if call.epoch != self.epoch {
            RevokeOutcome::StaleEpoch
        } else if self.running.contains_key(&key) {
            RevokeOutcome::Running
        } else if self.finished.contains_key(&key) {
            RevokeOutcome::Finished
        } else {
            self.revoked.insert(key);
            RevokeOutcome::NeverStarted
        };
        RevokeReply {
            outcome,
            incarnation: self.incarnation_id(),
        }
    }

    /// Ends a running attempt; does nothing if it no longer runs.
    pub fn finish(
        &mut self,
        now_ms: u64,
        task: &AttemptRef,
        outcome: FinishOutcome,
        answer: TaskAnswer,
    ) {
        self.expire(now_ms);
        let key = AttemptKey {
            task: task.task.clone(),
            attempt: task.attempt,
        };
        self.end_run(now_ms, &key, outcome, answer);
    }

    /// Stops tasks whose leases have expired.
    pub fn expire(&mut self, now_ms: u64) {
        let expired: Vec<AttemptKey> = self
            .running
            .iter()
            .filter(|(_, task)| task.lease_until_ms <= now_ms)
            .map(|(key, _)| key.clone())
            .collect();
        for key in expired {
            let ended_ms = self.running[&key].lease_until_ms;
            self.end_run(
                ended_ms,
                &key,
                FinishOutcome::Expired,
                TaskAnswer::default(),
            );
        }
    }

    /// Returns the outcome of a finished attempt and its answer.
    ///
    /// The answer is empty for acknowledged attempts whose answers are no longer retained.
    #[must_use]
    pub fn answer(&self, task: &AttemptRef) -> Option<(FinishOutcome, TaskAnswer)> {
        let key = AttemptKey {
            task: task.task.clone(),
            attempt: task.attempt,
        };
        self.finished
            .get(&key)
            .map(|finished| (finished.report.outcome, finished.answer.clone()))
    }

    /// Returns whether the attempt is running.
    #[must_use]
    pub fn is_running(&self, task: &AttemptRef) -> bool {
        self.running.contains_key(&AttemptKey {
            task: task.task.clone(),
            attempt: task.attempt,
        })
    }

    /// Returns the running attempts.
    #[must_use]
    pub fn running_attempts(&self) -> Vec<AttemptRef> {
        self.running
            .keys()
            .map(|key| AttemptRef {
                task: key.task.clone(),
                attempt: key.attempt,
            })
            .collect()
    }

    fn apply_renewal(&mut self, now_ms: u64, call: &RenewCall) {
        // The owner sends the time since its fence call, so that a delayed renewal does not extend
        // leases.
        let sent_ms = self.fenced_at_ms + call.elapsed_ms;
        if call.fence_ms > 0 {
            self.fence_until_ms = self.fence_until_ms.max(sent_ms + call.fence_ms);
        }
        for renewed in &call.renew {
            let key = AttemptKey {
                task: renewed.task.clone(),
                attempt: renewed.attempt,
            };
            if let Some(task) = self.running.get_mut(&key) {
                task.lease_until_ms = task.lease_until_ms.max(sent_ms + call.lease_ms);
            }
        }
        for attempt in &call.acknowledge {
            let key = AttemptKey {
                task: attempt.task.clone(),
                attempt: attempt.attempt,
            };
            if let Some(finished) = self.finished.get_mut(&key) {
                finished.acknowledged = true;
                self.trim_retained_answers(key);
            }
        }
        for order in &call.orders {
            self.apply_order(now_ms, order);
        }
        self.expire(now_ms);
    }

    /// Retains the answers of the newest acknowledged attempts only; the attempts themselves stay
    /// known, so that they can't start again.
    fn trim_retained_answers(&mut self, acknowledged: AttemptKey) {
        self.retained.push_back(acknowledged);
        if self.retained.len() > RETAINED_ANSWERS
            && let Some(oldest) = self.retained.pop_front()
            && let Some(finished) = self.finished.get_mut(&oldest)
        {
            finished.answer = TaskAnswer::default();
        }
    }

    fn apply_order(&mut self, now_ms: u64, order: &TaskOrder) {
        let key = AttemptKey {
            task: order.task.clone(),
            attempt: order.attempt,
        };
        match order.action {
            TaskAction::Stop => {
                self.end_run(now_ms, &key, FinishOutcome::Stopped, TaskAnswer::default());
            }
            TaskAction::Checkpoint => {
                self.end_run(
                    now_ms,
                    &key,
                    FinishOutcome::Checkpointed,
                    TaskAnswer::default(),
                );
            }
            TaskAction::Throttle | TaskAction::Resume => {
                if let Some(task) = self.running.get_mut(&key) {
                    task.throttled = order.action == TaskAction::Throttle;
                }
            }
        }
    }

    fn begin_run(&mut self, now_ms: u64, key: AttemptKey, ticket: &StartTicket) {
        let record = RunRecord {
            upstream: self.name.clone(),
            task: ticket.task.clone(),
            attempt: ticket.attempt,
            team: ticket.team.clone(),
            size: ticket.size.clone(),
            started_ms: now_ms,
            ended_ms: None,
            outcome: None,
        };
        let task = RunningTask {
            ticket: ticket.clone(),
            lease_until_ms: self.fence_until_ms.min(now_ms + ticket.lease_ms),
            throttled: false,
            record: self.history.len(),
        };
        self.history.push(record);
        self.running.insert(key, task);
    }

    fn end_run(
        &mut self,
        now_ms: u64,
        key: &AttemptKey,
        outcome: FinishOutcome,
        answer: TaskAnswer,
    ) {
        let Some(task) = self.running.remove(key) else {
            return;
        };
        let record = &mut self.history[task.record];
        record.ended_ms = Some(now_ms);
        record.outcome = Some(outcome);
        let report = FinishReport {
            task: key.task.clone(),
            attempt: key.attempt,
            team: task.ticket.team,
            size: task.ticket.size,
            outcome,
            answer: inline_answer(&answer),
            digest: answer.digest.clone(),
            length: answer.body.len() as u64,
        };
        self.finished.insert(
            key.clone(),
            FinishedTask {
                report,
                answer,
                acknowledged: false,
            },
        );
    }

    fn incarnation_id(&self) -> String {
        format!("{}-{}", self.name, self.incarnation)
    }

    fn task_reports(&self) -> Vec<TaskReport> {
        self.running
            .iter()
            .map(|(key, task)| task_report(key, task))
            .collect()
    }

    fn finish_reports(&self) -> Vec<FinishReport> {
        let unacknowledged = self
            .finished
            .values()
            .filter(|finished| !finished.acknowledged);
        unacknowledged
            .map(|finished| finished.report.clone())
            .collect()
    }
}

/// Returns the answer as text if it is valid UTF-8 and small enough to be included in reports.
fn inline_answer(answer: &TaskAnswer) -> Option<String> {
    let is_small = answer.body.len() <= MAX_INLINE_ANSWER_BYTES;
    is_small
        .then(|| String::from_utf8(answer.body.clone()).ok())
        .flatten()
}

fn task_report(key: &AttemptKey, task: &RunningTask) -> TaskReport {
    let size = &task.ticket.size;
    // Simulated tasks use half of the CPU and memory that they request.
    TaskReport {
        task: key.task.clone(),
        attempt: key.attempt,
        team: task.ticket.team.clone(),
        size: size.clone(),
        used: ResourceSize {
            cpu_milli: size.cpu_milli / 2,
            memory_mib: size.memory_mib / 2,
            ..size.clone()
        },
        throttled: task.throttled,
    }
}
