//! The platform's key-value store.

mod model;
mod server;

pub use model::StoreModel;
pub use server::{StoreCounts, StoreFaults, StoreServer};
