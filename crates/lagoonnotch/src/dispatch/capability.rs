//! What is assumed of upstreams, in one place.

/// Something that an upstream is assumed to do, and what its lack would cost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UpstreamCapability {
    /// The assumption.
    pub name: &'static str,
    /// Which promise rests on it.
    pub needed_for: &'static str,
    /// What would take its place.
    pub without: &'static str,
}

/// Everything that is assumed of upstreams.
pub const UPSTREAM_CAPABILITIES: &[UpstreamCapability] = &[
    UpstreamCapability {
        name: "refuses starts and renewals of an older epoch or fence",
        needed_for: "an owner that was paused can do no harm",
        without: "a new owner would wait for the longest task lease before its first start",
    },
    UpstreamCapability {
        name: "refuses starts once its fence has run out",
        needed_for: "an upstream that can't be reached takes nothing new after a known time",
        without: "the capacity of a silent upstream would stay booked until the platform lists it as gone",
    },
    UpstreamCapability {
        name: "counts a renewal from the time that the owner states in it",
        needed_for: "a renewal that arrives late extends nothing beyond what it extended when sent",
        without: "the longest delay of a message would be added to every wait for leases",
    },
    UpstreamCapability {
        name: "ends the first lease of a task with the fence",
        needed_for: "leases of a silent upstream end at a known time",
        without: "the wait would be the fence's time and the lease's together",
    },
    UpstreamCapability {
        name: "stops a task whose lease has run out",
        needed_for: "no task runs in two places at once",
        without: "tasks of a silent upstream would start elsewhere only once the platform lists it as gone",
    },
    UpstreamCapability {
        name: "names its incarnation, which changes when it forgets its tasks",
        needed_for: "an inventory that lacks an attempt proves that it never started",
        without: "every non-idempotent attempt that an inventory lacks would be unknown",
    },
    UpstreamCapability {
        name: "refuses a revoked attempt for good",
        needed_for: "a ticket that is used late starts nothing",
        without: "an unused ticket would hold its capacity until the fence is renewed under a new number",
    },
    UpstreamCapability {
        name: "keeps the end of an attempt until it is acknowledged",
        needed_for: "no end is lost when an owner dies",
        without: "attempts that end while there is no owner would be unknown or run again",
    },
];
