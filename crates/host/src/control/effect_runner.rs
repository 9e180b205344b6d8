//! Carries out the owner's effects.

use std::collections::BTreeMap;
use std::sync::Arc;

use lagoonnotch_fleet::model::{RenewReply, StartOutcome, StopOutcome};
use lagoonnotch_fleet::owner::{
    CommitBatch, CommitOutcome, OwnerEffect, PolicyDecision, QueryOrder, QueryOutcome, RenewOrder,
    StartOrder, StopOrder,
};
use serde_json::json;

use crate::clock::now_ms;
use crate::control::control_actor::HelperEntry;
use crate::control::{ControlInput, ControlLink};
use crate::event::FleetEvent;
use crate::metrics::FleetMetrics;
use crate::peer::PeerLinks;
use crate::ports::{AskCall, HoldOutcome, PlatformPorts};
use crate::store::CommitDesk;

/// Carries out effects in tasks of their own, and sends their outcomes to the actor.
#[derive(Clone)]
pub(super) struct EffectRunner {
    host: Arc<str>,
    ports: PlatformPorts,
    commits: CommitDesk,
    links: PeerLinks,
    control: ControlLink,
    metrics: Arc<FleetMetrics>,
}

impl EffectRunner {
    pub fn new(
        host: Arc<str>,
        ports: PlatformPorts,
        links: PeerLinks,
        control: ControlLink,
        metrics: Arc<FleetMetrics>,
    ) -> Self {
        Self {
            host,
            commits: CommitDesk::new(ports.store.clone()),
            ports,
            links,
            control,
            metrics,
        }
    }

    /// Begins an effect; orders are not sent any more once `valid_until` has passed.
    pub fn run(
        &self,
        epoch: u64,
        effect: OwnerEffect,
        helpers: &BTreeMap<Arc<str>, HelperEntry>,
        valid_until: u64,
    ) {
        let runner = self.clone();
        match effect {
            OwnerEffect::Renew(order) => {
                tokio::spawn(async move { runner.hold(order, valid_until).await });
            }
            OwnerEffect::Start(order) => {
                tokio::spawn(async move { runner.start(order, valid_until).await });
            }
            OwnerEffect::Stop(order) => {
                tokio::spawn(async move { runner.stop(order).await });
            }
            OwnerEffect::Query(order) => {
                let address = helpers
                    .get(&order.host)
                    .map(|helper| helper.peer.address.clone());
                tokio::spawn(async move { runner.ask(epoch, order, address).await });
            }
            OwnerEffect::Commit(batch) => {
                tokio::spawn(async move { runner.commit(epoch, batch).await });
            }
            OwnerEffect::StepDown => {}
        }
    }

    async fn hold(&self, order: RenewOrder, valid_until: u64) {
        let sent_at = now_ms();
        let outcome = if sent_at < valid_until {
            (self.ports.upstream.hold)(order.clone()).await
        } else {
            HoldOutcome::Failed
        };
        if !matches!(outcome, HoldOutcome::Answered(_)) {
            self.metrics.count_order("hold_failed");
            FleetEvent::UpstreamSilent.emit(json!({
                "upstream": order.upstream,
                "waited_ms": now_ms().saturating_sub(sent_at),
                "outcome": format!("{outcome:?}"),
            }));
        }
        self.control
            .input(ControlInput::HoldDone(order, sent_at, outcome))
            .await;
    }

    async fn start(&self, order: StartOrder, valid_until: u64) {
        let outcome = if now_ms() < valid_until {
            (self.ports.upstream.start)(order.clone()).await
        } else {
            StartOutcome::Unhealthy
        };
        self.metrics.count_order(start_kind(outcome));
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
            .input(ControlInput::StartDone(order, outcome))
            .await;
    }

    async fn stop(&self, order: StopOrder) {
        let outcome = (self.ports.upstream.stop)(order.clone()).await;
        self.metrics.count_order(match outcome {
            StopOutcome::Accepted => "stop_accepted",
            _ => "stop_failed",
        });
        FleetEvent::StopOrdered.emit(json!({
            "request": order.task.submission,
            "task": order.task.to_string(),
            "attempt": order.attempt,
            "upstream": order.upstream,
            "outcome": format!("{outcome:?}"),
        }));
        self.control
            .input(ControlInput::StopDone(order, outcome))
            .await;
    }

    async fn ask(&self, epoch: u64, order: QueryOrder, address: Option<Arc<str>>) {
        let began_at = now_ms();
        let outcome = if order.host == self.host {
            let call = AskCall {
                step: order.step.clone(),
                upstreams: order.upstreams.clone(),
                timeout_ms: order.timeout_ms,
            };
            (self.ports.upstream.ask)(call).await
        } else {
            self.ask_peer(&order, address).await
        };
        let fields = json!({
            "step": order.step,
            "asked_by": order.host,
            "upstreams": order.upstreams.len(),
            "took_ms": now_ms().saturating_sub(began_at),
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
            .input(ControlInput::AskDone(epoch, order.query_id, outcome))
            .await;
    }

    async fn ask_peer(&self, order: &QueryOrder, address: Option<Arc<str>>) -> QueryOutcome {
        let Some(address) = address else {
            return QueryOutcome::Failed;
        };
        let reply = self
            .links
            .ask(
                &address,
                order.step.clone(),
                order.upstreams.clone(),
                order.timeout_ms,
            )
            .await;
        match reply {
            Ok(Some(advice)) => QueryOutcome::Answered(PolicyDecision {
                allowed: advice.allowed,
                valid_ms: advice.valid_ms,
            }),
            _ => QueryOutcome::Failed,
        }
    }

    async fn commit(&self, epoch: u64, batch: CommitBatch) {
        let outcome = self.commits.write(epoch, &batch).await;
        self.metrics.count_commit(match outcome {
            CommitOutcome::Stored => "stored",
            CommitOutcome::Fenced => "fenced",
            CommitOutcome::Unknown => "unknown",
        });
        if outcome != CommitOutcome::Stored {
            FleetEvent::CommitFailed.emit(json!({
                "epoch": epoch,
                "records": batch.progress.len() + batch.ended.len(),
                "outcome": format!("{outcome:?}"),
            }));
            tokio::time::sleep(COMMIT_PAUSE).await;
        }
        self.control
            .input(ControlInput::CommitDone(epoch, batch, outcome))
            .await;
    }
}

/// Pause after a commit that was not stored.
const COMMIT_PAUSE: std::time::Duration = std::time::Duration::from_millis(100);

fn start_kind(outcome: StartOutcome) -> &'static str {
    match outcome {
        StartOutcome::Started => "started",
        StartOutcome::Rejected(_) => "start_rejected",
        StartOutcome::Unhealthy => "start_unhealthy",
        StartOutcome::OtherIncarnation => "start_other_incarnation",
        StartOutcome::Unknown => "start_unknown",
    }
}

/// Logs the ends that an upstream lists anew.
pub(super) fn note_ends(upstream: &Arc<str>, seen: u64, answer: &RenewReply) {
    for end in answer.finished.iter().filter(|end| end.number > seen) {
        FleetEvent::RunEnded.emit(json!({
            "request": end.task.split('.').next(),
            "task": end.task,
            "attempt": end.attempt,
            "upstream": upstream,
            "end": format!("{:?}", end.outcome),
            "number": end.number,
        }));
    }
}

/// Logs the final states that are stored.
pub(super) fn note_finals(batch: &CommitBatch) {
    for ended in &batch.ended {
        FleetEvent::SubmissionEnded.emit(json!({
            "request": ended.id,
            "state": format!("{:?}", ended.state),
        }));
    }
}
