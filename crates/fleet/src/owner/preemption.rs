//! Room for what can't wait, taken from what can resume.
//!
//! Load that this answers: a full pool of batch work when urgent submissions burst, lasting tasks
//! that lose their upstream while the pool is full, and gangs of whole upstreams beside single
//! tasks with checkpoints.

use std::sync::Arc;

use crate::model::{ResourceSize, TaskName};
use crate::owner::OwnerMachine;
use crate::owner::fleet_view::{FleetView, SlotView};
use crate::owner::placement::StepCall;
use crate::owner::ready_list::ReadyStep;
use crate::owner::submission_entry::StepEntry;
use crate::owner::upstream_entry::{RunPhase, UpstreamEntry};

/// Searches for runs that give way in one pass; each looks at many runs.
pub(super) const MAX_SEARCHES: u32 = 6;

/// Age at which an urgent step takes room from others, in milliseconds.
const URGENT_PATIENCE_MS: u64 = 60;

/// Age at which a lasting step takes room from others, in milliseconds.
const LASTING_PATIENCE_MS: u64 = 300;

/// Age at which a gang takes room from others, in milliseconds; runs that end soon cost nothing.
const GANG_PATIENCE_MS: u64 = 500;

/// Pause of a step after a search for runs that give way, in milliseconds.
const SEARCH_PAUSE_MS: u64 = 60;

/// Work that a run with checkpoints loses when it is stopped, in milliseconds.
const RESUME_LOSS_MS: u64 = 600;

/// Largest loss for one urgent task, in milliseconds of a core.
const URGENT_LOSS_LIMIT: u64 = 12_000;

/// Weight of an accelerator in a loss, in thousandths of a core.
const ACCELERATOR_WEIGHT: u64 = 8000;

/// Who takes room, and from whom.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RoomClaim {
    /// One urgent task, at a bounded loss.
    Urgent,
    /// One lasting task, at any loss.
    Lasting,
    /// All tasks of a gang, from runs with checkpoints only.
    Gang,
}

/// Runs of one upstream whose end makes room for tasks.
#[derive(Debug)]
struct VictimSet {
    loss: u64,
    tasks: u64,
    upstream: Arc<str>,
    names: Vec<TaskName>,
}

impl OwnerMachine {
    /// Stops the runs whose end costs least, so that more of the step finds room.
    pub(super) fn make_room(
        &mut self,
        now: u64,
        ready: &ReadyStep,
        call: &StepCall,
        left: usize,
        view: &mut FleetView,
    ) {
        let Some(claim) = room_claim(now, ready, call) else {
            return;
        };
        let due = self
            .step_of(ready)
            .is_some_and(|step| now >= step.search_not_before);
        if !due || view.searches_left == 0 {
            return;
        }
        view.searches_left -= 1;
        if let Some(step) = self.step_mut(&ready.submission, ready.occurrence, ready.step) {
            step.search_not_before = now + SEARCH_PAUSE_MS;
        }
        let unit = call.unit();
        let team_room = self.team_room_in(call.team(), view);
        if !unit.fits(&team_room) {
            return;
        }
        for set in self.choose_victims(now, ready, call, claim, left as u64, view) {
            for name in set.names {
                self.stop_run(now, &set.upstream, &name);
            }
        }
    }

    /// Chooses the runs to stop; none if enough room becomes free without, or none can be made.
    fn choose_victims(
        &self,
        now: u64,
        ready: &ReadyStep,
        call: &StepCall,
        claim: RoomClaim,
        left: u64,
        view: &FleetView,
    ) -> Vec<VictimSet> {
        let (Some(step), Some(pool)) = (self.step_of(ready), view.pools.get(&ready.queue.pool))
        else {
            return Vec::new();
        };
        let candidates: Vec<_> = pool
            .slots
            .iter()
            .filter(|slot| is_allowed(call, step, slot) && call.could_run(slot, step))
            .filter_map(|slot| Some((slot, self.upstreams.get(&slot.id)?)))
            .collect();
        let booking = call.booking();
        let soon: u64 = candidates
            .iter()
            .map(|(slot, entry)| soon_room(call, slot, entry).slots_for(&booking))
            .fold(0, u64::saturating_add);
        if soon >= left {
            return Vec::new();
        }
        let sets = candidates
            .iter()
            .filter_map(|(slot, entry)| self.victims(now, ready, call, claim, slot, entry));
        match claim {
            RoomClaim::Urgent => sets
                .min_by_key(|set| set.loss)
                .filter(|set| set.loss <= URGENT_LOSS_LIMIT)
                .into_iter()
                .collect(),
            RoomClaim::Lasting => sets.min_by_key(|set| set.loss).into_iter().collect(),
            RoomClaim::Gang => cheapest_for(sets.collect(), left - soon),
        }
    }

    /// Chooses the runs of an upstream whose end costs least and makes room for one task, or for
    /// as many as fit of a gang.
    fn victims(
        &self,
        now: u64,
        ready: &ReadyStep,
        call: &StepCall,
        claim: RoomClaim,
        slot: &SlotView,
        entry: &UpstreamEntry,
    ) -> Option<VictimSet> {
        let booking = call.booking();
        let mut room = soon_room(call, slot, entry);
        let before = room.slots_for(&booking);
        let most = call
            .step_room(&slot.id)
            .min(entry.report.capacity.slots_for(&booking));
        if claim != RoomClaim::Gang && before > 0 {
            return None;
        }
        let mut set = VictimSet {
            loss: 0,
            tasks: 0,
            upstream: slot.id.clone(),
            names: Vec::new(),
        };
        let wanted = if claim == RoomClaim::Gang { most } else { 1 };
        let mut taken = 0;
        let runs = self.yielding_runs(now, ready, claim, entry);
        for (place, (loss, name, freed)) in (1..).zip(runs) {
            if room.slots_for(&booking) >= wanted {
                break;
            }
            room += freed;
            set.loss += loss;
            set.names.push(name);
            if room.slots_for(&booking).min(most) > before + set.tasks {
                set.tasks = room.slots_for(&booking).min(most) - before;
                taken = place;
            }
        }
        set.names.truncate(taken);
        (set.tasks > 0).then_some(set)
    }

    /// Lists the runs of an upstream that give way, the cheapest first.
    fn yielding_runs(
        &self,
        now: u64,
        ready: &ReadyStep,
        claim: RoomClaim,
        entry: &UpstreamEntry,
    ) -> Vec<(u64, TaskName, ResourceSize)> {
        let mut runs: Vec<_> = entry
            .runs
            .iter()
            .filter_map(|(name, run)| {
                let submission = self.submissions.get(&name.submission)?;
                let spec = submission.record.steps.get(name.step as usize)?;
                let yields = run.phase == RunPhase::Running
                    && submission.record.queue.priority > ready.priority
                    && !spec.long_running
                    && !spec.gang
                    && (claim != RoomClaim::Gang || spec.checkpointing);
                let lost_ms = if spec.checkpointing {
                    RESUME_LOSS_MS
                } else {
                    now.saturating_sub(run.ordered_at)
                };
                let weight = spec.demand.cpu_milli + spec.demand.accelerators * ACCELERATOR_WEIGHT;
                yields.then(|| (lost_ms * weight / 1000, name.clone(), run.booking))
            })
            .collect();
        runs.sort_by_key(|(loss, _, _)| *loss);
        runs
    }

    /// Holds the room that a gang or lasting step waits for against the steps after it.
    pub(super) fn hold_room(
        &self,
        ready: &ReadyStep,
        call: &StepCall,
        left: usize,
        view: &mut FleetView,
    ) {
        let Some(step) = self.step_of(ready) else {
            return;
        };
        let Some(pool) = view.pools.get_mut(&ready.queue.pool) else {
            return;
        };
        let booking = call.booking();
        let mut places: Vec<_> = pool
            .slots
            .iter()
            .enumerate()
            .filter(|(_, slot)| call.could_run(slot, step))
            .filter_map(|(place, slot)| {
                let unheld = slot.capacity.saturating_sub(&slot.held);
                let soon = self
                    .upstreams
                    .get(&slot.id)
                    .map(|entry| soon_room(call, slot, entry))?;
                let most = unheld.slots_for(&booking).min(call.step_room(&slot.id));
                let unknown = !step.tickets.contains_key(&slot.slot);
                let rank = (
                    unknown,
                    std::cmp::Reverse((soon.accelerators, soon.cpu_milli)),
                );
                (most > 0).then_some((rank, place, most))
            })
            .collect();
        places.sort_by_key(|(rank, _, _)| *rank);
        let mut missing = left as u64;
        for (_, place, most) in places {
            if missing == 0 {
                break;
            }
            let tasks = most.min(missing);
            missing -= tasks;
            let slot = &mut pool.slots[place];
            slot.held += booking.saturating_mul(tasks);
        }
    }
}

/// Tells who takes room for a step, if anybody does yet.
fn room_claim(now: u64, ready: &ReadyStep, call: &StepCall) -> Option<RoomClaim> {
    let (claim, patience) = if call.spec().gang {
        (RoomClaim::Gang, GANG_PATIENCE_MS)
    } else if call.spec().long_running {
        (RoomClaim::Lasting, LASTING_PATIENCE_MS)
    } else if ready.priority == 0 {
        (RoomClaim::Urgent, URGENT_PATIENCE_MS)
    } else {
        return None;
    };
    (now.saturating_sub(call.waiting_since) >= patience).then_some(claim)
}

/// Tells whether the step is known to be allowed at an upstream.
fn is_allowed(call: &StepCall, step: &StepEntry, slot: &SlotView) -> bool {
    !call.needs_ticket || step.tickets.contains_key(&slot.slot)
}

/// Returns what the step finds free, or will once the runs that are being stopped have ended.
fn soon_room(call: &StepCall, slot: &SlotView, entry: &UpstreamEntry) -> ResourceSize {
    let stopping = entry
        .runs
        .values()
        .filter(|run| run.phase == RunPhase::Stopping)
        .fold(ResourceSize::ZERO, |sum, run| sum + run.booking);
    let free = (slot.free + stopping).saturating_sub(&slot.held);
    free.min(&call.booking().saturating_mul(call.step_room(&slot.id)))
}

/// Chooses the sets with the smallest losses that make room for so many tasks; none if all do not.
fn cheapest_for(mut sets: Vec<VictimSet>, wanted: u64) -> Vec<VictimSet> {
    sets.sort_by_key(|set| set.loss / set.tasks);
    let mut found = 0;
    let mut chosen = Vec::new();
    for set in sets {
        if found >= wanted {
            break;
        }
        found += set.tasks;
        chosen.push(set);
    }
    if found < wanted {
        return Vec::new();
    }
    chosen
}
