//! Tests of a host's components against an in-memory store.

mod accepted_positions;
mod api_keys;
mod claims;
mod commits;
mod config_freshness;
mod departures;
mod events;
mod explain;
mod fake_store;
mod finished_runs;
mod fixtures;
mod forwarding;
mod held_runs;
mod incomplete_counts;
mod lease_extension;
mod notices;
mod owners;
mod peer_messages;
mod rejected_tokens;
mod relay;
mod repeated_submissions;
mod revisions;
mod settings;
mod submissions;
mod waiting_counts;
mod work_meter;
