//! The owner's view of upstreams.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use lagoonnotch_wire::upstream::{AttemptRef, HostEntry, HostState, TaskOrder};

use crate::model::{AttemptId, ResourceSize, TeamName, UpstreamName};
use crate::shard::timing::ShardTiming;

/// Number of consecutive calls without a reply after which an upstream counts as silent.
pub(super) const SILENT_AFTER_FAILED_CALLS: u32 = 2;

/// Capacity reserved for an attempt.
#[derive(Clone, Debug)]
pub(super) struct Reservation {
    pub size: ResourceSize,
    pub team: TeamName,
    /// Whether the attempt starts only after its intent is committed.
    pub needs_journal: bool,
}

/// A fence that the upstream accepted.
#[derive(Clone, Debug)]
pub(super) struct ActiveFence {
    /// Number of the fence at the upstream.
    pub number: u64,
    /// When the fence call was sent, in milliseconds.
    pub sent_ms: u64,
    /// Round-trip time of the fence call, in milliseconds. The upstream's timers may lag behind the
    /// owner's by this much.
    pub round_trip_ms: u64,
    pub incarnation: Arc<str>,
}

/// What is known about the leases at an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum LeaseState {
    /// The upstream has not accepted a fence of this owner yet. The previous owner may still be
    /// renewing leases there, so they cannot be assumed to expire.
    Inherited,
    /// The upstream accepted a fence of this owner, which alone extends its leases.
    Own,
    /// The leases were given up as expired.
    Expired,
}

/// State of one upstream.
#[derive(Clone, Debug)]
pub(super) struct UpstreamEntry {
    pub name: UpstreamName,
    pub address: Arc<str>,
    pub capacity: ResourceSize,
    /// Whether the upstream is leaving, or was never listed.
    pub leaving: bool,
    /// Time since which the platform's list lacks the upstream, in milliseconds; none while it is
    /// listed.
    pub missing_since_ms: Option<u64>,
    /// The accepted fence; none before the first one and after a renewal was refused.
    pub fence: Option<ActiveFence>,
    pub lease_state: LeaseState,
    /// Reservations by attempt.
    pub reservations: BTreeMap<AttemptId, Reservation>,
    /// Sum of the reservations.
    pub reserved: ResourceSize,
    /// Non-idempotent attempts with an unknown end. They hold no capacity.
    pub doubtful: BTreeSet<AttemptId>,
    /// Ended attempts that the next renewal allows the upstream to forget.
    pub to_acknowledge: Vec<AttemptRef>,
    /// Orders that the next renewal carries.
    pub orders: Vec<TaskOrder>,
    /// Whether a fence or renewal call is in flight.
    pub call_pending: bool,
    pub next_contact_ms: u64,
    /// Number of consecutive calls without a reply.
    pub failed_calls: u32,
    /// When the last call that extends the fence or leases was sent, in milliseconds.
    pub last_extension_ms: u64,
}

impl UpstreamEntry {
    /// Creates the entry of a listed upstream that is not fenced yet.
    pub fn new(listed: &HostEntry) -> Self {
        let mut entry = Self::unlisted(UpstreamName::from(listed.name.as_str()), 0);
        entry.missing_since_ms = None;
        entry.update(listed);
        entry
    }

    /// Creates the entry of an upstream that the platform does not list.
    pub fn unlisted(name: UpstreamName, now_ms: u64) -> Self {
        Self {
            name,
            address: Arc::from(""),
            capacity: ResourceSize::ZERO,
            leaving: true,
            missing_since_ms: Some(now_ms),
            fence: None,
            lease_state: LeaseState::Inherited,
            reservations: BTreeMap::new(),
            reserved: ResourceSize::ZERO,
            doubtful: BTreeSet::new(),
            to_acknowledge: Vec::new(),
            orders: Vec::new(),
            call_pending: false,
            next_contact_ms: 0,
            failed_calls: 0,
            last_extension_ms: 0,
        }
    }

    /// Applies the platform's data about the upstream.
    pub fn update(&mut self, listed: &HostEntry) {
        self.address = Arc::from(listed.address.as_str());
        self.capacity = ResourceSize::from(listed.capacity.clone());
        self.leaving = listed.state == HostState::Leaving;
        self.missing_since_ms = None;
    }

    /// Returns the capacity that is not reserved.
    pub fn free(&self) -> ResourceSize {
        self.capacity.saturating_sub(&self.reserved)
    }

    /// Returns whether tasks may be placed here.
    pub fn is_schedulable(&self) -> bool {
        let is_listed = !self.leaving && self.missing_since_ms.is_none();
        is_listed && self.fence.is_some() && self.failed_calls == 0
    }

    /// Returns whether a fence or renewal call is due.
    pub fn is_due(&self, now_ms: u64) -> bool {
        let due = now_ms >= self.next_contact_ms || !self.orders.is_empty();
        due && !self.call_pending && !self.address.is_empty()
    }

    /// Returns whether the upstream is silent or unlisted, so that its leases may have to be given
    /// up.
    pub fn may_be_lost(&self) -> bool {
        self.is_silent() || self.missing_since_ms.is_some()
    }

    /// Returns whether the upstream has stopped replying.
    pub fn is_silent(&self) -> bool {
        self.failed_calls >= SILENT_AFTER_FAILED_CALLS
    }

    /// Returns the time by which every lease that this owner extended here has expired, in
    /// milliseconds.
    pub fn leases_end_ms(&self, timing: &ShardTiming) -> u64 {
        let lag_ms = self.fence.as_ref().map_or(0, |fence| fence.round_trip_ms);
        self.last_extension_ms
            + timing.fence_ttl_ms.max(timing.task_lease_ttl_ms)
            + timing.clock_drift_margin_ms
            + lag_ms
    }

    /// Adds a reservation. Returns whether it is new.
    pub fn reserve(&mut self, attempt: &AttemptId, reservation: Reservation) -> bool {
        if self.reservations.contains_key(attempt) {
            return false;
        }
        self.reserved += reservation.size;
        self.reservations.insert(attempt.clone(), reservation);
        true
    }

    /// Removes a reservation.
    pub fn release_reservation(&mut self, attempt: &AttemptId) -> Option<Reservation> {
        let reservation = self.reservations.remove(attempt)?;
        self.reserved -= reservation.size;
        Some(reservation)
    }
}

/// Converts an attempt to its wire format.
pub(super) fn attempt_ref(attempt: &AttemptId) -> AttemptRef {
    AttemptRef {
        task: attempt.task.to_string(),
        attempt: attempt.number,
    }
}
