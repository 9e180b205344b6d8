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
    ListPage, ListRequest, Port, PortFuture, StoreError, StoreItem, StorePort, WriteOutcome,
    WriteRequest, port,
};
use crate::store::LatencyEstimator;

/// Time without a page after which it is also read through a peer; long pages take a while.
const LIST_PAUSE: Duration = Duration::from_millis(450);

/// Pairs of a direct call and one through a peer that are made for one item or write.
const CALL_PAIRS: usize = 2;

/// Calls to the store through peers, and what is known of the direct way.
#[derive(Clone)]
pub struct RelayClient {
    /// Whether the direct way seems to be down.
    pub is_direct_down: Arc<dyn Fn() -> bool + Send + Sync>,
    /// How long the store takes to answer directly.
    pub latency: Arc<LatencyEstimator>,
    /// Reads an item; none if no peer answered.
    pub read: Port<String, Option<Result<StoreItem, StoreError>>>,
    /// Reads a page; none if no peer answered.
    pub list: Port<ListRequest, Option<Result<ListPage, StoreError>>>,
    /// Writes; none if no peer answered, and the write may have been done.
    pub write: Port<WriteRequest, Option<WriteOutcome>>,
}

/// Makes a store whose short calls are made again, also through peers, when no answer comes.
#[must_use]
pub fn relayed_store(direct: &StorePort, relay: &RelayClient) -> StorePort {
    let read = {
        let (direct, relay) = (direct.read.clone(), relay.clone());
        port(move |key: String| {
            let second = relayed(&relay.read, Err(StoreError::NoResponse));
            let calls = alternate(&direct, &second, &relay, CALL_PAIRS, &key);
            attempt(calls, relay.latency.hedge_delay(), is_silent)
        })
    };
    let list = {
        let (direct, relay) = (direct.list.clone(), relay.clone());
        port(move |call: ListRequest| {
            let second = relayed(&relay.list, Err(StoreError::NoResponse));
            let calls = alternate(&direct, &second, &relay, 1, &call);
            attempt(calls, LIST_PAUSE, is_silent)
        })
    };
    let write = {
        let (direct, relay) = (direct.write.clone(), relay.clone());
        port(move |call: WriteRequest| {
            let second = relayed(&relay.write, WriteOutcome::Unknown);
            let calls = alternate(&direct, &second, &relay, CALL_PAIRS, &call);
            attempt(calls, relay.latency.hedge_delay(), is_unsettled)
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
    calls: &RelayClient,
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
    if (calls.is_direct_down)() {
        return vec![lazy(relay)];
    }
    let timed = timed(direct, &calls.latency);
    (0..pairs)
        .flat_map(|_| [lazy(&timed), lazy(relay)])
        .collect()
}

/// Measures how long direct calls take.
fn timed<In, Out>(direct: &Port<In, Out>, latency: &Arc<LatencyEstimator>) -> Port<In, Out>
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
            latency.record(began_at.elapsed());
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

impl<T> Uncertain for Result<T, StoreError> {
    fn less_certain(self, other: Self) -> Self {
        if matches!(self, Err(StoreError::NoResponse)) {
            self
        } else {
            other
        }
    }

    fn open() -> Self {
        Err(StoreError::NoResponse)
    }
}

fn is_silent<T>(answer: &Result<T, StoreError>) -> bool {
    matches!(
        answer,
        Err(StoreError::NoResponse | StoreError::NotExecuted)
    )
}

fn is_unsettled(outcome: &WriteOutcome) -> bool {
    matches!(outcome, WriteOutcome::Unknown | WriteOutcome::NotApplied)
}
