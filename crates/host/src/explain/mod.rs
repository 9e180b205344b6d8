//! Reconstruction of a request's history from the logs of all hosts.

mod request_timeline;

pub use request_timeline::{RequestTimeline, TimelineEntry, build_timeline};
