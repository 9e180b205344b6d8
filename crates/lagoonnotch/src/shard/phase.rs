//! Phases of ownership; the transitions are those of `charts/ownership.json`.

use std::sync::OnceLock;

use serde::{Deserialize, Serialize};

use crate::chart::StateChart;

/// Phase of one host's ownership of a shard.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OwnershipPhase {
    /// Another host owns the shard, or none does.
    Standby,
    /// Takes the store's lease and a new epoch.
    Claiming,
    /// Reads the snapshot and the journal.
    Reading,
    /// Seals the journal against the previous owner.
    Sealing,
    /// Fences the upstreams and takes their inventories.
    Fencing,
    /// Owns the shard.
    Owning,
    /// Hands the shard over.
    Releasing,
    /// Does nothing any more.
    Stopped,
}

/// What changes the phase.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd)]
#[serde(rename_all = "snake_case")]
pub enum OwnershipEvent {
    /// The shard has no owner.
    OwnerAbsent,
    /// Lease and epoch are taken.
    Claimed,
    /// The journal is read.
    JournalRead,
    /// The journal is sealed.
    Sealed,
    /// Every upstream is fenced, or its fence has run out.
    Fenced,
    /// Another host was first, or the store did not answer.
    Failed,
    /// The host shuts down.
    Shutdown,
    /// The lease is given back.
    Released,
}

/// Returns the chart of ownership.
///
/// # Panics
/// Panics when the chart file is malformed; it is part of the program.
pub fn ownership_chart() -> &'static StateChart<OwnershipPhase, OwnershipEvent> {
    static CHART: OnceLock<StateChart<OwnershipPhase, OwnershipEvent>> = OnceLock::new();
    CHART.get_or_init(|| {
        StateChart::parse(include_str!("../../../../charts/ownership.json"))
            .expect("chart is well formed")
    })
}
