//! Keys and records of the store.

use std::sync::Arc;

use lagoonnotch_fleet::model::SubmissionState;
use serde::{Deserialize, Serialize};

/// Key of the owner's record.
pub const OWNER_KEY: &str = "owner/fleet";

/// Key of what is known of all owners so far; it outlives the owner's record.
pub const OWNER_HISTORY_KEY: &str = "fleet/generation";

/// What is known of all owners so far.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct OwnerHistory {
    /// Number of owners so far.
    pub owners: u32,
    /// Until when one that was replaced may act, in milliseconds since 1970.
    pub acting_until_unix_ms: u64,
    /// Largest processor of a host that has owned the fleet, in thousandths of a core.
    #[serde(default)]
    pub largest_processor_milli: u32,
}

impl OwnerHistory {
    /// Returns the history after a claim; `replaces_other` says that the owner's record names
    /// another host, which may act for as long as its lease in the store.
    #[must_use]
    pub fn after_claim(
        self,
        replaces_other: bool,
        unix_ms: u64,
        lease_ms: u64,
        processor_milli: u32,
    ) -> Self {
        let acting_until = if replaces_other {
            unix_ms + lease_ms
        } else {
            0
        };
        Self {
            owners: self.owners + 1,
            acting_until_unix_ms: self.acting_until_unix_ms.max(acting_until),
            largest_processor_milli: self.largest_processor_milli.max(processor_milli),
        }
    }
}

/// Returns the key of the number of the last commit of a lane.
#[must_use]
pub fn commit_key(lane: usize) -> String {
    format!("fleet/commit/{lane}")
}

/// Key of the list of upstreams that may hold leases.
pub const ROSTER_KEY: &str = "fleet/roster";

/// First part of the keys that taking hosts write and the owner watches.
pub(crate) const TAKEN_PREFIX: &str = "taken/";

/// First part of the keys of submissions.
pub(crate) const SUBMISSION_PREFIX: &str = "taken/submission/";

/// First part of the keys of progress.
pub(crate) const PROGRESS_PREFIX: &str = "progress/";

/// First part of the keys of submissions that have ended.
pub(crate) const ENDED_PREFIX: &str = "ended/";

/// What is kept of a submission that has ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EndedRecord {
    /// Final state.
    pub state: SubmissionState,
    /// When it ended, in milliseconds since 1970.
    pub ended_unix_ms: u64,
}

/// First part of the keys of cancellings.
pub(crate) const CANCEL_PREFIX: &str = "taken/cancel/";

/// The owner of the fleet; its revision is the epoch.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OwnerRecord {
    /// Name of the host.
    pub host: Arc<str>,
    /// Address for the hosts' own calls.
    pub address: Arc<str>,
    /// Number of owners before this one.
    pub generation: u32,
    /// Random number that tells two claims of a host apart.
    pub claim: u64,
}

/// Returns the key of a submission.
#[must_use]
pub fn submission_key(id: &str) -> String {
    format!("{SUBMISSION_PREFIX}{id}")
}

/// Returns the key of a submission's progress.
#[must_use]
pub fn progress_key(id: &str) -> String {
    format!("{PROGRESS_PREFIX}{id}")
}

/// Returns the key of a submission that has ended.
#[must_use]
pub fn ended_key(id: &str) -> String {
    format!("{ENDED_PREFIX}{id}")
}

/// Returns the key of a submission's cancelling.
#[must_use]
pub fn cancel_key(id: &str) -> String {
    format!("{CANCEL_PREFIX}{id}")
}
