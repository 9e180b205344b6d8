//! Placement of waiting tasks, and the start of their attempts.

use std::collections::BTreeSet;
use std::sync::Arc;

use lagoonnotch_wire::upstream::{StartCall, StartTicket};

use crate::document::WorkClass;
use crate::journal::JournalRecord;
use crate::model::{AttemptId, ResourceSize, TaskId, TeamName, UpstreamName, WorkId};
use crate::queue::WaitingEntry;
use crate::shard::effect_buffer::CallPurpose;
use crate::shard::messages::{AttemptTicket, ShardReply, UpstreamCall};
use crate::shard::owner::commits::FollowUp;
use crate::shard::owner::upstream_entry::Reservation;
use crate::shard::owner::work_entry::{AttemptPlacement, TaskEvent, TaskPhase};
use crate::shard::owner::{OwnerState, StepContext};

/// Maximum number of entries that one step places; the rest waits for the next step.
const MAX_PLACED_PER_STEP: usize = 256;

/// Maximum number of entries of one team that are tried before the team is skipped.
const BACKFILL_DEPTH: usize = 16;

impl OwnerState {
    /// Places waiting tasks: the most urgent class first, and within a class the team with the
    /// smallest weighted dominant share.
    pub(super) fn dispatch(&mut self, context: &mut StepContext<'_>) {
        self.dispatch_needed = false;
        self.reset_shortages();
        let mut placed = 0;
        for class in WorkClass::ALL {
            let mut skipped = BTreeSet::new();
            while let Some(team) = self.next_team(context, class, &skipped) {
                if placed >= MAX_PLACED_PER_STEP {
                    self.dispatch_needed = true;
                    return;
                }
                if self.place_next(context, class, &team) {
                    placed += 1;
                } else {
                    skipped.insert(team);
                }
            }
        }
    }

    /// Clears the recorded shortages; the pass over the queue records them again.
    fn reset_shortages(&mut self) {
        for entry in self.teams.values_mut().filter(|entry| entry.confirmed) {
            entry.required = ResourceSize::ZERO;
            entry.short_since_ms = None;
        }
    }

    /// Returns the waiting team with the smallest weighted dominant share.
    fn next_team(
        &self,
        context: &StepContext<'_>,
        class: WorkClass,
        skipped: &BTreeSet<TeamName>,
    ) -> Option<TeamName> {
        let waiting = self
            .queue
            .teams(class)
            .filter(|team| !skipped.contains(*team));
        let total = self.total_capacity;
        let least = waiting.min_by(|left, right| {
            let left = self.weighted_share(context, left, &total);
            left.total_cmp(&self.weighted_share(context, right, &total))
        });
        least.cloned()
    }

    fn weighted_share(
        &self,
        context: &StepContext<'_>,
        team: &TeamName,
        total: &ResourceSize,
    ) -> f64 {
        let here = self
            .teams
            .get(team)
            .map_or(ResourceSize::ZERO, |entry| entry.reserved);
        let elsewhere = context
            .peer_view
            .remote_usage
            .get(team)
            .copied()
            .unwrap_or_default();
        let weight = context
            .config
            .teams
            .get(team)
            .map_or(1, |policy| policy.share);
        (here + elsewhere).dominant_share(total) / f64::from(weight.max(1))
    }

    /// Places the first entry of a team that fits. Returns whether one did.
    fn place_next(
        &mut self,
        context: &mut StepContext<'_>,
        class: WorkClass,
        team: &TeamName,
    ) -> bool {
        let entries = self.queue.first(class, team, BACKFILL_DEPTH);
        entries
            .iter()
            .any(|entry| self.place_entry(context, team, entry))
    }

    fn place_entry(
        &mut self,
        context: &mut StepContext<'_>,
        team: &TeamName,
        entry: &WaitingEntry,
    ) -> bool {
        let needed = entry.size.saturating_mul(u64::from(entry.count));
        let usage = self.teams.entry(team.clone()).or_default();
        if !needed.fits(&usage.headroom()) {
            usage.record_shortage(&needed, entry.since_ms);
            return false;
        }
        let Some(placements) = self.find_upstreams(&entry.size, entry.count) else {
            return false;
        };
        self.queue.remove(&entry.task);
        for (offset, upstream) in (0..entry.count).zip(placements) {
            let index = entry.task.index + offset;
            let task = TaskId {
                work: entry.task.work.clone(),
                index,
            };
            self.place_task(context, &task, &upstream);
        }
        true
    }

    /// Returns an upstream for each of `count` tasks of equal size, or none if they do not all fit.
    fn find_upstreams(&mut self, size: &ResourceSize, count: u32) -> Option<Vec<UpstreamName>> {
        let mut placements = Vec::new();
        for _ in 0..count {
            let Some(upstream) = self.capacity_index.best_fit(size) else {
                break;
            };
            let taken = placements
                .iter()
                .filter(|placement| **placement == upstream)
                .count() as u64
                + 1;
            let free = self.upstreams[&upstream]
                .free()
                .saturating_sub(&size.saturating_mul(taken));
            self.capacity_index.set(&upstream, free);
            placements.push(upstream);
        }
        for upstream in &placements {
            self.reindex(upstream);
        }
        (placements.len() == count as usize).then_some(placements)
    }

    /// Places a task on an upstream. If the attempt has to be journaled, it starts only after its
    /// intent is committed.
    fn place_task(
        &mut self,
        context: &mut StepContext<'_>,
        task: &TaskId,
        upstream: &UpstreamName,
    ) {
        let Some(fence) = self
            .upstreams
            .get(upstream)
            .and_then(|entry| entry.fence.clone())
        else {
            return;
        };
        self.attempt_count += 1;
        let attempt = AttemptId {
            task: task.clone(),
            number: AttemptId::number_for(self.epoch, self.attempt_count),
        };
        let Some(work) = self.works.get_mut(&task.work) else {
            return;
        };
        if !work
            .task(task.index)
            .is_some_and(|entry| entry.advance(TaskEvent::Place))
        {
            return;
        }
        let needs_journal = work.needs_journal();
        let reservation = Reservation {
            size: work.accepted.size,
            team: work.accepted.team.clone(),
            needs_journal,
        };
        let accepted = (needs_journal && !work.in_journal).then(|| work.accepted.clone());
        work.in_journal |= needs_journal;
        if let Some(entry) = work.task(task.index) {
            entry.attempt = Some(AttemptPlacement {
                number: attempt.number,
                upstream: upstream.clone(),
                incarnation: Arc::clone(&fence.incarnation),
                fence_number: fence.number,
                permitted_ms: context.now_ms,
                revoking: false,
            });
        }
        self.reserve(upstream, &attempt, reservation);
        if let Some(work) = accepted {
            self.append(JournalRecord::Accepted { work }, None);
        }
        if needs_journal {
            let record = JournalRecord::Intended {
                attempt: attempt.clone(),
                upstream: upstream.clone(),
                incarnation: fence.incarnation,
            };
            self.append(record, Some(FollowUp::Permit(attempt)));
        } else {
            self.start_attempt(context, &attempt);
        }
    }

    /// Sends a job's task to its upstream.
    pub(super) fn send_start(&mut self, context: &mut StepContext<'_>, attempt: &AttemptId) {
        let Some(issued) = self.ticket(context, &attempt.task, false) else {
            return;
        };
        let Some(work) = self.works.get(&attempt.task.work) else {
            return;
        };
        let payload = work.accepted.payload.to_string();
        let Some(upstream) = self.attempt_upstream(attempt) else {
            return;
        };
        let request = UpstreamCall::Start(StartCall {
            ticket: issued.ticket,
            payload,
        });
        let purpose = CallPurpose::Start {
            upstream,
            attempt: attempt.clone(),
        };
        context
            .effects
            .call_upstream(&issued.address, request, purpose);
    }

    /// Sends the ticket of a quick request to its first waiter. The ticket for the other waiters is
    /// marked as started, so that they fetch the same answer.
    pub(super) fn issue_tickets(&mut self, context: &mut StepContext<'_>, work: &WorkId) {
        let task = TaskId {
            work: work.clone(),
            index: 0,
        };
        let first = self.ticket(context, &task, false);
        let Some(entry) = self.works.get_mut(work) else {
            return;
        };
        let Some(mut ticket) = first else {
            return;
        };
        for command_id in entry.waiters.drain(..) {
            context
                .effects
                .reply(command_id, ShardReply::Ticket(ticket.clone()));
            ticket.started = true;
        }
    }

    /// Returns the ticket of a task's current attempt.
    pub(super) fn ticket(
        &self,
        context: &StepContext<'_>,
        task: &TaskId,
        started: bool,
    ) -> Option<AttemptTicket> {
        let work = self.works.get(&task.work)?;
        let entry = work.tasks.get(task.index as usize)?;
        let placement = entry.attempt.as_ref()?;
        let upstream = self.upstreams.get(&placement.upstream)?;
        let ticket = StartTicket {
            shard: context.identity.shard.to_string(),
            epoch: self.epoch,
            fence: placement.fence_number,
            incarnation: placement.incarnation.to_string(),
            task: task.to_string(),
            attempt: placement.number,
            team: work.accepted.team.to_string(),
            size: work.accepted.size.into(),
            lease_ms: context.timing.task_lease_ttl_ms,
        };
        Some(AttemptTicket {
            address: Arc::clone(&upstream.address),
            ticket,
            started,
        })
    }

    /// Revokes the attempts whose tickets were not used in time.
    pub(super) fn revoke_unused_tickets(&mut self, context: &mut StepContext<'_>) {
        let oldest_ms = context
            .now_ms
            .saturating_sub(context.timing.ticket_timeout_ms);
        let mut unused = Vec::new();
        for entry in self.upstreams.values().filter(|entry| !entry.is_silent()) {
            let tasks = entry.reservations.keys().map(|attempt| &attempt.task);
            unused.extend(
                tasks
                    .filter(|task| self.is_unused(task, oldest_ms))
                    .cloned(),
            );
        }
        for task in unused {
            self.revoke_attempt(context, &task);
        }
    }

    fn is_unused(&self, task: &TaskId, oldest_ms: u64) -> bool {
        let work = self.works.get(&task.work);
        let entry = work.and_then(|work| work.tasks.get(task.index as usize));
        entry.is_some_and(|entry| {
            let starting = entry.phase() == TaskPhase::Starting;
            starting
                && entry
                    .attempt
                    .as_ref()
                    .is_some_and(|placement| placement.permitted_ms <= oldest_ms)
        })
    }
}
