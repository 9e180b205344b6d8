//! HTTP APIs for callers and operators.

mod admin_api;
mod caller_api;
mod document_submit;
mod http_server;
mod job_api;
mod quick_request;
mod request_ids;
mod request_parts;
mod responses;
mod shard_router;

pub(crate) use admin_api::AdminApi;
pub(crate) use caller_api::{CallerApi, EntryContext};
pub use http_server::{HttpServer, ServerLimits};
pub(crate) use shard_router::ShardRouter;
