//! The promises of the system, checked on random histories.
//!
//! Several owners, one store model and a few upstream models run in virtual time; the upstreams'
//! records are the judges. `PROPTEST_CASES` sets the number of histories.

mod callers;
mod cell_config;
mod entry_model;
mod history;
mod shard_promises;
mod two_faults;
mod world;
mod world_faults;
