//! Checks of the runs that upstreams recorded.

mod run_checker;

pub use run_checker::{RunChecker, RunViolations};
