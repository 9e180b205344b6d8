//! Authentication of callers by their keys.

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::document::{ApprovedConfig, encode_hex};
use crate::model::TeamName;
use crate::problem::{ProblemCode, ProblemReport};

/// Returns the digest by which the configuration identifies a key, in hexadecimal.
#[must_use]
pub fn key_digest(key: &str) -> String {
    encode_hex(&Sha256::digest(key.as_bytes()))
}

/// Returns the team that the key in an `Authorization` header belongs to.
///
/// Digests are compared in constant time, so that the duration reveals nothing about them.
///
/// # Errors
/// Returns an error if there is no key, or if it is not granted.
pub fn team_for_key(
    config: &ApprovedConfig,
    authorization: Option<&str>,
) -> Result<TeamName, ProblemReport> {
    let key = authorization
        .and_then(|text| text.strip_prefix("Bearer "))
        .map(str::trim);
    let Some(key) = key.filter(|key| !key.is_empty()) else {
        let detail = "the header Authorization: Bearer KEY is missing";
        return Err(ProblemReport::not_run(ProblemCode::MissingKey, detail));
    };
    let digest = key_digest(key);
    let mut team = None;
    for grant in config.keys.values() {
        if bool::from(grant.sha256.as_bytes().ct_eq(digest.as_bytes())) {
            team = Some(grant.team.clone());
        }
    }
    let detail = "the key is not granted, or it was withdrawn";
    team.ok_or_else(|| ProblemReport::not_run(ProblemCode::UnknownKey, detail))
}
