//! Journal of a shard: the durable history of its work items.

mod journal_state;
mod journal_writer;
mod keys;
mod record;
mod snapshot;

pub use journal_state::{JournalState, TaskState, WorkState};
pub use journal_writer::{CommitResult, JournalWriter, PendingRecord, SegmentWrite};
pub use keys::{ShardKeys, segment_number};
pub use record::{AcceptedWork, JournalRecord, JournalSegment, TaskOutcome};
pub use snapshot::{SnapshotHead, join_snapshot, split_snapshot};
