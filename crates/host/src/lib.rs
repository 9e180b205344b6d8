//! An entry host of the fleet scheduler. It accepts callers' requests, schedules the fleet while it
//! is the owner, and supports the owner otherwise.
//!
//! Access to the platform is injected as a [`ports::PlatformPorts`], a struct of closures.

pub mod clock;
pub mod control;
pub mod daemon;
pub mod entry;
pub mod event;
pub mod explain;
pub mod forward;
pub mod http;
pub mod metrics;
pub mod ownership;
pub mod peer;
pub mod ports;
pub mod settings;
pub mod store;
