//! Where tasks start.
//!
//! Load that this answers: wide steps and single tasks on upstreams of different sizes, where a
//! ticket says which may run a step. Upstreams are filled one after the other, the fullest first,
//! so that large tasks and gangs find whole ones.

use std::collections::HashMap;
use std::sync::Arc;

use crate::model::{ResourceSize, StepSpec, SubmissionRecord};
use crate::owner::OwnerMachine;
use crate::owner::fleet_view::{FleetView, PoolView, SlotView, UpstreamSlot};
use crate::owner::ready_list::ReadyStep;
use crate::owner::submission_entry::{StepEntry, TaskPhase};

/// A step that looks for upstreams.
#[derive(Debug)]
pub(super) struct StepCall {
    pub record: Arc<SubmissionRecord>,
    pub step: usize,
    /// Tasks that may start now.
    pub waiting: Vec<u32>,
    /// Upstreams where a task failed last, for the tasks that did.
    failed_on: HashMap<u32, Arc<str>>,
    /// Since when a task of the step has waited.
    pub waiting_since: u64,
    /// Tasks of the step that run on each upstream.
    present: HashMap<Arc<str>, u32>,
    pub needs_ticket: bool,
    /// Attempt that the members of a gang share.
    pub gang_attempt: Option<u32>,
}

impl StepCall {
    /// Returns the step as it was submitted.
    pub fn spec(&self) -> &StepSpec {
        &self.record.steps[self.step]
    }

    /// Returns what one task books at an upstream.
    pub fn booking(&self) -> ResourceSize {
        self.spec().booking()
    }

    /// Returns what starts together: one task, or a whole gang.
    pub fn unit(&self) -> ResourceSize {
        let together = if self.spec().gang {
            self.spec().count
        } else {
            1
        };
        self.spec().demand.saturating_mul(u64::from(together))
    }

    /// Returns the team of the submission.
    pub fn team(&self) -> Option<&Arc<str>> {
        self.record.team.as_ref()
    }

    /// Tells how many tasks of the step an upstream may take beside those that it has.
    pub fn step_room(&self, id: &Arc<str>) -> u64 {
        match self.spec().max_per_upstream {
            0 => u64::MAX,
            most => u64::from(most.saturating_sub(self.present.get(id).copied().unwrap_or(0))),
        }
    }

    /// Tells whether an upstream has the label that the step asks for.
    pub fn has_label(&self, slot: &SlotView) -> bool {
        let label = self.spec().label.as_ref();
        label.is_none_or(|label| slot.labels.contains(label))
    }

    /// Tells whether an upstream is where the step's data is.
    pub fn is_near(&self, slot: &SlotView) -> bool {
        let rack = self.spec().data_rack.as_ref();
        rack.is_none_or(|rack| slot.labels.contains(rack))
    }

    /// Tells whether an upstream could run tasks of the step if it were empty.
    pub fn could_run(&self, slot: &SlotView, step: &StepEntry) -> bool {
        self.has_label(slot)
            && !step.denied.contains(&slot.slot)
            && self.booking().fits(&slot.capacity)
            && self.step_room(&slot.id) > 0
    }
}

/// An upstream that may take tasks of a step.
struct Candidate {
    place: usize,
    /// What speaks against it: its slowness, its distance from the data, and what is left free.
    cost: (bool, bool, u64),
    /// Tasks that it can take.
    room: u64,
}

/// A task and the place of its upstream in the pool's view.
pub(super) type TaskChoice = (u32, usize);

impl OwnerMachine {
    /// Finds the state of a step.
    pub(super) fn step_of(&self, ready: &ReadyStep) -> Option<&StepEntry> {
        self.submissions
            .get(&ready.submission)?
            .occurrences
            .get(ready.occurrence as usize)?
            .steps
            .get(ready.step as usize)
    }

    /// Finds the state of a step to change it.
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

    /// Gathers the tasks of a step that may start now; of a gang all or none.
    pub(super) fn step_call(&self, now: u64, ready: &ReadyStep) -> Option<StepCall> {
        let entry = self.submissions.get(&ready.submission)?;
        let step = self.step_of(ready)?;
        let mut call = StepCall {
            record: entry.record.clone(),
            step: ready.step as usize,
            waiting: Vec::new(),
            failed_on: HashMap::new(),
            waiting_since: now,
            present: HashMap::new(),
            needs_ticket: ready.queue.policy_desk.is_some(),
            gang_attempt: None,
        };
        if call.spec().gang {
            let highest = step.tasks.iter().map(|task| task.attempt).max();
            call.gang_attempt = highest.map(|attempt| self.attempt_after(attempt));
        }
        let bounded = call.spec().max_per_upstream > 0;
        for (index, task) in (0..).zip(&step.tasks) {
            if bounded && let Some(upstream) = &task.upstream {
                *call.present.entry(upstream.clone()).or_default() += 1;
            }
            if task.phase != TaskPhase::Waiting || now < task.not_before || task.booked_runs > 0 {
                continue;
            }
            call.waiting.push(index);
            let since = task.not_before.max(entry.known_at);
            call.waiting_since = call.waiting_since.min(since);
            if let Some(upstream) = &task.failed_on {
                call.failed_on.insert(index, upstream.clone());
            }
        }
        if call.spec().gang && call.waiting.len() < step.tasks.len() {
            call.waiting.clear();
        }
        Some(call)
    }

    /// Chooses upstreams for waiting tasks; a gang is placed whole or not at all.
    pub(super) fn choose_upstreams(
        &self,
        now: u64,
        ready: &ReadyStep,
        call: &StepCall,
        view: &mut FleetView,
    ) -> Vec<TaskChoice> {
        let demand = call.spec().demand;
        let team_room = self.team_room_in(call.team(), view);
        let allowed = usize::try_from(team_room.slots_for(&demand)).unwrap_or(usize::MAX);
        let (Some(step), Some(pool)) = (self.step_of(ready), view.pools.get(&ready.queue.pool))
        else {
            return Vec::new();
        };
        let mut candidates = candidates(now, call, step, view, pool);
        if call.spec().rack_local {
            prefer_one_rack(&mut candidates, pool, call.waiting.len() as u64);
        } else {
            candidates.sort_by_key(|candidate| candidate.cost);
        }
        let mut choices = Vec::new();
        for index in call.waiting.iter().take(allowed) {
            let failed_on = call.failed_on.get(index);
            let open = |candidate: &&mut Candidate| candidate.room > 0;
            let elsewhere = candidates
                .iter_mut()
                .filter(open)
                .find(|candidate| failed_on != Some(&pool.slots[candidate.place].id));
            let chosen = match elsewhere {
                Some(candidate) => Some(candidate),
                None => candidates.iter_mut().find(open),
            };
            let Some(candidate) = chosen else {
                break;
            };
            candidate.room -= 1;
            choices.push((*index, candidate.place));
        }
        if call.spec().gang && choices.len() < call.waiting.len() {
            return Vec::new();
        }
        choices
    }
}

/// Lists the upstreams that can take a task of the step now.
fn candidates(
    now: u64,
    call: &StepCall,
    step: &StepEntry,
    view: &FleetView,
    pool: &PoolView,
) -> Vec<Candidate> {
    let ticketed = |slot: &UpstreamSlot| {
        let place = view.place_of(*slot)?;
        pool.slots.get(place).filter(|found| found.slot == *slot)?;
        Some(place)
    };
    let consider = |place: usize| candidate(call, step, pool, place);
    if call.needs_ticket {
        step.tickets
            .iter()
            .filter(|(_, ticket)| now < ticket.expires_at)
            .filter_map(|(slot, _)| ticketed(slot))
            .filter_map(consider)
            .collect()
    } else {
        (0..pool.slots.len()).filter_map(consider).collect()
    }
}

fn candidate(
    call: &StepCall,
    step: &StepEntry,
    pool: &PoolView,
    place: usize,
) -> Option<Candidate> {
    let slot = &pool.slots[place];
    let booking = call.booking();
    let open = slot.open();
    if !booking.fits(&open) || !call.has_label(slot) || step.denied.contains(&slot.slot) {
        return None;
    }
    let room = open.slots_for(&booking).min(call.step_room(&slot.id));
    let cost = (
        slot.slow,
        !call.is_near(slot),
        left_free(&slot.capacity, &slot.free),
    );
    (room > 0).then_some(Candidate { place, cost, room })
}

/// Returns how much of an upstream is left free; the fullest are filled first.
fn left_free(capacity: &ResourceSize, free: &ResourceSize) -> u64 {
    if capacity.accelerators > 0 {
        return free.accelerators * 1000 + free.cpu_milli / 1000;
    }
    free.cpu_milli * 1000 / capacity.cpu_milli.max(1)
        + free.memory_mib * 1000 / capacity.memory_mib.max(1)
}

/// Puts the upstreams of one rack first: the one with the least room that takes all tasks, or else
/// the one with the most room.
fn prefer_one_rack(candidates: &mut [Candidate], pool: &PoolView, wanted: u64) {
    let mut rooms: HashMap<&Arc<str>, u64> = HashMap::new();
    for candidate in candidates.iter() {
        if let Some(rack) = pool.slots[candidate.place].rack() {
            let room = rooms.entry(rack).or_default();
            *room = room.saturating_add(candidate.room);
        }
    }
    let enough = rooms.iter().filter(|(_, room)| **room >= wanted);
    let best = enough
        .min_by_key(|(rack, room)| (**room, **rack))
        .or_else(|| rooms.iter().max_by_key(|(rack, room)| (**room, **rack)))
        .map(|(rack, _)| Arc::clone(rack));
    candidates.sort_by_key(|candidate| {
        let elsewhere = pool.slots[candidate.place].rack() != best.as_ref();
        (elsewhere, candidate.cost)
    });
}
