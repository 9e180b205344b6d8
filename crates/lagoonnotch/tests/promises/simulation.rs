//! A few owners, one store and a few upstreams in virtual time.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use lagoonnotch::document::ApprovedConfig;
use lagoonnotch::model::{DomainName, ShardName, WorkId};
use lagoonnotch::peer::{
    Heartbeat, HeartbeatReply, MemberRecord, MemberState, MemberTable, MemberTiming, OwnedShard,
};
use lagoonnotch::shard::{
    AttemptTicket, CallFailure, CallId, CommandId, ShardCommand, ShardController, ShardEffect,
    ShardIdentity, ShardInput, ShardReply, ShardTiming, UpstreamCall, UpstreamReply,
};
use lagoonnotch_standin::{RunRecord, StoreModel, TaskAnswer, UpstreamModel};
use lagoonnotch_wire::store::{StoreCall, StoreReply};
use lagoonnotch_wire::upstream::{
    AttemptRef, FinishOutcome, HostEntry, HostState, StartOutcome, StartReply,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::cell_config::{cores, first_config};
use crate::entry_model::{CallerWork, CallerWorks};
use crate::history::{FaultKind, History, PlannedWork};

pub const HEAL_MS: u64 = 45_000;
pub const END_MS: u64 = 110_000;
pub(crate) const START_MS: u64 = 1_000_000;
pub(crate) const TICK_MS: u64 = 50;
const BEAT_MS: u64 = 400;
const CALL_TIMEOUT_MS: u64 = 800;
const PEER_TIMEOUT_MS: u64 = 3000;
pub(crate) const CONFIG_DELAY_MS: u64 = 1000;
const LIST_LAG_MS: u64 = 1000;
const HOST_DOMAINS: [&str; 3] = ["d1", "d1", "d2"];
const UPSTREAM_DOMAINS: [&str; 4] = ["d1", "d1", "d1", "d2"];
const UPSTREAM_CORES: u64 = 8;

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct EventKey {
    pub(crate) at_ms: u64,
    pub(crate) sequence: u64,
}

/// A host and the run of it that an event is for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct HostRun {
    pub(crate) host: usize,
    pub(crate) incarnation: u64,
}

#[derive(Clone, Debug)]
pub(crate) enum Event {
    Tick,
    Beat(HostRun),
    ToStore {
        from: HostRun,
        call: CallId,
        request: StoreCall,
    },
    FromStore {
        to: HostRun,
        call: CallId,
        result: Result<StoreReply, CallFailure>,
    },
    ToUpstream {
        from: HostRun,
        call: CallId,
        upstream: usize,
        request: UpstreamCall,
    },
    FromUpstream {
        to: HostRun,
        call: CallId,
        result: Result<UpstreamReply, CallFailure>,
    },
    Heartbeat {
        from: HostRun,
        to: usize,
        sent_ms: u64,
        heartbeat: Heartbeat,
    },
    HeartbeatAnswer {
        to: HostRun,
        sent_ms: u64,
        reply: HeartbeatReply,
    },
    Command {
        host: usize,
        work: WorkId,
        request: ShardCommand,
    },
    PeerCommand {
        from: HostRun,
        call: CallId,
        shard: ShardName,
        request: ShardCommand,
    },
    FromPeer {
        to: HostRun,
        call: CallId,
        result: Result<ShardReply, CallFailure>,
    },
    Reply {
        work: WorkId,
        reply: ShardReply,
    },
    Run {
        work: WorkId,
        ticket: AttemptTicket,
    },
    Fetch {
        work: WorkId,
        ticket: AttemptTicket,
    },
    TaskEnd {
        upstream: usize,
        attempt: AttemptRef,
    },
    FaultBegins(usize),
    FaultEnds(usize),
    ConfigArrives(usize, Arc<ApprovedConfig>),
}

/// Who waits for the reply to a command.
#[derive(Clone, Debug)]
pub(crate) enum CommandSource {
    Caller(WorkId),
    Peer(HostRun, CallId),
}

pub(crate) struct SimHost {
    pub(crate) machine: ShardController,
    pub(crate) members: MemberTable,
    pub(crate) incarnation: u64,
    pub(crate) alive: bool,
    pub(crate) paused_until_ms: u64,
    pub(crate) commands: BTreeMap<CommandId, CommandSource>,
    pub(crate) next_command: u64,
}

pub(crate) struct SimUpstream {
    pub(crate) model: UpstreamModel,
    pub(crate) entry: HostEntry,
    pub(crate) down: bool,
    pub(crate) leaving_since_ms: Option<u64>,
}

/// A domain or an upstream in which nothing may start during a time.
#[derive(Clone, Debug)]
pub struct ClosedTime {
    pub upstreams: Vec<String>,
    pub from_ms: u64,
    pub until_ms: u64,
}

pub struct World {
    pub(crate) now_ms: u64,
    pub(crate) events: BTreeMap<EventKey, Event>,
    pub(crate) sequence: u64,
    pub(crate) random: StdRng,
    pub(crate) history: History,
    pub(crate) active: Vec<bool>,
    pub(crate) store: StoreModel,
    pub(crate) hosts: Vec<SimHost>,
    pub(crate) upstreams: Vec<SimUpstream>,
    pub(crate) config: Arc<ApprovedConfig>,
    pub(crate) next_incarnation: u64,
    /// What happened, for the reader of a failed test.
    pub(crate) story: Vec<String>,
    pub works: CallerWorks,
    pub closed: Vec<ClosedTime>,
}

impl World {
    /// Runs a whole history, heals every fault and lets the works end.
    pub fn run(history: &History) -> Self {
        let mut world = Self::new(history.clone());
        let heal_ms = START_MS + HEAL_MS;
        while let Some((key, event)) = world.events.pop_first() {
            if key.at_ms > START_MS + END_MS {
                break;
            }
            world.now_ms = key.at_ms;
            if world.now_ms >= heal_ms {
                world.random_loss_ends();
            }
            world.handle(&event);
        }
        let now_ms = world.now_ms;
        world
            .upstreams
            .iter_mut()
            .for_each(|upstream| upstream.model.expire(now_ms));
        world
    }

    /// Returns every run at every upstream.
    pub fn records(&self) -> Vec<RunRecord> {
        self.upstreams
            .iter()
            .flat_map(|upstream| upstream.model.history().to_vec())
            .collect()
    }

    /// Returns the upstreams as the platform lists them.
    pub fn host_entries(&self) -> Vec<HostEntry> {
        self.upstreams
            .iter()
            .map(|upstream| upstream.entry.clone())
            .collect()
    }

    fn new(history: History) -> Self {
        let works = history
            .works
            .iter()
            .enumerate()
            .map(|(index, plan)| caller_work(index, plan));
        let mut world = Self {
            now_ms: START_MS,
            events: BTreeMap::new(),
            sequence: 0,
            random: StdRng::seed_from_u64(history.seed),
            active: vec![false; history.faults.len()],
            works: works.map(|work| (work.id.clone(), work)).collect(),
            store: StoreModel::default(),
            hosts: Vec::new(),
            upstreams: UPSTREAM_DOMAINS
                .iter()
                .enumerate()
                .map(|(index, domain)| sim_upstream(index, domain))
                .collect(),
            config: Arc::new(first_config()),
            next_incarnation: 1,
            closed: Vec::new(),
            story: Vec::new(),
            history,
        };
        for host in 0..HOST_DOMAINS.len() {
            let sim = world.new_host(host);
            world.hosts.push(sim);
            world.welcome(host);
        }
        world.push(0, Event::Tick);
        for (index, fault) in world.history.faults.clone().iter().enumerate() {
            let end_ms = (fault.at_ms + fault.for_ms).min(HEAL_MS);
            world.push(fault.at_ms, Event::FaultBegins(index));
            world.push(end_ms, Event::FaultEnds(index));
        }
        world
    }

    /// Returns what happened around some work items.
    pub fn story(&self, works: &[String]) -> String {
        let named = |line: &&String| works.iter().any(|work| line.contains(work.as_str()));
        let general = |line: &&String| !line.contains('~') && !line.contains("Allotment");
        let lines = self
            .story
            .iter()
            .filter(|line| named(line) || general(line));
        let records = self
            .records()
            .into_iter()
            .map(|record| format!("{record:?}"));
        let records: Vec<String> = records.filter(|record| named(&record)).collect();
        let teams = self.hosts.iter().filter_map(|host| host.machine.owner());
        let teams = teams.flat_map(|owner| {
            ["team-0", "team-1"].map(|team| format!("{team} {:?}", owner.team_usage(&team.into())))
        });
        let lines: Vec<String> = lines.cloned().chain(records).chain(teams).collect();
        lines.join("\n")
    }

    pub(crate) fn note(&mut self, line: &str) {
        self.story
            .push(format!("{:6} {line}", self.now_ms - START_MS));
    }

    pub(crate) fn push(&mut self, after_ms: u64, event: Event) {
        self.sequence += 1;
        let key = EventKey {
            at_ms: self.now_ms + after_ms,
            sequence: self.sequence,
        };
        self.events.insert(key, event);
    }

    pub(crate) fn random_loss_ends(&mut self) {
        self.history.lost_answers = 0;
        self.history.delay_ms = 5;
    }

    pub(crate) fn chance(&mut self, percent: u32) -> bool {
        self.random.random_range(0..100) < percent
    }

    /// Returns the delay of a message; a few take much longer than the others.
    pub(crate) fn delay(&mut self) -> u64 {
        let delay = self.random.random_range(1..=self.history.delay_ms);
        let slow = self.now_ms < START_MS + HEAL_MS && self.chance(2);
        if slow {
            delay + self.random.random_range(0..6000)
        } else {
            delay
        }
    }

    pub(crate) fn new_host(&mut self, host: usize) -> SimHost {
        let incarnation = self.next_incarnation;
        self.next_incarnation += 1;
        let domain = DomainName::from(HOST_DOMAINS[host]);
        let shard = ShardName::from(format!("{domain}.0"));
        let name = format!("host-{host}");
        let identity = ShardIdentity {
            shard,
            domain: domain.clone(),
            host: name.as_str().into(),
            incarnation,
        };
        let timing = ShardTiming {
            segments_per_snapshot: 20,
            durable_retention_ms: 600_000,
            ..ShardTiming::default()
        };
        let me = MemberRecord {
            host: name.as_str().into(),
            incarnation,
            sequence: 0,
            domain,
            peer_address: peer_address(host),
            state: MemberState::Live,
            revision: 1,
            watched_ms_ago: None,
            shards: Vec::new(),
        };
        let seeds = (0..HOST_DOMAINS.len())
            .filter(|other| *other != host)
            .map(peer_address)
            .collect();
        SimHost {
            machine: ShardController::new(identity, timing),
            members: MemberTable::new(self.now_ms, me, seeds, MemberTiming::default()),
            incarnation,
            alive: true,
            paused_until_ms: 0,
            commands: BTreeMap::new(),
            next_command: 0,
        }
    }

    /// Gives a new host its configuration and the list of upstreams.
    pub(crate) fn welcome(&mut self, host: usize) {
        let config = Arc::clone(&self.config);
        self.step(host, ShardInput::Config(config));
        let run = self.run_of(host);
        self.push(1, Event::Beat(run));
    }

    pub(crate) fn run_of(&self, host: usize) -> HostRun {
        HostRun {
            host,
            incarnation: self.hosts[host].incarnation,
        }
    }

    pub(crate) fn is_current(&self, run: HostRun) -> bool {
        self.hosts[run.host].alive && self.hosts[run.host].incarnation == run.incarnation
    }

    /// Puts an event for a paused host off; returns whether it did.
    pub(crate) fn put_off(&mut self, host: usize, event: &Event) -> bool {
        let until_ms = self.hosts[host].paused_until_ms;
        if self.now_ms >= until_ms {
            return false;
        }
        self.push(until_ms - self.now_ms, event.clone());
        true
    }

    pub(crate) fn step(&mut self, host: usize, input: ShardInput) {
        let effects = self.hosts[host].machine.step(self.now_ms, input);
        for effect in effects {
            self.carry_out(host, effect);
        }
    }

    pub(crate) fn carry_out(&mut self, host: usize, effect: ShardEffect) {
        let from = self.run_of(host);
        match effect {
            ShardEffect::Store { call, request } => {
                let delay = self.delay();
                self.push(
                    delay,
                    Event::ToStore {
                        from,
                        call,
                        request,
                    },
                );
                self.push(
                    CALL_TIMEOUT_MS,
                    Event::FromStore {
                        to: from,
                        call,
                        result: Err(CallFailure),
                    },
                );
            }
            ShardEffect::Upstream {
                call,
                address,
                request,
            } => {
                let upstream = address.parse().expect("the address is an index");
                let delay = self.delay();
                self.push(
                    delay,
                    Event::ToUpstream {
                        from,
                        call,
                        upstream,
                        request,
                    },
                );
                self.push(
                    CALL_TIMEOUT_MS,
                    Event::FromUpstream {
                        to: from,
                        call,
                        result: Err(CallFailure),
                    },
                );
            }
            ShardEffect::Reply { command, reply } => {
                let source = self.hosts[host].commands.remove(&command);
                let delay = self.delay();
                match source {
                    Some(CommandSource::Caller(work)) => {
                        self.push(delay, Event::Reply { work, reply });
                    }
                    Some(CommandSource::Peer(to, call)) => {
                        self.push(
                            delay,
                            Event::FromPeer {
                                to,
                                call,
                                result: Ok(reply),
                            },
                        );
                    }
                    None => {}
                }
            }
            ShardEffect::Peer {
                call,
                shard,
                request,
            } => {
                let delay = self.delay();
                self.push(
                    delay,
                    Event::PeerCommand {
                        from,
                        call,
                        shard,
                        request,
                    },
                );
                let result = Err(CallFailure);
                self.push(
                    PEER_TIMEOUT_MS,
                    Event::FromPeer {
                        to: from,
                        call,
                        result,
                    },
                );
            }
            ShardEffect::Event { code, detail } => {
                self.note(&format!("host {host}: {code:?} {detail}"));
            }
        }
    }

    pub(crate) fn handle(&mut self, event: &Event) {
        match event {
            Event::Tick => self.tick(),
            Event::ToStore {
                from,
                call,
                request,
            } => self.at_store(*from, *call, request),
            Event::ToUpstream {
                from,
                call,
                upstream,
                request,
            } => {
                self.at_upstream(*from, *call, *upstream, request);
            }
            Event::Reply { work, reply } => self.reply(work, reply.clone()),
            Event::Run { work, ticket } => self.run_at_upstream(work, ticket),
            Event::Fetch { work, ticket } => self.fetch(work, ticket),
            Event::TaskEnd { upstream, attempt } => {
                let answer = TaskAnswer {
                    body: b"answer".to_vec(),
                    digest: "digest".to_owned(),
                };
                self.upstreams[*upstream].model.finish(
                    self.now_ms,
                    attempt,
                    FinishOutcome::Completed,
                    answer,
                );
            }
            Event::FaultBegins(index) => self.fault_begins(*index),
            Event::FaultEnds(index) => self.fault_ends(*index),
            _ => self.handle_at_host(event),
        }
    }

    /// Takes an event for one host, which may be dead, paused or replaced.
    pub(crate) fn handle_at_host(&mut self, event: &Event) {
        match event {
            Event::Beat(run) if self.is_current(*run) && !self.put_off(run.host, event) => {
                self.beat(*run);
            }
            Event::FromStore { to, call, result }
                if self.is_current(*to) && !self.put_off(to.host, event) =>
            {
                self.step(
                    to.host,
                    ShardInput::Store {
                        call: *call,
                        result: result.clone(),
                    },
                );
            }
            Event::FromUpstream { to, call, result }
                if self.is_current(*to) && !self.put_off(to.host, event) =>
            {
                self.step(
                    to.host,
                    ShardInput::Upstream {
                        call: *call,
                        result: result.clone(),
                    },
                );
            }
            Event::Heartbeat {
                from,
                to,
                sent_ms,
                heartbeat,
            } if self.hosts[*to].alive && !self.put_off(*to, event) => {
                self.heartbeat(*from, *to, *sent_ms, heartbeat);
            }
            Event::HeartbeatAnswer { to, sent_ms, reply }
                if self.is_current(*to) && !self.put_off(to.host, event) =>
            {
                let now_ms = self.now_ms;
                self.hosts[to.host]
                    .members
                    .receive_reply(now_ms, *sent_ms, reply);
            }
            Event::Command {
                host,
                work,
                request,
            } if self.hosts[*host].alive && !self.put_off(*host, event) => {
                self.command(*host, CommandSource::Caller(work.clone()), request.clone());
            }
            Event::PeerCommand {
                from,
                call,
                shard,
                request,
            } => {
                let host = self.pick_owner(shard);
                let cut = self.is_cut(|kind| {
                    matches!(kind, FaultKind::PeerCut(one, other)
                    if (*one, *other) == (from.host, host) || (*other, *one) == (from.host, host))
                });
                if self.hosts[host].alive && !cut && !self.put_off(host, event) {
                    let source = CommandSource::Peer(*from, *call);
                    self.command(host, source, request.clone());
                }
            }
            Event::FromPeer { to, call, result }
                if self.is_current(*to) && !self.put_off(to.host, event) =>
            {
                self.step(
                    to.host,
                    ShardInput::Peer {
                        call: *call,
                        result: result.clone(),
                    },
                );
            }
            Event::ConfigArrives(host, config)
                if self.hosts[*host].alive && !self.put_off(*host, event) =>
            {
                self.step(*host, ShardInput::Config(Arc::clone(config)));
            }
            _ => {}
        }
    }

    pub(crate) fn tick(&mut self) {
        for host in 0..self.hosts.len() {
            let sim = &self.hosts[host];
            if sim.alive && self.now_ms >= sim.paused_until_ms {
                self.tick_host(host);
            }
        }
        self.callers_act();
        self.push(TICK_MS, Event::Tick);
    }

    pub(crate) fn tick_host(&mut self, host: usize) {
        let now_ms = self.now_ms;
        let hosts = self.listed();
        let shard = ShardName::from(format!("{}.0", HOST_DOMAINS[host]));
        let sim = &mut self.hosts[host];
        sim.members.forget_silent(now_ms);
        let mut view = sim.members.view(now_ms, &shard, sim.machine.owned_epoch());
        view.config_stale_since_ms = None;
        view.shard_count = 2;
        self.step(host, ShardInput::Peers(view));
        self.step(host, ShardInput::Hosts(hosts));
        self.step(host, ShardInput::Tick);
    }

    /// Returns the platform's list, which shows a leaving or dead upstream late.
    pub(crate) fn listed(&self) -> Vec<HostEntry> {
        let visible = self.upstreams.iter().map(|upstream| {
            let since = upstream
                .leaving_since_ms
                .filter(|since| self.now_ms >= since + LIST_LAG_MS);
            let state = if since.is_some() {
                HostState::Leaving
            } else {
                HostState::Live
            };
            HostEntry {
                state,
                ..upstream.entry.clone()
            }
        });
        visible.collect()
    }

    pub(crate) fn beat(&mut self, run: HostRun) {
        let now_ms = self.now_ms;
        self.refresh_record(run.host);
        let members = &mut self.hosts[run.host].members;
        let heartbeat = members.heartbeat(now_ms);
        for target in members.targets(now_ms) {
            let to = usize::from(target.address.port());
            let delay = self.delay();
            if !self.is_cut(|kind| {
                matches!(kind, FaultKind::PeerCut(one, other)
                if (*one, *other) == (run.host, to) || (*other, *one) == (run.host, to))
            }) {
                let heartbeat = heartbeat.clone();
                self.push(
                    delay,
                    Event::Heartbeat {
                        from: run,
                        to,
                        sent_ms: now_ms,
                        heartbeat,
                    },
                );
            }
        }
        self.push(BEAT_MS, Event::Beat(run));
    }

    pub(crate) fn refresh_record(&mut self, host: usize) {
        let now_ms = self.now_ms;
        let sim = &mut self.hosts[host];
        let shard = ShardName::from(format!("{}.0", HOST_DOMAINS[host]));
        let owned = sim.machine.owned_epoch().zip(sim.machine.summary(now_ms));
        let owned = owned.map(|(epoch, summary)| OwnedShard {
            shard,
            epoch,
            summary,
        });
        sim.members.me_mut().shards = owned.into_iter().collect();
    }

    pub(crate) fn heartbeat(
        &mut self,
        from: HostRun,
        to: usize,
        sent_ms: u64,
        heartbeat: &Heartbeat,
    ) {
        let now_ms = self.now_ms;
        let sim = &mut self.hosts[to];
        let machine = &sim.machine;
        let reply = sim.members.receive(now_ms, heartbeat, |shard| {
            shard.as_str().starts_with(HOST_DOMAINS[to]) && machine.may_promise()
        });
        let shard = ShardName::from(format!("{}.0", HOST_DOMAINS[to]));
        let mut view = sim.members.view(now_ms, &shard, sim.machine.owned_epoch());
        view.config_stale_since_ms = None;
        view.shard_count = 2;
        self.step(to, ShardInput::Peers(view));
        let delay = self.delay();
        self.push(
            delay,
            Event::HeartbeatAnswer {
                to: from,
                sent_ms,
                reply,
            },
        );
    }

    pub(crate) fn is_cut(&self, test: impl Fn(&FaultKind) -> bool) -> bool {
        let faults = self.history.faults.iter().zip(&self.active);
        faults
            .into_iter()
            .any(|(fault, active)| *active && test(&fault.kind))
    }

    pub(crate) fn at_store(&mut self, from: HostRun, call: CallId, request: &StoreCall) {
        let unreachable = self.is_cut(|kind| {
            matches!(kind, FaultKind::StoreDown)
                || matches!(kind, FaultKind::StoreCut(host) if *host == from.host)
        });
        if unreachable {
            return;
        }
        let reply = self.store.apply(self.now_ms, request);
        let lost = self.history.lost_answers;
        if !self.chance(lost) {
            let delay = self.delay();
            self.push(
                delay,
                Event::FromStore {
                    to: from,
                    call,
                    result: Ok(reply),
                },
            );
        }
    }

    pub(crate) fn at_upstream(
        &mut self,
        from: HostRun,
        call: CallId,
        index: usize,
        request: &UpstreamCall,
    ) {
        let cut = self.is_cut(|kind| {
            matches!(kind, FaultKind::UpstreamCut(host, upstream)
            if (*host, *upstream) == (from.host, index))
        });
        if cut || self.upstreams[index].down {
            return;
        }
        let now_ms = self.now_ms;
        let model = &mut self.upstreams[index].model;
        let reply = match request {
            UpstreamCall::Fence(call) => UpstreamReply::Fence(model.fence(now_ms, call)),
            UpstreamCall::Renew(call) => UpstreamReply::Renew(model.renew(now_ms, call)),
            UpstreamCall::Revoke(call) => UpstreamReply::Revoke(model.revoke(now_ms, call)),
            UpstreamCall::Start(call) => {
                let outcome = model.start(now_ms, &call.ticket);
                if outcome == StartOutcome::Started {
                    self.schedule_end(index, &call.ticket.task, call.ticket.attempt);
                }
                UpstreamReply::Start(StartReply { outcome })
            }
        };
        let quiet = matches!(request, UpstreamCall::Renew(call) if call.orders.is_empty());
        if !quiet {
            self.note(&format!(
                "host {} at upstream {index}: {request:?} -> {reply:?}",
                from.host
            ));
        }
        let delay = self.delay();
        self.push(
            delay,
            Event::FromUpstream {
                to: from,
                call,
                result: Ok(reply),
            },
        );
    }

    /// Returns a host that takes itself for the owner of a shard, or any host of its domain.
    pub(crate) fn pick_owner(&mut self, home: &ShardName) -> usize {
        let home = home.as_str();
        let near: Vec<usize> = (0..HOST_DOMAINS.len())
            .filter(|host| home.starts_with(HOST_DOMAINS[*host]))
            .collect();
        let owners = near
            .iter()
            .filter(|host| self.hosts[**host].machine.owned_epoch().is_some());
        let owners: Vec<usize> = owners.copied().collect();
        let choice = if owners.is_empty() { near } else { owners };
        choice[self.random.random_range(0..choice.len())]
    }

    pub(crate) fn command(&mut self, host: usize, source: CommandSource, request: ShardCommand) {
        let sim = &mut self.hosts[host];
        sim.next_command += 1;
        let command = CommandId(sim.next_command);
        sim.commands.insert(command, source);
        self.step(host, ShardInput::Command { command, request });
    }
}

fn caller_work(index: usize, plan: &PlannedWork) -> CallerWork {
    let domain = if index.is_multiple_of(3) { "d2" } else { "d1" };
    let home = ShardName::from(format!("{domain}.0"));
    CallerWork::new(
        plan.clone(),
        WorkId::with_home(&home, &format!("work-{index:03}")),
    )
}

fn sim_upstream(index: usize, domain: &str) -> SimUpstream {
    let name = format!("upstream-{index}");
    let entry = HostEntry {
        address: index.to_string(),
        capacity: cores(UPSTREAM_CORES).into(),
        failure_domain: domain.to_owned(),
        name: name.clone(),
        rack: format!("rack-{index}"),
        state: HostState::Live,
    };
    SimUpstream {
        model: UpstreamModel::new(name),
        entry,
        down: false,
        leaving_since_ms: None,
    }
}

fn peer_address(host: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], u16::try_from(host).expect("few hosts")))
}
