//! Upper limits of teams, kept by allotments that are held in escrow.

mod limit_record;

pub use limit_record::{LimitRecord, ShardAllotment};
