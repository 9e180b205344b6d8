//! Capabilities that the scheduler requires of the store.

/// A required capability of the store, and the consequence of its absence.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StoreCapability {
    /// What the store must do.
    pub name: &'static str,
    /// What depends on it.
    pub needed_for: &'static str,
    /// What would happen without it.
    pub if_missing: &'static str,
}

/// All capabilities required of the store.
pub const STORE_CAPABILITIES: &[StoreCapability] = &[
    StoreCapability {
        name: "compare-and-swap by revision, with create-if-absent",
        needed_for: "journal seals, epochs, limits and the document log",
        if_missing: "no durable work could be accepted",
    },
    StoreCapability {
        name: "a read after a write returns the written value",
        needed_for: "resolving a write whose reply was lost",
        if_missing: "the outcome of such a write would stay unknown to its caller",
    },
    StoreCapability {
        name: "leases that delete their keys on expiry",
        needed_for: "detecting a dead owner",
        if_missing: "a takeover would rely on missed heartbeats alone",
    },
    StoreCapability {
        name: "long-polling watches",
        needed_for: "delivery of new documents within a second",
        if_missing: "the watching host of each failure domain would poll the log every second",
    },
    StoreCapability {
        name: "values up to one mebibyte",
        needed_for: "snapshots with few parts",
        if_missing: "snapshots would be split into more parts",
    },
];
