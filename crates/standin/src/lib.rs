//! Stand-ins for the platform, run in the test's process or as a separate one, so that tests and
//! local cells need no external system.
//!
//! A cell is the entry hosts and upstreams that share one store.
//!
//! The models are pure state machines: they take the current time as an argument and do no I/O.
//! The servers expose the models over HTTP with JSON bodies.
//!
//! - [`StoreModel`] and [`StoreServer`]: the key-value store
//! - [`UpstreamModel`] and [`UpstreamServer`]: an upstream that runs tasks under leases
//! - [`StandinPlatform`]: a cell's store, host list and upstreams in one process
//! - [`RunRecord`]: one run of a task attempt, as the upstream recorded it
//! - [`RunChecker`]: finds duplicate runs and exceeded capacities and limits

mod checker;
mod clock;
mod http;
mod platform;
mod store;
mod upstream;

pub use checker::{RunChecker, RunViolations};
pub use clock::MonotonicClock;
pub use platform::{PlatformProfile, StandinPlatform, UpstreamGroup};
pub use store::{StoreCounts, StoreFaults, StoreModel, StoreServer};
pub use upstream::{RunHistory, RunRecord, TaskAnswer, UpstreamModel, UpstreamServer};
