//! Identifiers that the system issues.
//!
//! An identifier is `HOME~SECONDS-RANDOM`: its home shard, the time of issue and a random number,
//! the last two in hexadecimal.

use std::time::{SystemTime, UNIX_EPOCH};

use crate::admission::key_digest;
use crate::document::{ApprovedConfig, rendezvous_weight};
use crate::model::{ShardName, TeamName, WorkId};

/// Time for which an identifier may be used, in seconds. Ends of non-idempotent requests are
/// remembered for longer.
pub(super) const ID_LIFETIME_S: u64 = 1800;

/// Marks identifiers that are derived from a caller's key.
const DERIVED_PREFIX: &str = "key-";

/// Issues an identifier whose home is the given shard.
pub(super) fn issue_id(home: &ShardName) -> WorkId {
    WorkId::with_home(
        home,
        &format!("{:x}-{:016x}", unix_seconds(), rand::random::<u64>()),
    )
}

/// Derives an identifier from a caller's own key; the same key gives the same identifier.
pub(super) fn derive_id(config: &ApprovedConfig, team: &TeamName, key: &str) -> Option<WorkId> {
    let digest = key_digest(&format!("{team}/{key}"));
    let home = config
        .shards()
        .max_by_key(|shard| rendezvous_weight(shard.as_str(), &digest))?;
    Some(WorkId::with_home(
        &home,
        &format!("{DERIVED_PREFIX}{}", &digest[..32]),
    ))
}

/// Returns the age of an issued identifier, in seconds; none for any other text.
pub(super) fn issued_age_s(config: &ApprovedConfig, id: &WorkId) -> Option<u64> {
    let home = id.home()?;
    if !config.shards().any(|shard| shard == home) {
        return None;
    }
    let (seconds, random) = id.local_part().split_once('-')?;
    let issued = u64::from_str_radix(seconds, 16).ok()?;
    let genuine = random.len() == 16 && random.chars().all(|digit| digit.is_ascii_hexdigit());
    genuine.then(|| unix_seconds().saturating_sub(issued))
}

fn unix_seconds() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_secs())
}
