//! A few owners, one store and a few upstreams in virtual time.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use lagoonnotch::document::{ApprovedConfig, WorkClass};
use lagoonnotch::model::{AttemptId, TaskId};
use lagoonnotch::model::{DomainName, ShardName, WorkId};
use lagoonnotch::peer::{
    Heartbeat, HeartbeatReply, MemberRecord, MemberState, MemberTable, MemberTiming, OwnedShard,
};
use lagoonnotch::shard::{
    AttemptEnd, AttemptReport, AttemptTicket, CallFault, CallId, CommandId, OwnershipPhase,
    ShardCommand, ShardEffect, ShardIdentity, ShardInput, ShardMachine, ShardReply, ShardTiming,
    UpstreamCall, UpstreamReply,
};
use lagoonnotch_standin::{RunRecord, StoreModel, TaskAnswer, UpstreamModel};
use lagoonnotch_wire::store::{StoreCall, StoreReply};
use lagoonnotch_wire::upstream::{
    AttemptRef, FinishOutcome, HostEntry, HostState, StartOutcome, StartReply,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::cell_config::{cores, first_config, set_in, set_lower, set_out, set_whole};
use crate::entry_model::{CallerKnows, CallerWork, CallerWorks, REQUEST_MS};
use crate::history::{Fault, FaultKind, History, PlannedWork};

pub const HEAL_MS: u64 = 45_000;
pub const END_MS: u64 = 110_000;
const START_MS: u64 = 1_000_000;
const TICK_MS: u64 = 50;
const BEAT_MS: u64 = 400;
const CALL_TIMEOUT_MS: u64 = 800;
const PEER_TIMEOUT_MS: u64 = 3000;
const CONFIG_DELAY_MS: u64 = 1000;
const LIST_LAG_MS: u64 = 1000;
const HOST_DOMAINS: [&str; 3] = ["d1", "d1", "d2"];
const UPSTREAM_DOMAINS: [&str; 4] = ["d1", "d1", "d1", "d2"];
const UPSTREAM_CORES: u64 = 8;

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct EventKey {
    at_ms: u64,
    sequence: u64,
}

/// A host and the run of it that an event is for.
#[derive(Clone, Copy, Debug, PartialEq)]
struct HostRun {
    host: usize,
    incarnation: u64,
}

#[derive(Clone, Debug)]
enum Event {
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
        result: Result<StoreReply, CallFault>,
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
        result: Result<UpstreamReply, CallFault>,
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
        result: Result<ShardReply, CallFault>,
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
enum CommandSource {
    Caller(WorkId),
    Peer(HostRun, CallId),
}

struct SimHost {
    machine: ShardMachine,
    members: MemberTable,
    incarnation: u64,
    alive: bool,
    paused_until_ms: u64,
    commands: BTreeMap<CommandId, CommandSource>,
    next_command: u64,
}

struct SimUpstream {
    model: UpstreamModel,
    entry: HostEntry,
    down: bool,
    leaving_since_ms: Option<u64>,
}

/// A domain or an upstream in which nothing may start during a time.
#[derive(Clone, Debug)]
pub struct ClosedTime {
    pub upstreams: Vec<String>,
    pub from_ms: u64,
    pub until_ms: u64,
}

pub struct World {
    now_ms: u64,
    events: BTreeMap<EventKey, Event>,
    sequence: u64,
    random: StdRng,
    history: History,
    active: Vec<bool>,
    store: StoreModel,
    hosts: Vec<SimHost>,
    upstreams: Vec<SimUpstream>,
    config: Arc<ApprovedConfig>,
    next_incarnation: u64,
    /// What happened, for the reader of a failed test.
    story: Vec<String>,
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

    /// Returns what happened around some works.
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

    fn note(&mut self, line: &str) {
        self.story
            .push(format!("{:6} {line}", self.now_ms - START_MS));
    }

    fn push(&mut self, after_ms: u64, event: Event) {
        self.sequence += 1;
        let key = EventKey {
            at_ms: self.now_ms + after_ms,
            sequence: self.sequence,
        };
        self.events.insert(key, event);
    }

    fn random_loss_ends(&mut self) {
        self.history.lost_answers = 0;
        self.history.delay_ms = 5;
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.random.random_range(0..100) < percent
    }

    /// Returns the delay of a message; a few take much longer than the others.
    fn delay(&mut self) -> u64 {
        let delay = self.random.random_range(1..=self.history.delay_ms);
        let slow = self.now_ms < START_MS + HEAL_MS && self.chance(2);
        if slow {
            delay + self.random.random_range(0..6000)
        } else {
            delay
        }
    }

    fn new_host(&mut self, host: usize) -> SimHost {
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
            snapshot_segments: 20,
            lasting_retention_ms: 600_000,
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
            machine: ShardMachine::new(identity, timing),
            members: MemberTable::new(self.now_ms, me, seeds, MemberTiming::default()),
            incarnation,
            alive: true,
            paused_until_ms: 0,
            commands: BTreeMap::new(),
            next_command: 0,
        }
    }

    /// Gives a new host its configuration and the list of upstreams.
    fn welcome(&mut self, host: usize) {
        let config = Arc::clone(&self.config);
        self.step(host, ShardInput::Config(config));
        let run = self.run_of(host);
        self.push(1, Event::Beat(run));
    }

    fn run_of(&self, host: usize) -> HostRun {
        HostRun {
            host,
            incarnation: self.hosts[host].incarnation,
        }
    }

    fn is_current(&self, run: HostRun) -> bool {
        self.hosts[run.host].alive && self.hosts[run.host].incarnation == run.incarnation
    }

    /// Puts an event for a paused host off; returns whether it did.
    fn put_off(&mut self, host: usize, event: &Event) -> bool {
        let until_ms = self.hosts[host].paused_until_ms;
        if self.now_ms >= until_ms {
            return false;
        }
        self.push(until_ms - self.now_ms, event.clone());
        true
    }

    fn step(&mut self, host: usize, input: ShardInput) {
        let effects = self.hosts[host].machine.step(self.now_ms, input);
        for effect in effects {
            self.carry_out(host, effect);
        }
    }

    fn carry_out(&mut self, host: usize, effect: ShardEffect) {
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
                        result: Err(CallFault),
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
                        result: Err(CallFault),
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
                let result = Err(CallFault);
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

    fn handle(&mut self, event: &Event) {
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
    fn handle_at_host(&mut self, event: &Event) {
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

    fn tick(&mut self) {
        for host in 0..self.hosts.len() {
            let sim = &self.hosts[host];
            if sim.alive && self.now_ms >= sim.paused_until_ms {
                self.tick_host(host);
            }
        }
        self.callers_act();
        self.push(TICK_MS, Event::Tick);
    }

    fn tick_host(&mut self, host: usize) {
        let now_ms = self.now_ms;
        let hosts = self.listed();
        let shard = ShardName::from(format!("{}.0", HOST_DOMAINS[host]));
        let sim = &mut self.hosts[host];
        sim.members.forget_silent(now_ms);
        let mut view = sim.members.view(now_ms, &shard, sim.machine.owned_epoch());
        view.stale_since_ms = None;
        view.shards = 2;
        self.step(host, ShardInput::Peers(view));
        self.step(host, ShardInput::Hosts(hosts));
        self.step(host, ShardInput::Tick);
    }

    /// Returns the platform's list, which shows a leaving or dead upstream late.
    fn listed(&self) -> Vec<HostEntry> {
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

    fn beat(&mut self, run: HostRun) {
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

    fn refresh_record(&mut self, host: usize) {
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

    fn heartbeat(&mut self, from: HostRun, to: usize, sent_ms: u64, heartbeat: &Heartbeat) {
        let now_ms = self.now_ms;
        let sim = &mut self.hosts[to];
        let machine = &sim.machine;
        let reply = sim.members.receive(now_ms, heartbeat, |shard| {
            shard.as_str().starts_with(HOST_DOMAINS[to]) && machine.may_promise()
        });
        let shard = ShardName::from(format!("{}.0", HOST_DOMAINS[to]));
        let mut view = sim.members.view(now_ms, &shard, sim.machine.owned_epoch());
        view.stale_since_ms = None;
        view.shards = 2;
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

    fn is_cut(&self, test: impl Fn(&FaultKind) -> bool) -> bool {
        let faults = self.history.faults.iter().zip(&self.active);
        faults
            .into_iter()
            .any(|(fault, active)| *active && test(&fault.kind))
    }

    fn at_store(&mut self, from: HostRun, call: CallId, request: &StoreCall) {
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

    fn at_upstream(&mut self, from: HostRun, call: CallId, index: usize, request: &UpstreamCall) {
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

    fn schedule_end(&mut self, upstream: usize, task: &str, attempt: u64) {
        let work = TaskId::parse(task).and_then(|task| self.works.get(&task.work));
        let Some(plan) = work.map(|work| work.plan.clone()) else {
            return;
        };
        if plan.class != WorkClass::Service {
            let attempt = AttemptRef {
                task: task.to_owned(),
                attempt,
            };
            self.push(plan.run_ms, Event::TaskEnd { upstream, attempt });
        }
    }

    fn callers_act(&mut self) {
        let now_ms = self.now_ms - START_MS;
        let ids: Vec<WorkId> = self.works.keys().cloned().collect();
        for id in ids {
            let Some(request) = self
                .works
                .get_mut(&id)
                .and_then(|work| work.next_command(now_ms))
            else {
                continue;
            };
            let home = self.works[&id].home.clone();
            let host = self.pick_owner(&home);
            let delay = self.delay();
            self.push(
                delay,
                Event::Command {
                    host,
                    work: id,
                    request,
                },
            );
        }
    }

    /// Returns a host that takes itself for the owner of a shard, or any host of its domain.
    fn pick_owner(&mut self, home: &ShardName) -> usize {
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

    fn command(&mut self, host: usize, source: CommandSource, request: ShardCommand) {
        let sim = &mut self.hosts[host];
        sim.next_command += 1;
        let command = CommandId(sim.next_command);
        sim.commands.insert(command, source);
        self.step(host, ShardInput::Command { command, request });
    }

    fn reply(&mut self, work: &WorkId, reply: ShardReply) {
        let now_ms = self.now_ms - START_MS;
        let Some(entry) = self.works.get_mut(work) else {
            return;
        };
        let Some(ticket) = entry.take_reply(reply) else {
            return;
        };
        if entry.running || now_ms > entry.plan.at_ms + REQUEST_MS {
            return;
        }
        entry.running = true;
        let delay = self.delay();
        let work = work.clone();
        let event = if ticket.started {
            Event::Fetch { work, ticket }
        } else {
            Event::Run { work, ticket }
        };
        self.push(delay, event);
    }

    fn run_at_upstream(&mut self, work: &WorkId, ticket: &AttemptTicket) {
        let index: usize = ticket.address.parse().expect("the address is an index");
        if self.upstreams[index].down || self.chance(3) {
            return self.attempt_fails(work, ticket, true);
        }
        match self.upstreams[index]
            .model
            .start(self.now_ms, &ticket.ticket)
        {
            StartOutcome::Started => {
                self.schedule_end(index, &ticket.ticket.task, ticket.ticket.attempt);
            }
            StartOutcome::AlreadyKnown => {}
            _ => return self.attempt_fails(work, ticket, false),
        }
        self.push(
            20,
            Event::Fetch {
                work: work.clone(),
                ticket: ticket.clone(),
            },
        );
    }

    /// Waits for the end of an attempt and takes its answer to the caller.
    fn fetch(&mut self, work: &WorkId, ticket: &AttemptTicket) {
        let index: usize = ticket.address.parse().expect("the address is an index");
        let attempt = AttemptRef {
            task: ticket.ticket.task.clone(),
            attempt: ticket.ticket.attempt,
        };
        if self.upstreams[index].down || self.chance(1) {
            return self.attempt_fails(work, ticket, true);
        }
        let now_ms = self.now_ms;
        let model = &mut self.upstreams[index].model;
        model.expire(now_ms);
        match model.answer(&attempt) {
            Some((FinishOutcome::Completed, _)) => self.answered(work, ticket),
            None if model.is_running(&attempt) => {
                self.push(
                    20,
                    Event::Fetch {
                        work: work.clone(),
                        ticket: ticket.clone(),
                    },
                );
            }
            _ => self.attempt_fails(work, ticket, true),
        }
    }

    fn attempt_fails(&mut self, work: &WorkId, ticket: &AttemptTicket, unclear: bool) {
        if let Some(entry) = self.works.get_mut(work) {
            entry.running = false;
            entry.may_have_run |= unclear;
            entry.failed_attempt = Some(ticket.ticket.attempt);
        }
    }

    fn answered(&mut self, work: &WorkId, ticket: &AttemptTicket) {
        let Some(entry) = self.works.get_mut(work) else {
            return;
        };
        entry.running = false;
        if entry.knows == CallerKnows::Nothing {
            entry.knows = CallerKnows::Answered;
        }
        let Some(task) = TaskId::parse(&ticket.ticket.task) else {
            return;
        };
        let attempt = AttemptId {
            task,
            number: ticket.ticket.attempt,
        };
        let request = ShardCommand::Report(AttemptReport {
            attempt,
            end: AttemptEnd::Completed,
        });
        let home = self.works[work].home.clone();
        let host = self.pick_owner(&home);
        let delay = self.delay();
        self.push(
            delay,
            Event::Command {
                host,
                work: work.clone(),
                request,
            },
        );
    }

    fn fault_begins(&mut self, index: usize) {
        let Fault { for_ms, kind, .. } = self.history.faults[index].clone();
        self.active[index] = true;
        self.note(&format!("{kind:?} for {for_ms} ms"));
        let now_ms = self.now_ms;
        match kind {
            FaultKind::Crash(host) => self.hosts[host].alive = false,
            FaultKind::Pause(host) => self.hosts[host].paused_until_ms = now_ms + for_ms,
            FaultKind::Restart(host) if self.hosts[host].alive => {
                self.hosts[host].members.me_mut().state = MemberState::Leaving;
                self.step(host, ShardInput::Shutdown);
            }
            FaultKind::UpstreamRestart(upstream) => self.upstreams[upstream].model.restart(now_ms),
            FaultKind::UpstreamDown(upstream) => {
                self.upstreams[upstream].model.restart(now_ms);
                self.upstreams[upstream].down = true;
            }
            FaultKind::Leaving(upstream) => {
                self.upstreams[upstream].leaving_since_ms = Some(now_ms);
            }
            FaultKind::DomainOut => self.change_config(set_out),
            FaultKind::LimitLowered => self.change_config(set_lower),
            _ => {}
        }
    }

    fn fault_ends(&mut self, index: usize) {
        let kind = self.history.faults[index].kind.clone();
        self.active[index] = false;
        let still =
            self.is_cut(|other| std::mem::discriminant(other) == std::mem::discriminant(&kind));
        match kind {
            FaultKind::Crash(host) => self.replace(host),
            FaultKind::Restart(host) => {
                if !self.hosts[host].alive
                    || self.hosts[host].machine.phase() == OwnershipPhase::Stopped
                {
                    self.replace(host);
                } else {
                    self.push(TICK_MS, Event::FaultEnds(index));
                }
            }
            FaultKind::UpstreamDown(upstream) => self.upstreams[upstream].down = false,
            FaultKind::Leaving(upstream) => self.upstream_stays(upstream),
            FaultKind::DomainOut if !still => self.change_config(set_in),
            FaultKind::LimitLowered if !still => self.change_config(set_whole),
            _ => {}
        }
    }

    /// Starts a new run of a host.
    fn replace(&mut self, host: usize) {
        self.hosts[host] = self.new_host(host);
        self.welcome(host);
    }

    fn upstream_stays(&mut self, upstream: usize) {
        let until_ms = self.now_ms;
        let upstream = &mut self.upstreams[upstream];
        if let Some(from_ms) = upstream.leaving_since_ms.take() {
            let upstreams = vec![upstream.entry.name.clone()];
            self.closed.push(ClosedTime {
                upstreams,
                from_ms,
                until_ms,
            });
        }
    }

    /// Puts a changed configuration into force on every host within the promised time.
    fn change_config(&mut self, change: fn(&mut ApprovedConfig)) {
        let was_out = !self.config.in_service(&DomainName::from("d1"));
        let mut config = ApprovedConfig::clone(&self.config);
        config.revision += 1;
        change(&mut config);
        let is_out = !config.in_service(&DomainName::from("d1"));
        self.config = Arc::new(config);
        self.note_domain(was_out, is_out);
        for host in 0..self.hosts.len() {
            let delay = self.random.random_range(1..CONFIG_DELAY_MS);
            let config = Arc::clone(&self.config);
            self.push(delay, Event::ConfigArrives(host, config));
        }
    }

    fn note_domain(&mut self, was_out: bool, is_out: bool) {
        if !was_out && is_out {
            let near = self
                .upstreams
                .iter()
                .filter(|upstream| upstream.entry.failure_domain == "d1");
            let upstreams = near.map(|upstream| upstream.entry.name.clone()).collect();
            self.closed.push(ClosedTime {
                upstreams,
                from_ms: self.now_ms,
                until_ms: u64::MAX,
            });
        } else if was_out && !is_out {
            let now_ms = self.now_ms;
            let open = self
                .closed
                .iter_mut()
                .filter(|closed| closed.until_ms == u64::MAX);
            open.for_each(|closed| closed.until_ms = now_ms);
        }
    }
}

fn caller_work(index: usize, plan: &PlannedWork) -> CallerWork {
    let domain = if index.is_multiple_of(3) { "d2" } else { "d1" };
    let home = ShardName::from(format!("{domain}.0"));
    CallerWork::new(
        plan.clone(),
        WorkId::homed(&home, &format!("work-{index:03}")),
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
