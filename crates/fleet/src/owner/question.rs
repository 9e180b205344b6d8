//! Questions to the policy service about steps.
//!
//! Load that this answers: more work for the policy service than one host may ask of it. Steps ask
//! in the order in which they are served, each as soon as a host is free.

use std::sync::Arc;

use crate::model::{PolicyDesk, ResourceSize};
use crate::owner::advice_desk::{AdviceOutcome, Question};
use crate::owner::fleet_view::FleetView;
use crate::owner::placement::StepCall;
use crate::owner::ready_list::ReadyStep;
use crate::owner::submission_entry::{StepEntry, TicketEntry};
use crate::owner::{AskOrder, OwnerEffect, OwnerMachine};

/// Part of a ticket's validity that is left to the way of the order, in milliseconds.
const TICKET_MARGIN_MS: u64 = 150;

/// Time that a question may take beyond the service's own, in milliseconds.
const ASK_SLACK_MS: u64 = 1500;

/// Pause of a host whose question failed, in milliseconds.
const ASK_PAUSE_MS: u64 = 300;

/// Pause of a step after a question that brought no upstream, in milliseconds.
const EMPTY_ANSWER_PAUSE_MS: u64 = 100;

/// Pause of a step for which no upstream has room soon, in milliseconds.
const NO_ROOM_PAUSE_MS: u64 = 30;

/// Most upstreams of one question.
const MAX_ASKED: usize = 40;

/// Part of a question's constant time that naming upstreams may add.
const NAMING_SHARE: f64 = 0.4;

/// Room that a question should find, as a multiple of what the step needs.
const ASKED_ROOM: u64 = 3;

/// An upstream that a question may name.
struct AskedSlot {
    id: Arc<str>,
    known_allowed: bool,
    near: bool,
    /// Tasks of the step that it can take when the answer comes.
    room: u64,
}

impl OwnerMachine {
    /// Asks the policy service about upstreams with room for the step, if a host is free.
    pub(super) fn ask_for_step(
        &mut self,
        now: u64,
        ready: &ReadyStep,
        call: &StepCall,
        left: usize,
        view: &mut FleetView,
    ) {
        let Some(desk) = ready.queue.policy_desk else {
            return;
        };
        let Some(step) = self.step_of(ready) else {
            return;
        };
        let long = desk.decision_ms > crate::owner::advice_desk::LONG_QUESTION_MS;
        if step.asking.is_some() || now < step.ask_not_before || !self.desk.has_host(now, long) {
            return;
        }
        let unit = call.unit();
        if !unit.fits(&self.team_room_in(call.team(), view)) {
            return;
        }
        let upstreams = self.upstreams_to_ask(now, ready, call, left as u64, desk, view);
        let mut ask = None;
        if !upstreams.is_empty() {
            ask = self.send_question(now, ready, upstreams, desk, long);
        }
        if let Some(step) = self.step_mut(&ready.submission, ready.occurrence, ready.step) {
            step.asking = ask;
            if ask.is_none() {
                step.ask_not_before = now + NO_ROOM_PAUSE_MS;
            }
        }
    }

    fn send_question(
        &mut self,
        now: u64,
        ready: &ReadyStep,
        upstreams: Vec<Arc<str>>,
        desk: PolicyDesk,
        long: bool,
    ) -> Option<u64> {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss,
            reason = "small positive times"
        )]
        let duration_ms =
            (desk.decision_ms + desk.per_upstream_ms * upstreams.len() as f64).ceil() as u64;
        let question = Question {
            submission: ready.submission.clone(),
            occurrence: ready.occurrence,
            step: ready.step,
            upstreams: upstreams.clone(),
            valid_ms: desk.valid_ms,
        };
        let (ask, host) = self.desk.ask(now, question, long)?;
        self.effects.push(OwnerEffect::Ask(AskOrder {
            ask,
            host,
            step: format!("{}.{}.{}", ready.submission, ready.occurrence, ready.step),
            upstreams,
            timeout_ms: duration_ms + ASK_SLACK_MS,
        }));
        Some(ask)
    }

    /// Chooses the upstreams that the policy service is asked about.
    ///
    /// Room counts that will be free when the answer comes. What may run a step never changes, and
    /// a question costs much more than the upstreams that it names: so the first question names
    /// many, also full ones, and later questions renew the tickets of upstreams that may run the
    /// step and have room.
    fn upstreams_to_ask(
        &self,
        now: u64,
        ready: &ReadyStep,
        call: &StepCall,
        left: u64,
        desk: PolicyDesk,
        view: &mut FleetView,
    ) -> Vec<Arc<str>> {
        let mut open = self.askable_slots(now, ready, call, desk, view);
        let rooms = open.iter().filter(|slot| slot.known_allowed);
        let known: u64 = rooms.fold(0, |sum, slot| sum.saturating_add(slot.room));
        let needed = if call.spec().gang { left } else { 1 };
        if known >= needed {
            open.retain(|slot| slot.room > 0 && slot.known_allowed);
        } else {
            open.retain(|slot| slot.room > 0 || !slot.known_allowed);
            let total = open
                .iter()
                .fold(0_u64, |sum, slot| sum.saturating_add(slot.room));
            if total < needed {
                return Vec::new();
            }
        }
        open.sort_by_key(|slot| {
            let room = std::cmp::Reverse(slot.room.min(left));
            (!slot.known_allowed, !slot.near, room)
        });
        let cheap = cheap_count(desk);
        let mut found: u64 = 0;
        let mut asked = Vec::new();
        for slot in open {
            let enough = if known >= needed {
                found >= left
            } else {
                asked.len() >= cheap && found >= left * ASKED_ROOM
            };
            if asked.len() >= MAX_ASKED || enough {
                break;
            }
            found = found.saturating_add(slot.room);
            asked.push(slot.id);
        }
        asked
    }

    /// Lists the upstreams without a valid ticket that could run the step.
    fn askable_slots(
        &self,
        now: u64,
        ready: &ReadyStep,
        call: &StepCall,
        desk: PolicyDesk,
        view: &mut FleetView,
    ) -> Vec<AskedSlot> {
        let (Some(step), Some(pool)) = (self.step_of(ready), view.pools.get_mut(&ready.queue.pool))
        else {
            return Vec::new();
        };
        let within_ms = ask_ms(desk);
        let ending = pool.ending.entry(within_ms).or_insert_with(|| {
            let slots = pool.slots.iter();
            slots
                .map(|slot| self.ending_within(now, &slot.id, within_ms))
                .collect()
        });
        let booking = call.booking();
        pool.slots
            .iter()
            .zip(ending.iter())
            .filter(|(slot, _)| call.could_run(slot, step) && !has_ticket(step, slot.slot, now))
            .map(|(slot, ending)| {
                let free = (slot.free + *ending).saturating_sub(&slot.held);
                AskedSlot {
                    id: slot.id.clone(),
                    known_allowed: step.tickets.contains_key(&slot.slot),
                    near: call.is_near(slot),
                    room: free.slots_for(&booking).min(call.step_room(&slot.id)),
                }
            })
            .collect()
    }

    fn ending_within(&self, now: u64, id: &Arc<str>, within_ms: u64) -> ResourceSize {
        self.upstreams.get(id).map_or(ResourceSize::ZERO, |entry| {
            entry.ending_within(now, within_ms)
        })
    }

    /// Takes the outcome of a question.
    pub fn on_advice(&mut self, now: u64, ask: u64, outcome: &AdviceOutcome) {
        let pause = matches!(outcome, AdviceOutcome::Failed).then_some(now + ASK_PAUSE_MS);
        let Some(question) = self.desk.finish(ask, pause) else {
            return;
        };
        self.placement_wanted = true;
        let slots: Vec<_> = question
            .upstreams
            .iter()
            .filter_map(|id| Some((id, self.upstreams.get(id)?.slot)))
            .collect();
        let submission = &question.submission;
        let entry = self.submissions.get_mut(submission);
        let occurrence =
            entry.and_then(|entry| entry.occurrences.get_mut(question.occurrence as usize));
        let Some(step) = occurrence.and_then(|found| found.steps.get_mut(question.step as usize))
        else {
            return;
        };
        step.asking = None;
        let AdviceOutcome::Answered(answer) = outcome else {
            return;
        };
        let valid_ms = answer.valid_ms.min(question.valid_ms);
        let expires_at = now + valid_ms.saturating_sub(TICKET_MARGIN_MS);
        for (id, slot) in slots {
            match answer.allowed.iter().find(|(allowed, _)| allowed == id) {
                Some((_, ticket)) => {
                    let ticket = ticket.clone();
                    step.tickets
                        .insert(slot, TicketEntry { ticket, expires_at });
                }
                None => {
                    step.denied.insert(slot);
                }
            }
        }
        if answer.allowed.is_empty() {
            step.ask_not_before = now + EMPTY_ANSWER_PAUSE_MS;
        }
    }
}

fn has_ticket(step: &StepEntry, slot: crate::owner::fleet_view::UpstreamSlot, now: u64) -> bool {
    step.tickets
        .get(&slot)
        .is_some_and(|ticket| now < ticket.expires_at)
}

/// Returns how many upstreams a question names without becoming much longer.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "small positive counts"
)]
fn cheap_count(desk: PolicyDesk) -> usize {
    if desk.per_upstream_ms <= 0.0 {
        return MAX_ASKED;
    }
    (desk.decision_ms * NAMING_SHARE / desk.per_upstream_ms) as usize
}

/// Returns how long a question about one upstream takes, in milliseconds.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "small positive times"
)]
fn ask_ms(desk: PolicyDesk) -> u64 {
    (desk.decision_ms + desk.per_upstream_ms).ceil() as u64
}
