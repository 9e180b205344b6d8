//! Ownership of the fleet: claims, renewals, and the owner's reads of the store.

mod accepted_cursor;
mod claim_policy;
mod claimed_ownership;
mod departures;
mod lease_extension;
mod owner_polling;
mod owner_watch;
mod ownership_claim;
mod ownership_claimer;

pub use accepted_cursor::{AcceptedCursor, WatchCoverage};
pub use claim_policy::{ClaimEvidence, claim_reason};
pub use departures::departure_report_age_ms;
pub use lease_extension::ReplacedOwner;
pub use ownership_claimer::{OwnershipClaimer, OwnershipContext, is_much_smaller};

pub(crate) use lease_extension::CLAIM_MEMORY_MS;
pub(crate) use owner_watch::MAX_CONTACT_AGE_MS;
