//! Upstreams as the owner knows them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use lagoonnotch_wire::upstream::{AttemptRef, HostEntry, HostState, TaskOrder};

use crate::model::{AttemptId, ResourceSize, TeamName, UpstreamName};
use crate::shard::timing::ShardTiming;

/// Calls without an answer after which an upstream counts as silent.
pub(super) const SILENT_FAILURES: u32 = 2;

/// Capacity that an attempt holds.
#[derive(Clone, Debug)]
pub(super) struct Booking {
    pub size: ResourceSize,
    pub team: TeamName,
    /// Whether the journal holds the attempt.
    pub journaled: bool,
}

/// The fence that an upstream accepted.
#[derive(Clone, Debug)]
pub(super) struct FenceHold {
    /// Number of the fence at the upstream.
    pub number: u64,
    /// When the call was sent.
    pub sent_ms: u64,
    /// Time that the call took, by which the upstream's count may lag behind the owner's.
    pub round_trip_ms: u64,
    pub incarnation: Arc<str>,
}

/// What is known of the leases at an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum UpstreamStanding {
    /// No fence of this owner was accepted yet. Attempts of the previous owner may run, and time
    /// alone does not end them.
    Inherited,
    /// Every lease was extended by this owner.
    Held,
    /// The leases were given up as run out.
    Lost,
}

/// One upstream.
#[derive(Clone, Debug)]
pub(super) struct UpstreamEntry {
    pub name: UpstreamName,
    pub address: Arc<str>,
    pub capacity: ResourceSize,
    /// Whether the platform lists the upstream as leaving.
    pub leaving: bool,
    /// Since when the platform's list lacks the upstream.
    pub missing_since_ms: Option<u64>,
    /// The accepted fence; none before the first and after the fence was refused.
    pub fence: Option<FenceHold>,
    pub standing: UpstreamStanding,
    /// Attempts that hold capacity here.
    pub bookings: BTreeMap<AttemptId, Booking>,
    /// Sum of the bookings.
    pub booked: ResourceSize,
    /// Non-idempotent attempts whose end is not known; they hold no capacity.
    pub doubtful: BTreeSet<AttemptId>,
    pub acknowledge: Vec<AttemptRef>,
    pub orders: Vec<TaskOrder>,
    /// Whether a fence or renewal is under way.
    pub call_pending: bool,
    pub next_contact_ms: u64,
    /// Calls in a row without an answer.
    pub failures: u32,
    /// When the last message that extends fence or leases was sent.
    pub extended_ms: u64,
}

impl UpstreamEntry {
    /// Makes an upstream that is not fenced yet.
    pub fn new(host: &HostEntry) -> Self {
        let mut entry = Self::unlisted(UpstreamName::from(host.name.as_str()), 0);
        entry.missing_since_ms = None;
        entry.update(host);
        entry
    }

    /// Makes an upstream that the platform does not list.
    pub fn unlisted(name: UpstreamName, now_ms: u64) -> Self {
        Self {
            name,
            address: Arc::from(""),
            capacity: ResourceSize::ZERO,
            leaving: true,
            missing_since_ms: Some(now_ms),
            fence: None,
            standing: UpstreamStanding::Inherited,
            bookings: BTreeMap::new(),
            booked: ResourceSize::ZERO,
            doubtful: BTreeSet::new(),
            acknowledge: Vec::new(),
            orders: Vec::new(),
            call_pending: false,
            next_contact_ms: 0,
            failures: 0,
            extended_ms: 0,
        }
    }

    /// Takes over what the platform lists.
    pub fn update(&mut self, host: &HostEntry) {
        self.address = Arc::from(host.address.as_str());
        self.capacity = ResourceSize::from(host.capacity.clone());
        self.leaving = host.state == HostState::Leaving;
        self.missing_since_ms = None;
    }

    /// Returns the capacity that no attempt holds.
    pub fn free(&self) -> ResourceSize {
        self.capacity.saturating_sub(&self.booked)
    }

    /// Tells whether tasks may be placed here.
    pub fn placeable(&self) -> bool {
        let listed = !self.leaving && self.missing_since_ms.is_none();
        listed && self.fence.is_some() && self.failures == 0
    }

    /// Tells whether it is time for a fence or a renewal.
    pub fn is_due(&self, now_ms: u64) -> bool {
        let due = now_ms >= self.next_contact_ms || !self.orders.is_empty();
        due && !self.call_pending && !self.address.is_empty()
    }

    /// Tells whether the leases here may have to be given up.
    pub fn may_be_lost(&self) -> bool {
        self.silent() || self.missing_since_ms.is_some()
    }

    /// Tells whether the upstream no longer answers.
    pub fn silent(&self) -> bool {
        self.failures >= SILENT_FAILURES
    }

    /// Returns when every lease that this owner extended here has surely run out.
    pub fn leases_end_ms(&self, timing: &ShardTiming) -> u64 {
        let lag_ms = self.fence.as_ref().map_or(0, |fence| fence.round_trip_ms);
        self.extended_ms
            + timing.fence_ms.max(timing.task_lease_ms)
            + timing.drift_margin_ms
            + lag_ms
    }

    /// Adds a booking; returns whether it is new.
    pub fn book(&mut self, attempt: &AttemptId, booking: Booking) -> bool {
        if self.bookings.contains_key(attempt) {
            return false;
        }
        self.booked += booking.size;
        self.bookings.insert(attempt.clone(), booking);
        true
    }

    /// Removes a booking.
    pub fn unbook(&mut self, attempt: &AttemptId) -> Option<Booking> {
        let booking = self.bookings.remove(attempt)?;
        self.booked -= booking.size;
        Some(booking)
    }
}

/// Returns the border form of an attempt.
pub(super) fn attempt_ref(attempt: &AttemptId) -> AttemptRef {
    AttemptRef {
        task: attempt.task.to_string(),
        attempt: attempt.number,
    }
}
