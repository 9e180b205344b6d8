//! What the journal says, as a fold over its records.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::journal::{AcceptedWork, JournalRecord, TaskOutcome};
use crate::model::{AttemptId, ShardName, UpstreamName, WorkId};

/// What the journal says of a task.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "task")]
pub enum TaskState {
    /// No attempt is under way.
    Waiting {
        /// Attempts that failed.
        failures: u32,
    },
    /// An attempt may be under way.
    Intended {
        /// Attempts that failed before.
        failures: u32,
        /// Number of the attempt.
        number: u64,
        /// Where it may run.
        upstream: UpstreamName,
        /// Incarnation of the upstream when the attempt was permitted.
        incarnation: Arc<str>,
    },
    /// The task ended for good.
    Settled {
        /// How it ended.
        outcome: TaskOutcome,
        /// Its answer, when it is kept here.
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

/// What the journal says of a work.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WorkState {
    /// The work as it was accepted.
    pub accepted: AcceptedWork,
    /// Its tasks, by index.
    pub tasks: Vec<TaskState>,
    /// Whether it is to be cancelled.
    pub cancelled: bool,
    /// The shard that it is offered to, if it is.
    pub offered_to: Option<ShardName>,
    /// Whether that shard has it.
    pub moved: bool,
}

/// What the journal says of all works.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct JournalState {
    /// Epoch of the last seal.
    pub epoch: u64,
    /// The works by identifier.
    pub works: BTreeMap<WorkId, WorkState>,
}

impl JournalState {
    /// Applies a record; one that contradicts the ledger changes nothing.
    pub fn apply(&mut self, record: &JournalRecord) {
        match record {
            JournalRecord::Sealed { epoch } => self.epoch = *epoch,
            JournalRecord::Accepted { work } => self.accept(work),
            JournalRecord::Intended {
                attempt,
                upstream,
                incarnation,
            } => {
                self.intend(attempt, upstream, incarnation);
            }
            JournalRecord::Returned { attempt, failed } => self.give_back(attempt, *failed),
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

    fn accept(&mut self, accepted: &AcceptedWork) {
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

    fn intend(&mut self, attempt: &AttemptId, upstream: &UpstreamName, incarnation: &Arc<str>) {
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

    fn give_back(&mut self, attempt: &AttemptId, failed: bool) {
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
