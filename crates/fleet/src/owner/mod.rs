//! The fleet owner: decides which tasks start on which upstreams, and tracks their runs.
//!
//! [`OwnerMachine`] is a state machine. Inputs change its state and produce [`OwnerEffect`]s; the
//! caller executes them and feeds their outcomes back as further inputs.
//!
//! Times without a suffix, such as `now`, `not_before` and names that end in `_at` or `_until`, are
//! milliseconds on the owner's boot-time clock. `unix_ms` is wall-clock time in milliseconds since
//! 1970.

mod advice_load;
mod commit_queue;
mod crash_suspects;
mod deferred_queries;
mod due_queue;
mod effect;
mod failure_streak;
mod finished_runs;
mod fleet_view;
mod gang_placement;
mod held_runs;
mod incarnation_check;
mod inventory;
mod order_outcome;
mod outdated_tickets;
mod owner_machine;
mod owner_settings;
mod placement;
mod placement_schedule;
mod planned_start;
mod policy_queries;
mod preemption;
mod quarantine;
mod query_answer;
mod query_dispatcher;
mod query_usage;
mod ready_list;
mod recovery;
mod run_progress;
mod schedule;
mod slot_claims;
mod stop_reason;
mod submission_end;
mod submission_entry;
mod team_deferral;
mod team_headroom;
mod team_shares;
mod tick;
mod token_bucket;
mod upstream_entry;

pub use advice_load::{AdviceLoad, QueryHostCounts, TicketWaits};
pub use commit_queue::{CommitBatch, CommitOutcome, EndedSubmission};
pub use effect::{
    CrashReport, IncarnationReport, MissingFinishedRuns, OwnerEffect, QuarantineReason,
    QuarantineReport, QueryOrder, RenewOrder, RestartReport, RetryDelayReport, ShortenedQuarantine,
    StartOrder, StopOrder, UnlistedReport,
};
pub use held_runs::{HeldRuns, HeldRunsRelease, LeaseTerm, RecoveryBound, ReleaseCause};
pub use incarnation_check::DoubtReason;
pub use owner_machine::OwnerMachine;
pub use owner_settings::{EXTENDED_LEASE_BOUND_MS, OwnerSettings};
pub use query_dispatcher::{PolicyDecision, QueryOutcome};
pub use query_usage::{QueryCount, UsageCounts};
pub use recovery::{DepartedUpstream, LeaseBound, RecoveredState, RosterEntry, StoredSubmission};
pub use stop_reason::StopReason;
pub use team_deferral::{DeferralReport, RestoreReport};
pub use team_shares::{ResourceClaim, SharedResource, weighted_shares};
pub use token_bucket::TokenBucket;
