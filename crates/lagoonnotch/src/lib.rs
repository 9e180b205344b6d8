//! Cluster scheduler for unlike workloads, steered only by approved documents.
//!
//! A request passes the modules in this order:
//!
//! - [`entry`] — the API for callers and operators
//! - [`admission`] — keys, queues and the retry budget
//! - [`shard`] — ownership, placement and recovery as a pure state machine
//! - [`journal`] — what lasts of a shard's works
//! - [`limit`] — upper limits of teams
//! - [`queue`] — waiting work
//! - [`placement`] — choice of an upstream
//!
//! Beside them stand:
//!
//! - [`document`] — the approved document and the configuration it forms
//! - [`settings`] — settings of the daemon
//! - [`finding`] — faults of an input, reported together
//! - [`model`] — names, sizes and identifiers
//! - [`chart`] — state charts
//! - [`event`] — numbered events of the log
//! - [`peer`] — the other entry hosts
//! - [`store`] — the platform's key-value service
//! - [`dispatch`] — calls to upstreams
//! - [`metrics`] — metrics for Prometheus
//! - [`problem`] — errors for callers
//! - [`daemon`] — the control thread and the traffic runtime

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
