//! Allotments of team limits.
//!
//! An allotment grows only after the store has confirmed it, and shrinks before the store is told.

use lagoonnotch_wire::store::{StoreCall, StoreEntry, StoreReply};
use lagoonnotch_wire::upstream::{TaskAction, TaskOrder};

use crate::event::EventCode;
use crate::limit::LimitRecord;
use crate::model::{AttemptId, ResourceSize, ShardName, TeamName, UpstreamName};
use crate::shard::effect_desk::CallPurpose;
use crate::shard::messages::{AllotmentShortage, CallFailure};
use crate::shard::owner::team_entry::TeamEntry;
use crate::shard::owner::{OwnerState, StepContext};

/// Part of a limit that a shard takes at first, over the number of shards.
const FIRST_PART: u64 = 2;

/// Time between two calls about the record of one team, in milliseconds.
const CALL_SPACING_MS: u64 = 100;

/// Time for which a grown allotment stays whole, in milliseconds.
const GROWN_KEPT_MS: u64 = 2000;

/// Difference up to which two waits count as equally long, in milliseconds.
const SAME_WAIT_MS: u64 = 2000;

/// An approved limit and the revision that set it.
#[derive(Clone, Copy, Debug)]
struct TeamTarget {
    limit: ResourceSize,
    revision: u64,
}

impl OwnerState {
    /// Grows, shrinks and confirms the allotments that need it.
    pub(super) fn tend_allotments(&mut self, context: &mut StepContext<'_>) {
        let teams: Vec<TeamName> = context.config.teams.keys().cloned().collect();
        for team in teams {
            self.tend_team(context, &team);
        }
    }

    fn tend_team(&mut self, context: &mut StepContext<'_>, team: &TeamName) {
        let Some(target) = team_target(context, team) else {
            return;
        };
        let shard = &context.identity.shard;
        let shards = context.peers.shard_count.max(1);
        let entry = self.teams.entry(team.clone()).or_default();
        if entry.busy || context.now_ms < entry.next_call_ms {
            return;
        }
        let mut record = entry.record.clone();
        record.set_limit(target.limit, target.revision);
        let want = context.peers.shortages.get(team);
        let kept = entry.kept(context.now_ms, &record, shard, want);
        entry.allotment = entry.allotment.min(&kept);
        let stopping = !entry.running.fits(&entry.allotment);
        if !stopping {
            record.shrink(shard, &entry.allotment);
        }
        if !entry.confirmed {
            let first = target.limit.divided_by(FIRST_PART * shards);
            entry.wanted = entry.wanted.max(&first);
        }
        let lacking = entry.wanted.saturating_sub(&entry.allotment);
        let yields = want.is_some_and(|want| entry.yields_to(shard, want));
        if !stopping && !yields && lacking != ResourceSize::ZERO {
            record.grow(shard, &lacking);
        }
        record.confirm(shard, self.epoch);
        if record != entry.record {
            write_limit(context, team, entry, &record);
        } else if lacking != ResourceSize::ZERO {
            read_limit(context, team, entry);
        }
        if stopping {
            self.stop_excess(team);
        }
    }

    /// Takes the answer to a write of a team's record.
    pub(super) fn limit_written(
        &mut self,
        context: &mut StepContext<'_>,
        team: &TeamName,
        result: &Result<StoreReply, CallFailure>,
    ) {
        let Some(entry) = self.teams.get_mut(team) else {
            return;
        };
        entry.busy = false;
        match result {
            Ok(StoreReply::Written { revision }) => {
                let record = std::mem::take(&mut entry.written);
                self.take_confirmed(context, team, record, *revision);
            }
            Ok(StoreReply::Conflict { entry: found }) => {
                self.take_limit_entry(context, team, found.as_ref());
            }
            _ => read_limit(context, team, entry),
        }
    }

    /// Takes a team's record as it stands in the store.
    pub(super) fn limit_read(
        &mut self,
        context: &mut StepContext<'_>,
        team: &TeamName,
        result: &Result<StoreReply, CallFailure>,
    ) {
        let Some(entry) = self.teams.get_mut(team) else {
            return;
        };
        entry.busy = false;
        match result {
            Ok(StoreReply::Value { entry: found }) => {
                self.take_limit_entry(context, team, found.as_ref());
            }
            _ => entry.next_call_ms = context.now_ms + context.timing.store_retry_ms,
        }
    }

    /// Takes over a record that may have been written by any owner.
    pub(super) fn take_limit_entry(
        &mut self,
        context: &mut StepContext<'_>,
        team: &TeamName,
        found: Option<&StoreEntry>,
    ) {
        let record = found.and_then(|found| serde_json::from_str::<LimitRecord>(&found.value).ok());
        let record = record.unwrap_or_default();
        let revision = found.map_or(0, |found| found.revision);
        let ours = record
            .shards
            .get(&context.identity.shard)
            .is_some_and(|allotment| allotment.epoch == self.epoch);
        if ours {
            self.take_confirmed(context, team, record, revision);
            return;
        }
        let entry = self.teams.entry(team.clone()).or_default();
        entry.confirmed = false;
        entry.set_record(&context.identity.shard, record, revision);
    }

    /// Takes over a record that holds a write of this owner.
    fn take_confirmed(
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
            entry.kept_until_ms = context.now_ms + GROWN_KEPT_MS;
        }
        entry.set_record(&context.identity.shard, record, revision);
        if entry.wanted.fits(&entry.allotment) {
            entry.wanted = ResourceSize::ZERO;
        }
        let detail = format!(
            "team {team} may have {:?} in {}",
            entry.allotment, context.identity.shard
        );
        context.desk.event(EventCode::AllotmentChanged, detail);
        self.dirty = true;
    }

    /// Has the newest attempts of a team stopped until the rest fits its allotment.
    fn stop_excess(&mut self, team: &TeamName) {
        let Some(usage) = self.teams.get(team) else {
            return;
        };
        let (mut running, allotment) = (usage.running, usage.allotment);
        let mut stopped = Vec::new();
        let mut attempts = self.stoppable_attempts(team);
        attempts.sort_by_key(|candidate| std::cmp::Reverse(candidate.attempt.number));
        for candidate in attempts {
            if running.fits(&allotment) {
                break;
            }
            running = running.saturating_sub(&candidate.size);
            stopped.push(candidate);
        }
        for candidate in stopped {
            let task = candidate.attempt.task.to_string();
            let order = TaskOrder {
                task,
                attempt: candidate.attempt.number,
                action: TaskAction::Stop,
            };
            self.push_order(&candidate.upstream, order);
        }
    }

    /// Returns the attempts of a team that may be stopped and started again later.
    fn stoppable_attempts(&self, team: &TeamName) -> Vec<StopCandidate> {
        let mut candidates = Vec::new();
        for (name, entry) in &self.upstreams {
            for (attempt, booking) in entry
                .bookings
                .iter()
                .filter(|(_, booking)| booking.team == *team)
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
                        size: booking.size,
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
    /// Returns the most that the shard keeps: less under a lowered limit, and less while another
    /// shard lacks allotment.
    ///
    /// A shard that has enough gives half of what is idle. A shard that lacks allotment itself
    /// gives everything idle to work that has waited longer, so that two shards which each hold a
    /// part of what they need do not wait for each other.
    fn kept(
        &self,
        now_ms: u64,
        record: &LimitRecord,
        shard: &ShardName,
        want: Option<&AllotmentShortage>,
    ) -> ResourceSize {
        let lowered = record.scaled_allotment(shard);
        let idle = self.allotment.saturating_sub(&self.running);
        match want {
            Some(want) if self.yields_to(shard, want) => lowered.min(&self.running),
            Some(_) if self.confirmed && !self.lacks() && now_ms >= self.kept_until_ms => {
                lowered.min(&(self.running + idle.divided_by(2)))
            }
            _ => lowered,
        }
    }

    /// Tells whether another shard's work goes before the work that lacks allotment here.
    fn yields_to(&self, shard: &ShardName, want: &AllotmentShortage) -> bool {
        let Some(since_ms) = self
            .wanted_since_ms
            .filter(|_| self.confirmed && self.lacks())
        else {
            return false;
        };
        if since_ms.abs_diff(want.since_ms) <= SAME_WAIT_MS {
            want.shard < *shard
        } else {
            want.since_ms < since_ms
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
    entry.busy = true;
    entry.written = record.clone();
    entry.next_call_ms = context.now_ms + CALL_SPACING_MS;
    let request = StoreCall::Put {
        key: LimitRecord::key(team),
        value: serde_json::to_string(record).expect("record has a JSON form"),
        expect: entry.revision,
        lease: None,
    };
    context
        .desk
        .call_store(request, CallPurpose::WriteLimit { team: team.clone() });
}

fn read_limit(context: &mut StepContext<'_>, team: &TeamName, entry: &mut TeamEntry) {
    entry.busy = true;
    entry.next_call_ms = context.now_ms + context.timing.renew_ms;
    let request = StoreCall::Get {
        key: LimitRecord::key(team),
    };
    context
        .desk
        .call_store(request, CallPurpose::ReadLimit { team: team.clone() });
}
