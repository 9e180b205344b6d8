//! Invariants that a simulation must never violate.

use std::collections::BTreeMap;
use std::sync::Arc;

use lagoonnotch_fleet::model::{
    FinishedRun, RenewReply, ResourceSize, RunOutcome, SubmissionState, TaskName,
};
use lagoonnotch_fleet::owner::{RenewOrder, StartOrder};

use crate::simulation::FleetSimulation;

/// A finished run: its upstream, the incarnation and its number.
pub type FinishedRunKey = (Arc<str>, u64, u64);

impl FleetSimulation {
    /// Records all tasks that are stored as done, if this renewal acknowledges any finished run.
    pub(crate) fn record_acks(&mut self, order: &RenewOrder) {
        let done_tasks: Vec<_> = self
            .progress
            .iter()
            .flat_map(|(id, progress)| {
                progress.steps.iter().flat_map(move |step| {
                    step.done.iter().map(move |index| TaskName {
                        submission: id.clone(),
                        occurrence: step.occurrence,
                        step: step.step,
                        index: *index,
                    })
                })
            })
            .collect();
        if order.ack_number > 0 {
            self.acknowledged_tasks.extend(done_tasks);
        }
    }

    /// Records which finished runs of an upstream an owner has seen in a reply.
    pub(crate) fn record_listed(&mut self, id: &Arc<str>, reply: &RenewReply) {
        let incarnation = reply.incarnation_unix_ms;
        let listed = reply.finished.iter();
        let keys = listed.map(|finished| (id.clone(), incarnation, finished.number));
        self.listed_finished.extend(keys);
    }

    /// Checks the finished runs that an upstream forgets when it executes a renewal: an owner has
    /// seen each of them in a reply, the store has the change of each that was done, and no other
    /// run of its task has begun since. Only the first applies if the leases have expired in
    /// between.
    pub(crate) fn check_forgotten(&mut self, order: &RenewOrder) {
        let Some(upstream) = self.upstreams.get_mut(&order.upstream) else {
            return;
        };
        if order.fence < upstream.fence {
            return;
        }
        upstream.advance(self.now);
        let (incarnation, lapsed) = (upstream.incarnation_unix_ms, upstream.lapsed_finish_number);
        let finished = upstream.finished.iter();
        let acknowledged = finished.filter(|finished| finished.number <= order.ack_number);
        let forgotten: Vec<_> = acknowledged.cloned().collect();
        for finished in forgotten {
            let (task, number) = (&finished.task, finished.number);
            let key = (order.upstream.clone(), incarnation, number);
            let text = format!("{task} ended as {:?} on {}", finished.outcome, key.0);
            if !self.listed_finished.contains(&key) {
                let unseen = format!("{text}, forgotten unseen at {}", self.now);
                self.violations.push(unseen);
            }
            let Some(name) = TaskName::parse(task) else {
                continue;
            };
            if finished.outcome != RunOutcome::Done || self.may_repeat(&name) {
                continue;
            }
            if number > lapsed {
                if !self.is_stored(&name, &finished) {
                    let unstored = format!("{text}, forgotten before it was stored");
                    self.violations.push(unstored);
                }
                if self.repeated_done.contains(&key) {
                    let repeated = format!("{text}, and began again before that was acknowledged");
                    self.violations.push(repeated);
                }
                self.acknowledged_tasks.insert(name);
            }
        }
    }

    /// Returns whether tasks of a step may run again after they are done.
    fn may_repeat(&self, name: &TaskName) -> bool {
        let (record, _) = &self.submissions[&name.submission];
        record.steps[name.step as usize].long_running
    }

    /// Returns whether the store records that a task is done, or a newer attempt of it.
    fn is_stored(&self, name: &TaskName, finished: &FinishedRun) -> bool {
        let Some(progress) = self.progress.get(&name.submission) else {
            return false;
        };
        let is_done = progress.steps.iter().any(|step| {
            (step.occurrence, step.step) == (name.occurrence, name.step)
                && step.done.contains(&name.index)
        });
        let is_superseded = progress.runs.iter().any(|run| {
            (run.occurrence, run.step, run.index) == (name.occurrence, name.step, name.index)
                && run.attempt > finished.attempt
        });
        progress.state.is_final() || is_done || is_superseded
    }

    /// Returns the invariants that an order violates: a start is not for a task recorded in
    /// `acknowledged_tasks`, for a submission that has ended, or for a step whose dependencies still
    /// run. An order of the present owner violates them when it is sent. One of a replaced owner,
    /// which repeats orders that got no reply, violates them if an upstream begins a run on it.
    pub(crate) fn start_violations(&self, order: &StartOrder) -> Vec<String> {
        let mut violations = Vec::new();
        if self.acknowledged_tasks.contains(&order.task) {
            violations.push(format!("{} started after it was done", order.task));
        }
        let progress = self.progress.get(&order.task.submission);
        if progress.is_some_and(|progress| progress.state.is_final()) {
            violations.push(format!(
                "{} started after its submission had ended",
                order.task
            ));
        }
        let (record, _) = &self.submissions[&order.task.submission];
        for earlier in &record.steps[order.task.step as usize].after {
            let count = record.steps[*earlier as usize].count;
            let waiting = self.upstreams.values().any(|upstream| {
                upstream.runs.keys().any(|name| {
                    name.submission == order.task.submission
                        && name.step == *earlier
                        && name.index < count
                })
            });
            if waiting {
                violations.push(format!(
                    "{} started before step {earlier} was done",
                    order.task
                ));
            }
        }
        violations
    }

    /// Checks that a run that an upstream begins, whenever it was ordered, is not of a task
    /// recorded in `acknowledged_tasks` or of a submission that is completed.
    pub(crate) fn check_begun_run(&mut self, order: &StartOrder) {
        let progress = self.progress.get(&order.task.submission);
        let completed =
            progress.is_some_and(|progress| progress.state == SubmissionState::Completed);
        if completed || self.acknowledged_tasks.contains(&order.task) {
            self.violations
                .push(format!("{} ran after it was done", order.task));
        }
        let task = order.task.to_string();
        for (id, upstream) in &self.upstreams {
            let done = upstream
                .finished
                .iter()
                .filter(|finished| finished.outcome == RunOutcome::Done && *finished.task == *task);
            let incarnation = upstream.incarnation_unix_ms;
            let keys = done.map(|finished| (id.clone(), incarnation, finished.number));
            self.repeated_done.extend(keys);
        }
    }

    /// Checks that no task runs on two upstreams.
    pub(crate) fn check_duplicate_runs(&mut self) {
        let mut seen: BTreeMap<&TaskName, &Arc<str>> = BTreeMap::new();
        for (id, upstream) in &self.upstreams {
            for name in upstream.runs.keys() {
                if let Some(other) = seen.insert(name, id) {
                    self.violations
                        .push(format!("{name} runs on {other} and {id} at {}", self.now));
                }
            }
        }
    }

    /// Returns the resources of all runs on all upstreams.
    pub(crate) fn running(&self) -> ResourceSize {
        self.upstreams
            .values()
            .flat_map(|upstream| upstream.runs.values())
            .fold(ResourceSize::ZERO, |sum, run| sum + run.size)
    }

    /// Checks that no upstream has exceeded its capacity.
    pub fn check_capacity(&mut self) {
        for upstream in self.upstreams.values() {
            if !upstream.peak_usage.fits(&upstream.capacity) {
                self.violations
                    .push(format!("{} ran {:?}", upstream.id, upstream.peak_usage));
            }
        }
    }
}
