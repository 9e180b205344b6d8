//! Ownership of the fleet: claims, renewals, and the owner's reads of the store.

mod owner_polling;
mod owner_watch;
mod ownership_claimer;

pub use ownership_claimer::{OwnershipClaimer, OwnershipContext, is_much_smaller};
