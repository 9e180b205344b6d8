//! The owner's state of one upstream.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use crate::model::{ResourceSize, TaskName, UpstreamReport};
use crate::owner::crash_suspects::CrashVictim;
use crate::owner::due_queue::DueQueue;
use crate::owner::fleet_view::UpstreamIndex;
use crate::owner::incarnation_check::IncarnationDoubt;
use crate::owner::quarantine::FIRST_QUARANTINE_MS;
use crate::owner::{LeaseTerm, StartOrder, StopReason};

/// Factor from a duration on an upstream's clock to the longest possible duration on the owner's
/// clock, in thousandths: the upstream's clock may run 2 % slow (1000 / 980, rounded up).
const SLOW_CLOCK_FACTOR_PER_MILLE: u64 = 1021;

/// Additional delay of a renewal while finished runs are not stored yet, in milliseconds. They
/// cannot be acknowledged before, and the upstream replies at once as long as it lists
/// unacknowledged finished runs.
const COMMIT_WAIT_MS: u64 = 250;

/// Time for which the runs that are placed after a quarantine hold back others, in milliseconds. It
/// is longer than the time after which a run counts as stalled.
const PROBE_TIMEOUT_MS: u64 = 3000;

/// Percentage at which a long-running run is at work.
const AT_WORK_PERCENT: u32 = 100;

/// Margin added to a computed lease expiry, in milliseconds.
const EXPIRY_MARGIN_MS: u64 = 50;

/// Phase of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum RunPhase {
    /// It is allocated, but no start order was sent; the order waits until the run is recorded in
    /// the store.
    Planned,
    /// The start order is in flight.
    Starting,
    /// The upstream has confirmed or listed it.
    Running,
    /// The start order got no answer and is being repeated or withdrawn.
    Unconfirmed,
    /// It is to be stopped.
    Stopping,
}

/// A run that is allocated on an upstream.
#[derive(Clone, Debug)]
pub(super) struct RunEntry {
    pub attempt: u32,
    pub phase: RunPhase,
    /// Resources that it allocates on the upstream.
    pub allocation: ResourceSize,
    /// Resources that it counts against the team's upper limit.
    pub demand: ResourceSize,
    pub team: Option<Arc<str>>,
    /// Time at which the upstream confirmed the run; a list requested later without the run shows
    /// that it is gone. 0 for a run restored from the store until the upstream lists it.
    pub confirmed_at: Option<u64>,
    /// Number of start orders for this attempt; 1 even before the first one is sent.
    pub start_orders: u32,
    /// Time at which the last start order was sent; 0 if this owner sent none.
    pub order_sent_at: u64,
    /// Why it is being stopped; `None` unless it is in phase `Stopping` or `Unconfirmed`.
    pub stop_reason: Option<StopReason>,
    /// Time of the next stop order.
    pub stop_due_at: u64,
    /// Time at which the upstream accepted a stop order.
    pub stop_accepted_at: Option<u64>,
    /// Whether the run's queue has priority 0, the highest.
    pub urgent: bool,
    /// Whether it runs until it is stopped.
    pub long_running: bool,
    /// Time at which the run was planned, first ordered or adopted, whichever is last. For a run
    /// restored from the store, 0 until the upstream lists it, and then estimated from its
    /// progress.
    pub ordered_at: u64,
    /// Whether this owner did not order the run, so that it does not know how long it has taken.
    pub inherited: bool,
    /// Last reported progress, in percent.
    pub percent: u32,
    /// Time since which the progress has not changed; 0 until the upstream lists a run restored
    /// from the store.
    pub percent_since: u64,
}

impl RunEntry {
    /// Records the first list with a run that was restored from the store; `estimate_ms` is the
    /// estimated duration of the whole run.
    pub fn confirm_restored(&mut self, now: u64, percent: u32, estimate_ms: u64) {
        let elapsed_ms = estimate_ms * u64::from(percent.min(100)) / 100;
        self.ordered_at = now.saturating_sub(elapsed_ms);
        self.confirmed_at = Some(now);
    }

    /// Returns whether it is a long-running run that has been at work for a while. Such a run never
    /// completes, so this shows that its task and its upstream are sound.
    pub fn was_at_work(&self, now: u64) -> bool {
        self.long_running
            && self.percent >= AT_WORK_PERCENT
            && now >= self.ordered_at + PROBE_TIMEOUT_MS
    }

    /// Returns the mean time that each percent of progress has taken, in milliseconds; 0 if it is not
    /// known.
    pub fn percent_time_ms(&self) -> u64 {
        if self.inherited || self.percent == 0 {
            return 0;
        }
        self.percent_since.saturating_sub(self.ordered_at) / u64::from(self.percent)
    }

    /// Returns whether an order to start the run got no answer and may still be executed.
    fn has_unanswered_order(&self) -> bool {
        self.confirmed_at.is_none() || self.start_orders > 1
    }

    /// Returns whether the run is expected to end within a duration, based on its progress.
    fn ends_within(&self, now: u64, within_ms: u64) -> bool {
        if self.phase == RunPhase::Stopping {
            return true;
        }
        let elapsed = self.percent_since.saturating_sub(self.ordered_at);
        if self.long_running || self.percent == 0 || self.percent >= 100 || elapsed == 0 {
            return false;
        }
        let total = elapsed * 100 / u64::from(self.percent);
        self.ordered_at + total <= now + within_ms
    }
}

/// Whether an upstream answers, and whether the store records that it does not.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ContactState {
    /// The upstream answers, or it is silent but has no runs that a successor must know of.
    Responsive,
    /// The upstream is silent. The store records this once all changes up to this sequence number,
    /// which include the upstream's runs, are stored.
    RecordingRuns(u64),
    /// The store records, or will with the next roster, that the upstream is silent and when its
    /// leases expire.
    RecordedSilent,
}

/// Whether the directory has an entry of an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum DirectoryPresence {
    /// It has a readable entry.
    Listed,
    /// Its entry describes no usable upstream, which says nothing about the upstream itself.
    Unreadable,
    /// It has none.
    Missing,
}

/// Terms of a new lease.
#[derive(Clone, Copy, Debug)]
pub(super) struct LeaseTerms {
    /// Duration, in milliseconds of the upstream's clock.
    pub duration_ms: u64,
    /// Time by which it expires at the latest, even if the upstream's clock is slow.
    pub expires_by: u64,
}

/// A reading of an upstream's clock.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClockReading {
    pub clock_ms: u64,
    pub received_at: u64,
}

/// Orders that rest on a reading of an upstream's clock or on its numbers of finished runs. Another
/// incarnation that gets them applies them to its own.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct SentAssumptions {
    /// Number of orders that grant leases.
    pub lease_orders: u32,
    /// Highest acknowledged number of a finished run.
    pub ack_number: u64,
}

/// An upstream and its runs.
#[derive(Clone, Debug)]
pub(super) struct UpstreamEntry {
    pub index: UpstreamIndex,
    pub report: UpstreamReport,
    pub presence: DirectoryPresence,
    /// A time before the latest report was written; `None` if this owner's reads do not show one.
    pub report_written_after: Option<u64>,
    /// Whether it answers; nothing is started there unless this is `Responsive`.
    pub contact: ContactState,
    /// Whether the stored roster contains it; until then no lease is granted.
    pub in_stored_roster: bool,
    /// Incarnation that last sent its list of runs to this owner; `None` before the first list.
    pub run_list_incarnation: Option<u64>,
    pub clock: Option<ClockReading>,
    /// Orders sent since the last answer that rest on what the upstream said then.
    pub assumptions: SentAssumptions,
    /// Fencing token of orders to the upstream: the owner's epoch, or the revision of a later
    /// commit of it, so that it is below the epoch of every later owner.
    pub fence: u64,
    /// Fencing token of the last renewal.
    pub renewal_fence: u64,
    /// Whether it is unknown which incarnation executes orders.
    pub doubt: Option<IncarnationDoubt>,
    /// Start orders without an answer, which are repeated when the doubt ends.
    pub deferred_starts: Vec<StartOrder>,
    /// Time by which the leases have expired that orders to former incarnations may have granted; 0
    /// if there are none.
    pub former_leases_until: u64,
    /// Time by which every lease has expired if the upstream stays silent.
    pub leases_expire_at: u64,
    /// Where `leases_expire_at` comes from.
    pub lease_term: LeaseTerm,
    /// Time of the last answer, or of the takeover, if the upstream is silent and its runs were
    /// reported as held.
    pub held_since: Option<u64>,
    pub runs: BTreeMap<TaskName, RunEntry>,
    pub allocated: ResourceSize,
    /// Number of the last finished run that was processed.
    pub last_finished_number: u64,
    /// Highest number such that the changes of all finished runs up to it are stored.
    pub ack_number: u64,
    /// Highest number of a finished run that the upstream has forgotten.
    pub confirmed_ack: u64,
    /// Finished runs that are not stored yet: their number, and the sequence number of their
    /// change.
    pub uncommitted: VecDeque<(u64, u64)>,
    pub renewal_in_flight: bool,
    /// Earliest time of the next renewal, if all finished runs are stored by then.
    next_renewal_at: u64,
    /// Time for which the next renewal is queued; `None` if it is not queued. Other entries of the
    /// upstream in the queue are outdated.
    renewal_queued_at: Option<u64>,
    /// Time of the last reply to a renewal, or of the last confirmed start; 0 if this owner has had
    /// none.
    pub answered_at: u64,
    /// Start of the incarnation that the runs were placed on; `None` before the first reply.
    pub runs_incarnation: Option<u64>,
    /// The last incarnation that reported that it is about to leave.
    pub drained_incarnation: Option<u64>,
    /// Time of the first failed renewal since the last reply.
    pub silent_since: Option<u64>,
    /// Runs that were released because their leases had expired while the upstream was silent.
    pub expired_runs: Vec<CrashVictim>,
    /// Time until which nothing else is placed beside the suspects that run here.
    pub isolated_until: u64,
    /// Submissions with a failed run since the last completed run.
    pub failed_submissions: Vec<Arc<str>>,
    /// Smoothed ratio of actual to estimated run time; drifts towards the fleet's mean with each
    /// report, so that an upstream that gets no runs is not considered slow forever; 0 initially.
    pub slowdown: f64,
    /// Time of the last quarantine.
    pub quarantined_at: u64,
    /// Time until which nothing is placed on the upstream after failed or stalled runs.
    pub quarantined_until: u64,
    /// Number of quarantines since the last run that showed the upstream to be sound.
    pub quarantine_count: u32,
    /// Time until which nothing is placed on the upstream after it rejected a start as unhealthy or
    /// full.
    pub backoff_until: u64,
    /// Number of listed runs whose submission or step is unknown, and therefore also the resources
    /// that they use; nothing is placed until they have ended.
    pub unknown_runs: u32,
}

/// Returns the time by which a lease has expired whose duration on the upstream's clock is counted
/// from a time at the latest.
pub(super) fn latest_expiry(from: u64, duration_ms: u64) -> u64 {
    from + duration_ms * SLOW_CLOCK_FACTOR_PER_MILLE / 1000 + EXPIRY_MARGIN_MS
}

impl UpstreamEntry {
    pub fn new(index: UpstreamIndex, report: UpstreamReport, fence: u64) -> Self {
        Self {
            index,
            report,
            presence: DirectoryPresence::Listed,
            report_written_after: None,
            contact: ContactState::Responsive,
            in_stored_roster: false,
            run_list_incarnation: None,
            clock: None,
            assumptions: SentAssumptions::default(),
            fence,
            renewal_fence: fence,
            doubt: None,
            deferred_starts: Vec::new(),
            former_leases_until: 0,
            leases_expire_at: 0,
            lease_term: LeaseTerm::OwnLeases,
            held_since: None,
            runs: BTreeMap::new(),
            allocated: ResourceSize::ZERO,
            last_finished_number: 0,
            ack_number: 0,
            confirmed_ack: 0,
            uncommitted: VecDeque::new(),
            renewal_in_flight: false,
            next_renewal_at: 0,
            renewal_queued_at: None,
            answered_at: 0,
            runs_incarnation: None,
            drained_incarnation: None,
            silent_since: None,
            expired_runs: Vec::new(),
            isolated_until: 0,
            failed_submissions: Vec::new(),
            slowdown: 0.0,
            quarantined_at: 0,
            quarantined_until: 0,
            quarantine_count: 0,
            backoff_until: 0,
            unknown_runs: 0,
        }
    }

    /// Returns the free capacity, at least 0 for each resource even if more is allocated than
    /// exists.
    pub fn free(&self) -> ResourceSize {
        self.report.capacity.saturating_sub(&self.allocated)
    }

    /// Returns the resources of the runs that are expected to end within a duration, based on their
    /// progress.
    pub fn freed_within(&self, now: u64, within_ms: u64) -> ResourceSize {
        let ending = self
            .runs
            .values()
            .filter(|run| run.ends_within(now, within_ms));
        ending.fold(ResourceSize::ZERO, |sum, run| sum + run.allocation)
    }

    /// Returns the resources of the long-running runs that are not being stopped.
    pub fn long_running_allocation(&self) -> ResourceSize {
        let long_running = self.runs.values().filter(|run| {
            run.long_running && !matches!(run.phase, RunPhase::Stopping | RunPhase::Unconfirmed)
        });
        long_running.fold(ResourceSize::ZERO, |sum, run| sum + run.allocation)
    }

    /// Grants a lease starting now: returns its expiry on the upstream's clock and records the
    /// latest possible expiry. Returns `None` if no lease can be granted.
    pub fn grant_lease(&mut self, now: u64, terms: LeaseTerms) -> Option<u64> {
        let clock = self.clock?;
        let granted_ms = self.granted_ms(now, terms)?;
        let expiry = latest_expiry(clock.received_at, granted_ms);
        if expiry > self.leases_expire_at {
            self.leases_expire_at = expiry;
            self.lease_term = LeaseTerm::OwnLeases;
        }
        self.assumptions.lease_orders += 1;
        Some(clock.clock_ms + granted_ms)
    }

    /// Returns whether a lease can be granted.
    pub fn can_grant_lease(&self, now: u64, terms: LeaseTerms) -> bool {
        self.granted_ms(now, terms).is_some()
    }

    /// Returns the duration of a lease from the last reading of the upstream's clock, in
    /// milliseconds of that clock; `None` if the lease would have expired.
    fn granted_ms(&self, now: u64, terms: LeaseTerms) -> Option<u64> {
        let read_at = self.clock?.received_at;
        let since = now.saturating_sub(read_at);
        let longest = terms.expires_by.saturating_sub(read_at + EXPIRY_MARGIN_MS);
        let longest = longest * 1000 / SLOW_CLOCK_FACTOR_PER_MILLE;
        let granted_ms = longest.min(since + terms.duration_ms);
        (granted_ms > since).then_some(granted_ms)
    }

    /// Returns whether tasks may be placed on the upstream now.
    pub fn is_usable(&self, now: u64, max_contact_age_ms: u64) -> bool {
        self.is_reachable(now, max_contact_age_ms)
            && self.unknown_runs == 0
            && now >= self.backoff_until
            && now >= self.quarantined_until
            && now >= self.isolated_until
            && (self.quarantine_count == 0 || !self.is_probed(now))
    }

    /// Returns whether a run that was placed after the last quarantine may still show that the
    /// upstream is not sound. Runs from before the quarantine show nothing; they may last for long.
    fn is_probed(&self, now: u64) -> bool {
        self.runs.values().any(|run| {
            run.ordered_at >= self.quarantined_until && now < run.ordered_at + PROBE_TIMEOUT_MS
        })
    }

    /// Returns whether a quarantine has lasted as long as a first one and may end early.
    pub fn may_shorten_quarantine(&self, now: u64) -> bool {
        now < self.quarantined_until && now >= self.quarantined_at + FIRST_QUARANTINE_MS
    }

    /// Records that a run shows the upstream to be sound.
    pub fn end_probation(&mut self) {
        self.failed_submissions.clear();
        self.quarantine_count = 0;
    }

    /// Ends the probation if a long-running run that was placed after the last quarantine has been
    /// at work for a while; such a run never completes.
    pub fn check_long_running_probe(&mut self, now: u64, name: &TaskName) {
        let quarantined_until = self.quarantined_until;
        let is_sound = self.quarantine_count > 0
            && self
                .runs
                .get(name)
                .is_some_and(|run| run.ordered_at >= quarantined_until && run.was_at_work(now));
        if is_sound {
            self.end_probation();
        }
    }

    /// Returns whether orders that are already decided may be sent to the upstream.
    pub fn is_reachable(&self, now: u64, max_contact_age_ms: u64) -> bool {
        self.presence == DirectoryPresence::Listed
            && self.in_stored_roster
            && self.contact == ContactState::Responsive
            && !self.report.draining
            && self.doubt.is_none()
            && self.run_list_incarnation == Some(self.report.incarnation_unix_ms)
            && now.saturating_sub(self.answered_at) <= max_contact_age_ms
    }

    /// Sets the earliest time of the next renewal.
    pub fn schedule_renewal(&mut self, at: u64, queue: &mut DueQueue) {
        self.next_renewal_at = at;
        self.queue_renewal(queue);
    }

    /// Moves the next renewal forward to a time, unless it is due earlier.
    pub fn hasten_renewal(&mut self, at: u64, queue: &mut DueQueue) {
        self.schedule_renewal(self.next_renewal_at.min(at), queue);
    }

    /// Queues the next renewal for the time at which it is due, unless one is in flight.
    pub fn queue_renewal(&mut self, queue: &mut DueQueue) {
        let wait_ms = if self.uncommitted.is_empty() {
            0
        } else {
            COMMIT_WAIT_MS
        };
        let due_at = self.next_renewal_at + wait_ms;
        if !self.renewal_in_flight && self.renewal_queued_at != Some(due_at) {
            self.renewal_queued_at = Some(due_at);
            queue.push(due_at, &self.report.id);
        }
    }

    /// Takes the renewal that was queued for a time; returns false if the queue entry is outdated.
    pub fn take_queued_renewal(&mut self, at: u64) -> bool {
        if self.renewal_in_flight || self.renewal_queued_at != Some(at) {
            return false;
        }
        self.renewal_queued_at = None;
        true
    }

    /// Returns the start of the incarnation that a successor must know of: the one that this
    /// owner's orders are meant for, so that the successor notices if it has ended, or else the
    /// reported one.
    pub fn stored_incarnation(&self) -> u64 {
        self.runs_incarnation
            .unwrap_or(self.report.incarnation_unix_ms)
    }

    /// Returns the runs that have ended once `leases_expire_at` has passed, and records them as
    /// possible victims of a crash. Runs whose start got no answer may be on a later incarnation.
    pub fn take_expired_runs(&mut self, now: u64) -> Vec<TaskName> {
        let is_later = now < self.former_leases_until;
        let ended = self
            .runs
            .iter()
            .filter(|(_, run)| !is_later || !run.has_unanswered_order());
        let names: Vec<_> = ended.map(|(name, _)| name.clone()).collect();
        let victims = self.crash_victims().into_iter();
        self.expired_runs
            .extend(victims.filter(|victim| names.contains(&victim.name)));
        names
    }

    /// Returns whether any of the runs is urgent.
    pub fn has_urgent_runs(&self) -> bool {
        self.runs.values().any(|run| run.urgent)
    }

    /// Returns the number up to which the next renewal acknowledges finished runs; 0 for none. It
    /// names none that are forgotten already, because another incarnation would take them for its
    /// own.
    pub fn due_ack(&self) -> u64 {
        if self.doubt.is_none() && self.ack_number > self.confirmed_ack {
            self.ack_number
        } else {
            0
        }
    }

    /// Records which finished runs the upstream has forgotten; `first_listed` is the number of the
    /// first that it still lists.
    pub fn confirm_ack(&mut self, first_listed: Option<u64>) {
        let forgotten = first_listed.map_or(self.ack_number, |number| number.saturating_sub(1));
        self.confirmed_ack = forgotten.min(self.ack_number);
    }

    /// Advances the acknowledged number to the finished runs whose changes are stored.
    pub fn acknowledge(&mut self, stored_sequence: u64) {
        while let Some((number, sequence)) = self.uncommitted.front().copied() {
            if sequence > stored_sequence {
                break;
            }
            self.ack_number = number;
            self.uncommitted.pop_front();
        }
    }
}
