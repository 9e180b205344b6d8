//! Preemption: stops runs of lower priority to free capacity for tasks that cannot wait.
//!
//! It applies when bursts of urgent submissions meet a pool full of batch work, when long-running
//! tasks lose their upstream while the pool is full, and when gangs need whole upstreams that are
//! partly occupied by single tasks with checkpoints.

use std::sync::Arc;

use crate::model::{ResourceSize, TaskName};
use crate::owner::fleet_view::{FleetView, UpstreamView};
use crate::owner::placement::PlacementRequest;
use crate::owner::ready_list::ReadyStep;
use crate::owner::submission_entry::StepEntry;
use crate::owner::upstream_entry::{RunPhase, UpstreamEntry};
use crate::owner::{OwnerMachine, StopReason};

/// Maximum number of searches for victims in one placement pass; each search examines many runs.
pub(super) const MAX_PREEMPTION_SEARCHES: u32 = 6;

/// Waiting time after which an urgent step preempts others, in milliseconds.
const URGENT_PREEMPTION_DELAY_MS: u64 = 60;

/// Waiting time after which a long-running step preempts others, in milliseconds.
const LONG_RUNNING_PREEMPTION_DELAY_MS: u64 = 300;

/// Delay between two searches for victims of the same step, in milliseconds.
const PREEMPTION_RETRY_DELAY_MS: u64 = 60;

/// Number of times that a task is preempted at most; after that its runs are left to end.
const MAX_PREEMPTIONS: u32 = 2;

/// Assumed work lost when a run with checkpoints is stopped, in milliseconds.
const CHECKPOINT_LOSS_MS: u64 = 600;

/// Maximum work that may be discarded to place one urgent task, in core-milliseconds.
const MAX_URGENT_LOSS_CORE_MS: u64 = 12_000;

/// Weight of an accelerator in a loss, in thousandths of a core.
const ACCELERATOR_WEIGHT_MILLI_CORES: u64 = 8000;

/// What capacity is preempted for, and from which runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum PreemptionKind {
    /// One urgent task; the loss is bounded.
    Urgent,
    /// One long-running task; the loss is not bounded.
    LongRunning,
    /// All tasks of a gang; only runs with checkpoints are preempted, unless the gang is urgent.
    Gang,
}

/// Runs of one upstream whose end frees capacity for tasks.
#[derive(Debug)]
pub(super) struct VictimSet {
    /// Whether it contains runs within their teams' claims; sets without such are preferred.
    has_claimed_runs: bool,
    /// Work lost if the runs are stopped, in core-milliseconds.
    loss_core_ms: u64,
    /// Number of additional tasks that then fit.
    pub extra_tasks: u64,
    pub upstream: Arc<str>,
    names: Vec<TaskName>,
}

impl VictimSet {
    /// Returns the sort key of sets for one task, the best first.
    fn rank(&self) -> (bool, u64) {
        (self.has_claimed_runs, self.loss_core_ms)
    }
}

impl OwnerMachine {
    /// Stops the runs with the smallest loss, so that more tasks of the step can be placed.
    pub(super) fn preempt_for(
        &mut self,
        now: u64,
        ready: &ReadyStep,
        request: &PlacementRequest,
        unplaced: usize,
        view: &mut FleetView,
    ) {
        let Some(kind) = preemption_kind(now, ready, request) else {
            return;
        };
        let due = self
            .step_of(ready)
            .is_some_and(|step| now >= step.preemption_not_before);
        if !due || view.preemption_searches_left == 0 {
            return;
        }
        view.preemption_searches_left -= 1;
        if let Some(step) = self.step_mut(&ready.submission, ready.occurrence, ready.step) {
            step.preemption_not_before = now + PREEMPTION_RETRY_DELAY_MS;
        }
        for set in self.choose_victims(now, ready, request, kind, unplaced as u64, view) {
            self.stop_victims(now, ready, &set);
        }
    }

    /// Stops the runs of a set for a step.
    pub(super) fn stop_victims(&mut self, now: u64, ready: &ReadyStep, set: &VictimSet) {
        for name in &set.names {
            let reason = StopReason::Preempted(ready.submission.clone());
            self.stop_run(now, &set.upstream, name, reason);
            if let Some(task) = self.task_mut(name) {
                task.preemptions += 1;
            }
        }
    }

    /// Chooses the runs to stop; none if enough capacity becomes free anyway, or if not enough can
    /// be freed.
    fn choose_victims(
        &self,
        now: u64,
        ready: &ReadyStep,
        request: &PlacementRequest,
        kind: PreemptionKind,
        unplaced: u64,
        view: &FleetView,
    ) -> Vec<VictimSet> {
        let (Some(step), Some(pool)) = (self.step_of(ready), view.pools.get(&ready.queue.pool))
        else {
            return Vec::new();
        };
        let candidates: Vec<_> = pool
            .upstreams
            .iter()
            .filter(|upstream| {
                is_allowed(request, step, upstream) && request.could_run(upstream, step)
            })
            .filter_map(|upstream| Some((upstream, self.upstreams.get(&upstream.id)?)))
            .collect();
        let allocation = request.allocation();
        let soon_free_slots: u64 = candidates
            .iter()
            .map(|(upstream, entry)| {
                free_after_stops(request, upstream, entry).slots_for(&allocation)
            })
            .fold(0, u64::saturating_add);
        if soon_free_slots >= unplaced {
            return Vec::new();
        }
        let sets = candidates.iter().filter_map(|(upstream, entry)| {
            self.victims_on(now, ready, request, kind, upstream, entry)
        });
        match kind {
            PreemptionKind::Urgent => sets
                .filter(|set| set.loss_core_ms <= MAX_URGENT_LOSS_CORE_MS)
                .min_by_key(VictimSet::rank)
                .into_iter()
                .collect(),
            PreemptionKind::LongRunning => sets.min_by_key(VictimSet::rank).into_iter().collect(),
            PreemptionKind::Gang => Vec::new(),
        }
    }

    /// Chooses the runs of an upstream with the smallest loss that free capacity for one task, or
    /// for as many tasks of a gang as fit.
    pub(super) fn victims_on(
        &self,
        now: u64,
        ready: &ReadyStep,
        request: &PlacementRequest,
        kind: PreemptionKind,
        upstream: &UpstreamView,
        entry: &UpstreamEntry,
    ) -> Option<VictimSet> {
        let allocation = request.allocation();
        let mut capacity = free_after_stops(request, upstream, entry);
        let slots_before = capacity.slots_for(&allocation);
        let max_tasks = request
            .step_headroom(&upstream.id)
            .min(entry.report.capacity.slots_for(&allocation));
        if kind != PreemptionKind::Gang && slots_before > 0 {
            return None;
        }
        let mut set = VictimSet {
            has_claimed_runs: false,
            loss_core_ms: 0,
            extra_tasks: 0,
            upstream: upstream.id.clone(),
            names: Vec::new(),
        };
        let wanted = if kind == PreemptionKind::Gang {
            max_tasks
        } else {
            1
        };
        let mut needed_victims = 0;
        let runs = self.preemptible_runs(now, ready, kind, entry);
        let mut claimed_from = usize::MAX;
        for (count, (is_claimed, loss_core_ms, name, freed)) in (1..).zip(runs) {
            if capacity.slots_for(&allocation) >= wanted {
                break;
            }
            capacity += freed;
            if is_claimed {
                claimed_from = claimed_from.min(count);
            }
            set.loss_core_ms += loss_core_ms;
            set.names.push(name);
            if capacity.slots_for(&allocation).min(max_tasks) > slots_before + set.extra_tasks {
                set.extra_tasks = capacity.slots_for(&allocation).min(max_tasks) - slots_before;
                needed_victims = count;
            }
        }
        // Runs after the last one that made room for another task are not stopped.
        set.names.truncate(needed_victims);
        set.has_claimed_runs = needed_victims >= claimed_from;
        (set.extra_tasks > 0).then_some(set)
    }

    /// Returns the runs of an upstream that may be preempted: whether they are within their teams'
    /// claims, their loss in core-milliseconds, name and allocation. Those beyond the claims come
    /// first, then those with the smallest loss.
    fn preemptible_runs(
        &self,
        now: u64,
        ready: &ReadyStep,
        kind: PreemptionKind,
        entry: &UpstreamEntry,
    ) -> Vec<(bool, u64, TaskName, ResourceSize)> {
        let mut runs: Vec<_> = entry
            .runs
            .iter()
            .filter_map(|(name, run)| {
                let submission = self.submissions.get(&name.submission)?;
                let spec = submission.record.steps.get(name.step as usize)?;
                let is_preemptible = run.phase == RunPhase::Running
                    && submission.record.queue.priority > ready.priority
                    && !spec.long_running
                    && !spec.gang
                    && (kind != PreemptionKind::Gang || spec.checkpointing || ready.priority == 0)
                    && submission.preemptions_of(name) < MAX_PREEMPTIONS;
                let lost_ms = if spec.checkpointing {
                    CHECKPOINT_LOSS_MS
                } else {
                    now.saturating_sub(run.ordered_at)
                };
                let milli_cores = spec.demand.cpu_milli
                    + spec.demand.accelerators * ACCELERATOR_WEIGHT_MILLI_CORES;
                let pool = &entry.report.pool;
                is_preemptible.then(|| {
                    let is_claimed = !self.is_excess_run(submission, pool, &run.allocation);
                    let loss_core_ms = lost_ms * milli_cores / 1000;
                    (is_claimed, loss_core_ms, name.clone(), run.allocation)
                })
            })
            .collect();
        runs.sort_by_key(|(is_claimed, loss_core_ms, _, _)| (*is_claimed, *loss_core_ms));
        runs
    }

    /// Reserves capacity for a waiting long-running step, so that later steps do not take it. The
    /// steps of a team together reserve for the tasks that its upper limit lets start. Capacity that
    /// other long-running runs occupy never becomes free, so none is reserved in its place.
    pub(super) fn reserve_capacity(
        &self,
        ready: &ReadyStep,
        request: &PlacementRequest,
        unplaced: usize,
        view: &mut FleetView,
    ) {
        let headroom = self.unreserved_headroom(request.team(), view);
        let unplaced = request.limit_to_headroom(unplaced, &headroom) as u64;
        let Some(step) = self.step_of(ready) else {
            return;
        };
        let Some(pool) = view.pools.get_mut(&ready.queue.pool) else {
            return;
        };
        let allocation = request.allocation();
        let mut candidates: Vec<_> = pool
            .upstreams
            .iter()
            .enumerate()
            .filter(|(_, upstream)| request.could_run(upstream, step))
            .filter_map(|(position, upstream)| {
                let entry = self.upstreams.get(&upstream.id)?;
                let occupied = upstream.reserved + entry.long_running_allocation();
                let reservable = upstream.capacity.saturating_sub(&occupied);
                let soon_free = free_after_stops(request, upstream, entry);
                let max_tasks = reservable
                    .slots_for(&allocation)
                    .min(request.step_headroom(&upstream.id));
                let unknown = !step.tickets.contains_key(&upstream.index);
                let rank = (
                    unknown,
                    std::cmp::Reverse((soon_free.accelerators, soon_free.cpu_milli)),
                );
                (max_tasks > 0).then_some((rank, position, max_tasks))
            })
            .collect();
        candidates.sort_by_key(|(rank, _, _)| *rank);
        let mut missing = unplaced;
        for (_, position, max_tasks) in candidates {
            if missing == 0 {
                break;
            }
            let tasks = max_tasks.min(missing);
            missing -= tasks;
            let upstream = &mut pool.upstreams[position];
            upstream.reserved += allocation.saturating_mul(tasks);
        }
        let demand = request.spec().demand.saturating_mul(unplaced - missing);
        view.reserve_headroom(request.team(), demand);
    }
}

/// Returns how a step may preempt others, or `None` if it may not yet.
fn preemption_kind(
    now: u64,
    ready: &ReadyStep,
    request: &PlacementRequest,
) -> Option<PreemptionKind> {
    let (kind, delay_ms) = if request.spec().long_running {
        (
            PreemptionKind::LongRunning,
            LONG_RUNNING_PREEMPTION_DELAY_MS,
        )
    } else if ready.priority == 0 {
        (PreemptionKind::Urgent, URGENT_PREEMPTION_DELAY_MS)
    } else {
        return None;
    };
    (now.saturating_sub(request.waiting_since) >= delay_ms).then_some(kind)
}

/// Returns whether the step is known to be allowed on an upstream.
fn is_allowed(request: &PlacementRequest, step: &StepEntry, upstream: &UpstreamView) -> bool {
    !request.needs_ticket || step.tickets.contains_key(&upstream.index)
}

/// Returns the capacity available to the step now or once the runs that are being stopped have
/// ended.
fn free_after_stops(
    request: &PlacementRequest,
    upstream: &UpstreamView,
    entry: &UpstreamEntry,
) -> ResourceSize {
    let stopping = entry
        .runs
        .values()
        .filter(|run| run.phase == RunPhase::Stopping)
        .fold(ResourceSize::ZERO, |sum, run| sum + run.allocation);
    let free = (upstream.free + stopping).saturating_sub(&upstream.reserved);
    free.min(
        &request
            .allocation()
            .saturating_mul(request.step_headroom(&upstream.id)),
    )
}

/// Returns the sets with the smallest loss per task that free capacity for `wanted` tasks; none if
/// they do not suffice.
pub(super) fn cheapest_sets(mut sets: Vec<VictimSet>, wanted: u64) -> Vec<VictimSet> {
    sets.sort_by_key(|set| (set.has_claimed_runs, set.loss_core_ms / set.extra_tasks));
    let mut found = 0;
    let mut chosen = Vec::new();
    for set in sets {
        if found >= wanted {
            break;
        }
        found += set.extra_tasks;
        chosen.push(set);
    }
    if found < wanted {
        return Vec::new();
    }
    chosen
}
