//! Guarantees of the system, checked on random scenarios.
//!
//! Several owners, a model of the store and a few models of upstreams run in virtual time. The
//! checks use the records of runs that the upstreams keep. `PROPTEST_CASES` sets the number of
//! scenarios. The prefix `promise_` marks tests of guarantees given to users.

mod caller_work;
mod callers;
mod scenario;
mod scenario_config;
mod shard_promises;
mod simulation;
mod simulation_faults;
mod two_faults;
