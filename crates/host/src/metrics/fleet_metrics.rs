//! Counters, gauges and histograms.

use std::sync::atomic::AtomicU64;
use std::time::Duration;

use lagoonnotch_fleet::owner::UsageCounts;
use prometheus_client::collector::Collector;
use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::{DescriptorEncoder, EncodeLabelSet, EncodeMetric};
use prometheus_client::metrics::MetricType;
use prometheus_client::metrics::counter::{ConstCounter, Counter};
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use crate::metrics::{TrafficMetrics, WorkKind, busy_time};

/// Upper bound of the first latency bucket, in seconds.
const FIRST_BUCKET_S: f64 = 0.001;

/// Number of latency buckets; each bound is twice the previous one.
const BUCKET_COUNT: u16 = 14;

/// Label that carries the kind of a response, an order or a commit outcome.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct KindLabel {
    kind: &'static str,
}

/// Label that carries the reason of a stop order.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct ReasonLabel {
    reason: &'static str,
}

/// Label that carries the scope of a crash.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct ScopeLabel {
    scope: &'static str,
}

/// Label that carries the kind of work.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct WorkLabel {
    work: &'static str,
}

/// Label that carries the result of a query to the policy service.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct ResultLabel {
    result: &'static str,
}

/// Label that carries the use of a ticket.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct UseLabel {
    r#use: &'static str,
}

/// Encodes the time for which each kind of work kept the thread busy.
#[derive(Debug)]
struct BusyCollector;

impl Collector for BusyCollector {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), std::fmt::Error> {
        let mut family = encoder.encode_descriptor(
            "busy_seconds",
            "Time for which work kept the thread busy",
            None,
            MetricType::Counter,
        )?;
        for kind in WorkKind::ALL {
            let label = WorkLabel { work: kind.label() };
            let seconds = ConstCounter::new(busy_time(kind).as_secs_f64());
            seconds.encode(family.encode_family(&label)?)?;
        }
        Ok(())
    }
}

/// Metrics of an entry host.
#[derive(Debug)]
pub struct FleetMetrics {
    registry: Registry,
    answers: Family<KindLabel, Counter>,
    answer_seconds: Histogram,
    orders: Family<KindLabel, Counter>,
    stops: Family<ReasonLabel, Counter>,
    commits: Family<KindLabel, Counter>,
    crashes: Family<ScopeLabel, Counter>,
    restarts: Family<KindLabel, Counter>,
    missing_finished: Counter,
    quarantines: Family<ReasonLabel, Counter>,
    delayed_retries: Counter,
    forwarded_renewals: Family<KindLabel, Counter>,
    active_submissions: Gauge<u64, AtomicU64>,
    booked_runs: Gauge<u64, AtomicU64>,
    held_runs: Gauge<u64, AtomicU64>,
    deferred_steps: Gauge<u64, AtomicU64>,
    deferred_teams: Gauge<u64, AtomicU64>,
    owner_epoch: Gauge<u64, AtomicU64>,
    config_version: Gauge<u64, AtomicU64>,
    timer_delay_seconds: Histogram,
    policy_queries: Family<ResultLabel, Counter>,
    policy_service_seconds: Family<ResultLabel, Counter<f64, AtomicU64>>,
    tickets: Family<UseLabel, Counter>,
    traffic: TrafficMetrics,
}

impl Default for FleetMetrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("lagoonnotch"),
            answers: Family::default(),
            answer_seconds: Histogram::new(exponential_buckets(FIRST_BUCKET_S, 2.0, BUCKET_COUNT)),
            orders: Family::default(),
            stops: Family::default(),
            commits: Family::default(),
            crashes: Family::default(),
            restarts: Family::default(),
            missing_finished: Counter::default(),
            quarantines: Family::default(),
            delayed_retries: Counter::default(),
            forwarded_renewals: Family::default(),
            active_submissions: Gauge::default(),
            booked_runs: Gauge::default(),
            held_runs: Gauge::default(),
            deferred_steps: Gauge::default(),
            deferred_teams: Gauge::default(),
            owner_epoch: Gauge::default(),
            config_version: Gauge::default(),
            timer_delay_seconds: Histogram::new(exponential_buckets(
                FIRST_BUCKET_S,
                2.0,
                BUCKET_COUNT,
            )),
            policy_queries: Family::default(),
            policy_service_seconds: Family::default(),
            tickets: Family::default(),
            traffic: TrafficMetrics::default(),
        };
        metrics.register();
        metrics
    }
}

impl FleetMetrics {
    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("answers", "Answers to callers", self.answers.clone());
        registry.register(
            "answer_seconds",
            "Time from a request to its answer",
            self.answer_seconds.clone(),
        );
        registry.register("orders", "Orders to upstreams", self.orders.clone());
        registry.register("stops", "Stop orders to upstreams", self.stops.clone());
        registry.register("commits", "Commits of progress", self.commits.clone());
        registry.register(
            "crashes",
            "Upstreams that crashed while tasks were running there",
            self.crashes.clone(),
        );
        registry.register(
            "restarts",
            "Upstreams that answer in another incarnation",
            self.restarts.clone(),
        );
        registry.register(
            "missing_finished_runs",
            "Finished runs that upstreams have forgotten before the owner saw them",
            self.missing_finished.clone(),
        );
        registry.register(
            "quarantines",
            "Quarantines of upstreams because runs failed or stalled there",
            self.quarantines.clone(),
        );
        registry.register(
            "delayed_retries",
            "Delayed restarts of long-running tasks that keep failing",
            self.delayed_retries.clone(),
        );
        registry.register(
            "forwarded_renewals",
            "Lease renewals forwarded to other hosts",
            self.forwarded_renewals.clone(),
        );
        registry.register(
            "active_submissions",
            "Submissions without a final state, at the owner",
            self.active_submissions.clone(),
        );
        registry.register(
            "booked_runs",
            "Booked runs, at the owner",
            self.booked_runs.clone(),
        );
        registry.register(
            "held_runs",
            "Runs allocated on silent upstreams, at the owner",
            self.held_runs.clone(),
        );
        registry.register(
            "deferred_steps",
            "Steps beyond their teams' rates and shares, at the owner",
            self.deferred_steps.clone(),
        );
        registry.register(
            "deferred_teams",
            "Teams with deferred steps, at the owner",
            self.deferred_teams.clone(),
        );
        registry.register(
            "owner_epoch",
            "Epoch of this host's ownership; 0 for none",
            self.owner_epoch.clone(),
        );
        registry.register(
            "config_version",
            "Version of the configuration in force",
            self.config_version.clone(),
        );
        registry.register(
            "timer_delay_seconds",
            "How late a timer fires",
            self.timer_delay_seconds.clone(),
        );
        registry.register(
            "policy_queries",
            "Queries to the policy service",
            self.policy_queries.clone(),
        );
        registry.register(
            "policy_service_seconds",
            "Expected work of the policy service",
            self.policy_service_seconds.clone(),
        );
        registry.register(
            "tickets",
            "Tickets of the policy service",
            self.tickets.clone(),
        );
        registry.register_collector(Box::new(BusyCollector));
        self.traffic.register(registry);
    }

    /// Returns the metrics of clients' connections and requests.
    #[must_use]
    pub fn traffic(&self) -> &TrafficMetrics {
        &self.traffic
    }

    /// Adds counts of queries to the policy service and of their tickets.
    pub fn add_query_usage(&self, counts: &UsageCounts) {
        let results = [
            ("started", counts.started),
            ("unused", counts.unused),
            ("failed", counts.failed),
        ];
        for (result, count) in results {
            let label = ResultLabel { result };
            let work = Duration::from_millis(count.work_ms);
            self.policy_queries
                .get_or_create(&label)
                .inc_by(count.queries);
            self.policy_service_seconds
                .get_or_create(&label)
                .inc_by(work.as_secs_f64());
        }
        let tickets = [
            ("used", counts.tickets_used),
            ("expired", counts.tickets_expired),
            ("no_room", counts.tickets_no_room),
        ];
        for (r#use, count) in tickets {
            let label = UseLabel { r#use };
            self.tickets.get_or_create(&label).inc_by(count);
        }
    }

    /// Records how late a timer fired.
    pub fn record_timer_delay(&self, seconds: f64) {
        self.timer_delay_seconds.observe(seconds);
    }

    /// Counts a response to a caller and records its latency.
    pub fn count_answer(&self, kind: &'static str, seconds: f64) {
        self.answers.get_or_create(&KindLabel { kind }).inc();
        self.answer_seconds.observe(seconds);
    }

    /// Counts an order to an upstream, by outcome.
    pub fn count_order(&self, kind: &'static str) {
        self.orders.get_or_create(&KindLabel { kind }).inc();
    }

    /// Counts lease renewals that were forwarded, or were forwarded and then sent directly.
    pub fn count_forwarded_renewals(&self, kind: &'static str, count: usize) {
        let label = KindLabel { kind };
        self.forwarded_renewals
            .get_or_create(&label)
            .inc_by(count as u64);
    }

    /// Counts a stop order, by reason.
    pub fn count_stop(&self, reason: &'static str) {
        self.stops.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// Counts a commit, by outcome.
    pub fn count_commit(&self, kind: &'static str) {
        self.commits.get_or_create(&KindLabel { kind }).inc();
    }

    /// Counts a crash of an upstream, by scope.
    pub fn count_crash(&self, scope: &'static str) {
        self.crashes.get_or_create(&ScopeLabel { scope }).inc();
    }

    /// Counts an upstream that answers in another incarnation, which may have executed orders that
    /// grant leases on the clock of the one before.
    pub fn count_restart(&self, has_lease_orders: bool) {
        let kind = if has_lease_orders {
            "lease_orders"
        } else {
            "no_lease_orders"
        };
        self.restarts.get_or_create(&KindLabel { kind }).inc();
    }

    /// Counts finished runs that upstreams have forgotten before the owner saw them.
    pub fn count_missing_finished(&self, runs: u64) {
        self.missing_finished.inc_by(runs);
    }

    /// Counts a quarantine of an upstream, by reason.
    pub fn count_quarantine(&self, reason: &'static str) {
        self.quarantines
            .get_or_create(&ReasonLabel { reason })
            .inc();
    }

    /// Counts a delayed restart of a long-running task that keeps failing.
    pub fn count_delayed_retry(&self) {
        self.delayed_retries.inc();
    }

    /// Sets the numbers of active submissions and of runs that hold resources.
    pub fn set_load(&self, submissions: usize, runs: usize) {
        self.active_submissions.set(submissions as u64);
        self.booked_runs.set(runs as u64);
    }

    /// Sets the number of runs that are allocated on silent upstreams; 0 if this host is not the
    /// owner.
    pub fn set_held_runs(&self, runs: usize) {
        self.held_runs.set(runs as u64);
    }

    /// Sets the numbers of deferred steps and of teams with such steps; 0 if this host is not the
    /// owner.
    pub fn set_deferred(&self, (steps, teams): (usize, usize)) {
        self.deferred_steps.set(steps as u64);
        self.deferred_teams.set(teams as u64);
    }

    /// Sets the epoch of this host's ownership; 0 if it is not the owner.
    pub fn set_epoch(&self, epoch: u64) {
        self.owner_epoch.set(epoch);
    }

    /// Sets the version of the current configuration.
    pub fn set_config_version(&self, version: u64) {
        self.config_version.set(version);
    }

    /// Encodes all metrics in the text exposition format.
    #[must_use]
    pub fn encode_text(&self) -> String {
        let mut text = String::new();
        if let Err(error) = encode(&mut text, &self.registry) {
            log::warn!(target: "lagoonnotch", "failed to encode metrics: {error}");
        }
        text
    }
}
