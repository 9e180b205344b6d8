//! Extraction of bodies, headers and parameters from HTTP requests.

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::Uri;
use hyper::body::Incoming;
use hyper::header::HeaderMap;

use crate::problem::{ProblemCode, ProblemReport};

/// Maximum length of an idempotency key, in bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 200;

/// Reads a request body of at most the given size.
///
/// # Errors
/// Fails when the body is too large or incomplete.
pub(super) async fn read_body(body: Incoming, max_bytes: usize) -> Result<Bytes, ProblemReport> {
    let collected = Limited::new(body, max_bytes).collect().await;
    collected
        .map(http_body_util::Collected::to_bytes)
        .map_err(|error| {
            if error.is::<http_body_util::LengthLimitError>() {
                let detail = format!("the body is larger than {max_bytes} bytes");
                ProblemReport::not_run(ProblemCode::BodyTooLarge, detail)
            } else {
                ProblemReport::not_run(ProblemCode::InvalidBody, "the body did not arrive whole")
            }
        })
}

/// Returns the text of a header.
pub(super) fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Returns the value of a query parameter, without percent-decoding.
pub(super) fn query_parameter<'a>(uri: &'a Uri, name: &str) -> Option<&'a str> {
    let pairs = uri.query()?.split('&');
    pairs
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

/// Returns the idempotency key of a request, if any.
///
/// # Errors
/// Fails when the key is empty, too long or contains characters that are not allowed.
pub(super) fn idempotency_key(headers: &HeaderMap) -> Result<Option<&str>, ProblemReport> {
    let Some(key) = header_text(headers, "idempotency-key") else {
        return Ok(None);
    };
    let allowed = |symbol: char| symbol.is_ascii_alphanumeric() || "-._~".contains(symbol);
    if key.is_empty() || key.len() > MAX_IDEMPOTENCY_KEY_BYTES || !key.chars().all(allowed) {
        let detail = "Idempotency-Key: expected 1 to 200 letters, digits and any of - . _ ~";
        return Err(ProblemReport::not_run(
            ProblemCode::InvalidParameter,
            detail,
        ));
    }
    Ok(Some(key))
}

/// Returns the value of a boolean header, which defaults to false.
///
/// # Errors
/// Fails when the value is neither `true` nor `false`.
pub(super) fn bool_header(headers: &HeaderMap, name: &str) -> Result<bool, ProblemReport> {
    match header_text(headers, name) {
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
