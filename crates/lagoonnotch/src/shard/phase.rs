//! Phases of ownership. `charts/ownership.json` defines the transitions.

use std::sync::OnceLock;

use serde::{Deserialize, Serialize};

use crate::chart::StateChart;

/// Phase of one host's ownership of a shard.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OwnershipPhase {
    /// Another host owns the shard, or none does.
    Standby,
    /// Acquires the store's lease and a new epoch.
    Claiming,
    /// Reads the snapshot and the journal.
    Reading,
    /// Seals the journal against the previous owner.
    Sealing,
    /// Fences the upstreams and reads their inventories.
    Fencing,
    /// Owns the shard.
    Owning,
    /// Writes the pending journal records, then revokes the lease.
    Releasing,
    /// Has shut down.
    Stopped,
}

/// Event that changes the phase.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd)]
#[serde(rename_all = "snake_case")]
pub enum OwnershipEvent {
    /// The shard has no owner.
    OwnerAbsent,
    /// The lease and a new epoch were acquired.
    Claimed,
    /// The journal was read.
    JournalRead,
    /// The journal was sealed.
    Sealed,
    /// Every upstream was fenced, or the wait for the silent ones is over.
    Fenced,
    /// The takeover failed, or the ownership was lost.
    Failed,
    /// The host is shutting down.
    Shutdown,
    /// The lease was revoked or given up.
    Released,
}

/// Returns the state chart of ownership.
///
/// # Panics
/// Panics if the chart file, which is compiled in, is malformed.
pub fn ownership_chart() -> &'static StateChart<OwnershipPhase, OwnershipEvent> {
    static CHART: OnceLock<StateChart<OwnershipPhase, OwnershipEvent>> = OnceLock::new();
    CHART.get_or_init(|| {
        StateChart::parse(include_str!("../../../../charts/ownership.json"))
            .expect("the compiled-in chart is well formed")
    })
}
