//! State and decisions of a shard's owner.

mod acceptance;
mod allotments;
mod commands;
mod commits;
mod context;
mod dispatch;
mod handover;
mod recovery;
mod reports;
mod settle;
mod snapshots;
mod state;
mod team_entry;
mod upstream_entry;
mod upstreams;
mod work_entry;

pub(super) use context::StepContext;
pub(super) use recovery::RecoveredJournal;
pub use state::OwnerState;
pub use work_entry::{TaskEvent, TaskPhase, task_chart};
