//! The store, through a peer where this host can't reach it.
//!
//! Answers get lost, and ways to the store go silent. A call without an answer after the usual time
//! is made again, by turns through a peer and directly; the first usable answer counts. Writes must
//! be harmless when they are done twice, as all conditional ones are.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use tokio::time::timeout;

use crate::ports::{
    ListCall, ListPage, Port, PortFuture, StoreFault, StoreItem, StorePort, WriteCall,
    WriteOutcome, port,
};
use crate::store::LatencyGauge;

/// Time without a page after which it is also read through a peer; long pages take a while.
const LIST_PAUSE: Duration = Duration::from_millis(450);

/// Pairs of a direct call and one through a peer that are made for one item or write.
const CALL_PAIRS: usize = 2;

/// Calls to the store through peers, and what is known of the direct way.
#[derive(Clone)]
pub struct RelayCalls {
    /// Whether the direct way seems to be down.
    pub direct_is_down: Arc<dyn Fn() -> bool + Send + Sync>,
    /// How long the store takes to answer directly.
    pub latency: Arc<LatencyGauge>,
    /// Reads an item; none if no peer answered.
    pub read: Port<String, Option<Result<StoreItem, StoreFault>>>,
    /// Reads a page; none if no peer answered.
    pub list: Port<ListCall, Option<Result<ListPage, StoreFault>>>,
    /// Writes; none if no peer answered, and the write may have been done.
    pub write: Port<WriteCall, Option<WriteOutcome>>,
}

/// Makes a store whose short calls are made again, also through peers, when no answer comes.
#[must_use]
pub fn relayed_store(direct: &StorePort, relay: &RelayCalls) -> StorePort {
    let read = {
        let (direct, relay) = (direct.read.clone(), relay.clone());
        port(move |key: String| {
            let second = relayed(&relay.read, Err(StoreFault::Unknown));
            let calls = alternate(&direct, &second, &relay, CALL_PAIRS, &key);
            attempt(calls, relay.latency.patience(), is_silent)
        })
    };
    let list = {
        let (direct, relay) = (direct.list.clone(), relay.clone());
        port(move |call: ListCall| {
            let second = relayed(&relay.list, Err(StoreFault::Unknown));
            let calls = alternate(&direct, &second, &relay, 1, &call);
            attempt(calls, LIST_PAUSE, is_silent)
        })
    };
    let write = {
        let (direct, relay) = (direct.write.clone(), relay.clone());
        port(move |call: WriteCall| {
            let second = relayed(&relay.write, WriteOutcome::Unknown);
            let calls = alternate(&direct, &second, &relay, CALL_PAIRS, &call);
            attempt(calls, relay.latency.patience(), is_unsettled)
        })
    };
    StorePort {
        read,
        list,
        write,
        ..direct.clone()
    }
}

/// One call, not begun yet.
type LazyCall<T> = Box<dyn FnOnce() -> PortFuture<T> + Send>;

/// Turns the absence of a peer's answer into an outcome.
fn relayed<In, Out>(relay: &Port<In, Option<Out>>, unanswered: Out) -> Port<In, Out>
where
    In: 'static,
    Out: Clone + Send + Sync + 'static,
{
    let relay = relay.clone();
    Arc::new(move |input| {
        let (call, unanswered) = (relay(input), unanswered.clone());
        Box::pin(async move { call.await.unwrap_or(unanswered) })
    })
}

/// Lists the calls for one input: by turns direct and through a peer, or through a peer alone.
fn alternate<In, Out>(
    direct: &Port<In, Out>,
    relay: &Port<In, Out>,
    calls: &RelayCalls,
    pairs: usize,
    input: &In,
) -> Vec<LazyCall<Out>>
where
    In: Clone + Send + 'static,
    Out: Send + 'static,
{
    let lazy = |port: &Port<In, Out>| -> LazyCall<Out> {
        let (port, input) = (port.clone(), input.clone());
        Box::new(move || port(input))
    };
    if (calls.direct_is_down)() {
        return vec![lazy(relay)];
    }
    let timed = timed(direct, &calls.latency);
    (0..pairs)
        .flat_map(|_| [lazy(&timed), lazy(relay)])
        .collect()
}

/// Measures how long direct calls take.
fn timed<In, Out>(direct: &Port<In, Out>, latency: &Arc<LatencyGauge>) -> Port<In, Out>
where
    In: 'static,
    Out: Send + 'static,
{
    let (direct, latency) = (direct.clone(), latency.clone());
    Arc::new(move |input| {
        let (call, latency) = (direct(input), latency.clone());
        Box::pin(async move {
            let began_at = Instant::now();
            let answer = call.await;
            latency.note(began_at.elapsed());
            answer
        })
    })
}

/// Makes the calls one after the other, each after a pause without a usable answer or at once after
/// one that brought nothing. Returns the first usable answer; without one, the least certain.
async fn attempt<T: Uncertain>(
    calls: Vec<LazyCall<T>>,
    pause: Duration,
    brought_nothing: fn(&T) -> bool,
) -> T {
    let mut waiting = calls.into_iter();
    let mut running = FuturesUnordered::new();
    let mut fallback: Option<T> = None;
    loop {
        let next = waiting.next();
        let is_last = next.is_none();
        running.extend(next.map(|call| call()));
        let answer = if is_last {
            running.next().await
        } else {
            timeout(pause, running.next()).await.unwrap_or(None)
        };
        match answer {
            Some(answer) if !brought_nothing(&answer) => return answer,
            Some(answer) => {
                fallback = Some(match fallback {
                    Some(other) => other.less_certain(answer),
                    None => answer,
                });
            }
            None if is_last => return fallback.unwrap_or_else(T::open),
            None => {}
        }
    }
}

/// An answer that may leave open whether something was done.
trait Uncertain {
    /// Returns the less certain of two answers that brought nothing.
    fn less_certain(self, other: Self) -> Self;

    /// Returns the answer that leaves everything open.
    fn open() -> Self;
}

impl Uncertain for WriteOutcome {
    fn less_certain(self, other: Self) -> Self {
        if self == Self::Unknown { self } else { other }
    }

    fn open() -> Self {
        Self::Unknown
    }
}

impl<T> Uncertain for Result<T, StoreFault> {
    fn less_certain(self, other: Self) -> Self {
        if matches!(self, Err(StoreFault::Unknown)) {
            self
        } else {
            other
        }
    }

    fn open() -> Self {
        Err(StoreFault::Unknown)
    }
}

fn is_silent<T>(answer: &Result<T, StoreFault>) -> bool {
    matches!(answer, Err(StoreFault::Unknown | StoreFault::NotDone))
}

fn is_unsettled(outcome: &WriteOutcome) -> bool {
    matches!(outcome, WriteOutcome::Unknown | WriteOutcome::NotDone)
}
