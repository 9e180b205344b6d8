//! Numbered events of the log; `docs/EVENTS.md` is their catalogue.

mod event_code;

pub use event_code::EventCode;
