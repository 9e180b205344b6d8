//! Tests of a host's parts against a fake store.

mod commits;
mod config_freshness;
mod events;
mod explain;
mod fake_store;
mod owners;
mod relay;
mod settings;
mod submissions;
