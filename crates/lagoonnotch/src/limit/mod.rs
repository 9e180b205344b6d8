//! Limits of teams, divided among the shards as allotments.

mod limit_record;

pub use limit_record::{LimitRecord, ShardAllotment};
