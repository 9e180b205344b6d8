//! Responses that are not errors.

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use serde::Serialize;

use crate::entry::http_server::FullResponse;

/// Answers with a JSON body.
pub(super) fn json_answer<T: Serialize>(status: StatusCode, value: &T) -> FullResponse {
    let body = serde_json::to_vec(value).unwrap_or_default();
    with_type(status, "application/json", Bytes::from(body))
}

/// Answers with a text.
pub(super) fn text_answer(status: StatusCode, text: impl Into<String>) -> FullResponse {
    with_type(
        status,
        "text/plain; charset=utf-8",
        Bytes::from(text.into()),
    )
}

/// Answers with opaque bytes.
pub(super) fn bytes_answer(body: Bytes) -> FullResponse {
    with_type(StatusCode::OK, "application/octet-stream", body)
}

fn with_type(status: StatusCode, kind: &'static str, body: Bytes) -> FullResponse {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    response
}
