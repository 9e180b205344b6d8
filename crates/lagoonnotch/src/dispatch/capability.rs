//! Capabilities that the scheduler requires of upstreams.

/// A required capability of an upstream, and the consequence of its absence.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UpstreamCapability {
    /// What the upstream must do.
    pub name: &'static str,
    /// What depends on it.
    pub needed_for: &'static str,
    /// What would happen without it.
    pub if_missing: &'static str,
}

/// All capabilities required of upstreams.
pub const UPSTREAM_CAPABILITIES: &[UpstreamCapability] = &[
    UpstreamCapability {
        name: "refuses starts and renewals of an older epoch or fence number",
        needed_for: "a stale owner that resumes after a pause can't start or renew tasks",
        if_missing: "a new owner would wait for the longest task lease before its first start",
    },
    UpstreamCapability {
        name: "refuses starts once its fence has expired",
        needed_for: "an unreachable upstream starts nothing after a known time",
        if_missing: "the capacity of an unreachable upstream would stay reserved until the platform lists it as gone",
    },
    UpstreamCapability {
        name: "counts a renewal from the time given by the owner",
        needed_for: "a delayed renewal does not extend a lease beyond the end that the owner computed",
        if_missing: "every wait for leases would have to include the maximum message delay",
    },
    UpstreamCapability {
        name: "limits the first lease of a task to the remaining fence time",
        needed_for: "leases at an unreachable upstream end at a known time",
        if_missing: "the wait would be the sum of the fence and lease durations",
    },
    UpstreamCapability {
        name: "stops a task whose lease has expired",
        needed_for: "no task runs on two upstreams at once",
        if_missing: "tasks of an unreachable upstream could be restarted elsewhere only once the platform lists it as gone",
    },
    UpstreamCapability {
        name: "reports an incarnation, which changes when it loses its tasks",
        needed_for: "an attempt that is missing from an inventory is known never to have started",
        if_missing: "the outcome of every non-idempotent attempt that is missing from an inventory would be unknown",
    },
    UpstreamCapability {
        name: "refuses a revoked attempt permanently",
        needed_for: "a start ticket can't be used after it was revoked",
        if_missing: "an unused ticket would reserve its capacity until a fence with a new number is in place",
    },
    UpstreamCapability {
        name: "keeps the result of an attempt until it is acknowledged",
        needed_for: "no result is lost when an owner dies",
        if_missing: "attempts that end while there is no owner would have an unknown outcome or run again",
    },
];
