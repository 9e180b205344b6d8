//! Judgement of what upstreams ran.

mod run_checker;

pub use run_checker::{RunChecker, RunViolations};
