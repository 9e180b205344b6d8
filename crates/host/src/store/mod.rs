//! Records kept in the metadata store, and the operations on them.

mod commit_writer;
mod contact_log;
mod hedged_store;
mod key_layout;
mod latency_estimator;
mod recovery_reader;
mod revision_log;
mod submission_store;

pub use commit_writer::CommitWriter;
pub use contact_log::{CONTACT_GAP_MS, ContactLog};
pub use hedged_store::{HedgeContext, hedged_store};
pub use key_layout::{
    EndedRecord, LeaseBounds, OWNER_KEY, OWNER_LEASE_MS, OWNERSHIP_TOTALS_KEY, OwnerRecord,
    OwnershipTotals, ROSTER_KEY, cancel_key, commit_key, ended_key, progress_key, submission_key,
};
pub use latency_estimator::LatencyEstimator;
pub use recovery_reader::{RecoveryRead, list_all, parse_submission, read_recovery_state};
pub use revision_log::{RevisionLog, logged_store};
pub use submission_store::{StoreOutcome, SubmissionStore};

pub(crate) use key_layout::{CANCEL_PREFIX, ENDED_PREFIX, SUBMISSION_PREFIX, TAKEN_PREFIX};
