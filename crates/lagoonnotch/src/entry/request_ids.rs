//! Work identifiers.
//!
//! An issued identifier has the form `HOME~SECONDS-RANDOM`: the home shard, the time of issue in
//! seconds since the Unix epoch, and a random number, the last two in hexadecimal.

use std::time::{SystemTime, UNIX_EPOCH};

use crate::admission::key_digest;
use crate::document::{ApprovedConfig, rendezvous_weight};
use crate::model::{ShardName, TeamName, WorkId};

/// Time for which an issued identifier may be used, in seconds. Shorter than the retention of
/// durable results (one hour), so that a repeated non-idempotent request always finds its result.
pub(super) const ID_LIFETIME_S: u64 = 1800;

/// Prefix of identifiers derived from a caller's idempotency key.
const DERIVED_PREFIX: &str = "key-";

/// Issues a new identifier with the given home shard.
pub(super) fn issue_id(home: &ShardName) -> WorkId {
    WorkId::with_home(
        home,
        &format!("{:x}-{:016x}", unix_seconds(), rand::random::<u64>()),
    )
}

/// Derives an identifier from a team and its idempotency key; the same key gives the same
/// identifier.
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

/// Returns the age of an issued identifier, in seconds, or `None` for any other text.
pub(super) fn issued_age_s(config: &ApprovedConfig, id: &WorkId) -> Option<u64> {
    let home = id.home()?;
    if !config.shards().any(|shard| shard == home) {
        return None;
    }
    let (seconds, random) = id.local_part().split_once('-')?;
    let issued = u64::from_str_radix(seconds, 16).ok()?;
    let well_formed = random.len() == 16 && random.chars().all(|digit| digit.is_ascii_hexdigit());
    well_formed.then(|| unix_seconds().saturating_sub(issued))
}

fn unix_seconds() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_secs())
}
