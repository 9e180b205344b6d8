//! Types of the JSON that lagoonnotch exchanges with other systems.
//!
//! The schemas in `schemas/` define the JSON that callers, operators, upstreams and the platform
//! send and receive. This crate provides the Rust types generated from them, and the schemas
//! themselves, against which input is validated so that every error is reported.
//!
//! - [`caller`]: the API for callers
//! - [`document`]: the approved configuration document
//! - [`settings`]: the daemon's settings
//! - [`store`]: the platform's key-value store
//! - [`upstream`]: messages to and from upstreams, and the platform's list of upstream hosts

mod generated;
mod schema;

pub use generated::{caller, document, settings, store, upstream};
pub use schema::{CALLER_SCHEMA, DOCUMENT_SCHEMA, SETTINGS_SCHEMA};
