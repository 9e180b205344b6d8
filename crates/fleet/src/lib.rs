//! Scheduling decisions for a fleet of upstreams.
//!
//! This crate performs no I/O and has no clock, threads or random source of its own: the caller
//! passes the current time with each input and executes the resulting effects.

pub mod model;
pub mod owner;
