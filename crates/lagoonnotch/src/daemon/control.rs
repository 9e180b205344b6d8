//! The control thread's actor: it alone holds and changes the control state.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lagoonnotch_wire::upstream::HostEntry;
use tokio::sync::{oneshot, watch};
use xtra::prelude::*;

use crate::daemon::control_messages::{
    BeatAnswerMessage, BeatMessage, CommandMessage, DocumentsMessage, DocumentsWanted,
    HeartbeatMessage, HostsMessage, LogMessage, OutgoingBeat, PreviewMessage, PreviewOutcome,
    ReleasedQuestion, ShardMessage, ShutdownMessage, TickMessage, WatchState, WatchTurn,
};
use crate::daemon::effect_runner::EffectRunner;
use crate::daemon::{CellView, HostClock};
use crate::document::{DocumentLog, LogUpdate};
use crate::event::EventCode;
use crate::metrics::HostMetrics;
use crate::model::ShardName;
use crate::peer::{HeartbeatReply, MemberState, MemberTable, OwnedShard};
use crate::settings::HostSettings;
use crate::shard::{
    CommandId, OwnershipPhase, Refusal, RefusalCode, ShardController, ShardEffect, ShardIdentity,
    ShardInput, ShardReply, ShardTiming,
};

/// Address of the control actor.
pub type ControlHandle = Address<ControlActor>;

/// Store writes a second that all shards together may use for their journals.
const JOURNAL_WRITES_PER_S: u64 = 150;

/// Time between two rounds that tend members, peers and the copy for the traffic threads, in
/// milliseconds.
const ROUND_MS: u64 = 100;

/// Time between two ticks while a shard has something to write or to place.
const BUSY_TICK_TIME: Duration = Duration::from_millis(20);

/// Time between two ticks otherwise.
const IDLE_TICK_TIME: Duration = Duration::from_millis(100);

/// Time between two looks at silent members, in milliseconds.
const FORGET_INTERVAL_MS: u64 = 1000;

/// The control state of one entry host.
#[derive(xtra::Actor)]
pub struct ControlActor {
    pub(super) clock: HostClock,
    pub(super) settings: Arc<HostSettings>,
    pub(super) members: MemberTable,
    pub(super) ledger: DocumentLog,
    /// A machine for each shard of this failure domain.
    shards: BTreeMap<ShardName, ShardController>,
    hosts: Option<Vec<HostEntry>>,
    /// Commands without an answer.
    commands: BTreeMap<CommandId, oneshot::Sender<ShardReply>>,
    next_command: u64,
    runner: EffectRunner,
    pub(super) view: watch::Sender<Arc<CellView>>,
    metrics: Arc<HostMetrics>,
    /// Hosts that were heard lately, for the log.
    heard: BTreeSet<String>,
    pub(super) stale: bool,
    next_forget_ms: u64,
    next_round_ms: u64,
}

impl ControlActor {
    /// Makes the control state of a host that starts.
    pub(super) fn new(
        clock: HostClock,
        settings: Arc<HostSettings>,
        members: MemberTable,
        runner: EffectRunner,
        view: watch::Sender<Arc<CellView>>,
        metrics: Arc<HostMetrics>,
    ) -> Self {
        Self {
            clock,
            ledger: DocumentLog::new(settings.approvers.clone()),
            settings,
            members,
            shards: BTreeMap::new(),
            hosts: None,
            commands: BTreeMap::new(),
            next_command: 0,
            runner,
            view,
            metrics,
            heard: BTreeSet::new(),
            stale: false,
            next_forget_ms: 0,
            next_round_ms: 0,
        }
    }

    /// Gives one input to a shard's machine and has its effects carried out.
    fn step(&mut self, shard: &ShardName, input: ShardInput) {
        let now_ms = self.clock.now_ms();
        let Some(machine) = self.shards.get_mut(shard) else {
            return;
        };
        for effect in machine.step(now_ms, input) {
            self.carry_out(shard, effect);
        }
    }

    fn carry_out(&mut self, shard: &ShardName, effect: ShardEffect) {
        match effect {
            ShardEffect::Reply { command, reply } => {
                if let Some(sender) = self.commands.remove(&command) {
                    let _ = sender.send(reply);
                }
            }
            ShardEffect::Event { code, detail } => code.log(&detail),
            ShardEffect::Peer {
                call,
                shard: other,
                request,
            } => {
                self.runner.call_shard(shard.clone(), call, other, request);
            }
            ShardEffect::Store { call, request } => {
                self.runner.call_store(shard.clone(), call, request);
            }
            ShardEffect::Upstream {
                call,
                address,
                request,
            } => {
                self.runner
                    .call_upstream(shard.clone(), call, address, request);
            }
        }
    }

    fn step_all(&mut self, input: &ShardInput) {
        let shards: Vec<ShardName> = self.shards.keys().cloned().collect();
        for shard in &shards {
            self.step(shard, input.clone());
        }
    }

    /// Forgets silent members and tells the store's client which peers may relay.
    fn tend_members(&mut self) {
        let now_ms = self.clock.now_ms();
        if now_ms < self.next_forget_ms {
            return;
        }
        self.next_forget_ms = now_ms + FORGET_INTERVAL_MS;
        self.members.forget_silent(now_ms);
        self.note_members();
        self.runner.set_relays(self.relays());
    }

    /// Tells every shard what is known of the other hosts.
    fn share_peers(&mut self) {
        let now_ms = self.clock.now_ms();
        let count = self.ledger.config().shards().count() as u64;
        let shards: Vec<ShardName> = self.shards.keys().cloned().collect();
        for shard in shards {
            let epoch = self.shards[&shard].owned_epoch();
            let mut view = self.members.peer_view(now_ms, &shard, epoch);
            view.shard_count = count;
            self.step(&shard, ShardInput::Peers(view));
        }
    }

    /// Puts a new configuration into force on this host.
    fn config_changed(&mut self) {
        let config = Arc::clone(self.ledger.config());
        EventCode::DocumentInForce.log(&format!("revision {}", config.revision));
        self.metrics.set_revision(config.revision);
        self.members.local_record_mut().revision = config.revision;
        let timing = shard_timing(config.shards().count() as u64);
        for shard in config.domain_shards(&self.settings.domain) {
            let identity = ShardIdentity {
                shard: shard.clone(),
                domain: self.settings.domain.clone(),
                host: self.settings.host.clone(),
                incarnation: self.members.local_record().incarnation,
            };
            self.shards
                .entry(shard)
                .or_insert_with(|| ShardController::new(identity, timing));
        }
        self.step_all(&ShardInput::Config(config));
        if let Some(hosts) = self.hosts.clone() {
            self.step_all(&ShardInput::Hosts(hosts));
        }
        self.publish();
    }

    /// Brings this host's own record up to date with its shards.
    fn update_own_record(&mut self) {
        let now_ms = self.clock.now_ms();
        let owned: Vec<OwnedShard> = self
            .shards
            .iter()
            .filter_map(|(shard, machine)| {
                let epoch = machine.owned_epoch()?;
                let summary = machine.summary(now_ms)?;
                Some(OwnedShard {
                    shard: shard.clone(),
                    epoch,
                    summary,
                })
            })
            .collect();
        self.metrics
            .set_waiting(owned.iter().map(|owned| owned.summary.waiting).sum());
        self.members.local_record_mut().shards = owned;
    }

    fn note_members(&mut self) {
        let now_ms = self.clock.now_ms();
        let fresh = self
            .members
            .members()
            .filter(|entry| self.members.is_fresh(now_ms, entry));
        let heard: BTreeSet<String> = fresh.map(|entry| entry.record.host.to_string()).collect();
        for host in heard.difference(&self.heard) {
            EventCode::MemberJoined.log(host);
        }
        for host in self.heard.difference(&heard) {
            EventCode::MemberSilent.log(host);
        }
        self.heard = heard;
    }

    /// Returns the peers that may still reach the store: those of other failure domains first.
    fn relays(&self) -> Vec<SocketAddr> {
        let now_ms = self.clock.now_ms();
        let fresh = self
            .members
            .members()
            .filter(|entry| self.members.is_fresh(now_ms, entry));
        let mut relays: Vec<&crate::peer::MemberEntry> = fresh.collect();
        relays.sort_by_key(|entry| entry.record.domain == self.settings.domain);
        relays
            .into_iter()
            .map(|entry| entry.record.peer_address)
            .collect()
    }
}

/// Returns the times of a shard when there are that many.
fn shard_timing(shards: u64) -> ShardTiming {
    let mut timing = ShardTiming::default();
    let interval_ms = shards * 1000 / JOURNAL_WRITES_PER_S;
    timing.commit_interval_ms = timing.commit_interval_ms.max(interval_ms);
    timing
}

impl Handler<TickMessage> for ControlActor {
    type Return = Duration;

    /// Does what is due and returns the time until the next tick.
    async fn handle(&mut self, _: TickMessage, _: &mut Context<Self>) -> Duration {
        let now_ms = self.clock.now_ms();
        let round = now_ms >= self.next_round_ms;
        if round {
            self.next_round_ms = now_ms + ROUND_MS;
            self.tend_members();
            self.share_peers();
        }
        self.step_all(&ShardInput::Tick);
        if round {
            self.update_own_record();
            self.publish();
        }
        if self.shards.values().any(ShardController::is_busy) {
            BUSY_TICK_TIME
        } else {
            IDLE_TICK_TIME
        }
    }
}

impl Handler<CommandMessage> for ControlActor {
    type Return = ();

    async fn handle(&mut self, message: CommandMessage, _: &mut Context<Self>) {
        if !self.shards.contains_key(&message.shard) {
            let detail = format!("shard {} is not of this failure domain", message.shard);
            let refusal = Refusal::not_run(RefusalCode::NotOwner, detail);
            let _ = message.reply.send(ShardReply::Refused(refusal));
            return;
        }
        self.next_command += 1;
        let command = CommandId(self.next_command);
        self.commands.insert(command, message.reply);
        self.step(
            &message.shard,
            ShardInput::Command {
                command,
                request: message.request,
            },
        );
    }
}

impl Handler<ShardMessage> for ControlActor {
    type Return = ();

    async fn handle(&mut self, message: ShardMessage, _: &mut Context<Self>) {
        self.step(&message.shard, message.input);
    }
}

impl Handler<BeatMessage> for ControlActor {
    type Return = OutgoingBeat;

    async fn handle(&mut self, _: BeatMessage, _: &mut Context<Self>) -> OutgoingBeat {
        let sent_ms = self.clock.now_ms();
        self.update_own_record();
        let heartbeat = self.members.next_heartbeat(sent_ms);
        let targets = self.members.targets(sent_ms);
        OutgoingBeat {
            sent_ms,
            heartbeat,
            targets,
        }
    }
}

impl Handler<HeartbeatMessage> for ControlActor {
    type Return = HeartbeatReply;

    async fn handle(&mut self, message: HeartbeatMessage, _: &mut Context<Self>) -> HeartbeatReply {
        let now_ms = self.clock.now_ms();
        let shards = &self.shards;
        let may_promise =
            |shard: &ShardName| shards.get(shard).is_some_and(ShardController::may_promise);
        let reply = self
            .members
            .handle_heartbeat(now_ms, &message.0, may_promise);
        if !reply.promises.is_empty() {
            self.share_peers();
        }
        reply
    }
}

impl Handler<BeatAnswerMessage> for ControlActor {
    type Return = ();

    async fn handle(&mut self, message: BeatAnswerMessage, _: &mut Context<Self>) {
        let now_ms = self.clock.now_ms();
        self.members
            .handle_reply(now_ms, message.sent_ms, &message.reply);
    }
}

impl Handler<DocumentsWanted> for ControlActor {
    type Return = LogUpdate;

    async fn handle(&mut self, message: DocumentsWanted, _: &mut Context<Self>) -> LogUpdate {
        self.ledger.since(message.0)
    }
}

impl Handler<DocumentsMessage> for ControlActor {
    type Return = ();

    async fn handle(&mut self, message: DocumentsMessage, _: &mut Context<Self>) {
        if self.ledger.merge(&message.0) {
            self.config_changed();
        }
    }
}

impl Handler<LogMessage> for ControlActor {
    type Return = u64;

    async fn handle(&mut self, message: LogMessage, _: &mut Context<Self>) -> u64 {
        self.members.record_log_read(self.clock.now_ms());
        let snapshot = LogUpdate {
            config: None,
            documents: message.documents,
        };
        if self.ledger.merge(&snapshot) {
            self.config_changed();
        }
        self.ledger.config().revision
    }
}

impl Handler<PreviewMessage> for ControlActor {
    type Return = PreviewOutcome;

    async fn handle(&mut self, message: PreviewMessage, _: &mut Context<Self>) -> PreviewOutcome {
        if let Some(logged) = self.ledger.find(&message.0) {
            return PreviewOutcome::InForce(logged.revision);
        }
        match self.ledger.preview(&message.0) {
            Ok(config) => PreviewOutcome::Next(config.revision),
            Err(findings) => PreviewOutcome::Refused(findings),
        }
    }
}

impl Handler<HostsMessage> for ControlActor {
    type Return = ();

    async fn handle(&mut self, message: HostsMessage, _: &mut Context<Self>) {
        self.hosts = Some(message.0.clone());
        self.step_all(&ShardInput::Hosts(message.0));
    }
}

impl Handler<WatchTurn> for ControlActor {
    type Return = WatchState;

    async fn handle(&mut self, _: WatchTurn, _: &mut Context<Self>) -> WatchState {
        let now_ms = self.clock.now_ms();
        WatchState {
            watching: self.members.is_watcher(now_ms),
            revision: self.ledger.config().revision,
        }
    }
}

impl Handler<ShutdownMessage> for ControlActor {
    type Return = ();

    async fn handle(&mut self, _: ShutdownMessage, _: &mut Context<Self>) {
        self.members.local_record_mut().state = MemberState::Leaving;
        self.step_all(&ShardInput::Shutdown);
        self.update_own_record();
        self.publish();
    }
}

impl Handler<ReleasedQuestion> for ControlActor {
    type Return = bool;

    async fn handle(&mut self, _: ReleasedQuestion, _: &mut Context<Self>) -> bool {
        self.shards
            .values()
            .all(|machine| machine.phase() == OwnershipPhase::Stopped)
    }
}
