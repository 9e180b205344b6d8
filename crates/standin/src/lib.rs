//! Small stand-ins for the platform, so that tests and the local cell need no outside system.
//!
//! The models are pure: they take the current time as an argument and hold no socket. The
//! servers put the models behind HTTP with JSON.
//!
//! - [`StoreModel`] and [`StoreServer`]: the key-value service
//! - [`UpstreamModel`] and [`UpstreamServer`]: a host that runs tasks under leases
//! - [`PlatformCell`]: a deployment's store, host list and upstreams in one process
//! - [`RunRecord`]: what an upstream ran
//! - [`RunChecker`]: finds runs that must not have happened

mod checker;
mod clock;
mod http;
mod platform;
mod store;
mod upstream;

pub use checker::{RunChecker, RunViolations};
pub use clock::MonotonicClock;
pub use platform::{CellProfile, PlatformCell, UpstreamGroup};
pub use store::{StoreCounts, StoreFaults, StoreModel, StoreServer};
pub use upstream::{RunHistory, RunRecord, TaskAnswer, UpstreamModel, UpstreamServer};
