//! Ownership of the fleet: claims, renewals, and the owner's reads of the store.

mod accepted_cursor;
mod claim_policy;
mod claimed_ownership;
mod departures;
mod owner_polling;
mod owner_watch;
mod ownership_claimer;

pub use accepted_cursor::{AcceptedCursor, WatchCoverage};
pub use claim_policy::{ClaimEvidence, claim_reason};
pub use departures::departure_report_age_ms;
pub use ownership_claimer::{OwnershipClaimer, OwnershipContext, is_much_smaller};
