//! Tests of the owner's decisions in simulated time.

mod commits;
mod fixtures;
mod invariant_checks;
mod policy_queries;
mod promises;
mod recovery;
mod scheduling;
mod simulation;
