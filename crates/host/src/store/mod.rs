//! What the system keeps in the store.

mod commit_desk;
mod key_layout;
mod latency_gauge;
mod recovery_reader;
mod relayed_store;
mod submission_store;

pub use commit_desk::CommitDesk;
pub use key_layout::{
    EndedRecord, GENERATION_KEY, OWNER_KEY, OwnerHistory, OwnerRecord, SILENT_KEY, cancel_key,
    commit_key, ended_key, progress_key, submission_key,
};
pub use latency_gauge::LatencyGauge;
pub use recovery_reader::{list_all, read_recovered, submission_of};
pub use relayed_store::{RelayCalls, relayed_store};
pub use submission_store::{StoreAnswer, SubmissionStore};

pub(crate) use key_layout::{CANCEL_PREFIX, ENDED_PREFIX, SUBMISSION_PREFIX, TAKEN_PREFIX};
