//! Checks that orders are executed by the incarnation of an upstream that they are meant for.

use std::sync::Arc;

use crate::owner::OwnerMachine;

impl OwnerMachine {
    /// Handles a reading of an upstream's clock from the answer to a start or stop order that was
    /// sent at `sent_at`. A reading that does not continue the earlier ones is another incarnation's.
    pub fn on_clock_reading(
        &mut self,
        _now: u64,
        _sent_at: u64,
        _upstream: &Arc<str>,
        _clock_ms: u64,
    ) {
    }
}
