//! Ownership of a shard, as a pure state machine.
//!
//! [`ShardController::step`] takes the time and one input and returns effects. It has no clock,
//! socket, thread or random source of its own.

mod claim;
mod effect_desk;
mod messages;
mod owner;
mod phase;
mod reclaim;
mod shard_controller;
mod store_lease;
mod timing;

pub use messages::{
    AllotmentShortage, AttemptEnd, AttemptReport, AttemptTicket, CallFailure, CallId, CommandId,
    ObservedOwner, PeerView, PlaceRequest, Refusal, RefusalCode, ShardCommand, ShardEffect,
    ShardInput, ShardReply, ShardSummary, UpstreamCall, UpstreamReply, WorkAnswer,
};
pub use owner::{TaskEvent, TaskPhase, task_chart};
pub use phase::{OwnershipEvent, OwnershipPhase, ownership_chart};
pub use shard_controller::{ShardController, ShardIdentity};
pub use timing::ShardTiming;
