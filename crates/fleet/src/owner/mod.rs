//! The owner: decides what starts where, and what is known of it.
//!
//! [`OwnerMachine`] is a state machine. Inputs change it and leave [`OwnerEffect`]s, which the
//! caller carries out and answers with further inputs.

mod advice_desk;
mod cancellation;
mod commit_queue;
mod effect;
mod fleet_view;
mod inventory;
mod order_outcome;
mod owner_machine;
mod owner_settings;
mod placement;
mod planned_start;
mod preemption;
mod question;
mod ready_list;
mod recovery;
mod run_pace;
mod schedule;
mod submission_entry;
mod team_room;
mod upkeep;
mod upstream_entry;

pub use advice_desk::{PolicyDecision, QueryOutcome};
pub use commit_queue::{CommitBatch, CommitOutcome, EndedSubmission};
pub use effect::{OwnerEffect, QueryOrder, RenewOrder, StartOrder, StopOrder};
pub use owner_machine::OwnerMachine;
pub use owner_settings::OwnerSettings;
pub use recovery::{RecoveredState, RosterEntry, StoredSubmission};
