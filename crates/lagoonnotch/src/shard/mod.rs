//! Ownership of a shard, as a pure state machine.
//!
//! [`ShardMachine::step`] takes the time and one input and returns effects. It has no clock,
//! socket, thread or random source of its own.

mod claim;
mod effect_desk;
mod machine;
mod messages;
mod owner;
mod phase;
mod reclaim;
mod store_lease;
mod timing;

pub use machine::{ShardIdentity, ShardMachine};
pub use messages::{
    AllotmentWant, AttemptEnd, AttemptReport, AttemptTicket, CallFault, CallId, CommandId,
    OwnerSighting, PeerView, PlaceRequest, Refusal, RefusalCode, ShardCommand, ShardEffect,
    ShardInput, ShardReply, ShardSummary, UpstreamCall, UpstreamReply, WorkAnswer,
};
pub use owner::{TaskEvent, TaskPhase, task_chart};
pub use phase::{OwnershipEvent, OwnershipPhase, ownership_chart};
pub use timing::ShardTiming;
