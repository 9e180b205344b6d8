//! Reconstruction of a submission's history from the logs of all hosts; the logs carry its
//! identifier in the field `request`.

mod request_timeline;

pub use request_timeline::{RequestTimeline, TimelineEntry, build_timeline};
