//! Time for which each kind of work keeps the host's thread busy, and how late its timers fire.
//!
//! A renewal that times out because the host's own thread was busy looks the same as one that the
//! upstream did not answer. These figures tell the two apart.

use std::future::poll_fn;
use std::pin::pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::clock::now_ms;

/// Kind of work that keeps the thread busy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorkKind {
    /// Requests of callers, including the parsing of HTTP.
    Callers,
    /// Reads of the upstream directory and of accepted submissions.
    Polling,
    /// The owner's decisions about an input.
    Decisions,
    /// The owner's periodic work: placement, and choosing what to commit.
    Ticks,
    /// Lease renewals on upstreams.
    Renewals,
    /// Start and stop orders to upstreams.
    Orders,
    /// Queries to the policy service.
    Queries,
    /// Commits to the store.
    Commits,
    /// Calls of other hosts.
    Peers,
    /// Reading and writing of the connections of HTTP clients.
    Connections,
    /// Batches of renewals that the owner forwards.
    Forwards,
    /// Renewals that this host sends for the owner.
    Delegated,
}

impl WorkKind {
    /// All kinds.
    pub const ALL: [Self; 12] = [
        Self::Callers,
        Self::Polling,
        Self::Decisions,
        Self::Ticks,
        Self::Renewals,
        Self::Orders,
        Self::Queries,
        Self::Commits,
        Self::Peers,
        Self::Connections,
        Self::Forwards,
        Self::Delegated,
    ];

    /// Returns the label of the kind in metrics and log lines.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Callers => "callers",
            Self::Polling => "polling",
            Self::Decisions => "decisions",
            Self::Ticks => "ticks",
            Self::Renewals => "renewals",
            Self::Orders => "orders",
            Self::Queries => "queries",
            Self::Commits => "commits",
            Self::Peers => "peers",
            Self::Connections => "connections",
            Self::Forwards => "forwards",
            Self::Delegated => "delegated",
        }
    }
}

/// Busy time by kind of work, in nanoseconds.
static BUSY_NANOS: [AtomicU64; WorkKind::ALL.len()] =
    [const { AtomicU64::new(0) }; WorkKind::ALL.len()];

/// Longest time for which an input waited for the control actor since it was last taken, in
/// milliseconds.
static MAX_INBOX_DELAY_MS: AtomicU64 = AtomicU64::new(0);

/// When the timer of [`watch_timers`] last fired; 0 before the first time.
static TIMER_FIRED_AT: AtomicU64 = AtomicU64::new(0);

/// Interval of the timer whose delay is measured, in milliseconds.
const TIMER_INTERVAL_MS: u64 = 200;

/// Returns the time for which a kind of work has kept the thread busy since the process started.
#[must_use]
pub fn busy_time(kind: WorkKind) -> Duration {
    Duration::from_nanos(BUSY_NANOS[kind as usize].load(Ordering::Relaxed))
}

/// Runs a part of the work that does not wait, and adds its duration to a kind.
pub fn measure<T>(kind: WorkKind, work: impl FnOnce() -> T) -> T {
    let began_at = Instant::now();
    let result = work();
    record(kind, began_at.elapsed());
    result
}

/// Awaits a future, and adds the time that its polls take to a kind. The time for which it waits
/// does not count.
pub async fn measured<F: Future>(kind: WorkKind, future: F) -> F::Output {
    let mut future = pin!(future);
    poll_fn(|context| measure(kind, || future.as_mut().poll(context))).await
}

fn record(kind: WorkKind, duration: Duration) {
    let nanos = u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX);
    BUSY_NANOS[kind as usize].fetch_add(nanos, Ordering::Relaxed);
}

/// Records for how long an input waited for the control actor, in milliseconds.
pub fn record_inbox_delay(delay_ms: u64) {
    MAX_INBOX_DELAY_MS.fetch_max(delay_ms, Ordering::Relaxed);
}

/// Returns the longest time for which an input waited for the control actor since the last call, in
/// milliseconds.
#[must_use]
pub fn take_max_inbox_delay_ms() -> u64 {
    MAX_INBOX_DELAY_MS.swap(0, Ordering::Relaxed)
}

/// Returns by how much the thread is late now, in milliseconds: the time for which an expired timer
/// has been waiting for it.
#[must_use]
pub fn timer_delay_ms() -> u64 {
    match TIMER_FIRED_AT.load(Ordering::Relaxed) {
        0 => 0,
        fired_at => now_ms().saturating_sub(fired_at + TIMER_INTERVAL_MS),
    }
}

/// Sets a timer again and again, and passes its delay in milliseconds to a closure each time, until
/// the task is dropped.
pub async fn watch_timers(mut on_fired: impl FnMut(u64)) {
    loop {
        TIMER_FIRED_AT.store(now_ms(), Ordering::Relaxed);
        tokio::time::sleep(Duration::from_millis(TIMER_INTERVAL_MS)).await;
        on_fired(timer_delay_ms());
    }
}
