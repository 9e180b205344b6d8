//! Queue of tasks that wait for placement.

mod waiting_queue;

pub use waiting_queue::{WaitingEntry, WaitingQueue};
