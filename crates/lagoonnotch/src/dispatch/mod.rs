//! Client of upstreams: control calls, attempts and answers.

mod capability;
mod upstream_client;

pub use capability::{UPSTREAM_CAPABILITIES, UpstreamCapability};
pub use upstream_client::{AttemptAnswer, AttemptError, UpstreamClient};
