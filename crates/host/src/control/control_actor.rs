//! The control actor.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use lagoonnotch_fleet::owner::{CommitOutcome, OwnerMachine, OwnerSettings};
use serde_json::json;
use tokio::task::JoinHandle;
use xtra::prelude::*;

use crate::clock::{now_ms, unix_ms};
use crate::control::control_messages::{
    CancelledMessage, ControlInput, HelloMessage, OwnershipGrant, PumpMessage, StateMessage,
    SubmittedMessage, YieldMessage,
};
use crate::control::effect_runner::{EffectRunner, note_ends, note_finals};
use crate::control::{ControlLink, HostView};
use crate::event::FleetEvent;
use crate::metrics::FleetMetrics;
use crate::peer::{HelloReply, PeerLinks, PeerRef, PeerState};
use crate::ports::{HoldOutcome, PlatformPorts};

/// Age of a host's last greeting at which it is no longer asked for help, in milliseconds.
const HELPER_AGE_MS: u64 = 1500;

/// The owner's state while this host owns the fleet.
struct Ownership {
    machine: OwnerMachine,
    valid_until: u64,
    suspended: bool,
}

/// A host that greeted this one.
#[derive(Clone, Debug)]
pub(super) struct HelperEntry {
    pub peer: PeerRef,
    /// When it greeted last.
    pub greeted_at: u64,
}

/// Runs the owner's decisions.
#[derive(xtra::Actor)]
pub struct ControlActor {
    host: Arc<str>,
    settings: OwnerSettings,
    view: HostView,
    metrics: Arc<FleetMetrics>,
    runner: EffectRunner,
    address: Address<Self>,
    ownership: Option<Ownership>,
    /// Highest epoch that this host has yielded to; no lower one acts here any more.
    yielded_to: u64,
    /// Hosts that greeted this one.
    helpers: BTreeMap<Arc<str>, HelperEntry>,
    pump_sent: bool,
    timer: Option<JoinHandle<()>>,
}

impl ControlActor {
    /// Starts the actor.
    #[must_use]
    pub fn start(
        host: Arc<str>,
        settings: OwnerSettings,
        view: HostView,
        metrics: Arc<FleetMetrics>,
        ports: PlatformPorts,
        links: PeerLinks,
    ) -> ControlLink {
        let (address, mailbox) = Mailbox::unbounded();
        let link = ControlLink::new(address.clone());
        let runner = EffectRunner::new(host.clone(), ports, links, link.clone(), metrics.clone());
        let actor = Self {
            host,
            settings,
            view,
            metrics,
            runner,
            address,
            ownership: None,
            yielded_to: 0,
            helpers: BTreeMap::new(),
            pump_sent: false,
            timer: None,
        };
        tokio::spawn(xtra::run(mailbox, actor));
        link
    }

    /// Lets the actor do what is due once the inputs that wait already are taken.
    async fn request_pump(&mut self) {
        if self.pump_sent {
            return;
        }
        self.pump_sent = true;
        let _ = self.address.send(PumpMessage).detach().await;
    }

    fn pump(&mut self) {
        let (now, unix) = (now_ms(), unix_ms());
        let mut helpers: BTreeSet<_> = self
            .helpers
            .iter()
            .filter(|(_, helper)| now.saturating_sub(helper.greeted_at) < HELPER_AGE_MS)
            .map(|(host, _)| host.clone())
            .collect();
        helpers.insert(self.host.clone());
        let Some(ownership) = &mut self.ownership else {
            return;
        };
        let may_act = now < ownership.valid_until;
        if !may_act && !ownership.suspended {
            FleetEvent::StartsSuspended.emit(json!({"epoch": ownership.machine.epoch()}));
        }
        ownership.suspended = !may_act;
        ownership.machine.set_query_hosts(&helpers);
        ownership.machine.tick(now, unix, may_act);
        let valid_until = ownership.valid_until;
        let epoch = ownership.machine.epoch();
        for effect in ownership.machine.take_effects() {
            self.runner.run(epoch, effect, &self.helpers, valid_until);
        }
        let due = ownership.machine.next_due_at(now, unix);
        let (submissions, runs) = ownership.machine.load();
        self.metrics.set_load(submissions, runs);
        let deposed = ownership.machine.has_stepped_down();
        if deposed {
            self.end("another host used a higher epoch");
            return;
        }
        self.set_timer(due.saturating_sub(now).max(1));
    }

    fn set_timer(&mut self, pause_ms: u64) {
        if let Some(timer) = self.timer.take() {
            timer.abort();
        }
        let address = self.address.clone();
        self.timer = Some(tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            let _ = address.send(PumpMessage).detach().await;
        }));
    }

    fn end(&mut self, reason: &str) {
        if let Some(ownership) = self.ownership.take() {
            let epoch = ownership.machine.epoch();
            FleetEvent::OwnershipEnded.emit(json!({"epoch": epoch, "reason": reason}));
            self.metrics.set_epoch(0);
            self.view.set_owned_epoch(None);
        }
    }

    fn grant(&mut self, grant: OwnershipGrant) {
        let Some((config, _)) = self.view.config() else {
            return;
        };
        if grant.epoch < self.yielded_to {
            return;
        }
        let mut machine =
            OwnerMachine::new(self.settings, grant.epoch, grant.generation, config.clone());
        machine.set_config(config, self.view.evacuated());
        FleetEvent::OwnershipTaken.emit(json!({
            "epoch": grant.epoch,
            "generation": grant.generation,
            "submissions": grant.recovered.submissions.len(),
            "roster": grant.recovered.roster.len(),
        }));
        machine.recover(now_ms(), unix_ms(), grant.recovered);
        self.metrics.set_epoch(grant.epoch);
        self.view.set_owned_epoch(Some(grant.epoch));
        self.ownership = Some(Ownership {
            machine,
            valid_until: grant.valid_until,
            suspended: false,
        });
    }

    fn take(&mut self, input: ControlInput) {
        let now = now_ms();
        match input {
            ControlInput::Granted(grant) => {
                self.grant(*grant);
                return;
            }
            ControlInput::Ended { epoch, reason } => {
                if self.epoch() == Some(epoch) {
                    self.end(reason);
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
                    machine.set_config(config, self.view.evacuated());
                }
            }
            ControlInput::Directory(reports) => machine.set_directory(now, reports),
            ControlInput::Submissions(records) => {
                for (record, created) in records {
                    machine.add_submission(now, record, created);
                }
            }
            ControlInput::Cancels(ids) => {
                for id in ids {
                    machine.cancel(now, &id);
                }
            }
            ControlInput::StrayCancels(ids) => machine.add_stale_cancels(ids),
            ControlInput::OldEnds(ids) => machine.add_expired(ids),
            ControlInput::Renewed {
                epoch: renewed,
                valid_until,
            } if renewed == epoch => {
                ownership.valid_until = ownership.valid_until.max(valid_until);
            }
            ControlInput::HoldDone(order, sent_at, outcome) if order.epoch == epoch => {
                match outcome {
                    HoldOutcome::Answered(answer) => {
                        note_ends(
                            &order.upstream,
                            machine.last_finished_number(&order.upstream),
                            &answer,
                        );
                        machine.on_renewed(now, sent_at, &order.upstream, &answer);
                    }
                    HoldOutcome::Fenced => machine.on_renewal_fenced(),
                    HoldOutcome::OtherIncarnation => {
                        machine.on_other_incarnation(now, &order.upstream, &order.address);
                    }
                    HoldOutcome::Failed => machine.on_renewal_failed(now, &order.upstream),
                }
            }
            ControlInput::StartDone(order, outcome) if order.epoch == epoch => {
                machine.on_start(now, &order, outcome);
            }
            ControlInput::StopDone(order, outcome) if order.epoch == epoch => {
                machine.on_stop(now, &order, outcome);
            }
            ControlInput::AskDone(asked, ask, outcome) if asked == epoch => {
                machine.on_query_outcome(now, ask, &outcome);
            }
            ControlInput::CommitDone(written, batch, outcome) if written == epoch => {
                machine.on_commit(now, &batch, outcome);
                if outcome == CommitOutcome::Stored {
                    note_finals(&batch);
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

impl Handler<ControlInput> for ControlActor {
    type Return = ();

    async fn handle(&mut self, input: ControlInput, _: &mut Context<Self>) {
        self.take(input);
        self.request_pump().await;
    }
}

impl Handler<PumpMessage> for ControlActor {
    type Return = ();

    async fn handle(&mut self, _: PumpMessage, _: &mut Context<Self>) {
        self.pump_sent = false;
        self.pump();
    }
}

impl Handler<HelloMessage> for ControlActor {
    type Return = HelloReply;

    async fn handle(&mut self, message: HelloMessage, _: &mut Context<Self>) -> HelloReply {
        let HelloMessage(call) = message;
        if call.can_ask {
            let helper = HelperEntry {
                peer: PeerRef {
                    address: call.address,
                    processor_milli: call.processor_milli,
                },
                greeted_at: now_ms(),
            };
            self.helpers.insert(call.host, helper);
        }
        let machine = self.ownership.as_ref().map(|ownership| &ownership.machine);
        let now = now_ms();
        let peers = self
            .helpers
            .values()
            .filter(|helper| now.saturating_sub(helper.greeted_at) < HELPER_AGE_MS)
            .map(|helper| helper.peer.clone())
            .collect();
        HelloReply {
            peers,
            epoch: machine.map(OwnerMachine::epoch),
            store_age_ms: self.view.store_age_ms(),
            config: None,
            waiting: machine
                .map(OwnerMachine::waiting_counts)
                .unwrap_or_default(),
        }
    }
}

impl Handler<YieldMessage> for ControlActor {
    type Return = bool;

    async fn handle(&mut self, message: YieldMessage, _: &mut Context<Self>) -> bool {
        self.yielded_to = self.yielded_to.max(message.0);
        if self.epoch().is_some_and(|epoch| epoch < message.0) {
            self.end("it yielded to a successor");
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
        self.take(ControlInput::Submissions(message.0));
        self.request_pump().await;
        true
    }
}

impl Handler<CancelledMessage> for ControlActor {
    type Return = bool;

    async fn handle(&mut self, message: CancelledMessage, _: &mut Context<Self>) -> bool {
        let Some(ownership) = &mut self.ownership else {
            return false;
        };
        let known = message
            .0
            .iter()
            .all(|id| ownership.machine.state_of(id).is_some());
        for id in &message.0 {
            ownership.machine.cancel(now_ms(), id);
        }
        self.request_pump().await;
        known
    }
}

impl Handler<StateMessage> for ControlActor {
    type Return = PeerState;

    async fn handle(&mut self, message: StateMessage, _: &mut Context<Self>) -> PeerState {
        let Some(ownership) = &self.ownership else {
            return PeerState::NotOwner;
        };
        if now_ms() >= ownership.valid_until {
            return PeerState::NotOwner;
        }
        ownership
            .machine
            .state_of(&message.0)
            .map_or(PeerState::Unknown, PeerState::Known)
    }
}
