//! The platform's key-value service and host list.

mod capability;
mod store_client;

pub use capability::{STORE_CAPABILITIES, StoreCapability};
pub use store_client::{StoreClient, StoreError};
