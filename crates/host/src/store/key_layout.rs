//! Layout of the keys in the store, and the records under them.

use std::sync::Arc;

use lagoonnotch_fleet::model::SubmissionState;
use serde::{Deserialize, Serialize};

/// Key of the owner's record.
pub const OWNER_KEY: &str = "owner/fleet";

/// Key of the ownership totals, which outlive the owner's record because they are not attached to
/// its lease.
pub const OWNERSHIP_TOTALS_KEY: &str = "fleet/generation";

/// Facts about all ownerships so far, stored under `fleet/generation`.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct OwnershipTotals {
    /// Number of owners so far.
    pub owners: u32,
    /// How long a replaced owner may still act, in milliseconds from any time after the claim that
    /// wrote these totals; 0 if no owner was replaced. Earlier versions did not write it.
    #[serde(default = "owner_lease_ms")]
    pub acting_ms: u64,
    /// The same as a time in milliseconds since the Unix epoch, for hosts of earlier versions, which
    /// can't read totals without it. Wall clocks jump, so no other host uses it.
    pub acting_until_unix_ms: u64,
    /// Largest CPU capacity of a host that has owned the fleet, in thousandths of a core.
    #[serde(default)]
    pub largest_processor_milli: u32,
    /// When the last owners claimed the ownership, in milliseconds since the Unix epoch, the newest
    /// first; 0 for none.
    #[serde(default)]
    pub last_claims_unix_ms: [u64; REMEMBERED_CLAIMS],
    /// Bounds on the leases of the owner that wrote these totals; `None` if it is of an earlier
    /// version, which does not bound them.
    #[serde(default)]
    pub lease_bounds: Option<LeaseBounds>,
    /// Time by which the leases of all owners before that one have expired, in milliseconds from any
    /// time after the claim that wrote these totals.
    #[serde(default)]
    pub earlier_lease_ms: u64,
}

/// Bounds on the leases that an owner grants, from its last stored commit or its claim.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseBounds {
    /// Time by which they have expired, in milliseconds.
    pub usual_ms: u64,
    /// Time by which they have expired if the owner has observed that no host that could succeed it
    /// reaches the store, in milliseconds.
    pub extended_ms: u64,
}

impl LeaseBounds {
    /// Returns the bound that a successor must wait for.
    #[must_use]
    pub fn bound_ms(self, may_be_extended: bool) -> u64 {
        if may_be_extended {
            self.extended_ms
        } else {
            self.usual_ms
        }
    }
}

/// Lease of the owner's record in the store, in milliseconds; no owner acts for longer after it was
/// replaced.
pub const OWNER_LEASE_MS: u64 = 6000;

/// Time by which the leases of an owner that does not bound them have expired since it was replaced, in
/// milliseconds: it acts for `OWNER_LEASE_MS` more, and grants leases of 6 s on clocks that may be slow.
const UNBOUNDED_LEASE_MS: u64 = 12_500;

/// Assumed maximum error of the wall clocks of hosts of earlier versions, in milliseconds.
const EARLIER_VERSION_MARGIN_MS: u64 = 5000;

fn owner_lease_ms() -> u64 {
    OWNER_LEASE_MS
}

/// Number of claims whose times are remembered.
const REMEMBERED_CLAIMS: usize = 4;

/// Time for which a claim counts as recent, in milliseconds.
const RECENT_CLAIM_MS: u64 = 20_000;

impl OwnershipTotals {
    /// Returns the number of remembered claims in the last 20 seconds.
    #[must_use]
    pub fn recent_claims(&self, unix_ms: u64) -> u32 {
        let is_recent = |at: &&u64| **at > 0 && unix_ms.abs_diff(**at) < RECENT_CLAIM_MS;
        let claims = self.last_claims_unix_ms.iter().filter(is_recent).count();
        u32::try_from(claims).unwrap_or(u32::MAX)
    }

    /// Returns how long a replaced owner may still act, in milliseconds, if the totals had been
    /// written at least `age_ms` ago.
    #[must_use]
    pub fn remaining_acting_ms(&self, age_ms: u64) -> u64 {
        self.acting_ms.saturating_sub(age_ms)
    }

    /// Returns the totals after a claim, if the present ones had been written at least `age_ms` ago.
    /// `replaces_other` means that the owner's record names another host, which may act until its
    /// lease in the store expires.
    #[must_use]
    pub fn after_claim(
        self,
        replaces_other: bool,
        age_ms: u64,
        unix_ms: u64,
        processor_milli: u32,
    ) -> Self {
        let acting_ms = if replaces_other {
            OWNER_LEASE_MS
        } else {
            self.remaining_acting_ms(age_ms)
        };
        let acting_until_unix_ms = match acting_ms {
            0 => 0,
            _ => unix_ms + acting_ms + EARLIER_VERSION_MARGIN_MS,
        };
        let mut last_claims_unix_ms = self.last_claims_unix_ms;
        last_claims_unix_ms.rotate_right(1);
        last_claims_unix_ms[0] = unix_ms;
        Self {
            last_claims_unix_ms,
            owners: self.owners + 1,
            acting_ms,
            acting_until_unix_ms,
            largest_processor_milli: self.largest_processor_milli.max(processor_milli),
            lease_bounds: None,
            earlier_lease_ms: 0,
        }
    }

    /// Returns these totals with the bounds on the leases of the owner that writes them, and by when
    /// those of all owners before it have expired, in milliseconds from its claim.
    #[must_use]
    pub fn with_lease_bounds(self, lease_bounds: LeaseBounds, earlier_lease_ms: u64) -> Self {
        Self {
            lease_bounds: Some(lease_bounds),
            earlier_lease_ms,
            ..self
        }
    }

    /// Returns by when the leases of all owners so far have expired, in milliseconds from a claim
    /// that replaces these totals at least `age_ms` after they were written. `may_be_extended` means
    /// that the last owner may have observed that no host reached the store.
    #[must_use]
    pub fn lease_ms_at_claim(&self, age_ms: u64, may_be_extended: bool) -> u64 {
        if self.owners == 0 {
            return 0;
        }
        let earlier_ms = self.earlier_lease_ms.saturating_sub(age_ms);
        self.lease_bounds.map_or(UNBOUNDED_LEASE_MS, |bounds| {
            bounds.bound_ms(may_be_extended).max(earlier_ms)
        })
    }

    /// Returns a time by which the leases of all owners so far have expired. `written_by` is a time by
    /// which these totals had been written, and `confirmed_by` one by which these and all commits had
    /// been; `may_be_extended` as in `lease_ms_at_claim`. Returns `None` if the last owner does not
    /// bound its leases.
    #[must_use]
    pub fn leases_expire_by(
        &self,
        written_by: u64,
        confirmed_by: u64,
        may_be_extended: bool,
    ) -> Option<u64> {
        let bounds = self.lease_bounds?;
        let last_owner = confirmed_by + bounds.bound_ms(may_be_extended);
        Some(last_owner.max(written_by + self.earlier_lease_ms))
    }
}

/// Prefix of the keys that hold the last commits.
pub(crate) const COMMIT_PREFIX: &str = "fleet/commit/";

/// Returns the key that holds the epoch and number of the last commit in a lane.
#[must_use]
pub fn commit_key(lane: usize) -> String {
    format!("{COMMIT_PREFIX}{lane}")
}

/// Key of the list of upstreams that may hold leases.
pub const ROSTER_KEY: &str = "fleet/roster";

/// Prefix of the keys of accepted submissions and cancellations, which entry hosts write and the
/// owner watches.
pub(crate) const TAKEN_PREFIX: &str = "taken/";

/// Prefix of the keys of submissions.
pub(crate) const SUBMISSION_PREFIX: &str = "taken/submission/";

/// Prefix of the keys of progress records.
pub(crate) const PROGRESS_PREFIX: &str = "progress/";

/// Prefix of the keys of the final states of ended submissions.
pub(crate) const ENDED_PREFIX: &str = "ended/";

/// Final state of an ended submission.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EndedRecord {
    /// State in which it ended.
    pub state: SubmissionState,
    /// When the submission ended, in milliseconds since the Unix epoch.
    pub ended_unix_ms: u64,
}

/// Prefix of the keys of cancellations.
pub(crate) const CANCEL_PREFIX: &str = "taken/cancel/";

/// The owner of the fleet; the revision of the record is the epoch.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OwnerRecord {
    /// Name of the host.
    pub host: Arc<str>,
    /// Address for calls between hosts.
    pub address: Arc<str>,
    /// Number of owners before this one.
    pub generation: u32,
    /// Random number that distinguishes two claims of the same host.
    pub claim: u64,
}

/// Returns the key of a submission.
#[must_use]
pub fn submission_key(id: &str) -> String {
    format!("{SUBMISSION_PREFIX}{id}")
}

/// Returns the key of a submission's progress record.
#[must_use]
pub fn progress_key(id: &str) -> String {
    format!("{PROGRESS_PREFIX}{id}")
}

/// Returns the key of an ended submission's final state.
#[must_use]
pub fn ended_key(id: &str) -> String {
    format!("{ENDED_PREFIX}{id}")
}

/// Returns the key of a submission's cancellation.
#[must_use]
pub fn cancel_key(id: &str) -> String {
    format!("{CANCEL_PREFIX}{id}")
}
