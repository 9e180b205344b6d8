//! Clocks of the host.

mod host_clock;

pub use host_clock::{now_ms, unix_ms};
