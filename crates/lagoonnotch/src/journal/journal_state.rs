//! The state that results from replaying the journal.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::journal::{AcceptedWork, JournalRecord, TaskOutcome};
use crate::model::{AttemptId, ShardName, UpstreamName, WorkId};

/// State of a task according to the journal.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "task")]
pub enum TaskState {
    /// No attempt is in progress.
    Waiting {
        /// Number of failed attempts.
        failures: u32,
    },
    /// An attempt may be in progress.
    Intended {
        /// Number of earlier attempts that failed.
        failures: u32,
        /// Number of the attempt.
        number: u64,
        /// Upstream at which the attempt may run.
        upstream: UpstreamName,
        /// Incarnation of the upstream when the attempt was permitted.
        incarnation: Arc<str>,
    },
    /// The task reached its final state.
    Settled {
        /// Final outcome of the task.
        outcome: TaskOutcome,
        /// Answer of the task, if the journal keeps it.
        answer: Option<Arc<str>>,
    },
}

impl TaskState {
    /// Returns the number of failed attempts.
    #[must_use]
    pub fn failures(&self) -> u32 {
        match self {
            Self::Waiting { failures } | Self::Intended { failures, .. } => *failures,
            Self::Settled { .. } => 0,
        }
    }
}

/// State of a work item according to the journal.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WorkState {
    /// The work item as accepted.
    pub accepted: AcceptedWork,
    /// Tasks by index.
    pub tasks: Vec<TaskState>,
    /// Whether its cancellation was requested.
    pub cancelled: bool,
    /// Shard that the work item was offered to, if any.
    pub offered_to: Option<ShardName>,
    /// Whether that shard has confirmed the work item.
    pub moved: bool,
}

/// State of all work items according to the journal.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct JournalState {
    /// Epoch of the last seal.
    pub epoch: u64,
    /// The work items by identifier.
    pub works: BTreeMap<WorkId, WorkState>,
}

impl JournalState {
    /// Applies a record. A record that contradicts the state changes nothing.
    pub fn apply(&mut self, record: &JournalRecord) {
        match record {
            JournalRecord::Sealed { epoch } => self.epoch = *epoch,
            JournalRecord::Accepted { work } => self.apply_accepted(work),
            JournalRecord::Intended {
                attempt,
                upstream,
                incarnation,
            } => {
                self.apply_intended(attempt, upstream, incarnation);
            }
            JournalRecord::Returned { attempt, failed } => self.apply_returned(attempt, *failed),
            JournalRecord::Settled {
                task,
                outcome,
                answer,
            } => {
                if let Some(entry) = self
                    .works
                    .get_mut(&task.work)
                    .and_then(|work| task_entry(work, task.index))
                {
                    *entry = TaskState::Settled {
                        outcome: *outcome,
                        answer: answer.clone(),
                    };
                }
            }
            JournalRecord::Offered { work, to } => {
                if let Some(work) = self.works.get_mut(work) {
                    work.offered_to = Some(to.clone());
                }
            }
            JournalRecord::Moved { work } => {
                if let Some(work) = self.works.get_mut(work) {
                    work.moved = true;
                }
            }
            JournalRecord::Cancelled { work } => {
                if let Some(work) = self.works.get_mut(work) {
                    work.cancelled = true;
                }
            }
            JournalRecord::Forgotten { work } => drop(self.works.remove(work)),
        }
    }

    fn apply_accepted(&mut self, accepted: &AcceptedWork) {
        self.works
            .entry(accepted.id.clone())
            .or_insert_with(|| WorkState {
                accepted: accepted.clone(),
                tasks: vec![TaskState::Waiting { failures: 0 }; accepted.tasks as usize],
                cancelled: false,
                offered_to: None,
                moved: false,
            });
    }

    fn apply_intended(
        &mut self,
        attempt: &AttemptId,
        upstream: &UpstreamName,
        incarnation: &Arc<str>,
    ) {
        let work = self.works.get_mut(&attempt.task.work);
        let Some(entry) = work.and_then(|work| task_entry(work, attempt.task.index)) else {
            return;
        };
        if let TaskState::Waiting { failures } = entry {
            *entry = TaskState::Intended {
                failures: *failures,
                number: attempt.number,
                upstream: upstream.clone(),
                incarnation: Arc::clone(incarnation),
            };
        }
    }

    fn apply_returned(&mut self, attempt: &AttemptId, failed: bool) {
        let work = self.works.get_mut(&attempt.task.work);
        let Some(entry) = work.and_then(|work| task_entry(work, attempt.task.index)) else {
            return;
        };
        if let TaskState::Intended {
            failures, number, ..
        } = entry
            && *number == attempt.number
        {
            *entry = TaskState::Waiting {
                failures: *failures + u32::from(failed),
            };
        }
    }
}

fn task_entry(work: &mut WorkState, index: u32) -> Option<&mut TaskState> {
    work.tasks.get_mut(index as usize)
}
