//! State of an open connection, which its task and the traffic limiter share.

use std::net::IpAddr;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, Ordering};

use tokio::sync::Notify;

use crate::clock::now_ms;
use crate::http::ServerLimits;
use crate::http::byte_budget::{ByteBudget, ByteCharge};
use crate::http::connection_view::{ConnectionPhase, ConnectionView, ServerPort};

/// Memory of a connection from its first byte on, in bytes: its task, a read and a write buffer.
pub(super) const BUFFER_BYTES: usize = 20 * 1024;

/// Size of the first read buffer, in bytes. It grows once if a header is longer.
const READ_BUFFER_BYTES: u64 = 8 * 1024;

/// Memory of a connection whose read buffer has grown, in bytes.
const GROWN_BUFFER_BYTES: usize = BUFFER_BYTES + 8 * 1024;

/// What a connection is doing, what it has moved and what it holds. Times are in milliseconds of
/// the host's clock.
#[derive(Debug)]
pub(super) struct ConnectionState {
    pub id: u64,
    pub port: ServerPort,
    pub address: IpAddr,
    pub limits: ServerLimits,
    /// Charge for the buffers of the connection itself.
    pub buffers: ByteCharge,
    /// Charge for a request from its first body byte until its response has been written.
    pub request: ByteCharge,
    phase: AtomicU8,
    phase_began_at: AtomicU64,
    moved_at: AtomicU64,
    /// Bytes moved since the phase began.
    moved_bytes: AtomicU64,
    /// `moved_bytes` at the last sweep and the one before.
    marks: [AtomicU64; 2],
    /// Whether all of the response was handed to the connection's write buffer.
    response_ended: AtomicBool,
    /// Whether the rest of a request that was not received completely must be discarded.
    must_linger: AtomicBool,
    close: Notify,
}

impl ConnectionState {
    pub fn new(
        id: u64,
        port: ServerPort,
        address: IpAddr,
        limits: ServerLimits,
        budget: &ByteBudget,
    ) -> Self {
        let now = now_ms();
        Self {
            id,
            port,
            address,
            limits,
            buffers: budget.charge_up_to(BUFFER_BYTES),
            request: budget.charge(),
            phase: AtomicU8::new(ConnectionPhase::Idle as u8),
            phase_began_at: AtomicU64::new(now),
            moved_at: AtomicU64::new(now),
            moved_bytes: AtomicU64::new(0),
            marks: [AtomicU64::new(0), AtomicU64::new(0)],
            response_ended: AtomicBool::new(false),
            must_linger: AtomicBool::new(false),
            close: Notify::new(),
        }
    }

    pub fn phase(&self) -> ConnectionPhase {
        ConnectionPhase::from_number(self.phase.load(Ordering::Relaxed))
    }

    /// Enters a phase; returns false if the connection is about to be closed.
    pub fn enter(&self, phase: ConnectionPhase) -> bool {
        if !self.replace_phase(phase, |current| current != ConnectionPhase::Closing) {
            return false;
        }
        self.phase_began_at.store(now_ms(), Ordering::Relaxed);
        self.moved_bytes.store(0, Ordering::Relaxed);
        for mark in &self.marks {
            mark.store(0, Ordering::Relaxed);
        }
        true
    }

    /// Asks the connection's task to close it. Returns false if a complete request is being
    /// handled, or if the connection was asked before.
    pub fn request_close(&self) -> bool {
        let closes = self.replace_phase(ConnectionPhase::Closing, ConnectionPhase::can_be_closed);
        if closes {
            self.close.notify_one();
        }
        closes
    }

    /// Waits until the connection must be closed.
    pub async fn close_requested(&self) {
        self.close.notified().await;
    }

    /// Records bytes that were read from the client.
    pub fn record_read(&self, bytes: usize) {
        match self.phase() {
            ConnectionPhase::Idle => {
                self.enter(ConnectionPhase::Header);
            }
            ConnectionPhase::Header | ConnectionPhase::Body => {}
            _ => return,
        }
        self.record_moved(bytes);
        let is_grown = self.moved_bytes.load(Ordering::Relaxed) >= READ_BUFFER_BYTES;
        if is_grown && self.buffers.bytes() < GROWN_BUFFER_BYTES {
            self.buffers.force(GROWN_BUFFER_BYTES);
        }
    }

    /// Records bytes that were written to the client.
    pub fn record_written(&self, bytes: usize) {
        self.record_moved(bytes);
    }

    /// Records that everything in the write buffer was written. The request is over if that
    /// includes all of its response.
    pub fn record_flushed(&self) {
        let is_written = self.phase() == ConnectionPhase::Response
            && self.response_ended.load(Ordering::Relaxed);
        if is_written {
            self.request.force(0);
            self.buffers.force(BUFFER_BYTES);
            self.moved_at.store(now_ms(), Ordering::Relaxed);
            self.enter(ConnectionPhase::Idle);
        }
    }

    /// Begins a response with a body of the given length, in bytes.
    pub fn begin_response(&self, body_bytes: usize) {
        self.response_ended.store(false, Ordering::Relaxed);
        self.request.force(self.request.bytes() + body_bytes);
        self.enter(ConnectionPhase::Response);
        self.moved_at.store(now_ms(), Ordering::Relaxed);
    }

    /// Records that all of the response was handed to the connection's write buffer.
    pub fn end_response(&self) {
        self.response_ended.store(true, Ordering::Relaxed);
    }

    /// Records that the request was answered before it was received completely.
    pub fn require_lingering(&self) {
        self.must_linger.store(true, Ordering::Relaxed);
    }

    /// Enters the phase in which the rest of a request is discarded, if that is required.
    pub fn begin_lingering(&self) -> bool {
        self.must_linger.load(Ordering::Relaxed)
            && (self.phase() == ConnectionPhase::Lingering
                || self.enter(ConnectionPhase::Lingering))
    }

    /// Moves the marks of the speed measurement on; called at each sweep.
    pub fn shift_marks(&self) {
        let latest = self.marks[1].load(Ordering::Relaxed);
        self.marks[0].store(latest, Ordering::Relaxed);
        let moved = self.moved_bytes.load(Ordering::Relaxed);
        self.marks[1].store(moved, Ordering::Relaxed);
    }

    /// Returns the state at `now`. The marks were last but one shifted at `marked_at`, and the host
    /// was suspended until `resumed_at`, so that no age counts from before.
    pub fn view(&self, now: u64, marked_at: u64, resumed_at: u64) -> ConnectionView {
        let age = |since: u64| now.saturating_sub(since.max(resumed_at));
        let phase_ms = age(self.phase_began_at.load(Ordering::Relaxed));
        let moved = self.moved_bytes.load(Ordering::Relaxed);
        ConnectionView {
            id: self.id,
            port: self.port,
            address: self.address,
            phase: self.phase(),
            phase_ms,
            stalled_ms: age(self.moved_at.load(Ordering::Relaxed)),
            recent_bytes: moved.saturating_sub(self.marks[0].load(Ordering::Relaxed)),
            recent_ms: phase_ms.min(age(marked_at)),
            held_bytes: self.buffers.bytes() + self.request.bytes(),
        }
    }

    fn record_moved(&self, bytes: usize) {
        self.moved_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
        self.moved_at.store(now_ms(), Ordering::Relaxed);
    }

    /// Replaces the phase in one step, so that no connection is closed while it is handed to the
    /// handler.
    fn replace_phase(
        &self,
        phase: ConnectionPhase,
        may_replace: impl Fn(ConnectionPhase) -> bool,
    ) -> bool {
        let replaced = self
            .phase
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |current| {
                may_replace(ConnectionPhase::from_number(current)).then_some(phase as u8)
            });
        replaced.is_ok()
    }
}
