//! Executes the effects of the owner's state machine.

use std::collections::BTreeMap;
use std::sync::Arc;

use lagoonnotch_fleet::model::{RenewReply, StartOutcome, StopOutcome};
use lagoonnotch_fleet::owner::{
    AdviceLoad, CommitBatch, CommitOutcome, CrashReport, HeldRuns, HeldRunsRelease,
    IncarnationReport, MissingFinishedRuns, OwnerEffect, PolicyDecision, QuarantineReport,
    QueryOrder, QueryOutcome, RecoveryBound, RenewOrder, RestartReport, RetryDelayReport,
    ShortenedQuarantine, StartOrder, StopOrder, UnlistedReport,
};
use serde_json::json;

use crate::clock::now_ms;
use crate::control::control_actor::PeerEntry;
use crate::control::team_reports::{report_deferral, report_restore};
use crate::control::{ControlHandle, ControlInput, FinishedRunLog, ForwardedBatch};
use crate::event::FleetEvent;
use crate::forward::BatchOrder;
use crate::metrics::{FleetMetrics, WorkKind, measured, timer_delay_ms};
use crate::peer::PeerClients;
use crate::ports::{OrderAnswer, PlatformPorts, PolicyRequest, RenewOutcome};
use crate::store::CommitWriter;

/// Executes each effect in its own task, and sends the outcome to the control actor.
#[derive(Clone)]
pub(super) struct EffectRunner {
    host: Arc<str>,
    ports: PlatformPorts,
    commits: CommitWriter,
    clients: PeerClients,
    control: ControlHandle,
    metrics: Arc<FleetMetrics>,
}

impl EffectRunner {
    pub fn new(
        host: Arc<str>,
        ports: PlatformPorts,
        clients: PeerClients,
        control: ControlHandle,
        metrics: Arc<FleetMetrics>,
    ) -> Self {
        Self {
            host,
            commits: CommitWriter::new(ports.store.clone()),
            ports,
            clients,
            control,
            metrics,
        }
    }

    /// Starts an effect. Renewals and start orders are not sent once `valid_until` has passed.
    pub fn run(
        &self,
        epoch: u64,
        effect: OwnerEffect,
        peers: &BTreeMap<Arc<str>, PeerEntry>,
        valid_until: u64,
    ) {
        let runner = self.clone();
        match effect {
            OwnerEffect::Renew(order) => {
                let renewal = async move { runner.renew_leases(order, valid_until).await };
                tokio::spawn(measured(WorkKind::Renewals, renewal));
            }
            OwnerEffect::Start(order) => {
                let start = async move { runner.start(order, valid_until).await };
                tokio::spawn(measured(WorkKind::Orders, start));
            }
            OwnerEffect::Stop(order) => {
                let stop = async move { runner.stop(order).await };
                tokio::spawn(measured(WorkKind::Orders, stop));
            }
            OwnerEffect::Query(order) => {
                let address = peers.get(&order.host).map(|peer| peer.info.address.clone());
                let query = async move { runner.query_policy(epoch, order, address).await };
                tokio::spawn(measured(WorkKind::Queries, query));
            }
            OwnerEffect::Commit(batch) => {
                let commit = async move { runner.commit(epoch, batch).await };
                tokio::spawn(measured(WorkKind::Commits, commit));
            }
            OwnerEffect::ReportCrash(report) => self.report_crash(&report),
            OwnerEffect::ReportUnlisted(report) => report_unlisted(&report),
            OwnerEffect::ReportRecovery(bound) => report_recovery(epoch, &bound),
            OwnerEffect::ReportRestart(report) => self.report_restart(epoch, &report),
            OwnerEffect::ReportIncarnation(report) => report_incarnation(epoch, &report),
            OwnerEffect::ReportMissingFinished(missing) => {
                self.report_missing_finished(epoch, &missing);
            }
            OwnerEffect::ReportQuarantine(report) => self.report_quarantine(epoch, &report),
            OwnerEffect::ReportShortenedQuarantine(report) => {
                report_shortened_quarantine(epoch, &report);
            }
            OwnerEffect::ReportRetryDelay(report) => self.report_retry_delay(epoch, &report),
            OwnerEffect::ReportDeferral(report) => report_deferral(epoch, &report),
            OwnerEffect::ReportRestore(report) => report_restore(epoch, &report),
            OwnerEffect::ReportHeldRuns(held) => report_held_runs(epoch, &held),
            OwnerEffect::ReportRelease(release) => report_release(epoch, &release),
            OwnerEffect::StepDown => {}
        }
    }

    /// Asks a host for its failure domain.
    pub fn read_failure_domain(&self, host: Arc<str>, address: Arc<str>) {
        let runner = self.clone();
        let reading = async move {
            match runner.clients.failure_domain(&address).await {
                Ok(domain) => {
                    let input = ControlInput::FailureDomainRead(host, address, domain);
                    runner.control.send(input).await;
                }
                Err(error) => {
                    log::debug!(target: "lagoonnotch", "failed to read the failure domain of {host}: {error:?}");
                }
            }
        };
        tokio::spawn(measured(WorkKind::Forwards, reading));
    }

    /// Sends a batch of renewals to a delegate, unless `valid_until` has passed.
    pub fn forward(&self, batch: BatchOrder, valid_until: u64) {
        let runner = self.clone();
        let forwarding = async move { runner.forward_batch(batch, valid_until).await };
        tokio::spawn(measured(WorkKind::Forwards, forwarding));
    }

    async fn forward_batch(&self, order: BatchOrder, valid_until: u64) {
        let epoch = order.batch.epoch;
        let numbers = order.batch.renewals.iter().map(|renewal| renewal.number);
        let renewals: Vec<_> = numbers.collect();
        let receipt = if now_ms() < valid_until {
            let reply = self
                .clients
                .forward_renewals(&order.address, order.batch)
                .await;
            reply.ok()
        } else {
            None
        };
        let batch = ForwardedBatch {
            epoch,
            delegate: order.delegate,
            renewals,
            receipt,
            received_at: now_ms(),
        };
        self.control
            .send(ControlInput::RenewalsForwarded(batch))
            .await;
    }

    fn report_crash(&self, report: &CrashReport) {
        self.metrics.count_crash(report.scope.label());
        let tasks: Vec<_> = report.tasks.iter().map(ToString::to_string).collect();
        FleetEvent::UpstreamCrashed.emit(json!({
            "upstream": report.upstream,
            "scope": report.scope.label(),
            "tasks": tasks,
        }));
        for (task, upstreams) in &report.given_up {
            FleetEvent::SubmissionGivenUp.emit(json!({
                "request": task.submission,
                "task": task.to_string(),
                "crashed": upstreams,
            }));
        }
    }

    fn report_restart(&self, epoch: u64, report: &RestartReport) {
        self.metrics.count_restart(report.lease_orders > 0);
        FleetEvent::UpstreamRestarted.emit(json!({
            "epoch": epoch,
            "upstream": report.upstream,
            "earlier_incarnation": report.earlier_incarnation_unix_ms,
            "incarnation": report.incarnation_unix_ms,
            "clock_ms": report.clock_ms,
            "lease_orders": report.lease_orders,
            "ack_number": report.ack_number,
            "leases_expire_in_ms": report.leases_expire_in_ms,
            "runs": report.run_count,
        }));
    }

    fn report_missing_finished(&self, epoch: u64, missing: &MissingFinishedRuns) {
        let first_missing = missing.last_seen_number + 1;
        let count = missing.first_listed_number - first_missing;
        self.metrics.count_missing_finished(count);
        FleetEvent::FinishedRunsMissing.emit(json!({
            "epoch": epoch,
            "upstream": missing.upstream,
            "first_missing": first_missing,
            "first_listed": missing.first_listed_number,
        }));
    }

    fn report_quarantine(&self, epoch: u64, report: &QuarantineReport) {
        self.metrics.count_quarantine(report.reason.label());
        FleetEvent::UpstreamQuarantined.emit(json!({
            "epoch": epoch,
            "upstream": report.upstream,
            "reason": report.reason.label(),
            "duration_ms": report.duration_ms,
            "count": report.count,
            "submissions": report.submissions,
        }));
    }

    fn report_retry_delay(&self, epoch: u64, report: &RetryDelayReport) {
        self.metrics.count_delayed_retry();
        FleetEvent::RetryDelayed.emit(json!({
            "epoch": epoch,
            "request": report.task.submission,
            "task": report.task.to_string(),
            "failures": report.failures,
            "delay_ms": report.delay_ms,
        }));
    }

    async fn renew_leases(&self, order: RenewOrder, valid_until: u64) {
        let sent_at = now_ms();
        let outcome = if sent_at < valid_until {
            (self.ports.upstream.renew_leases)(order.clone()).await
        } else {
            RenewOutcome::Failed
        };
        if !matches!(outcome, RenewOutcome::Answered(_)) {
            // A renewal is called `hold` on the wire; only failed ones are counted.
            self.metrics.count_order("hold_failed");
            FleetEvent::UpstreamSilent.emit(json!({
                "upstream": order.upstream,
                "waited_ms": now_ms().saturating_sub(sent_at),
                "outcome": format!("{outcome:?}"),
                "timer_delay_ms": timer_delay_ms(),
            }));
        }
        self.control
            .send(ControlInput::RenewalFinished(order, sent_at, outcome))
            .await;
    }

    async fn start(&self, order: StartOrder, valid_until: u64) {
        let sent_at = now_ms();
        let answer = if sent_at < valid_until {
            (self.ports.upstream.start)(order.clone()).await
        } else {
            OrderAnswer::without_clock(StartOutcome::Unhealthy)
        };
        let outcome = answer.outcome;
        self.metrics.count_order(start_outcome_kind(outcome));
        if outcome == StartOutcome::Started {
            FleetEvent::TaskOrdered.emit(json!({
                "request": order.task.submission,
                "task": order.task.to_string(),
                "attempt": order.attempt,
                "upstream": order.upstream,
                "epoch": order.epoch,
            }));
        } else {
            FleetEvent::StartRefused.emit(json!({
                "request": order.task.submission,
                "task": order.task.to_string(),
                "attempt": order.attempt,
                "upstream": order.upstream,
                "epoch": order.epoch,
                "outcome": format!("{outcome:?}"),
            }));
        }
        self.control
            .send(ControlInput::StartFinished(order, sent_at, answer))
            .await;
    }

    async fn stop(&self, order: StopOrder) {
        let sent_at = now_ms();
        let answer = (self.ports.upstream.stop)(order.clone()).await;
        let outcome = answer.outcome;
        self.metrics.count_order(match outcome {
            StopOutcome::Accepted => "stop_accepted",
            _ => "stop_failed",
        });
        self.metrics.count_stop(order.reason.label());
        FleetEvent::StopOrdered.emit(json!({
            "request": order.task.submission,
            "task": order.task.to_string(),
            "attempt": order.attempt,
            "upstream": order.upstream,
            "reason": order.reason.label(),
            "preempted_for": order.reason.preempting_submission(),
            "outcome": format!("{outcome:?}"),
        }));
        self.control
            .send(ControlInput::StopFinished(order, sent_at, answer))
            .await;
    }

    async fn query_policy(&self, epoch: u64, order: QueryOrder, address: Option<Arc<str>>) {
        let sent_at = now_ms();
        let outcome = if order.host == self.host {
            let request = PolicyRequest {
                step: order.step.clone(),
                upstreams: order.upstreams.clone(),
                timeout_ms: order.timeout_ms,
            };
            (self.ports.upstream.query_policy)(request).await
        } else {
            self.query_policy_via_peer(&order, address).await
        };
        let fields = json!({
            "step": order.step,
            "queue": order.queue,
            "waiting": order.waiting,
            "asked_by": order.host,
            "upstreams": order.upstreams.len(),
            "known_allowed": order.known_allowed,
            "took_ms": now_ms().saturating_sub(sent_at),
            "allowed": match &outcome {
                QueryOutcome::Answered(answer) => Some(answer.allowed.len()),
                QueryOutcome::Failed => None,
            },
        });
        match outcome {
            QueryOutcome::Answered(_) => FleetEvent::AdviceTaken.emit(fields),
            QueryOutcome::Failed => FleetEvent::AdviceFailed.emit(fields),
        }
        self.control
            .send(ControlInput::QueryFinished(epoch, order.query_id, outcome))
            .await;
    }

    async fn query_policy_via_peer(
        &self,
        order: &QueryOrder,
        address: Option<Arc<str>>,
    ) -> QueryOutcome {
        let Some(address) = address else {
            return QueryOutcome::Failed;
        };
        let reply = self
            .clients
            .query_policy(
                &address,
                order.step.clone(),
                order.upstreams.clone(),
                order.timeout_ms,
            )
            .await;
        match reply {
            Ok(Some(decision)) => QueryOutcome::Answered(PolicyDecision {
                allowed: decision.allowed,
                valid_ms: decision.valid_ms,
            }),
            _ => QueryOutcome::Failed,
        }
    }

    async fn commit(&self, epoch: u64, batch: CommitBatch) {
        let outcome = self.commits.write(epoch, &batch).await;
        self.metrics.count_commit(match outcome {
            CommitOutcome::Stored { .. } => "stored",
            CommitOutcome::Fenced => "fenced",
            CommitOutcome::Unknown => "unknown",
        });
        if !matches!(outcome, CommitOutcome::Stored { .. }) {
            FleetEvent::CommitFailed.emit(json!({
                "epoch": epoch,
                "records": batch.progress.len() + batch.ended.len(),
                "outcome": format!("{outcome:?}"),
            }));
            tokio::time::sleep(COMMIT_RETRY_DELAY).await;
        }
        self.control
            .send(ControlInput::CommitFinished(epoch, batch, outcome))
            .await;
    }
}

/// Delay after a commit that was not stored.
const COMMIT_RETRY_DELAY: std::time::Duration = std::time::Duration::from_millis(100);

fn start_outcome_kind(outcome: StartOutcome) -> &'static str {
    match outcome {
        StartOutcome::Started => "started",
        StartOutcome::Rejected(_) => "start_rejected",
        StartOutcome::Unhealthy => "start_unhealthy",
        StartOutcome::NotSent => "start_not_sent",
        StartOutcome::OtherIncarnation => "start_other_incarnation",
        StartOutcome::Unknown => "start_unknown",
    }
}

/// Logs the finished runs that an upstream lists for the first time.
pub(super) fn log_finished_runs(log: &mut FinishedRunLog, upstream: &Arc<str>, reply: &RenewReply) {
    for run in log.take_new(upstream, reply) {
        FleetEvent::RunEnded.emit(json!({
            "request": run.task.split('.').next(),
            "task": run.task,
            "attempt": run.attempt,
            "upstream": upstream,
            "end": format!("{:?}", run.outcome),
            "number": run.number,
        }));
    }
}

/// Logs the final states that a commit stored.
pub(super) fn log_final_states(batch: &CommitBatch) {
    for ended in &batch.ended {
        FleetEvent::SubmissionEnded.emit(json!({
            "request": ended.id,
            "state": format!("{:?}", ended.state),
        }));
    }
}

/// Logs the load of the queries to the policy service, unless no step waits and no query is in
/// flight.
pub(super) fn log_advice_load(load: &AdviceLoad) {
    let hosts = load.hosts;
    if load.queues.is_empty() && hosts.long_pending + hosts.short_pending == 0 {
        return;
    }
    let queues: BTreeMap<_, _> = load
        .queues
        .iter()
        .map(|(queue, waits)| {
            let fields = json!({
                "tasks": waits.tasks,
                "querying": waits.querying,
                "ticketed": waits.ticketed,
                "delayed": waits.delayed,
                "unasked": waits.unasked,
            });
            (queue, fields)
        })
        .collect();
    FleetEvent::AdviceLoad.emit(json!({
        "hosts": hosts.hosts,
        "long_pending": hosts.long_pending,
        "short_pending": hosts.short_pending,
        "paused": hosts.paused,
        "queues": queues,
    }));
}

fn report_shortened_quarantine(epoch: u64, report: &ShortenedQuarantine) {
    FleetEvent::QuarantineShortened.emit(json!({
        "epoch": epoch,
        "upstream": report.upstream,
        "lasted_ms": report.lasted_ms,
        "shortened_by_ms": report.shortened_by_ms,
    }));
}

fn report_unlisted(report: &UnlistedReport) {
    FleetEvent::DrainingUpstreamUnlisted.emit(json!({
        "upstream": report.upstream,
        "max_report_age_ms": report.max_report_age_ms,
        "runs": report.run_count,
        "has_left": report.has_left,
    }));
}

fn report_incarnation(epoch: u64, report: &IncarnationReport) {
    FleetEvent::IncarnationChecked.emit(json!({
        "epoch": epoch,
        "upstream": report.upstream,
        "reason": report.reason.label(),
        "doubted_ms": report.doubted_ms,
        "is_new": report.is_new,
        "fence": report.fence,
        "leases_expire_in_ms": report.leases_expire_in_ms,
    }));
}

fn report_recovery(epoch: u64, bound: &RecoveryBound) {
    FleetEvent::RecoveryBounded.emit(json!({
        "epoch": epoch,
        "generation": bound.generation,
        "roster": bound.upstream_count,
        "runs": bound.run_count,
        "held_for_ms": bound.held_for_ms,
        "previous_owner_active_ms": bound.previous_owner_active_ms,
        "task_lease_ms": bound.task_lease_ms,
        "commit_bound_ms": bound.commit_bound_ms,
        "may_be_extended": bound.leases_may_be_extended,
        "silent": bound.silent_count,
        "stored_bounds": bound.stored_bound_count,
    }));
}

fn report_held_runs(epoch: u64, held: &HeldRuns) {
    FleetEvent::RunsHeld.emit(json!({
        "epoch": epoch,
        "upstream": held.upstream,
        "runs": held.run_count,
        "long_running": held.long_running_count,
        "silent_ms": held.silent_ms,
        "held_for_ms": held.held_for_ms,
        "term": held.term.label(),
    }));
}

fn report_release(epoch: u64, release: &HeldRunsRelease) {
    FleetEvent::HeldRunsReleased.emit(json!({
        "epoch": epoch,
        "upstream": release.upstream,
        "runs": release.run_count,
        "held_ms": release.held_ms,
        "term": release.term.label(),
        "cause": release.cause.label(),
    }));
}
