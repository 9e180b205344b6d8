//! Tests of a host's components against an in-memory store.

mod claims;
mod commits;
mod config_freshness;
mod events;
mod explain;
mod fake_store;
mod forwarding;
mod notices;
mod owners;
mod relay;
mod settings;
mod submissions;
mod waiting_counts;
mod work_meter;
