//! The open connections of a host.

use std::collections::HashMap;
use std::sync::Arc;

use crate::http::connection_state::ConnectionState;
use crate::http::connection_view::{ConnectionView, ServerPort};

/// A sweep that is later than this means that the host was suspended, in milliseconds.
const SUSPENSION_MS: u64 = 1000;

/// Open connections, without those that were asked to close. Times are in milliseconds of the
/// host's clock.
#[derive(Debug)]
pub(super) struct ConnectionTable {
    connections: HashMap<u64, Arc<ConnectionState>>,
    counts: [usize; ServerPort::ALL.len()],
    next_id: u64,
    /// When the last two sweeps were made.
    swept_at: [u64; 2],
    resumed_at: u64,
}

impl ConnectionTable {
    pub fn new(now: u64) -> Self {
        Self {
            connections: HashMap::new(),
            counts: [0; ServerPort::ALL.len()],
            next_id: 0,
            swept_at: [now; 2],
            resumed_at: 0,
        }
    }

    /// Returns the number of open connections of a port.
    pub fn count(&self, port: ServerPort) -> usize {
        self.counts[port as usize]
    }

    /// Adds the connection that `create` makes of its number.
    pub fn insert(&mut self, create: impl FnOnce(u64) -> ConnectionState) -> Arc<ConnectionState> {
        let state = Arc::new(create(self.next_id));
        self.connections.insert(self.next_id, state.clone());
        self.counts[state.port as usize] += 1;
        self.next_id += 1;
        state
    }

    /// Removes a connection, unless that was done before.
    pub fn remove(&mut self, id: u64) {
        if let Some(state) = self.connections.remove(&id) {
            self.counts[state.port as usize] -= 1;
        }
    }

    /// Asks a connection to close, and removes it. Returns none if it may not be closed.
    pub fn close(&mut self, id: u64) -> Option<Arc<ConnectionState>> {
        let state = self.connections.get(&id)?.clone();
        if !state.request_close() {
            return None;
        }
        self.remove(id);
        Some(state)
    }

    /// Returns the state of all connections.
    pub fn views(&self, now: u64) -> impl Iterator<Item = (ConnectionView, &ConnectionState)> {
        let (marked_at, resumed_at) = (self.swept_at[0], self.resumed_at);
        self.connections
            .values()
            .map(move |state| (state.view(now, marked_at, resumed_at), &**state))
    }

    /// Begins a sweep. Ages do not include the time for which the host was suspended.
    pub fn begin_sweep(&mut self, now: u64) {
        if now.saturating_sub(self.swept_at[1]) > SUSPENSION_MS {
            self.resumed_at = now;
        }
    }

    /// Ends a sweep: moves the marks of the speed measurement on.
    pub fn end_sweep(&mut self, now: u64) {
        for state in self.connections.values() {
            state.shift_marks();
        }
        self.swept_at = [self.swept_at[1], now];
    }
}
