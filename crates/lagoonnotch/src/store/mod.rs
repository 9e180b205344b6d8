//! Client of the platform's key-value store and host list.

mod capability;
mod store_client;

pub use capability::{STORE_CAPABILITIES, StoreCapability};
pub use store_client::{StoreClient, StoreError};
