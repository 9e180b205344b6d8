//! Cluster scheduler for mixed workloads, configured only through approved documents.
//!
//! A cell is the entry hosts and the upstreams that share one store.
//!
//! A request passes through the modules in this order:
//!
//! - [`entry`] — HTTP API for callers and operators
//! - [`admission`] — key checks, queue checks and the retry budget
//! - [`shard`] — ownership, placement and recovery as a pure state machine
//! - [`journal`] — durable record of a shard's work
//! - [`limit`] — resource limits of teams
//! - [`queue`] — tasks waiting for placement
//! - [`placement`] — selection of an upstream
//!
//! Supporting modules:
//!
//! - [`document`] — approved documents and the configuration built from them
//! - [`settings`] — daemon settings
//! - [`finding`] — validation errors of an input, reported together
//! - [`model`] — names, sizes and identifiers
//! - [`chart`] — state charts
//! - [`event`] — numbered log events
//! - [`peer`] — membership, gossip and calls between entry hosts
//! - [`store`] — client of the platform's key-value store
//! - [`dispatch`] — calls to upstreams
//! - [`metrics`] — Prometheus metrics
//! - [`problem`] — error responses for callers
//! - [`daemon`] — the control thread, and the runtime that serves requests

pub mod admission;
pub mod chart;
pub mod daemon;
pub mod dispatch;
pub mod document;
pub mod entry;
pub mod event;
pub mod finding;
pub mod journal;
pub mod limit;
pub mod metrics;
pub mod model;
pub mod peer;
pub mod placement;
pub mod problem;
pub mod queue;
pub mod settings;
pub mod shard;
pub mod store;
