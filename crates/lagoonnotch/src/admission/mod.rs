//! Admission of requests: caller keys, queues and the retry budget.

mod key_check;
mod queue_check;
mod retry_budget;

pub use key_check::{key_digest, team_for_key};
pub use queue_check::check_queue;
pub use retry_budget::RetryBudget;
