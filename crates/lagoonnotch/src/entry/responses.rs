//! Success responses.

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use serde::Serialize;

use crate::entry::http_server::FullResponse;

/// Returns a response with a JSON body.
pub(super) fn json_response<T: Serialize>(status: StatusCode, value: &T) -> FullResponse {
    let body = serde_json::to_vec(value).unwrap_or_default();
    with_content_type(status, "application/json", Bytes::from(body))
}

/// Returns a plain text response.
pub(super) fn text_response(status: StatusCode, text: impl Into<String>) -> FullResponse {
    with_content_type(
        status,
        "text/plain; charset=utf-8",
        Bytes::from(text.into()),
    )
}

/// Returns a response with an opaque binary body.
pub(super) fn bytes_response(body: Bytes) -> FullResponse {
    with_content_type(StatusCode::OK, "application/octet-stream", body)
}

fn with_content_type(status: StatusCode, content_type: &'static str, body: Bytes) -> FullResponse {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}
