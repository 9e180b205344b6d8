//! Numbered events, written as one JSON object a line.

mod event_limiter;
mod fleet_event;

pub use fleet_event::{FleetEvent, set_host};
