//! Snapshots of a ledger in parts that the store can hold.

use serde::{Deserialize, Serialize};

use crate::journal::JournalState;

/// Largest part of a snapshot, in bytes; the store holds values up to a mebibyte.
const MAX_PART_BYTES: usize = 900_000;

/// Names the newest snapshot.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SnapshotHead {
    /// Last journal segment that the snapshot contains.
    pub through: u64,
    /// Number of parts.
    pub parts: usize,
}

/// Divides a ledger into parts.
///
/// # Panics
/// Never panics: a ledger always has a JSON form.
#[must_use]
pub fn split_snapshot(ledger: &JournalState) -> Vec<String> {
    let text = serde_json::to_string(ledger).expect("ledger has a JSON form");
    let mut parts = Vec::new();
    let mut rest = text.as_str();
    while rest.len() > MAX_PART_BYTES {
        let end = (0..=MAX_PART_BYTES)
            .rev()
            .find(|end| rest.is_char_boundary(*end))
            .unwrap_or(0);
        let (part, tail) = rest.split_at(end);
        parts.push(part.to_owned());
        rest = tail;
    }
    parts.push(rest.to_owned());
    parts
}

/// Puts the parts of a snapshot together again.
///
/// # Errors
/// Fails when the parts are no whole snapshot.
pub fn join_snapshot(parts: &[String]) -> Result<JournalState, serde_json::Error> {
    serde_json::from_str(&parts.concat())
}
