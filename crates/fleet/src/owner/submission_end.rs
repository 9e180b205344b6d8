//! Cancellation and other ends of submissions.

use std::sync::Arc;

use crate::model::{SubmissionState, TaskName};
use crate::owner::upstream_entry::RunPhase;
use crate::owner::{OwnerMachine, StopReason};

impl OwnerMachine {
    /// Cancels a submission whose cancellation is already stored.
    pub fn cancel(&mut self, now: u64, id: &str) {
        let Some(entry) = self.submissions.get(id) else {
            return;
        };
        if entry.state.is_final() {
            return;
        }
        let id = entry.record.id.clone();
        self.end_submission(now, &id, SubmissionState::Cancelled);
    }

    /// Sets a submission's final state and stops its remaining runs.
    pub(super) fn end_submission(&mut self, now: u64, id: &Arc<str>, state: SubmissionState) {
        let Some(entry) = self.submissions.get_mut(id) else {
            return;
        };
        entry.state = state;
        self.active.remove(id);
        self.ready.remove(id);
        self.claims.remove_submission(id);
        self.record_change(id, true);
        self.stop_runs_of(now, id);
        self.request_placement();
    }

    /// Stops the remaining runs of a submission and releases its planned ones.
    fn stop_runs_of(&mut self, now: u64, id: &Arc<str>) {
        let entry = self.submissions.get(id);
        if entry.is_none_or(|entry| entry.allocated_runs == 0) {
            return;
        }
        let first = TaskName {
            submission: id.clone(),
            occurrence: 0,
            step: 0,
            index: 0,
        };
        let mut planned = Vec::new();
        for (upstream, entry) in &mut self.upstreams {
            let runs = entry.runs.range_mut(first.clone()..);
            for (name, run) in runs.take_while(|(name, _)| name.submission == *id) {
                match run.phase {
                    RunPhase::Planned => {
                        planned.push((upstream.clone(), name.clone()));
                        continue;
                    }
                    // The members of a completed gang end by themselves before their stop is due.
                    RunPhase::Stopping => continue,
                    _ => {}
                }
                self.stop_queue.push(now, upstream);
                run.phase = RunPhase::Stopping;
                run.stop_reason = Some(StopReason::SubmissionEnded);
                run.stop_due_at = now;
            }
        }
        for (upstream, name) in planned {
            self.release(now, &upstream, &name);
        }
    }

    /// Stops a run by a stop order that is sent no earlier than `stop_at`. A planned run is
    /// released at once, because no start order for it was sent.
    pub(super) fn stop_run(
        &mut self,
        stop_at: u64,
        upstream: &Arc<str>,
        name: &TaskName,
        reason: StopReason,
    ) {
        let Some(entry) = self.upstreams.get_mut(upstream) else {
            return;
        };
        let Some(run) = entry.runs.get_mut(name) else {
            return;
        };
        match run.phase {
            RunPhase::Stopping => {}
            RunPhase::Planned => {
                self.release(stop_at, upstream, name);
                self.record_change(&name.submission, false);
            }
            _ => {
                run.phase = RunPhase::Stopping;
                run.stop_reason = Some(reason);
                run.stop_due_at = stop_at;
                self.stop_queue.push(stop_at, upstream);
            }
        }
    }
}
