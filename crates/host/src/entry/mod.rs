//! Handling of callers' requests.

mod entry_request;
mod entry_service;
mod owner_notifier;

pub use entry_request::{EntryOperation, EntryRequest, EntryResponse, RefusalReason};
pub use entry_service::EntryService;
pub use owner_notifier::OwnerNotifier;
