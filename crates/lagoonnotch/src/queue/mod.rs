//! Tasks that wait for a place.

mod waiting_queue;

pub use waiting_queue::{WaitingEntry, WaitingQueue};
