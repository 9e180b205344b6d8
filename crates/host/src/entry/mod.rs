//! Handling of callers' requests.

mod entry_request;
mod entry_service;
mod notice_queue;
mod owner_notifier;
mod unfinished_work;

pub use entry_request::{EntryOperation, EntryRequest, EntryResponse, RefusalReason};
pub use entry_service::EntryService;
pub use notice_queue::{NoticeQueue, OwnerNotice};
pub use owner_notifier::OwnerNotifier;
pub use unfinished_work::{
    LARGE_BYTES, UnfinishedWork, WorkReservation, estimate_bytes, has_ended,
};
