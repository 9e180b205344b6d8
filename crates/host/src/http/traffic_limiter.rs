//! Limits of what clients hold of a host: bytes and connections.

use std::net::IpAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde_json::json;
use tokio::sync::{Semaphore, SemaphorePermit};
use tokio::task::yield_now;
use tokio::time::{sleep, timeout};

use crate::clock::now_ms;
use crate::event::FleetEvent;
use crate::http::ServerLimits;
use crate::http::byte_budget::{ByteBudget, ByteCharge};
use crate::http::connection_state::ConnectionState;
use crate::http::connection_table::ConnectionTable;
use crate::http::connection_view::{ConnectionPhase, ConnectionView, ServerPort};
use crate::http::eviction_order::{CloseCause, connections_to_evict, expired_cause};
use crate::http::shed_order::{RoomSeeker, connections_to_shed};
use crate::metrics::FleetMetrics;

/// Time between two sweeps for connections that exceed a time-out.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum number of connections that are closed at once for a new one; the order is computed
/// less often if several are closed.
const EVICTION_COUNT: usize = 8;

/// Time for which no connection is looked for after none was found, in milliseconds.
const SEARCH_PAUSE_MS: u64 = 20;

/// How often a charge is tried again after connections were closed for it. The tasks of these have
/// run, and released their memory, by the next turn of the runtime.
const CHARGE_ATTEMPTS: u32 = 3;

/// Maximum time for which a complete request waits until others have been handled.
const MAX_HANDLING_WAIT: Duration = Duration::from_secs(1);

/// Minimum time between two reports that the budget is exhausted, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 1000;

/// Maximum number of connections of the readiness port, and of the metrics port.
const MAX_SERVICE_CONNECTIONS: usize = 32;

/// Limits of what clients hold of a host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TrafficLimits {
    /// Maximum memory for requests, in bytes.
    pub request_bytes: usize,
    /// Maximum number of connections of callers.
    pub max_caller_connections: usize,
    /// Maximum number of connections of other hosts.
    pub max_peer_connections: usize,
    /// Maximum number of callers' requests that are handled at a time; each may need a connection
    /// to the store.
    pub max_handled_requests: usize,
}

/// Why a request was refused or closed for lack of memory.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ShedCause {
    /// It was refused before its body was read.
    Refused,
    /// Its body could not be held while it arrived.
    NoRoom,
    /// It held most and moved least.
    Slow,
    /// Too many requests were being handled.
    Busy,
}

#[derive(Debug)]
struct LimiterState {
    limits: TrafficLimits,
    budget: ByteBudget,
    metrics: Arc<FleetMetrics>,
    table: Mutex<ConnectionTable>,
    handled: Semaphore,
    /// Until when no connection to close is looked for, by [`SearchKind`].
    paused_until: [AtomicU64; 2],
    reported_at: AtomicU64,
}

/// What a connection to close is looked for.
#[derive(Clone, Copy, Debug)]
enum SearchKind {
    Memory,
    Connections,
}

/// Enforces the limits of all ports of a host. Clones share the same state.
#[derive(Clone, Debug)]
pub struct TrafficLimiter {
    state: Arc<LimiterState>,
}

/// An open connection; it no longer counts when this is dropped.
#[derive(Debug)]
pub struct OpenConnection {
    limiter: TrafficLimiter,
    pub(super) state: Arc<ConnectionState>,
}

impl TrafficLimiter {
    /// Creates a limiter.
    #[must_use]
    pub fn new(limits: TrafficLimits, metrics: Arc<FleetMetrics>) -> Self {
        let state = LimiterState {
            limits,
            budget: ByteBudget::new(limits.request_bytes),
            metrics,
            table: Mutex::new(ConnectionTable::new(now_ms())),
            handled: Semaphore::new(limits.max_handled_requests),
            paused_until: [AtomicU64::new(0), AtomicU64::new(0)],
            reported_at: AtomicU64::new(0),
        };
        Self {
            state: Arc::new(state),
        }
    }

    /// Returns the budget of bytes, which all ports of the host share.
    #[must_use]
    pub fn budget(&self) -> &ByteBudget {
        &self.state.budget
    }

    /// Closes connections that exceed a time-out, and updates the metrics, until the task is
    /// dropped.
    pub async fn run(self) {
        loop {
            sleep(SWEEP_INTERVAL).await;
            self.sweep();
        }
    }

    /// Adds a connection that was accepted. At the port's bound, idle and slow connections are
    /// closed for it; returns none if there are none, and the connection must be closed.
    pub async fn open(
        &self,
        port: ServerPort,
        address: IpAddr,
        limits: ServerLimits,
    ) -> Option<OpenConnection> {
        let max = self.max_connections(port);
        if self.table().count(port) >= max {
            if !self.evict(Some(port)) {
                self.report_closed(CloseCause::Crowded, port, address);
                return None;
            }
            // The tasks of the closed connections release their descriptors first.
            yield_now().await;
        }
        let budget = &self.state.budget;
        let state = self
            .table()
            .insert(|id| ConnectionState::new(id, port, address.to_canonical(), limits, budget));
        Some(OpenConnection {
            limiter: self.clone(),
            state,
        })
    }

    /// Closes idle and slow connections, of one port or of all; returns whether there were any.
    pub(super) fn evict(&self, port: Option<ServerPort>) -> bool {
        let now = now_ms();
        if self.is_paused(SearchKind::Connections, now) {
            return false;
        }
        let closed: Vec<_> = {
            let mut table = self.table();
            let views: Vec<_> = table
                .views(now)
                .map(|(view, _)| view)
                .filter(|view| port.is_none_or(|port| view.port == port))
                .collect();
            connections_to_evict(&views, EVICTION_COUNT)
                .into_iter()
                .filter_map(|id| table.close(id))
                .collect()
        };
        if closed.is_empty() {
            self.pause(SearchKind::Connections, now);
        }
        for state in &closed {
            self.report_closed(CloseCause::Crowded, state.port, state.address);
        }
        !closed.is_empty()
    }

    /// Grows a charge to `bytes`. If the budget has no room, connections are closed for it as the
    /// order says; returns false if that does not help.
    pub(super) async fn reserve(
        &self,
        charge: &ByteCharge,
        bytes: usize,
        seeker: RoomSeeker,
    ) -> bool {
        if charge.try_grow(bytes) {
            return true;
        }
        self.report_full();
        if !self.shed(seeker, charge.missing(bytes)) {
            return false;
        }
        for _ in 0..CHARGE_ATTEMPTS {
            yield_now().await;
            if charge.try_grow(bytes) {
                return true;
            }
        }
        false
    }

    /// Waits until another request may be handled; returns none if that takes too long.
    pub(super) async fn begin_handling(&self) -> Option<SemaphorePermit<'_>> {
        let handled = &self.state.handled;
        match handled.try_acquire() {
            Ok(permit) => Some(permit),
            Err(_) => timeout(MAX_HANDLING_WAIT, handled.acquire())
                .await
                .ok()?
                .ok(),
        }
    }

    /// Counts and logs a request that was refused or closed.
    pub(super) fn report_shed(&self, cause: ShedCause, state: &ConnectionState, held: usize) {
        let cause = cause.label();
        self.state.metrics.traffic().count_shed(cause);
        FleetEvent::RequestShed.emit(json!({
            "cause": cause,
            "port": state.port.label(),
            "client": state.address,
            "held_bytes": held,
            "used_bytes": self.state.budget.used(),
        }));
    }

    /// Counts and logs a connection that was closed early.
    pub(super) fn report_closed(&self, cause: CloseCause, port: ServerPort, address: IpAddr) {
        let cause = cause.label();
        self.state.metrics.traffic().count_closed(cause);
        FleetEvent::ConnectionClosed.emit(json!({
            "cause": cause,
            "port": port.label(),
            "client": address,
        }));
    }

    /// Closes the connections that make room for `missing` bytes; returns whether there are any.
    fn shed(&self, seeker: RoomSeeker, missing: usize) -> bool {
        let now = now_ms();
        let is_new = matches!(seeker, RoomSeeker::NewRequest);
        if is_new && self.is_paused(SearchKind::Memory, now) {
            return false;
        }
        let closed: Vec<(ConnectionView, Arc<ConnectionState>)> = {
            let mut table = self.table();
            let views: Vec<_> = table.views(now).map(|(view, _)| view).collect();
            connections_to_shed(&views, seeker, missing)
                .into_iter()
                .filter_map(|id| {
                    let view = views.iter().find(|view| view.id == id)?;
                    Some((*view, table.close(id)?))
                })
                .collect()
        };
        if is_new && closed.is_empty() {
            self.pause(SearchKind::Memory, now);
        }
        for (view, state) in &closed {
            match view.phase {
                ConnectionPhase::Idle | ConnectionPhase::Lingering => {
                    self.report_closed(CloseCause::Crowded, state.port, state.address);
                }
                _ => self.report_shed(ShedCause::Slow, state, view.held_bytes),
            }
        }
        !closed.is_empty()
    }

    fn sweep(&self) {
        let now = now_ms();
        let closed: Vec<_> = {
            let mut table = self.table();
            table.begin_sweep(now);
            let expired: Vec<_> = table
                .views(now)
                .filter_map(|(view, state)| Some((view.id, expired_cause(&view, &state.limits)?)))
                .collect();
            let closed = expired
                .into_iter()
                .filter_map(|(id, cause)| Some((cause, table.close(id)?)))
                .collect();
            table.end_sweep(now);
            closed
        };
        for (cause, state) in closed {
            self.report_closed(cause, state.port, state.address);
        }
        let budget = &self.state.budget;
        if budget.used() > budget.total() {
            self.report_full();
            self.shed(RoomSeeker::Host, budget.used() - budget.total());
        }
        let metrics = self.state.metrics.traffic();
        metrics.set_request_memory(budget.used());
        for port in ServerPort::ALL {
            metrics.set_open_connections(port.label(), self.table().count(port));
        }
    }

    fn max_connections(&self, port: ServerPort) -> usize {
        match port {
            ServerPort::Callers => self.state.limits.max_caller_connections,
            ServerPort::Peers => self.state.limits.max_peer_connections,
            ServerPort::Readiness | ServerPort::Metrics => MAX_SERVICE_CONNECTIONS,
        }
    }

    fn report_full(&self) {
        let now = now_ms();
        let reported_at = self.state.reported_at.load(Ordering::Relaxed);
        if now.saturating_sub(reported_at) < REPORT_INTERVAL_MS {
            return;
        }
        self.state.reported_at.store(now, Ordering::Relaxed);
        FleetEvent::RequestMemoryFull.emit(json!({
            "used_bytes": self.state.budget.used(),
            "total_bytes": self.state.budget.total(),
            "caller_connections": self.table().count(ServerPort::Callers),
        }));
    }

    fn is_paused(&self, kind: SearchKind, now: u64) -> bool {
        now < self.state.paused_until[kind as usize].load(Ordering::Relaxed)
    }

    fn pause(&self, kind: SearchKind, now: u64) {
        self.state.paused_until[kind as usize].store(now + SEARCH_PAUSE_MS, Ordering::Relaxed);
    }

    fn table(&self) -> MutexGuard<'_, ConnectionTable> {
        self.state
            .table
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl ShedCause {
    fn label(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::NoRoom => "no_room",
            Self::Slow => "slow",
            Self::Busy => "busy",
        }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.limiter.table().remove(self.state.id);
    }
}
