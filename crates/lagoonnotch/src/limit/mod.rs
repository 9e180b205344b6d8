//! Limits of teams, divided among the shards as allotments held in escrow.

mod limit_record;

pub use limit_record::{LimitRecord, ShardAllotment};
