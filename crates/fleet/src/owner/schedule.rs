//! Which tasks start next.
//!
//! Load that this answers: many short urgent submissions beside wide batch steps, gangs of whole
//! upstreams and lasting tasks. What can be in time goes before what is late; then priority and
//! objective decide. A gang or lasting step without room holds the room that it waits for against
//! the steps after it.
//!
//! A task is booked first, then journaled, and started after that (`planned_start.rs`).

use crate::owner::OwnerMachine;
use crate::owner::fleet_view::FleetView;
use crate::owner::placement::StepCall;
use crate::owner::ready_list::ReadyStep;
use crate::owner::submission_entry::{StepEntry, TaskPhase};
use crate::owner::upstream_entry::RunPhase;

/// Attempts of one generation of owners; the next one begins above.
const ATTEMPTS_PER_GENERATION: u32 = 1000;

impl OwnerMachine {
    /// Starts what may start and fits, and asks for the tickets that are missing.
    pub(super) fn place_all(&mut self, now: u64, unix_ms: u64) {
        let ready = self.ready_steps(now, unix_ms);
        if ready.is_empty() {
            return;
        }
        let mut view = self.fleet_view(now);
        for step in ready {
            self.place_step(now, &step, &mut view);
        }
    }

    /// Starts tasks of one step, and asks the policy service where it has to.
    fn place_step(&mut self, now: u64, ready: &ReadyStep, view: &mut FleetView) {
        let Some(call) = self.step_call(now, ready) else {
            self.ready.note(&ready.submission);
            return;
        };
        if call.waiting.is_empty() {
            self.forget_unless_waiting(ready);
            return;
        }
        let choices = self.choose_upstreams(now, ready, &call, view);
        let left = call.waiting.len() - choices.len();
        for (index, place) in choices {
            self.plan_task(now, ready, index, place, &call, view);
        }
        if left == 0 {
            self.forget_unless_waiting(ready);
            return;
        }
        if call.needs_ticket {
            self.ask_for_step(now, ready, &call, left, view);
        }
        self.make_room(now, ready, &call, left, view);
        if call.spec().gang || call.spec().long_running {
            self.hold_room(ready, &call, left, view);
        }
    }

    /// Has a step looked at again if none of its tasks waits any more.
    fn forget_unless_waiting(&mut self, ready: &ReadyStep) {
        let waits = |step: &StepEntry| {
            let mut tasks = step.tasks.iter();
            tasks.any(|task| task.phase == TaskPhase::Waiting)
        };
        if !self.step_of(ready).is_some_and(waits) {
            self.ready.note(&ready.submission);
        }
    }

    /// Books a task at an upstream; it is started once the journal names it.
    fn plan_task(
        &mut self,
        now: u64,
        ready: &ReadyStep,
        index: u32,
        place: usize,
        call: &StepCall,
        view: &mut FleetView,
    ) {
        let pool = view.pools.get_mut(&ready.queue.pool);
        let Some(slot) = pool.and_then(|pool| pool.slots.get_mut(place)) else {
            return;
        };
        let upstream = slot.id.clone();
        let name = ready.task_name(index);
        let Some(step) = self.step_of(ready) else {
            return;
        };
        let last = step
            .tasks
            .get(index as usize)
            .map_or(0, |task| task.attempt);
        let attempt = call
            .gang_attempt
            .unwrap_or_else(|| self.attempt_after(last));
        let Some(run) = self.make_run(&name, attempt, RunPhase::Planned, now) else {
            return;
        };
        slot.free = slot.free.saturating_sub(&run.allocation);
        if let Some(room) = call.team().and_then(|team| view.team_rooms.get_mut(team)) {
            *room = room.saturating_sub(&run.demand);
        }
        self.book(&upstream, &name, run);
        if let Some(task) = self.task_mut(&name) {
            task.phase = TaskPhase::Placed;
            task.attempt = attempt;
            task.upstream = Some(upstream);
        }
        self.note_change(&ready.submission, true);
    }

    /// Returns the attempt after one of a task; each generation of owners has its own range.
    pub(super) fn attempt_after(&self, last: u32) -> u32 {
        last.max(self.generation * ATTEMPTS_PER_GENERATION) + 1
    }
}
