//! Border types of lagoonnotch.
//!
//! Callers, operators, upstreams and the platform exchange JSON whose shapes are fixed by the
//! schemas in `schemas/`. This crate holds the Rust types generated from them, and the schemas
//! themselves for checks that report every finding.
//!
//! - [`caller`]: the API for callers
//! - [`document`]: the approved document
//! - [`settings`]: the daemon's settings
//! - [`store`]: the platform's key-value service
//! - [`upstream`]: upstreams and the platform's host list

mod generated;
mod schema;

pub use generated::{caller, document, settings, store, upstream};
pub use schema::{CALLER_SCHEMA, DOCUMENT_SCHEMA, SETTINGS_SCHEMA};
