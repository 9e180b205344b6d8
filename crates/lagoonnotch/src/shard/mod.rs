//! Ownership of a shard, implemented as a pure state machine.
//!
//! [`ShardController::step`] takes the current time and one input, and returns the effects to carry
//! out. It uses no clock, socket, thread or random source of its own.

mod effect_buffer;
mod messages;
mod owner;
mod phase;
mod reclaim;
mod shard_controller;
mod store_lease;
mod takeover;
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
