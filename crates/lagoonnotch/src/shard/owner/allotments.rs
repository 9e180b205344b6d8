//! The shard's allotments: its parts of the teams' limits.
//!
//! An allotment grows only after the store has confirmed the larger record, and shrinks here before
//! the smaller record is written.

use lagoonnotch_wire::store::{StoreCall, StoreEntry, StoreReply};
use lagoonnotch_wire::upstream::{TaskAction, TaskOrder};

use crate::event::EventCode;
use crate::limit::LimitRecord;
use crate::model::{AttemptId, ResourceSize, ShardName, TeamName, UpstreamName};
use crate::shard::effect_buffer::CallPurpose;
use crate::shard::messages::{AllotmentShortage, CallFailure};
use crate::shard::owner::team_entry::TeamEntry;
use crate::shard::owner::{OwnerState, StepContext};

/// Divisor of the limit for a shard's initial allotment, which is `limit / (divisor * shards)`.
const INITIAL_SHARE_DIVISOR: u64 = 2;

/// Minimum interval between two store calls about the record of one team, in milliseconds.
const MIN_CALL_INTERVAL_MS: u64 = 100;

/// Time for which a grown allotment does not shrink for other shards, in milliseconds, so that the
/// waiting work can use it first.
const GROWTH_HOLD_MS: u64 = 2000;

/// Difference up to which two waits count as equal, in milliseconds. The wait of another shard is
/// known only through gossip, whose delay makes it inexact.
const EQUAL_WAIT_TOLERANCE_MS: u64 = 2000;

/// Approved limit of a team, and the document revision that set it.
#[derive(Clone, Copy, Debug)]
struct TeamTarget {
    limit: ResourceSize,
    revision: u64,
}

impl OwnerState {
    /// Grows, shrinks and confirms the allotments of all teams as needed.
    pub(super) fn update_allotments(&mut self, context: &mut StepContext<'_>) {
        let teams: Vec<TeamName> = context.config.teams.keys().cloned().collect();
        for team in teams {
            self.update_team_allotment(context, &team);
        }
    }

    fn update_team_allotment(&mut self, context: &mut StepContext<'_>, team: &TeamName) {
        let Some(target) = team_target(context, team) else {
            return;
        };
        let shard = &context.identity.shard;
        let shards = context.peer_view.shard_count.max(1);
        let entry = self.teams.entry(team.clone()).or_default();
        if entry.call_pending || context.now_ms < entry.next_call_ms {
            return;
        }
        let mut record = entry.record.clone();
        record.set_limit(target.limit, target.revision);
        let shortage = context.peer_view.shortages.get(team);
        let retained = entry.retained_allotment(context.now_ms, &record, shard, shortage);
        entry.allotment = entry.allotment.min(&retained);
        let over_allotment = !entry.reserved.fits(&entry.allotment);
        if !over_allotment {
            record.shrink(shard, &entry.allotment);
        }
        if !entry.confirmed {
            let initial = target.limit.divided_by(INITIAL_SHARE_DIVISOR * shards);
            entry.required = entry.required.max(&initial);
        }
        let missing = entry.required.saturating_sub(&entry.allotment);
        let yields = shortage.is_some_and(|shortage| entry.yields_to(shard, shortage));
        if !over_allotment && !yields && missing != ResourceSize::ZERO {
            record.grow(shard, &missing);
        }
        record.confirm(shard, self.epoch);
        if record != entry.record {
            write_limit(context, team, entry, &record);
        } else if missing != ResourceSize::ZERO {
            read_limit(context, team, entry);
        }
        if over_allotment {
            self.stop_excess(team);
        }
    }

    /// Handles the result of a write of a team's record.
    pub(super) fn handle_limit_write(
        &mut self,
        context: &mut StepContext<'_>,
        team: &TeamName,
        result: &Result<StoreReply, CallFailure>,
    ) {
        let Some(entry) = self.teams.get_mut(team) else {
            return;
        };
        entry.call_pending = false;
        match result {
            Ok(StoreReply::Written { revision }) => {
                let record = std::mem::take(&mut entry.pending_record);
                self.apply_confirmed_record(context, team, record, *revision);
            }
            Ok(StoreReply::Conflict { entry: found }) => {
                self.apply_stored_record(context, team, found.as_ref());
            }
            _ => read_limit(context, team, entry),
        }
    }

    /// Handles the result of a read of a team's record.
    pub(super) fn handle_limit_read(
        &mut self,
        context: &mut StepContext<'_>,
        team: &TeamName,
        result: &Result<StoreReply, CallFailure>,
    ) {
        let Some(entry) = self.teams.get_mut(team) else {
            return;
        };
        entry.call_pending = false;
        match result {
            Ok(StoreReply::Value { entry: found }) => {
                self.apply_stored_record(context, team, found.as_ref());
            }
            _ => entry.next_call_ms = context.now_ms + context.timing.store_retry_delay_ms,
        }
    }

    /// Applies a stored record that any owner may have written.
    pub(super) fn apply_stored_record(
        &mut self,
        context: &mut StepContext<'_>,
        team: &TeamName,
        found: Option<&StoreEntry>,
    ) {
        let record = found.and_then(|found| serde_json::from_str::<LimitRecord>(&found.value).ok());
        let record = record.unwrap_or_default();
        let revision = found.map_or(0, |found| found.revision);
        let is_own = record
            .shards
            .get(&context.identity.shard)
            .is_some_and(|allotment| allotment.epoch == self.epoch);
        if is_own {
            self.apply_confirmed_record(context, team, record, revision);
            return;
        }
        let entry = self.teams.entry(team.clone()).or_default();
        entry.confirmed = false;
        entry.set_record(&context.identity.shard, record, revision);
    }

    /// Applies a record that contains a write of this owner.
    fn apply_confirmed_record(
        &mut self,
        context: &mut StepContext<'_>,
        team: &TeamName,
        record: LimitRecord,
        revision: u64,
    ) {
        let entry = self.teams.entry(team.clone()).or_default();
        entry.confirmed = true;
        if !record
            .allotment(&context.identity.shard)
            .fits(&entry.allotment)
        {
            entry.no_shrink_until_ms = context.now_ms + GROWTH_HOLD_MS;
        }
        entry.set_record(&context.identity.shard, record, revision);
        if entry.required.fits(&entry.allotment) {
            entry.required = ResourceSize::ZERO;
        }
        let detail = format!(
            "team {team} has an allotment of {:?} in shard {}",
            entry.allotment, context.identity.shard
        );
        context
            .effects
            .log_event(EventCode::AllotmentChanged, detail);
        self.dispatch_needed = true;
    }

    /// Orders the newest attempts of a team to stop until the rest fits its allotment.
    fn stop_excess(&mut self, team: &TeamName) {
        let Some(usage) = self.teams.get(team) else {
            return;
        };
        let (mut reserved, allotment) = (usage.reserved, usage.allotment);
        let mut to_stop = Vec::new();
        let mut attempts = self.stoppable_attempts(team);
        attempts.sort_by_key(|candidate| std::cmp::Reverse(candidate.attempt.number));
        for candidate in attempts {
            if reserved.fits(&allotment) {
                break;
            }
            reserved = reserved.saturating_sub(&candidate.size);
            to_stop.push(candidate);
        }
        for candidate in to_stop {
            let task = candidate.attempt.task.to_string();
            let order = TaskOrder {
                task,
                attempt: candidate.attempt.number,
                action: TaskAction::Stop,
            };
            self.push_order(&candidate.upstream, order);
        }
    }

    /// Returns the attempts of a team that may be stopped, because their work is idempotent and can
    /// run again.
    fn stoppable_attempts(&self, team: &TeamName) -> Vec<StopCandidate> {
        let mut candidates = Vec::new();
        for (name, entry) in &self.upstreams {
            for (attempt, reservation) in entry
                .reservations
                .iter()
                .filter(|(_, reservation)| reservation.team == *team)
            {
                let idempotent = self
                    .works
                    .get(&attempt.task.work)
                    .is_some_and(|work| work.accepted.idempotent);
                if idempotent {
                    let upstream = name.clone();
                    candidates.push(StopCandidate {
                        upstream,
                        attempt: attempt.clone(),
                        size: reservation.size,
                    });
                }
            }
        }
        candidates
    }
}

/// An attempt that may be stopped.
#[derive(Clone, Debug)]
struct StopCandidate {
    upstream: UpstreamName,
    attempt: AttemptId,
    size: ResourceSize,
}

impl TeamEntry {
    /// Returns the largest allotment that the shard may keep. It is below the current allotment if
    /// the limit was lowered or if another shard lacks allotment.
    ///
    /// A shard that has enough gives up half of its idle allotment. A shard that lacks allotment
    /// itself gives up all idle allotment to work that has waited longer. Otherwise two shards that
    /// each hold a part of what they need could wait for each other forever.
    fn retained_allotment(
        &self,
        now_ms: u64,
        record: &LimitRecord,
        shard: &ShardName,
        shortage: Option<&AllotmentShortage>,
    ) -> ResourceSize {
        let lowered = record.scaled_allotment(shard);
        let idle = self.allotment.saturating_sub(&self.reserved);
        match shortage {
            Some(shortage) if self.yields_to(shard, shortage) => lowered.min(&self.reserved),
            Some(_) if self.confirmed && !self.is_short() && now_ms >= self.no_shrink_until_ms => {
                lowered.min(&(self.reserved + idle.divided_by(2)))
            }
            _ => lowered,
        }
    }

    /// Returns whether work of another shard takes precedence over the local work that lacks
    /// allotment. Longer waits take precedence, and shard names break ties.
    fn yields_to(&self, shard: &ShardName, shortage: &AllotmentShortage) -> bool {
        let Some(since_ms) = self
            .short_since_ms
            .filter(|_| self.confirmed && self.is_short())
        else {
            return false;
        };
        if since_ms.abs_diff(shortage.since_ms) <= EQUAL_WAIT_TOLERANCE_MS {
            shortage.shard < *shard
        } else {
            shortage.since_ms < since_ms
        }
    }
}

fn team_target(context: &StepContext<'_>, team: &TeamName) -> Option<TeamTarget> {
    let limit = context.config.teams.get(team)?.limit;
    let revision = context
        .config
        .section_revisions
        .get(format!("team/{team}").as_str())
        .copied()?;
    Some(TeamTarget { limit, revision })
}

fn write_limit(
    context: &mut StepContext<'_>,
    team: &TeamName,
    entry: &mut TeamEntry,
    record: &LimitRecord,
) {
    entry.call_pending = true;
    entry.pending_record = record.clone();
    entry.next_call_ms = context.now_ms + MIN_CALL_INTERVAL_MS;
    let request = StoreCall::Put {
        key: LimitRecord::key(team),
        value: serde_json::to_string(record).expect("the record serializes to JSON"),
        expect: entry.revision,
        lease: None,
    };
    context
        .effects
        .call_store(request, CallPurpose::WriteLimit { team: team.clone() });
}

fn read_limit(context: &mut StepContext<'_>, team: &TeamName, entry: &mut TeamEntry) {
    entry.call_pending = true;
    // A record that cannot grow is read again at the interval of upstream renewals.
    entry.next_call_ms = context.now_ms + context.timing.upstream_renew_interval_ms;
    let request = StoreCall::Get {
        key: LimitRecord::key(team),
    };
    context
        .effects
        .call_store(request, CallPurpose::ReadLimit { team: team.clone() });
}
