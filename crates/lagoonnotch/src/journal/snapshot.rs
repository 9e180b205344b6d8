//! Snapshots of the journal state, split into parts that fit into store values.

use serde::{Deserialize, Serialize};

use crate::journal::JournalState;

/// Maximum size of a snapshot part, in bytes; the store accepts values of up to one mebibyte.
const MAX_PART_BYTES: usize = 900_000;

/// Describes the newest snapshot.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SnapshotHead {
    /// Number of the last journal segment that the snapshot includes.
    pub through: u64,
    /// Number of parts.
    pub parts: usize,
}

/// Serializes a state and splits the text into parts.
///
/// # Panics
/// Does not panic in practice: every state serializes to JSON.
#[must_use]
pub fn split_snapshot(state: &JournalState) -> Vec<String> {
    let text = serde_json::to_string(state).expect("the state serializes to JSON");
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

/// Restores the state from the parts of a snapshot.
///
/// # Errors
/// Returns an error if the parts do not form a complete snapshot.
pub fn join_snapshot(parts: &[String]) -> Result<JournalState, serde_json::Error> {
    serde_json::from_str(&parts.concat())
}
