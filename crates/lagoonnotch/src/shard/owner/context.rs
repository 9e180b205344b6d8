//! What a step of the owner works with.

use std::sync::Arc;

use crate::document::ApprovedConfig;
use crate::journal::ShardKeys;
use crate::shard::effect_desk::EffectDesk;
use crate::shard::messages::PeerView;
use crate::shard::shard_controller::ShardIdentity;
use crate::shard::timing::ShardTiming;

/// The surroundings of one step of the owner.
pub(crate) struct StepContext<'a> {
    /// Time of the step, in milliseconds.
    pub now_ms: u64,
    pub identity: &'a ShardIdentity,
    pub keys: &'a ShardKeys,
    pub timing: &'a ShardTiming,
    pub config: &'a Arc<ApprovedConfig>,
    pub peers: &'a PeerView,
    pub desk: &'a mut EffectDesk,
    /// Whether tasks may start now.
    pub may_start: bool,
    /// Whether no other host can have taken over.
    pub bound_held: bool,
    /// Whether the take-over is complete and no hand-over has begun.
    pub owning: bool,
}
