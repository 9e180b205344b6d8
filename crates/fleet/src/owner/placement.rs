//! Placement of tasks on upstreams.
//!
//! Steps may have many tasks or a single one, upstreams differ in size, and tickets may restrict
//! where a step runs. Upstreams are packed one after the other, fullest first, so that large tasks
//! and gangs find empty ones.

use std::collections::HashMap;
use std::sync::Arc;

use crate::model::{ResourceSize, StepSpec, SubmissionRecord};
use crate::owner::OwnerMachine;
use crate::owner::crash_suspects::SuspectPhase;
use crate::owner::fleet_view::{FleetView, PassPart, PoolView, UpstreamIndex, UpstreamView};
use crate::owner::ready_list::ReadyStep;
use crate::owner::submission_entry::{StepEntry, TaskPhase};

/// A step whose tasks are to be placed.
#[derive(Debug)]
pub(super) struct PlacementRequest {
    pub record: Arc<SubmissionRecord>,
    pub step: usize,
    /// Indexes of the tasks that may start now.
    pub startable: Vec<u32>,
    /// By task index, the upstreams of failed and stalled runs; they are used only if no other one
    /// has room.
    avoided_upstreams: HashMap<u32, Vec<Arc<str>>>,
    /// Time since which the longest-waiting task of the step has waited.
    pub waiting_since: u64,
    /// Number of the step's tasks on each upstream; counted only if the step limits it.
    placed_counts: HashMap<Arc<str>, u32>,
    /// Whether tasks of the step that keep failing are left to the end of the pass.
    pub has_yielding: bool,
    pub needs_ticket: bool,
    /// Attempt number shared by the members of a gang.
    pub gang_attempt: Option<u32>,
    /// Whether the tasks may have crashed an upstream and must run apart.
    pub isolation: Isolation,
}

/// Whether tasks must run on an upstream of their own.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Isolation {
    /// They may run anywhere.
    None,
    /// They must run together on one upstream without other runs.
    Strict,
    /// They must run together on one upstream, preferably without other runs.
    Preferred,
}

impl PlacementRequest {
    /// Returns the step's specification.
    pub fn spec(&self) -> &StepSpec {
        &self.record.steps[self.step]
    }

    /// Returns the resources that one task allocates on an upstream.
    pub fn allocation(&self) -> ResourceSize {
        self.spec().allocation()
    }

    /// Returns the demand of what must start together: one task or the whole gang.
    pub fn minimum_demand(&self) -> ResourceSize {
        let together = if self.spec().gang {
            self.spec().count
        } else {
            1
        };
        self.spec().demand.saturating_mul(u64::from(together))
    }

    /// Returns the submission's team.
    pub fn team(&self) -> Option<&Arc<str>> {
        self.record.team.as_ref()
    }

    /// Returns how many of a number of tasks may start with a headroom of their team.
    pub fn limit_to_headroom(&self, tasks: usize, headroom: &ResourceSize) -> usize {
        let allowed = headroom.slots_for(&self.spec().demand);
        tasks.min(usize::try_from(allowed).unwrap_or(usize::MAX))
    }

    /// Keeps at most this many of the startable tasks, unless all of a gang must start together.
    pub fn limit_tasks(&mut self, tasks: u64) {
        if !self.spec().gang {
            let tasks = usize::try_from(tasks).unwrap_or(usize::MAX);
            self.startable.truncate(tasks);
        }
    }

    /// Returns how many more tasks of the step an upstream may run under the step's limit.
    pub fn step_headroom(&self, id: &Arc<str>) -> u64 {
        match self.spec().max_per_upstream {
            0 => u64::MAX,
            limit => {
                u64::from(limit.saturating_sub(self.placed_counts.get(id).copied().unwrap_or(0)))
            }
        }
    }

    /// Returns whether an upstream has the label that the step requires, or that none is required.
    pub fn has_label(&self, upstream: &UpstreamView) -> bool {
        let label = self.spec().label.as_ref();
        label.is_none_or(|label| upstream.labels.contains(label))
    }

    /// Returns whether an upstream is in the rack that holds the step's data, or that the step has
    /// no data rack.
    pub fn is_near_data(&self, upstream: &UpstreamView) -> bool {
        let rack = self.spec().data_rack.as_ref();
        rack.is_none_or(|rack| upstream.labels.contains(rack))
    }

    /// Keeps only the suspects among the startable tasks, those with the most confirmed crashes
    /// first. After two crashes one suspect runs at a time, so that the next crash is its own.
    fn restrict_to_suspects(&mut self, now: u64, step: &StepEntry) {
        let task_of = |index: &u32| &step.tasks[*index as usize];
        self.startable.retain(|index| task_of(index).is_suspect());
        self.startable
            .sort_by_key(|index| std::cmp::Reverse(task_of(index).confirmed_crashes()));
        let has_crashed_twice = |index: &u32| task_of(index).crashes.len() > 1;
        if self.startable.iter().any(has_crashed_twice) {
            self.startable.truncate(1);
        }
        let mut wait_ms = 0;
        for index in &self.startable {
            wait_ms = wait_ms.max(task_of(index).isolation_wait_ms());
        }
        if now.saturating_sub(self.waiting_since) >= wait_ms {
            self.isolation = Isolation::Preferred;
        }
    }

    /// Returns whether the step's tasks must run apart, so that no capacity is made or kept free for
    /// them. Long-running tasks do not wait for an upstream of their own for long.
    pub fn awaits_isolation(&self) -> bool {
        match self.isolation {
            Isolation::None => false,
            Isolation::Strict => true,
            Isolation::Preferred => !self.spec().long_running,
        }
    }

    /// Returns whether the step's tasks would be away for too long if the upstream were lost.
    fn must_avoid(&self, upstream: &UpstreamView) -> bool {
        upstream.holds_long && self.spec().long_running
    }

    /// Returns whether an upstream could run another task of the step, regardless of other steps'
    /// runs.
    pub fn could_run(&self, upstream: &UpstreamView, step: &StepEntry) -> bool {
        self.has_label(upstream)
            && !self.must_avoid(upstream)
            && (self.isolation != Isolation::Strict || upstream.is_empty)
            && !step.denied.contains(&upstream.index)
            && self.allocation().fits(&upstream.capacity)
            && self.step_headroom(&upstream.id) > 0
    }
}

/// An upstream that can run tasks of a step.
struct Candidate {
    position: usize,
    /// Sort key, lowest first: whether the upstream is slow, whether it is away from the data, and
    /// the score of its free capacity.
    cost: (bool, bool, u64),
    /// Number of additional tasks of the step that it can take.
    task_capacity: u64,
}

/// Index of a task, and position of its upstream in the pool's view.
pub(super) type TaskChoice = (u32, usize);

impl OwnerMachine {
    /// Returns the state of a step.
    pub(super) fn step_of(&self, ready: &ReadyStep) -> Option<&StepEntry> {
        self.submissions
            .get(&ready.submission)?
            .occurrences
            .get(ready.occurrence as usize)?
            .steps
            .get(ready.step as usize)
    }

    /// Returns the mutable state of a step.
    pub(super) fn step_mut(
        &mut self,
        submission: &Arc<str>,
        occurrence: u32,
        step: u32,
    ) -> Option<&mut StepEntry> {
        self.submissions
            .get_mut(submission)?
            .occurrences
            .get_mut(occurrence as usize)?
            .steps
            .get_mut(step as usize)
    }

    /// Collects the tasks of a step that may start now and are placed in this part of the pass; for a
    /// gang, all or none.
    pub(super) fn placement_request(
        &self,
        now: u64,
        ready: &ReadyStep,
        part: PassPart,
    ) -> Option<PlacementRequest> {
        let entry = self.submissions.get(&ready.submission)?;
        let step = self.step_of(ready)?;
        let mut request = PlacementRequest {
            record: entry.record.clone(),
            step: ready.step as usize,
            startable: Vec::new(),
            avoided_upstreams: HashMap::new(),
            waiting_since: now,
            placed_counts: HashMap::new(),
            has_yielding: false,
            needs_ticket: ready.queue.policy_service.is_some(),
            gang_attempt: None,
            isolation: Isolation::None,
        };
        let suspects = entry.suspect_phase(now);
        let isolates = suspects != SuspectPhase::None && !request.spec().gang;
        // Long-running tasks must restart soon, so they do not wait for others.
        let holds_others = isolates && !request.spec().long_running;
        let is_isolated = suspects == SuspectPhase::Isolated;
        if holds_others && (is_isolated || self.has_silent_run(entry)) {
            return Some(request);
        }
        if request.spec().gang {
            let highest = step.tasks.iter().map(|task| task.attempt).max();
            request.gang_attempt = highest.map(|attempt| self.next_attempt(attempt));
        }
        let bounded = request.spec().max_per_upstream > 0;
        for (index, task) in (0..).zip(&step.tasks) {
            if bounded && let Some(upstream) = &task.upstream {
                *request.placed_counts.entry(upstream.clone()).or_default() += 1;
            }
            if task.phase != TaskPhase::Waiting || now < task.not_before || task.allocated_runs > 0
            {
                continue;
            }
            let yields = now < task.yields_until && !request.spec().gang;
            if yields != (part == PassPart::Yielding) {
                request.has_yielding |= yields;
                continue;
            }
            if isolates && task.is_suspect() {
                request.isolation = Isolation::Strict;
            }
            request.startable.push(index);
            let since = task.not_before.max(entry.known_at);
            request.waiting_since = request.waiting_since.min(since);
            let avoided = task.failure_streak.upstreams();
            if !avoided.is_empty() {
                request.avoided_upstreams.insert(index, avoided.to_vec());
            }
        }
        if request.isolation == Isolation::Strict {
            request.restrict_to_suspects(now, step);
        } else if holds_others {
            request.startable.clear();
        }
        if request.spec().gang && request.startable.len() < step.tasks.len() {
            request.startable.clear();
        }
        Some(request)
    }

    /// Chooses upstreams for the startable tasks; a gang is placed completely or not at all.
    pub(super) fn choose_upstreams(
        &self,
        now: u64,
        ready: &ReadyStep,
        request: &PlacementRequest,
        view: &mut FleetView,
    ) -> Vec<TaskChoice> {
        let team_headroom = self.cached_team_headroom(request.team(), view);
        let allowed = request.limit_to_headroom(request.startable.len(), &team_headroom);
        let (Some(step), Some(pool)) = (self.step_of(ready), view.pools.get(&ready.queue.pool))
        else {
            return Vec::new();
        };
        let mut candidates = candidates(now, request, step, view, pool);
        if request.isolation != Isolation::None {
            candidates.sort_by_key(|candidate| {
                let upstream = &pool.upstreams[candidate.position];
                (
                    !upstream.is_empty,
                    candidate.cost.0,
                    std::cmp::Reverse(candidate.cost.2),
                )
            });
            candidates.truncate(1);
        } else if request.spec().rack_local {
            prefer_one_rack(&mut candidates, pool, request.startable.len() as u64);
        } else {
            candidates.sort_by_key(|candidate| candidate.cost);
        }
        let mut choices = Vec::new();
        for index in request.startable.iter().take(allowed) {
            let avoided = request.avoided_upstreams.get(index);
            let has_capacity = |candidate: &&mut Candidate| candidate.task_capacity > 0;
            let elsewhere = candidates
                .iter_mut()
                .filter(has_capacity)
                .find(|candidate| {
                    let id = &pool.upstreams[candidate.position].id;
                    avoided.is_none_or(|avoided| !avoided.contains(id))
                });
            let chosen = match elsewhere {
                Some(candidate) => Some(candidate),
                None => candidates.iter_mut().find(has_capacity),
            };
            let Some(candidate) = chosen else {
                break;
            };
            candidate.task_capacity -= 1;
            choices.push((*index, candidate.position));
        }
        if request.spec().gang && choices.len() < request.startable.len() {
            return Vec::new();
        }
        choices
    }
}

/// Returns the upstreams that can run a task of the step now.
fn candidates(
    now: u64,
    request: &PlacementRequest,
    step: &StepEntry,
    view: &FleetView,
    pool: &PoolView,
) -> Vec<Candidate> {
    let position_of = |index: &UpstreamIndex| {
        let position = view.position_of(*index)?;
        pool.upstreams
            .get(position)
            .filter(|found| found.index == *index)?;
        Some(position)
    };
    let to_candidate = |position: usize| candidate(request, step, pool, position);
    if request.needs_ticket {
        step.tickets
            .iter()
            .filter(|(_, ticket)| now < ticket.expires_at)
            .filter_map(|(index, _)| position_of(index))
            .filter_map(to_candidate)
            .collect()
    } else {
        (0..pool.upstreams.len()).filter_map(to_candidate).collect()
    }
}

fn candidate(
    request: &PlacementRequest,
    step: &StepEntry,
    pool: &PoolView,
    position: usize,
) -> Option<Candidate> {
    let upstream = &pool.upstreams[position];
    let allocation = request.allocation();
    let unreserved = upstream.unreserved();
    if !allocation.fits(&unreserved)
        || !request.has_label(upstream)
        || request.must_avoid(upstream)
        || (request.isolation == Isolation::Strict && !upstream.is_empty)
        || step.denied.contains(&upstream.index)
    {
        return None;
    }
    let task_capacity = unreserved
        .slots_for(&allocation)
        .min(request.step_headroom(&upstream.id));
    let cost = (
        upstream.slow,
        !request.is_near_data(upstream),
        free_score(&upstream.capacity, &upstream.free),
    );
    (task_capacity > 0).then_some(Candidate {
        position,
        cost,
        task_capacity,
    })
}

/// Returns a score of the free capacity of an upstream; the lowest is filled first.
///
/// On upstreams with accelerators, a free accelerator counts as much as 1000 free cores, so it
/// outweighs any difference in CPU. On others, the free shares of CPU and memory, in thousandths,
/// are added.
fn free_score(capacity: &ResourceSize, free: &ResourceSize) -> u64 {
    if capacity.accelerators > 0 {
        return free.accelerators * 1000 + free.cpu_milli / 1000;
    }
    free.cpu_milli * 1000 / capacity.cpu_milli.max(1)
        + free.memory_mib * 1000 / capacity.memory_mib.max(1)
}

/// Sorts the upstreams of one rack first: the rack with the least sufficient capacity for all
/// tasks, or else the one with the most capacity.
fn prefer_one_rack(candidates: &mut [Candidate], pool: &PoolView, wanted: u64) {
    let mut rack_capacities: HashMap<&Arc<str>, u64> = HashMap::new();
    for candidate in candidates.iter() {
        if let Some(rack) = pool.upstreams[candidate.position].rack() {
            let task_capacity = rack_capacities.entry(rack).or_default();
            *task_capacity = task_capacity.saturating_add(candidate.task_capacity);
        }
    }
    let enough = rack_capacities
        .iter()
        .filter(|(_, task_capacity)| **task_capacity >= wanted);
    let best = enough
        .min_by_key(|(rack, task_capacity)| (**task_capacity, **rack))
        .or_else(|| {
            rack_capacities
                .iter()
                .max_by_key(|(rack, task_capacity)| (**task_capacity, **rack))
        })
        .map(|(rack, _)| Arc::clone(rack));
    candidates.sort_by_key(|candidate| {
        let elsewhere = pool.upstreams[candidate.position].rack() != best.as_ref();
        (elsewhere, candidate.cost)
    });
}
