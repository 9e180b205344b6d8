//! Who owns the fleet: claims, renewals and the owner's readings of the store.

mod claim_desk;
mod owner_readings;
mod owner_watch;

pub use claim_desk::{ClaimDesk, OwnershipParts, is_much_smaller};
