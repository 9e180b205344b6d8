//! Context of a step of the owner.

use std::sync::Arc;

use crate::document::ApprovedConfig;
use crate::journal::ShardKeys;
use crate::shard::effect_buffer::EffectBuffer;
use crate::shard::messages::PeerView;
use crate::shard::shard_controller::ShardIdentity;
use crate::shard::timing::ShardTiming;

/// Inputs of one step of the owner, and the buffer for its effects.
pub(crate) struct StepContext<'a> {
    /// Time of the step, in milliseconds.
    pub now_ms: u64,
    pub identity: &'a ShardIdentity,
    pub keys: &'a ShardKeys,
    pub timing: &'a ShardTiming,
    pub config: &'a Arc<ApprovedConfig>,
    pub peer_view: &'a PeerView,
    pub effects: &'a mut EffectBuffer,
    /// Whether tasks may start now.
    pub may_start: bool,
    /// Whether it is certain that no other host has taken over.
    pub exclusive: bool,
    /// Whether the takeover is complete and the release of the shard has not begun.
    pub owning: bool,
}
