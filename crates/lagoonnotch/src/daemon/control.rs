//! Actor of the control thread, which owns all control state.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lagoonnotch_wire::upstream::HostEntry;
use tokio::sync::{oneshot, watch};
use xtra::prelude::*;

use crate::daemon::control_messages::{
    CommandMessage, DocumentsMessage, DocumentsQuery, HeartbeatMessage, HeartbeatReplyMessage,
    HeartbeatTick, LogReadMessage, OutgoingHeartbeat, PreviewMessage, PreviewOutcome, ReleaseQuery,
    ShardMessage, ShutdownMessage, TickMessage, UpstreamListMessage, WatchQuery, WatchState,
};
use crate::daemon::effect_runner::EffectRunner;
use crate::daemon::{HostClock, HostView};
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

/// Budget of store writes per second for the journals of all shards together.
const JOURNAL_WRITES_PER_S: u64 = 150;

/// Interval between updates of the members, the peer views and the published [`HostView`], in
/// milliseconds.
const UPDATE_INTERVAL_MS: u64 = 100;

/// Interval between ticks while a shard has journal writes or placements to do.
const BUSY_TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Interval between ticks otherwise.
const IDLE_TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between removals of silent members, in milliseconds.
const CLEANUP_INTERVAL_MS: u64 = 1000;

/// Control state of an entry host.
#[derive(xtra::Actor)]
pub struct ControlActor {
    pub(super) clock: HostClock,
    pub(super) settings: Arc<HostSettings>,
    pub(super) members: MemberTable,
    pub(super) documents: DocumentLog,
    /// Controllers of the shards of this failure domain.
    shards: BTreeMap<ShardName, ShardController>,
    /// The platform's latest list of upstreams; none before the first list.
    listed_upstreams: Option<Vec<HostEntry>>,
    /// Commands that await a reply.
    pending_commands: BTreeMap<CommandId, oneshot::Sender<ShardReply>>,
    next_command_id: u64,
    runner: EffectRunner,
    pub(super) view: watch::Sender<Arc<HostView>>,
    metrics: Arc<HostMetrics>,
    /// Hosts that were fresh at the last cleanup, to log changes.
    fresh_hosts: BTreeSet<String>,
    /// Whether the last published configuration was stale, to log changes.
    pub(super) stale: bool,
    next_cleanup_ms: u64,
    next_update_ms: u64,
}

impl ControlActor {
    /// Creates the control state of a starting host.
    pub(super) fn new(
        clock: HostClock,
        settings: Arc<HostSettings>,
        members: MemberTable,
        runner: EffectRunner,
        view: watch::Sender<Arc<HostView>>,
        metrics: Arc<HostMetrics>,
    ) -> Self {
        Self {
            clock,
            documents: DocumentLog::new(settings.approvers.clone()),
            settings,
            members,
            shards: BTreeMap::new(),
            listed_upstreams: None,
            pending_commands: BTreeMap::new(),
            next_command_id: 0,
            runner,
            view,
            metrics,
            fresh_hosts: BTreeSet::new(),
            stale: false,
            next_cleanup_ms: 0,
            next_update_ms: 0,
        }
    }

    /// Passes an input to a shard's controller and executes the resulting effects.
    fn step(&mut self, shard: &ShardName, input: ShardInput) {
        let now_ms = self.clock.now_ms();
        let Some(controller) = self.shards.get_mut(shard) else {
            return;
        };
        for effect in controller.step(now_ms, input) {
            self.execute_effect(shard, effect);
        }
    }

    fn execute_effect(&mut self, shard: &ShardName, effect: ShardEffect) {
        match effect {
            ShardEffect::Reply { command_id, reply } => {
                if let Some(sender) = self.pending_commands.remove(&command_id) {
                    let _ = sender.send(reply);
                }
            }
            ShardEffect::Event { code, detail } => code.log(&detail),
            ShardEffect::Shard {
                call_id,
                shard: target,
                command,
            } => {
                self.runner
                    .call_shard(shard.clone(), call_id, target, command);
            }
            ShardEffect::Store { call_id, request } => {
                self.runner.call_store(shard.clone(), call_id, request);
            }
            ShardEffect::Upstream {
                call_id,
                address,
                request,
            } => {
                self.runner
                    .call_upstream(shard.clone(), call_id, address, request);
            }
        }
    }

    fn step_all_shards(&mut self, input: &ShardInput) {
        let shards: Vec<ShardName> = self.shards.keys().cloned().collect();
        for shard in &shards {
            self.step(shard, input.clone());
        }
    }

    /// Removes silent members and updates the relays of the store client.
    fn clean_up_members(&mut self) {
        let now_ms = self.clock.now_ms();
        if now_ms < self.next_cleanup_ms {
            return;
        }
        self.next_cleanup_ms = now_ms + CLEANUP_INTERVAL_MS;
        self.members.forget_silent(now_ms);
        self.log_member_changes();
        self.runner.set_relays(self.relays());
    }

    /// Passes the current view of the other hosts to each shard.
    fn update_peer_views(&mut self) {
        let now_ms = self.clock.now_ms();
        let count = self.documents.config().shards().count() as u64;
        let shards: Vec<ShardName> = self.shards.keys().cloned().collect();
        for shard in shards {
            let epoch = self.shards[&shard].owned_epoch();
            let mut view = self.members.peer_view(now_ms, &shard, epoch);
            view.shard_count = count;
            self.step(&shard, ShardInput::PeerView(view));
        }
    }

    /// Puts the newest configuration into force on this host.
    fn apply_config(&mut self) {
        let config = Arc::clone(self.documents.config());
        EventCode::DocumentInForce.log(&format!("revision {}", config.revision));
        self.metrics.set_document_revision(config.revision);
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
        self.step_all_shards(&ShardInput::Config(config));
        if let Some(listed) = self.listed_upstreams.clone() {
            self.step_all_shards(&ShardInput::UpstreamList(listed));
        }
        self.publish();
    }

    /// Updates this host's member record with its owned shards.
    fn update_local_record(&mut self) {
        let now_ms = self.clock.now_ms();
        let owned: Vec<OwnedShard> = self
            .shards
            .iter()
            .filter_map(|(shard, controller)| {
                let epoch = controller.owned_epoch()?;
                let summary = controller.summary(now_ms)?;
                Some(OwnedShard {
                    shard: shard.clone(),
                    epoch,
                    summary,
                })
            })
            .collect();
        self.metrics
            .set_waiting_tasks(owned.iter().map(|owned| owned.summary.waiting).sum());
        self.members.local_record_mut().shards = owned;
    }

    fn log_member_changes(&mut self) {
        let now_ms = self.clock.now_ms();
        let fresh = self
            .members
            .members()
            .filter(|entry| self.members.is_fresh(now_ms, entry));
        let fresh_hosts: BTreeSet<String> =
            fresh.map(|entry| entry.record.host.to_string()).collect();
        for host in fresh_hosts.difference(&self.fresh_hosts) {
            EventCode::MemberJoined.log(host);
        }
        for host in self.fresh_hosts.difference(&fresh_hosts) {
            EventCode::MemberSilent.log(host);
        }
        self.fresh_hosts = fresh_hosts;
    }

    /// Returns the peers that may be able to reach the store, those of other failure domains first.
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

/// Returns the timing of a shard, with a commit interval that keeps all shards together within the
/// write budget.
fn shard_timing(shards: u64) -> ShardTiming {
    let mut timing = ShardTiming::default();
    let interval_ms = shards * 1000 / JOURNAL_WRITES_PER_S;
    timing.commit_interval_ms = timing.commit_interval_ms.max(interval_ms);
    timing
}

impl Handler<TickMessage> for ControlActor {
    type Return = Duration;

    /// Runs the periodic work that is due and returns the time until the next tick.
    async fn handle(&mut self, _: TickMessage, _: &mut Context<Self>) -> Duration {
        let now_ms = self.clock.now_ms();
        let update_due = now_ms >= self.next_update_ms;
        if update_due {
            self.next_update_ms = now_ms + UPDATE_INTERVAL_MS;
            self.clean_up_members();
            self.update_peer_views();
        }
        self.step_all_shards(&ShardInput::Tick);
        if update_due {
            self.update_local_record();
            self.publish();
        }
        if self.shards.values().any(ShardController::is_busy) {
            BUSY_TICK_INTERVAL
        } else {
            IDLE_TICK_INTERVAL
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
        self.next_command_id += 1;
        let command_id = CommandId(self.next_command_id);
        self.pending_commands.insert(command_id, message.reply);
        self.step(
            &message.shard,
            ShardInput::Command {
                command_id,
                command: message.command,
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

impl Handler<HeartbeatTick> for ControlActor {
    type Return = OutgoingHeartbeat;

    async fn handle(&mut self, _: HeartbeatTick, _: &mut Context<Self>) -> OutgoingHeartbeat {
        let sent_ms = self.clock.now_ms();
        self.update_local_record();
        let heartbeat = self.members.next_heartbeat(sent_ms);
        let targets = self.members.targets(sent_ms);
        OutgoingHeartbeat {
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
            self.update_peer_views();
        }
        reply
    }
}

impl Handler<HeartbeatReplyMessage> for ControlActor {
    type Return = ();

    async fn handle(&mut self, message: HeartbeatReplyMessage, _: &mut Context<Self>) {
        let now_ms = self.clock.now_ms();
        self.members
            .handle_reply(now_ms, message.sent_ms, &message.reply);
    }
}

impl Handler<DocumentsQuery> for ControlActor {
    type Return = LogUpdate;

    async fn handle(&mut self, message: DocumentsQuery, _: &mut Context<Self>) -> LogUpdate {
        self.documents.update_since(message.0)
    }
}

impl Handler<DocumentsMessage> for ControlActor {
    type Return = ();

    async fn handle(&mut self, message: DocumentsMessage, _: &mut Context<Self>) {
        if self.documents.merge(&message.0) {
            self.apply_config();
        }
    }
}

impl Handler<LogReadMessage> for ControlActor {
    type Return = u64;

    async fn handle(&mut self, message: LogReadMessage, _: &mut Context<Self>) -> u64 {
        self.members.record_log_read(self.clock.now_ms());
        let update = LogUpdate {
            config: None,
            documents: message.documents,
        };
        if self.documents.merge(&update) {
            self.apply_config();
        }
        self.documents.config().revision
    }
}

impl Handler<PreviewMessage> for ControlActor {
    type Return = PreviewOutcome;

    async fn handle(&mut self, message: PreviewMessage, _: &mut Context<Self>) -> PreviewOutcome {
        if let Some(logged) = self.documents.find(&message.0) {
            return PreviewOutcome::Applied(logged.revision);
        }
        match self.documents.preview(&message.0) {
            Ok(config) => PreviewOutcome::Applicable(config.revision),
            Err(findings) => PreviewOutcome::Refused(findings),
        }
    }
}

impl Handler<UpstreamListMessage> for ControlActor {
    type Return = ();

    async fn handle(&mut self, message: UpstreamListMessage, _: &mut Context<Self>) {
        self.listed_upstreams = Some(message.0.clone());
        self.step_all_shards(&ShardInput::UpstreamList(message.0));
    }
}

impl Handler<WatchQuery> for ControlActor {
    type Return = WatchState;

    async fn handle(&mut self, _: WatchQuery, _: &mut Context<Self>) -> WatchState {
        let now_ms = self.clock.now_ms();
        WatchState {
            watching: self.members.is_watcher(now_ms),
            revision: self.documents.config().revision,
        }
    }
}

impl Handler<ShutdownMessage> for ControlActor {
    type Return = ();

    async fn handle(&mut self, _: ShutdownMessage, _: &mut Context<Self>) {
        self.members.local_record_mut().state = MemberState::Leaving;
        self.step_all_shards(&ShardInput::Shutdown);
        self.update_local_record();
        self.publish();
    }
}

impl Handler<ReleaseQuery> for ControlActor {
    type Return = bool;

    async fn handle(&mut self, _: ReleaseQuery, _: &mut Context<Self>) -> bool {
        self.shards
            .values()
            .all(|controller| controller.phase() == OwnershipPhase::Stopped)
    }
}
