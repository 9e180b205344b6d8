//! The control actor, which runs the owner's state machine, and the state shared within a host.

mod active_ownership;
mod control_actor;
mod control_handle;
mod control_messages;
mod effect_runner;
mod finished_run_log;
mod host_view;
mod order_routing;
mod query_usage_log;
mod team_reports;

pub use control_actor::ControlActor;
pub use control_handle::ControlHandle;
pub use control_messages::{AcceptedSubmission, ControlInput, ForwardedBatch, OwnershipGrant};
pub use finished_run_log::FinishedRunLog;
pub use host_view::{HostView, MAX_REPORTED_COUNT_AGE_MS, OwnerInfo, WaitingCount, WaitingCounts};
pub use query_usage_log::QueryUsageLog;
