//! Parts of a caller's HTTP request.

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::Uri;
use hyper::body::Incoming;
use hyper::header::HeaderMap;

use crate::problem::{ProblemCode, ProblemReport};

/// Longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 200;

/// Reads a body of at most the given size.
///
/// # Errors
/// Fails when the body is too large or does not arrive whole.
pub(super) async fn read_body(body: Incoming, most_bytes: usize) -> Result<Bytes, ProblemReport> {
    let collected = Limited::new(body, most_bytes).collect().await;
    collected
        .map(http_body_util::Collected::to_bytes)
        .map_err(|error| {
            if error.is::<http_body_util::LengthLimitError>() {
                let detail = format!("the body is larger than {most_bytes} bytes");
                ProblemReport::not_run(ProblemCode::BodyTooLarge, detail)
            } else {
                ProblemReport::not_run(ProblemCode::InvalidBody, "the body did not arrive whole")
            }
        })
}

/// Returns a header's text.
pub(super) fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Returns a query parameter.
pub(super) fn parameter<'a>(uri: &'a Uri, name: &str) -> Option<&'a str> {
    let pairs = uri.query()?.split('&');
    pairs
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

/// Returns the idempotency key, if there is one.
///
/// # Errors
/// Fails when the key is empty, too long or holds unusual characters.
pub(super) fn idempotency_key(headers: &HeaderMap) -> Result<Option<&str>, ProblemReport> {
    let Some(key) = header(headers, "idempotency-key") else {
        return Ok(None);
    };
    let allowed = |symbol: char| symbol.is_ascii_alphanumeric() || "-._~".contains(symbol);
    if key.is_empty() || key.len() > MAX_KEY_BYTES || !key.chars().all(allowed) {
        let detail = "Idempotency-Key: expected 1 to 200 letters, digits and any of - . _ ~";
        return Err(ProblemReport::not_run(
            ProblemCode::InvalidParameter,
            detail,
        ));
    }
    Ok(Some(key))
}

/// Returns a header that is true or false; it is false when it is missing.
///
/// # Errors
/// Fails when the header holds anything else.
pub(super) fn flag(headers: &HeaderMap, name: &str) -> Result<bool, ProblemReport> {
    match header(headers, name) {
        None | Some("false") => Ok(false),
        Some("true") => Ok(true),
        Some(other) => {
            let detail = format!("{name}: found {other}, expected true or false");
            Err(ProblemReport::not_run(
                ProblemCode::InvalidParameter,
                detail,
            ))
        }
    }
}
