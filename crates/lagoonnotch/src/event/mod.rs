//! Numbered log events, listed in `docs/EVENTS.md`.

mod event_code;

pub use event_code::EventCode;
