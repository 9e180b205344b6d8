//! The actor that runs the owner's state machine.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use lagoonnotch_fleet::owner::{CommitOutcome, OwnerMachine, OwnerSettings};
use serde_json::json;
use tokio::task::JoinHandle;
use xtra::prelude::*;

use crate::clock::{now_ms, unix_ms};
use crate::control::active_ownership::ActiveOwnership;
use crate::control::control_messages::{
    CancelledMessage, ControlInput, LookupMessage, OwnHeartbeatMessage, OwnershipGrant,
    PeerHeartbeatMessage, StepDownMessage, SubmittedMessage, TickMessage, TimedInput,
};
use crate::control::effect_runner::{
    EffectRunner, log_advice_load, log_final_states, log_finished_runs,
};
use crate::control::{ControlHandle, FinishedRunLog, HostView, QueryUsageLog, WaitingCounts};
use crate::event::FleetEvent;
use crate::forward::{RenewalForwarder, SettledRenewal};
use crate::metrics::{FleetMetrics, WorkKind, measure, record_inbox_delay};
use crate::peer::{HeartbeatReply, HeartbeatRequest, PeerClients, PeerInfo, SubmissionLookup};
use crate::ports::{PlatformPorts, RenewOutcome};

/// Time without a heartbeat after which a host gets no policy queries and is not listed as a peer,
/// in milliseconds.
pub(super) const PEER_TIMEOUT_MS: u64 = 2000;

/// Minimum time between two ticks, in milliseconds. Inputs that arrive in between share one tick.
const MIN_TICK_INTERVAL_MS: u64 = 2;

/// Time between two updates of the hosts that may query the policy service, in milliseconds.
const QUERY_HOST_UPDATE_MS: u64 = 200;

/// Time between two counts of the waiting submissions, in milliseconds.
const COUNT_INTERVAL_MS: u64 = 250;

/// Time between two reports of the load of policy queries, in milliseconds.
const ADVICE_REPORT_INTERVAL_MS: u64 = 1000;

/// A host that has sent a heartbeat to this one while it accepted policy queries.
#[derive(Clone, Debug)]
pub(super) struct PeerEntry {
    pub info: PeerInfo,
    /// Failure domain of the host; `None` until it was asked for.
    pub failure_domain: Option<Arc<str>>,
    /// When the host was last asked for its failure domain; `None` before the first time.
    pub domain_asked_at: Option<u64>,
    /// When the last heartbeat arrived.
    pub heartbeat_at: u64,
}

/// Runs the owner's state machine and handles the messages of other components.
#[derive(xtra::Actor)]
pub struct ControlActor {
    pub(super) host: Arc<str>,
    settings: OwnerSettings,
    view: HostView,
    pub(super) metrics: Arc<FleetMetrics>,
    pub(super) runner: EffectRunner,
    pub(super) forwarder: RenewalForwarder,
    address: Address<Self>,
    ownership: Option<ActiveOwnership>,
    /// Highest epoch for which this host was asked to step down; it rejects grants of lower epochs.
    highest_successor_epoch: u64,
    /// Hosts that have sent a heartbeat while they accepted policy queries, by name.
    pub(super) peers: BTreeMap<Arc<str>, PeerEntry>,
    tick_requested: bool,
    last_tick_at: u64,
    /// When the hosts that may query the policy service were last updated.
    query_hosts_set_at: u64,
    /// Time for which the next tick is scheduled, and the task that waits for it.
    timer: Option<(u64, JoinHandle<()>)>,
}

impl ControlActor {
    /// Starts the actor and returns its handle.
    #[must_use]
    pub fn start(
        host: Arc<str>,
        settings: OwnerSettings,
        view: HostView,
        metrics: Arc<FleetMetrics>,
        ports: PlatformPorts,
        clients: PeerClients,
        forwarder: RenewalForwarder,
    ) -> ControlHandle {
        let (address, mailbox) = Mailbox::unbounded();
        let handle = ControlHandle::new(address.clone());
        let runner = EffectRunner::new(
            host.clone(),
            ports,
            clients,
            handle.clone(),
            metrics.clone(),
        );
        let actor = Self {
            host,
            settings,
            view,
            metrics,
            runner,
            forwarder,
            address,
            ownership: None,
            highest_successor_epoch: 0,
            peers: BTreeMap::new(),
            tick_requested: false,
            last_tick_at: 0,
            query_hosts_set_at: 0,
            timer: None,
        };
        tokio::spawn(xtra::run(mailbox, actor));
        handle
    }

    /// Schedules a tick that runs after the messages that are already queued, or later if the last
    /// one was a moment ago.
    async fn request_tick(&mut self) {
        if self.tick_requested {
            return;
        }
        let due_at = self.last_tick_at + MIN_TICK_INTERVAL_MS;
        let now = now_ms();
        if now < due_at {
            self.set_timer(now, due_at);
            return;
        }
        self.tick_requested = true;
        let tick = TickMessage { requested_at: now };
        let _ = self.address.send(tick).detach().await;
    }

    /// Returns the hosts that may query the policy service.
    fn query_hosts(&self, now: u64) -> BTreeSet<Arc<str>> {
        let recent = self
            .peers
            .iter()
            .filter(|(_, peer)| now.saturating_sub(peer.heartbeat_at) < PEER_TIMEOUT_MS)
            .map(|(host, _)| host.clone());
        recent.chain([self.host.clone()]).collect()
    }

    /// Ticks the owner; `requested_at` is when the tick was requested. Every message sent before
    /// that has been processed.
    fn tick(&mut self, requested_at: u64) {
        let (now, unix) = (now_ms(), unix_ms());
        self.last_tick_at = now;
        let outdated = now >= self.query_hosts_set_at + QUERY_HOST_UPDATE_MS;
        let hosts = outdated.then(|| (self.query_hosts(now), self.forward_peers(now)));
        if outdated && self.ownership.is_some() && self.forwarder.needs_delegates() {
            self.ask_failure_domains(now);
        }
        let Some(ownership) = &mut self.ownership else {
            return;
        };
        let may_act = now < ownership.valid_until;
        if !may_act && !ownership.suspended {
            FleetEvent::StartsSuspended.emit(json!({"epoch": ownership.machine.epoch()}));
        }
        ownership.suspended = !may_act;
        if let Some((query_hosts, forward_peers)) = hosts {
            self.query_hosts_set_at = now;
            ownership.machine.set_query_hosts(&query_hosts);
            let upstream_count = ownership.machine.upstream_count();
            self.forwarder.update(now, &forward_peers, upstream_count);
        }
        ownership.machine.tick(now, unix, may_act);
        let valid_until = ownership.valid_until;
        let epoch = ownership.machine.epoch();
        // A host that may have been replaced does not know what a successor accepts.
        let is_due = may_act && now >= ownership.counted_at + COUNT_INTERVAL_MS;
        if is_due && ownership.check_completeness(requested_at) {
            ownership.counted_at = now;
            self.view.set_waiting_counts(WaitingCounts {
                epoch,
                by_queue: ownership.machine.waiting_counts(),
                counted_at: requested_at,
                known_until: Some(ownership.known_until),
            });
        }
        if now >= ownership.advice_reported_at + ADVICE_REPORT_INTERVAL_MS {
            ownership.advice_reported_at = now;
            log_advice_load(&ownership.machine.advice_load(now));
        }
        let usage = ownership.machine.query_usage();
        ownership.query_usage.update(now, usage, &self.metrics);
        let effects = ownership.machine.take_effects();
        let due = ownership.machine.next_due_at(now, unix, may_act);
        let (submissions, runs) = ownership.machine.counts();
        let held_runs = ownership.machine.held_run_count();
        let deferred = ownership.machine.deferred_counts();
        let has_stepped_down = ownership.machine.has_stepped_down();
        self.run_effects(now, epoch, valid_until, effects);
        let due = due.min(self.forwarder.next_due_at());
        self.metrics.set_load(submissions, runs);
        self.metrics.set_held_runs(held_runs);
        self.metrics.set_deferred(deferred);
        if has_stepped_down {
            self.end_ownership("another host used a higher epoch");
            return;
        }
        self.set_timer(now, due.max(now + MIN_TICK_INTERVAL_MS));
    }

    /// Schedules a tick, unless an earlier one is scheduled.
    fn set_timer(&mut self, now: u64, due_at: u64) {
        if let Some((scheduled_at, timer)) = &self.timer {
            if now <= *scheduled_at && *scheduled_at <= due_at {
                return;
            }
            timer.abort();
        }
        let delay = Duration::from_millis(due_at.saturating_sub(now));
        let address = self.address.clone();
        let timer = tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            let tick = TickMessage {
                requested_at: now_ms(),
            };
            let _ = address.send(tick).detach().await;
        });
        self.timer = Some((due_at, timer));
    }

    fn end_ownership(&mut self, reason: &str) {
        if let Some(ownership) = self.ownership.take() {
            let epoch = ownership.machine.epoch();
            FleetEvent::OwnershipEnded.emit(json!({"epoch": epoch, "reason": reason}));
            self.metrics.set_epoch(0);
            self.metrics.set_held_runs(0);
            self.metrics.set_deferred((0, 0));
            self.view.set_owned_epoch(None);
        }
    }

    fn take_ownership(&mut self, grant: OwnershipGrant) {
        let Some((config, _)) = self.view.config() else {
            return;
        };
        if grant.epoch < self.highest_successor_epoch {
            return;
        }
        let mut machine =
            OwnerMachine::new(self.settings, grant.epoch, grant.generation, config.clone());
        machine.set_config(config, self.view.evacuated_domains());
        FleetEvent::OwnershipTaken.emit(json!({
            "epoch": grant.epoch,
            "generation": grant.generation,
            "submissions": grant.recovered.submissions.len(),
            "roster": grant.recovered.roster.len(),
        }));
        machine.recover(now_ms(), grant.recovered);
        self.query_hosts_set_at = 0;
        self.forwarder.begin(grant.epoch);
        self.metrics.set_epoch(grant.epoch);
        self.view.set_owned_epoch(Some(grant.epoch));
        self.ownership = Some(ActiveOwnership {
            machine,
            finished_runs: FinishedRunLog::default(),
            valid_until: grant.valid_until,
            suspended: false,
            counted_at: 0,
            known_until: grant.known_until,
            counts_complete: true,
            advice_reported_at: 0,
            query_usage: QueryUsageLog::default(),
        });
    }

    fn apply_input(&mut self, input: ControlInput) {
        let now = now_ms();
        match input {
            ControlInput::OwnershipGranted(grant) => {
                self.take_ownership(*grant);
                return;
            }
            ControlInput::OwnershipEnded { epoch, reason } => {
                if self.epoch() == Some(epoch) {
                    self.end_ownership(reason);
                }
                return;
            }
            ControlInput::FailureDomainRead(host, address, domain) => {
                let peer = self.peers.get_mut(&host);
                if let Some(peer) = peer.filter(|peer| peer.info.address == address) {
                    peer.failure_domain = Some(domain);
                }
                return;
            }
            _ => {}
        }
        let Some(ownership) = &mut self.ownership else {
            return;
        };
        let machine = &mut ownership.machine;
        let epoch = machine.epoch();
        match input {
            ControlInput::ConfigChanged => {
                if let Some((config, _)) = self.view.config() {
                    machine.set_config(config, self.view.evacuated_domains());
                }
            }
            ControlInput::DirectoryRead(read) => machine.set_directory(now, read),
            ControlInput::SubmissionsStored(records) => {
                for (record, create_revision) in records {
                    machine.add_submission(now, record, create_revision);
                }
            }
            ControlInput::CancellationsStored(ids) => {
                for id in ids {
                    machine.cancel(now, &id);
                }
            }
            ControlInput::AcceptedKnown {
                epoch: known_epoch,
                until,
            } if known_epoch == epoch => {
                ownership.known_until = ownership.known_until.max(until);
            }
            ControlInput::StaleCancellations(ids) => machine.add_stale_cancels(ids),
            ControlInput::ExpiredFinalStates(ids) => machine.add_expired_results(ids),
            ControlInput::OwnershipRenewed {
                epoch: renewed_epoch,
                valid_until,
            } if renewed_epoch == epoch => {
                ownership.valid_until = ownership.valid_until.max(valid_until);
            }
            ControlInput::OutageObserved {
                epoch: observed_epoch,
                asked_at,
            } if observed_epoch == epoch => machine.observe_outage(asked_at),
            ControlInput::RenewalFinished(order, sent_at, outcome) if order.epoch == epoch => {
                let renewal = SettledRenewal {
                    order,
                    handed_over_at: sent_at,
                    outcome,
                };
                apply_renewal(ownership, now, renewal);
            }
            ControlInput::RenewalsForwarded(batch) if batch.epoch == epoch => {
                let (delegate, renewals) = (&batch.delegate, &batch.renewals);
                self.forwarder
                    .on_receipt(batch.received_at, delegate, renewals, batch.receipt);
            }
            ControlInput::RenewalsReported(report) => {
                for renewal in self.forwarder.on_report(now, report) {
                    apply_renewal(ownership, now, renewal);
                }
            }
            ControlInput::StartFinished(order, sent_at, answer) if order.epoch == epoch => {
                apply_clock(machine, now, sent_at, &order.upstream, answer.clock_ms);
                machine.on_start(now, &order, answer.outcome);
            }
            ControlInput::StopFinished(order, sent_at, answer) if order.epoch == epoch => {
                apply_clock(machine, now, sent_at, &order.upstream, answer.clock_ms);
                machine.on_stop(now, &order, answer.outcome);
            }
            ControlInput::QueryFinished(query_epoch, query_id, outcome) if query_epoch == epoch => {
                machine.on_query_outcome(now, query_id, &outcome);
            }
            ControlInput::CommitFinished(commit_epoch, batch, outcome) if commit_epoch == epoch => {
                machine.on_commit(now, &batch, outcome);
                if matches!(outcome, CommitOutcome::Stored { .. }) {
                    log_final_states(&batch);
                }
            }
            _ => {}
        }
    }

    fn epoch(&self) -> Option<u64> {
        self.ownership
            .as_ref()
            .map(|ownership| ownership.machine.epoch())
    }
}

/// Applies the reading of an upstream's clock in an answer, if there is one.
fn apply_clock(
    machine: &mut OwnerMachine,
    now: u64,
    sent_at: u64,
    upstream: &Arc<str>,
    clock_ms: Option<u64>,
) {
    if let Some(clock_ms) = clock_ms {
        machine.on_clock_reading(now, sent_at, upstream, clock_ms);
    }
}

/// Applies the outcome of a renewal.
fn apply_renewal(ownership: &mut ActiveOwnership, now: u64, renewal: SettledRenewal) {
    let (order, machine) = (renewal.order, &mut ownership.machine);
    match renewal.outcome {
        RenewOutcome::Answered(reply) => {
            log_finished_runs(&mut ownership.finished_runs, &order.upstream, &reply);
            machine.on_renewed(now, renewal.handed_over_at, &order.upstream, &reply);
        }
        RenewOutcome::Fenced => machine.on_renewal_fenced(now, &order.upstream, order.fence),
        RenewOutcome::OtherIncarnation => {
            machine.on_other_incarnation(now, &order.upstream, &order.address);
        }
        RenewOutcome::Failed => machine.on_renewal_failed(now, &order.upstream),
    }
}

impl Handler<TimedInput> for ControlActor {
    type Return = ();

    async fn handle(&mut self, message: TimedInput, _: &mut Context<Self>) {
        record_inbox_delay(now_ms().saturating_sub(message.sent_at));
        measure(WorkKind::Decisions, || self.apply_input(message.input));
        self.request_tick().await;
    }
}

impl Handler<TickMessage> for ControlActor {
    type Return = ();

    async fn handle(&mut self, message: TickMessage, _: &mut Context<Self>) {
        self.tick_requested = false;
        if self
            .timer
            .as_ref()
            .is_some_and(|(_, timer)| timer.is_finished())
        {
            self.timer = None;
        }
        measure(WorkKind::Ticks, || self.tick(message.requested_at));
    }
}

impl ControlActor {
    /// Records that a host has sent a heartbeat.
    fn record_heartbeat(&mut self, request: HeartbeatRequest) {
        if request.accepts_work {
            let earlier = self.peers.remove(&request.host);
            let earlier = earlier.filter(|peer| peer.info.address == request.address);
            let peer = PeerEntry {
                info: PeerInfo {
                    address: request.address,
                    processor_milli: request.processor_milli,
                },
                domain_asked_at: earlier.as_ref().and_then(|peer| peer.domain_asked_at),
                failure_domain: earlier.and_then(|peer| peer.failure_domain),
                heartbeat_at: now_ms(),
            };
            self.peers.insert(request.host, peer);
        }
    }
}

impl Handler<PeerHeartbeatMessage> for ControlActor {
    type Return = ();

    async fn handle(&mut self, message: PeerHeartbeatMessage, _: &mut Context<Self>) {
        self.record_heartbeat(message.0);
    }
}

impl Handler<OwnHeartbeatMessage> for ControlActor {
    type Return = HeartbeatReply;

    async fn handle(
        &mut self,
        message: OwnHeartbeatMessage,
        _: &mut Context<Self>,
    ) -> HeartbeatReply {
        self.record_heartbeat(message.0);
        let now = now_ms();
        let peers = self
            .peers
            .values()
            .filter(|peer| now.saturating_sub(peer.heartbeat_at) < PEER_TIMEOUT_MS)
            .map(|peer| peer.info.clone())
            .collect();
        // The actor sets the counts of its own host itself.
        HeartbeatReply {
            peers: Some(peers),
            epoch: None,
            store_response_age_ms: self.view.store_response_age_ms(),
            config: None,
            waiting_counts: HashMap::new(),
        }
    }
}

impl Handler<StepDownMessage> for ControlActor {
    type Return = bool;

    async fn handle(&mut self, message: StepDownMessage, _: &mut Context<Self>) -> bool {
        self.highest_successor_epoch = self.highest_successor_epoch.max(message.0);
        if self.epoch().is_some_and(|epoch| epoch < message.0) {
            self.end_ownership("the host stepped down for a successor");
        }
        true
    }
}

impl Handler<SubmittedMessage> for ControlActor {
    type Return = bool;

    async fn handle(&mut self, message: SubmittedMessage, _: &mut Context<Self>) -> bool {
        if self.ownership.is_none() {
            return false;
        }
        let revisions = message
            .0
            .iter()
            .map(|(_, create_revision)| *create_revision);
        self.view
            .record_reported_revision(revisions.max().unwrap_or(0));
        self.apply_input(ControlInput::SubmissionsStored(message.0));
        self.request_tick().await;
        true
    }
}

impl Handler<CancelledMessage> for ControlActor {
    type Return = Vec<Arc<str>>;

    async fn handle(&mut self, message: CancelledMessage, _: &mut Context<Self>) -> Vec<Arc<str>> {
        let Some(ownership) = &mut self.ownership else {
            return message.0;
        };
        let (known, unknown): (Vec<_>, Vec<_>) = message
            .0
            .into_iter()
            .partition(|id| ownership.machine.state_of(id).is_some());
        for id in &known {
            ownership.machine.cancel(now_ms(), id);
        }
        self.request_tick().await;
        unknown
    }
}

impl Handler<LookupMessage> for ControlActor {
    type Return = SubmissionLookup;

    async fn handle(&mut self, message: LookupMessage, _: &mut Context<Self>) -> SubmissionLookup {
        let Some(ownership) = &self.ownership else {
            return SubmissionLookup::NotOwner;
        };
        if now_ms() >= ownership.valid_until {
            return SubmissionLookup::NotOwner;
        }
        ownership
            .machine
            .state_of(&message.0)
            .map_or(SubmissionLookup::Unknown, SubmissionLookup::Known)
    }
}
