//! Decides when a host claims the ownership.
//!
//! The load: an owner that is only busy answers late, and replacing it makes its successor busier
//! still, since that one first reads the whole state and renews at every upstream. A silent owner is
//! therefore replaced only if the store shows no progress of it either, and the more takeovers
//! there were lately, the longer a claim waits.

/// Number of consecutive unanswered heartbeats after which the owner counts as silent.
const MISSED_HEARTBEAT_LIMIT: u32 = 3;

/// Time for which the store must show no commit of a silent owner, in milliseconds. An owner commits
/// at least every 300 ms while it works.
const NO_PROGRESS_MS: u64 = 700;

/// Time after which a silent owner is replaced although it commits, in milliseconds: it may be cut
/// off from the other hosts but not from the store.
const UNREACHABLE_OWNER_MS: u64 = 4000;

/// Time without a response of the store to the owner after which other hosts claim the ownership,
/// in milliseconds.
const OWNER_STORE_LOST_MS: u64 = 2000;

/// Time after a change of the owner during which no other host claims the ownership, in
/// milliseconds.
const OWNER_CHANGE_SETTLE_MS: u64 = 1500;

/// Maximum number of times that the waiting times double after takeovers in a row.
const MAX_BACKOFF_DOUBLINGS: u32 = 2;

/// What a host knows about the owner when it decides.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ClaimEvidence {
    /// Whether the store has an owner's record.
    pub has_record: bool,
    /// Whether an earlier process of this host wrote the record.
    pub is_own_record: bool,
    /// Time since the owner changed, as observed by this host, in milliseconds.
    pub since_change_ms: u64,
    /// Number of consecutive heartbeats that the owner did not answer.
    pub missed_heartbeats: u32,
    /// Time since the first of them, in milliseconds.
    pub silent_ms: u64,
    /// Time for which the store has shown no commit of the owner, in milliseconds.
    pub no_progress_ms: u64,
    /// Time since the owner sent the last request that the store answered, according to its last
    /// reply, in milliseconds.
    pub owner_store_age_ms: u64,
    /// Number of takeovers in the last seconds.
    pub recent_takeovers: u32,
}

/// Returns why a host should claim the ownership, or `None` if it should not.
///
/// # Examples
///
/// ```
/// use lagoonnotch_host::ownership::{ClaimEvidence, claim_reason};
///
/// let busy_owner = ClaimEvidence {
///     has_record: true,
///     since_change_ms: 60_000,
///     missed_heartbeats: 5,
///     silent_ms: 2000,
///     no_progress_ms: 100,
///     ..ClaimEvidence::default()
/// };
/// assert_eq!(claim_reason(&busy_owner), None);
/// ```
#[must_use]
pub fn claim_reason(evidence: &ClaimEvidence) -> Option<&'static str> {
    if !evidence.has_record {
        return Some("no owner");
    }
    if evidence.is_own_record {
        return Some("an earlier process of this host was the owner");
    }
    let backoff = 1
        << evidence
            .recent_takeovers
            .saturating_sub(1)
            .min(MAX_BACKOFF_DOUBLINGS);
    if evidence.since_change_ms < OWNER_CHANGE_SETTLE_MS * backoff {
        return None;
    }
    let is_silent = evidence.missed_heartbeats >= MISSED_HEARTBEAT_LIMIT;
    if is_silent && evidence.no_progress_ms >= NO_PROGRESS_MS * backoff {
        return Some("the owner does not respond and does not commit");
    }
    if is_silent && evidence.silent_ms >= UNREACHABLE_OWNER_MS * backoff {
        return Some("the owner does not respond, though it commits");
    }
    if evidence.owner_store_age_ms >= OWNER_STORE_LOST_MS * backoff
        && evidence.no_progress_ms >= NO_PROGRESS_MS
    {
        return Some("the owner has lost the store");
    }
    None
}
