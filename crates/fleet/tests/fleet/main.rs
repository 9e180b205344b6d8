//! Tests of the owner's decisions in virtual time.

mod advice;
mod commits;
mod fixtures;
mod promises;
mod recovery;
mod scheduling;
mod world;
mod world_checks;
