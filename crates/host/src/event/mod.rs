//! Numbered log events, one JSON object per line.

mod event_limiter;
mod fleet_event;

pub use fleet_event::{FleetEvent, set_host};
