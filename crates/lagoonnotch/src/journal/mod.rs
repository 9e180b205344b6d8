//! The journal of a shard: what lasts of its works.

mod journal_writer;
mod keys;
mod record;
mod shard_ledger;
mod snapshot;

pub use journal_writer::{CommitAction, CommitResult, JournalWriter, PendingWrite};
pub use keys::{ShardKeys, segment_number};
pub use record::{AcceptedWork, JournalRecord, JournalSegment, TaskOutcome};
pub use shard_ledger::{LedgerTask, LedgerWork, ShardLedger};
pub use snapshot::{SnapshotHead, join_snapshot, split_snapshot};
