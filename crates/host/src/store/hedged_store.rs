//! A store port that sends slow requests again, alternately through a peer and directly.
//!
//! Responses get lost, and connections to the store stop responding without being closed. Requests
//! are therefore hedged: one without a response after the usual time is sent again, alternately
//! through a peer and directly, and the first usable response is returned. Writes must be safe to
//! apply twice, as all conditional writes are.

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

/// Delay before a page is also requested through a peer; long pages take a while.
const LIST_HEDGE_DELAY: Duration = Duration::from_millis(450);

/// Number of rounds, each a direct and a relayed request, for a read of one item or a write.
const HEDGE_ROUNDS: usize = 2;

/// What hedging needs: store access through peers, and the state and latency of direct access.
#[derive(Clone)]
pub struct HedgeContext {
    /// Returns whether the store does not respond to direct requests.
    pub is_store_unresponsive: Arc<dyn Fn() -> bool + Send + Sync>,
    /// Latency of direct requests.
    pub latency: Arc<LatencyEstimator>,
    /// Reads an item; returns `None` if no peer responded.
    pub read: Port<String, Option<Result<StoreItem, StoreError>>>,
    /// Lists a page of items; returns `None` if no peer responded.
    pub list: Port<ListRequest, Option<Result<ListPage, StoreError>>>,
    /// Writes; returns `None` if no peer responded and the write may have been applied.
    pub write: Port<WriteRequest, Option<WriteOutcome>>,
}

/// Creates a store port whose reads, lists and writes are hedged, directly and through peers.
#[must_use]
pub fn hedged_store(direct: &StorePort, context: &HedgeContext) -> StorePort {
    let read = {
        let (direct, context) = (direct.read.clone(), context.clone());
        port(move |key: String| {
            let relayed = or_unanswered(&context.read, Err(StoreError::NoResponse));
            let requests = alternating_requests(&direct, &relayed, &context, HEDGE_ROUNDS, &key);
            hedge(requests, context.latency.hedge_delay(), is_unusable_read)
        })
    };
    let list = {
        let (direct, context) = (direct.list.clone(), context.clone());
        port(move |request: ListRequest| {
            let relayed = or_unanswered(&context.list, Err(StoreError::NoResponse));
            let requests = alternating_requests(&direct, &relayed, &context, 1, &request);
            hedge(requests, LIST_HEDGE_DELAY, is_unusable_read)
        })
    };
    let write = {
        let (direct, context) = (direct.write.clone(), context.clone());
        port(move |request: WriteRequest| {
            let relayed = or_unanswered(&context.write, WriteOutcome::Unknown);
            let requests =
                alternating_requests(&direct, &relayed, &context, HEDGE_ROUNDS, &request);
            hedge(requests, context.latency.hedge_delay(), is_unusable_write)
        })
    };
    StorePort {
        read,
        list,
        write,
        ..direct.clone()
    }
}

/// A request that has not been sent yet.
type DeferredRequest<T> = Box<dyn FnOnce() -> PortFuture<T> + Send>;

/// Replaces a missing response of the peers by `unanswered`.
fn or_unanswered<In, Out>(relayed: &Port<In, Option<Out>>, unanswered: Out) -> Port<In, Out>
where
    In: 'static,
    Out: Clone + Send + Sync + 'static,
{
    let relayed = relayed.clone();
    Arc::new(move |input| {
        let (request, unanswered) = (relayed(input), unanswered.clone());
        Box::pin(async move { request.await.unwrap_or(unanswered) })
    })
}

/// Returns the requests for one input: alternately direct and relayed, or only a relayed one if the
/// store does not respond directly.
fn alternating_requests<In, Out>(
    direct: &Port<In, Out>,
    relayed: &Port<In, Out>,
    context: &HedgeContext,
    rounds: usize,
    input: &In,
) -> Vec<DeferredRequest<Out>>
where
    In: Clone + Send + 'static,
    Out: Send + 'static,
{
    let defer = |port: &Port<In, Out>| -> DeferredRequest<Out> {
        let (port, input) = (port.clone(), input.clone());
        Box::new(move || port(input))
    };
    if (context.is_store_unresponsive)() {
        return vec![defer(relayed)];
    }
    let measured = with_latency_recorded(direct, &context.latency);
    (0..rounds)
        .flat_map(|_| [defer(&measured), defer(relayed)])
        .collect()
}

/// Records the latency of direct requests.
fn with_latency_recorded<In, Out>(
    direct: &Port<In, Out>,
    latency: &Arc<LatencyEstimator>,
) -> Port<In, Out>
where
    In: 'static,
    Out: Send + 'static,
{
    let (direct, latency) = (direct.clone(), latency.clone());
    Arc::new(move |input| {
        let (request, latency) = (direct(input), latency.clone());
        Box::pin(async move {
            let sent_at = Instant::now();
            let response = request.await;
            latency.record(sent_at.elapsed());
            response
        })
    })
}

/// Starts the requests one after the other: the next one after `delay` without a response, or at
/// once after an unusable response. Returns the first usable response. If no response is usable,
/// returns one that leaves the outcome unknown if there is any, otherwise the last one.
async fn hedge<T: UncertainOutcome>(
    requests: Vec<DeferredRequest<T>>,
    delay: Duration,
    is_unusable: fn(&T) -> bool,
) -> T {
    let mut pending = requests.into_iter();
    let mut running = FuturesUnordered::new();
    let mut fallback: Option<T> = None;
    loop {
        let next = pending.next();
        let is_last = next.is_none();
        running.extend(next.map(|request| request()));
        let response = if is_last {
            running.next().await
        } else {
            timeout(delay, running.next()).await.unwrap_or(None)
        };
        match response {
            Some(response) if !is_unusable(&response) => return response,
            Some(response) => {
                fallback = Some(match fallback {
                    Some(other) => other.prefer_unknown(response),
                    None => response,
                });
            }
            None if is_last => return fallback.unwrap_or_else(T::unknown),
            None => {}
        }
    }
}

/// A response that may leave it unknown whether the request was executed.
trait UncertainOutcome {
    /// Returns the first of two unusable responses if it leaves the outcome unknown, otherwise the
    /// second.
    fn prefer_unknown(self, other: Self) -> Self;

    /// Returns the response of an unknown outcome.
    fn unknown() -> Self;
}

impl UncertainOutcome for WriteOutcome {
    fn prefer_unknown(self, other: Self) -> Self {
        if self == Self::Unknown { self } else { other }
    }

    fn unknown() -> Self {
        Self::Unknown
    }
}

impl<T> UncertainOutcome for Result<T, StoreError> {
    fn prefer_unknown(self, other: Self) -> Self {
        if matches!(self, Err(StoreError::NoResponse)) {
            self
        } else {
            other
        }
    }

    fn unknown() -> Self {
        Err(StoreError::NoResponse)
    }
}

fn is_unusable_read<T>(response: &Result<T, StoreError>) -> bool {
    matches!(
        response,
        Err(StoreError::NoResponse | StoreError::NotExecuted)
    )
}

fn is_unusable_write(outcome: &WriteOutcome) -> bool {
    matches!(outcome, WriteOutcome::Unknown | WriteOutcome::NotApplied)
}
