//! What is assumed of the store, in one place.

/// Something that the store is assumed to do, and what its lack would cost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StoreCapability {
    /// The assumption.
    pub name: &'static str,
    /// Which promise rests on it.
    pub needed_for: &'static str,
    /// What would take its place.
    pub without: &'static str,
}

/// Everything that is assumed of the store.
pub const STORE_CAPABILITIES: &[StoreCapability] = &[
    StoreCapability {
        name: "compare-and-swap by revision, with create-if-absent",
        needed_for: "the journal's seal, epochs, limits and the log of documents",
        without: "nothing that lasts could be accepted",
    },
    StoreCapability {
        name: "a read after a write sees the write",
        needed_for: "settling a write whose answer was lost",
        without: "an unclear write would stay unknown to its caller",
    },
    StoreCapability {
        name: "leases that delete their keys",
        needed_for: "noticing a dead owner",
        without: "a take-over would wait for the owner's silence alone",
    },
    StoreCapability {
        name: "watches that wait",
        needed_for: "new documents within a second",
        without: "the watcher of each failure domain would read the log every second",
    },
    StoreCapability {
        name: "values up to one mebibyte",
        needed_for: "snapshots in few parts",
        without: "snapshots would have more parts",
    },
];
