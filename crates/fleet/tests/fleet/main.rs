//! Tests of the owner's decisions in simulated time.

mod advice;
mod capacity;
mod commits;
mod crashes;
mod departures;
mod exclusions;
mod fixtures;
mod former_incarnations;
mod gangs;
mod held_runs;
mod inherited_runs;
mod invariant_checks;
mod inventory;
mod large_fleet;
mod late_orders;
mod lease_expiry;
mod lost_owner;
mod promises;
mod quarantine;
mod recorded_histories;
mod recovery;
mod restart_histories;
mod restarted_upstreams;
mod scheduling;
mod simulation;
mod ticks;
