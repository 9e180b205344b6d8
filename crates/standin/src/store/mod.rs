//! The platform's key-value service.

mod model;
mod server;

pub use model::StoreModel;
pub use server::{StoreCounts, StoreFaults, StoreServer};
