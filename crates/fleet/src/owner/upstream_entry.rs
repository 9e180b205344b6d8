//! What the owner knows of one upstream.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use crate::model::{ResourceSize, TaskName, UpstreamReport};
use crate::owner::fleet_view::UpstreamSlot;

/// Factor by which an upstream's clock may lag, in thousandths, with the rounding.
const SLOW_CLOCK_PER_MILLE: u64 = 1021;

/// Margin of a computed lapse, in milliseconds.
const LAPSE_MARGIN_MS: u64 = 50;

/// Phase of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum RunPhase {
    /// The journal does not name it yet, and nothing was sent.
    Planned,
    /// The order to start is on its way.
    Starting,
    /// The upstream has confirmed it, or lists it.
    Running,
    /// The order got no answer and is being repeated or withdrawn.
    Unsure,
    /// It is to be stopped.
    Stopping,
}

/// A run that is booked at an upstream.
#[derive(Clone, Debug)]
pub(super) struct RunEntry {
    pub attempt: u32,
    pub phase: RunPhase,
    /// What it books of the upstream's capacity.
    pub allocation: ResourceSize,
    /// What it counts against the team's upper limit.
    pub demand: ResourceSize,
    pub team: Option<Arc<str>>,
    /// When the upstream answered; a later list without the run shows that it is gone.
    pub answered_at: Option<u64>,
    pub start_tries: u32,
    /// When a stop is sent next, and when one was accepted.
    pub stop_due_at: u64,
    pub stop_accepted_at: Option<u64>,
    pub urgent: bool,
    /// Whether it runs until it is stopped.
    pub lasting: bool,
    pub ordered_at: u64,
    /// Progress that was listed last, and since when.
    pub percent: u32,
    pub percent_since: u64,
}

impl RunEntry {
    /// Tells whether the run will end within a time, as far as its progress tells.
    fn ends_within(&self, now: u64, within_ms: u64) -> bool {
        if self.phase == RunPhase::Stopping {
            return true;
        }
        let elapsed = self.percent_since.saturating_sub(self.ordered_at);
        if self.lasting || self.percent == 0 || self.percent >= 100 || elapsed == 0 {
            return false;
        }
        let total = elapsed * 100 / u64::from(self.percent);
        self.ordered_at + total <= now + within_ms
    }
}

/// What the journal says of an upstream that does not answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Silence {
    /// It answers, or the journal does not say otherwise.
    None,
    /// What is known of its runs is to be journaled up to this mark.
    Noted(u64),
    /// The journal says that it is silent, and when its leases lapse.
    Journaled,
}

/// A reading of an upstream's clock.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClockReading {
    pub clock_ms: u64,
    pub received_at: u64,
}

/// One upstream.
#[derive(Clone, Debug)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent facts, not a state"
)]
pub(super) struct UpstreamEntry {
    pub slot: UpstreamSlot,
    pub report: UpstreamReport,
    /// Whether the directory lists it at present.
    pub listed: bool,
    /// When a new report of it was read last.
    pub refreshed_at: u64,
    /// Whether it is silent; nothing is started there unless this is `None`.
    pub silence: Silence,
    /// Whether the stored roster names it; nothing is granted before.
    pub enrolled: bool,
    /// Incarnation whose inventory was taken in this epoch.
    pub inventoried: Option<u64>,
    pub clock: Option<ClockReading>,
    /// Time at which every lease has run out, if the upstream stays silent.
    pub lapse_at: u64,
    pub runs: BTreeMap<TaskName, RunEntry>,
    pub booked: ResourceSize,
    /// Ends up to this number were processed.
    pub last_finished_number: u64,
    /// Ends up to this number are journaled.
    pub ack_number: u64,
    /// Ends that are not journaled yet, with the mark of their change.
    pub unjournaled: VecDeque<(u64, u64)>,
    /// Whether a run may have to be stopped; lets the others be skipped.
    pub stops_pending: bool,
    pub hold_in_flight: bool,
    pub next_hold_at: u64,
    pub answered_at: u64,
    /// Submissions with a failed run since the last run that was done.
    pub failures: Vec<Arc<str>>,
    /// Mean of the time that runs took, as a multiple of their estimates; 0 before the first.
    pub slowness: f64,
    pub probation_until: u64,
    pub probation_rounds: u32,
    pub backoff_until: u64,
    /// Runs of unknown size: nothing is started until they have ended.
    pub strangers: u32,
}

impl UpstreamEntry {
    pub fn new(slot: UpstreamSlot, report: UpstreamReport) -> Self {
        Self {
            slot,
            report,
            listed: true,
            refreshed_at: 0,
            silence: Silence::None,
            enrolled: false,
            inventoried: None,
            clock: None,
            lapse_at: 0,
            runs: BTreeMap::new(),
            booked: ResourceSize::ZERO,
            last_finished_number: 0,
            ack_number: 0,
            unjournaled: VecDeque::new(),
            stops_pending: false,
            hold_in_flight: false,
            next_hold_at: 0,
            answered_at: 0,
            failures: Vec::new(),
            slowness: 0.0,
            probation_until: 0,
            probation_rounds: 0,
            backoff_until: 0,
            strangers: 0,
        }
    }

    /// Returns what is free, with 0 where more is booked than there is.
    pub fn free(&self) -> ResourceSize {
        self.report.capacity.saturating_sub(&self.booked)
    }

    /// Returns what the runs book that will end within a time, as far as their progress tells.
    pub fn ending_within(&self, now: u64, within_ms: u64) -> ResourceSize {
        let ending = self
            .runs
            .values()
            .filter(|run| run.ends_within(now, within_ms));
        ending.fold(ResourceSize::ZERO, |sum, run| sum + run.allocation)
    }

    /// Grants a lease from now on: returns its end on the upstream's clock and notes when it
    /// lapses at the latest.
    pub fn grant(&mut self, now: u64, lease_ms: u64) -> Option<u64> {
        let clock = self.clock?;
        let since = now.saturating_sub(clock.received_at);
        let remaining = since + lease_ms;
        let lapse = clock.received_at + remaining * SLOW_CLOCK_PER_MILLE / 1000 + LAPSE_MARGIN_MS;
        self.lapse_at = self.lapse_at.max(lapse);
        Some(clock.clock_ms + remaining)
    }

    /// Tells whether tasks may be started there now.
    pub fn is_usable(&self, now: u64, max_contact_age_ms: u64) -> bool {
        self.is_reachable(now, max_contact_age_ms)
            && self.strangers == 0
            && now >= self.backoff_until
            && now >= self.probation_until
            && (self.probation_rounds == 0 || self.runs.is_empty())
    }

    /// Tells whether it takes orders as far as is known: nothing speaks against those that were
    /// decided already.
    pub fn is_reachable(&self, now: u64, max_contact_age_ms: u64) -> bool {
        self.listed
            && self.enrolled
            && self.silence == Silence::None
            && !self.report.draining
            && self.inventoried == Some(self.report.incarnation_unix_ms)
            && now.saturating_sub(self.answered_at) <= max_contact_age_ms
    }

    /// Tells whether one of the runs is urgent.
    pub fn has_urgent_runs(&self) -> bool {
        self.runs.values().any(|run| run.urgent)
    }

    /// Moves the acknowledgement up to the mark that is stored.
    pub fn acknowledge(&mut self, stored_mark: u64) {
        while let Some((number, mark)) = self.unjournaled.front().copied() {
            if mark > stored_mark {
                break;
            }
            self.ack_number = number;
            self.unjournaled.pop_front();
        }
    }
}
