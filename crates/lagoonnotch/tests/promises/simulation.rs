//! Simulation of a few owners, one store and a few upstreams in virtual time.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use lagoonnotch::document::ApprovedConfig;
use lagoonnotch::model::{DomainName, ShardName, WorkId};
use lagoonnotch::peer::{
    GossipParameters, Heartbeat, HeartbeatReply, MemberRecord, MemberState, MemberTable, OwnedShard,
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

use crate::caller_work::{CallerWork, CallerWorks};
use crate::scenario::{FaultKind, PlannedWork, Scenario};
use crate::scenario_config::{cores, first_config};

/// Time from the start to the end of every fault, in milliseconds.
pub const HEAL_AFTER_MS: u64 = 45_000;
/// Time from the start to the end of the simulation, in milliseconds.
pub const END_AFTER_MS: u64 = 110_000;
/// Virtual time of the start, in milliseconds.
pub(crate) const START_MS: u64 = 1_000_000;
/// Interval between ticks of the hosts and the callers, in milliseconds.
pub(crate) const TICK_INTERVAL_MS: u64 = 50;
/// Interval between heartbeats of a host, in milliseconds.
const HEARTBEAT_INTERVAL_MS: u64 = 400;
/// Timeout of a call to the store or to an upstream, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 800;
/// Timeout of a command to the owner of another shard, in milliseconds.
const SHARD_CALL_TIMEOUT_MS: u64 = 3000;
/// Maximum time until a configuration change reaches a host, in milliseconds.
pub(crate) const MAX_CONFIG_DELAY_MS: u64 = 1000;
/// Delay until the platform's list shows a change, in milliseconds.
const PLATFORM_LIST_LAG_MS: u64 = 1000;
/// Failure domain of each host.
const HOST_DOMAINS: [&str; 3] = ["d1", "d1", "d2"];
/// Failure domain of each upstream.
const UPSTREAM_DOMAINS: [&str; 4] = ["d1", "d1", "d1", "d2"];
/// Capacity of an upstream, in cores.
const UPSTREAM_CORES: u64 = 8;

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct EventKey {
    pub(crate) at_ms: u64,
    pub(crate) sequence: u64,
}

/// One incarnation of a host. An event for an earlier incarnation is dropped.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct HostIncarnation {
    pub(crate) host: usize,
    pub(crate) incarnation: u64,
}

#[derive(Clone, Debug)]
pub(crate) enum Event {
    Tick,
    SendHeartbeats(HostIncarnation),
    ToStore {
        from: HostIncarnation,
        call_id: CallId,
        request: StoreCall,
    },
    FromStore {
        to: HostIncarnation,
        call_id: CallId,
        result: Result<StoreReply, CallFailure>,
    },
    ToUpstream {
        from: HostIncarnation,
        call_id: CallId,
        upstream: usize,
        request: UpstreamCall,
    },
    FromUpstream {
        to: HostIncarnation,
        call_id: CallId,
        result: Result<UpstreamReply, CallFailure>,
    },
    Heartbeat {
        from: HostIncarnation,
        to: usize,
        sent_ms: u64,
        heartbeat: Heartbeat,
    },
    HeartbeatReply {
        to: HostIncarnation,
        sent_ms: u64,
        reply: HeartbeatReply,
    },
    Command {
        host: usize,
        work: WorkId,
        command: ShardCommand,
    },
    ToShard {
        from: HostIncarnation,
        call_id: CallId,
        shard: ShardName,
        command: ShardCommand,
    },
    FromShard {
        to: HostIncarnation,
        call_id: CallId,
        result: Result<ShardReply, CallFailure>,
    },
    Reply {
        work: WorkId,
        reply: ShardReply,
    },
    SendToUpstream {
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

/// Recipient of the reply to a command.
#[derive(Clone, Debug)]
pub(crate) enum CommandSource {
    Caller(WorkId),
    Shard(HostIncarnation, CallId),
}

pub(crate) struct SimHost {
    pub(crate) controller: ShardController,
    pub(crate) members: MemberTable,
    pub(crate) incarnation: u64,
    pub(crate) alive: bool,
    pub(crate) paused_until_ms: u64,
    pub(crate) commands: BTreeMap<CommandId, CommandSource>,
    pub(crate) next_command_id: u64,
}

pub(crate) struct SimUpstream {
    pub(crate) model: UpstreamModel,
    pub(crate) entry: HostEntry,
    pub(crate) down: bool,
    pub(crate) leaving_since_ms: Option<u64>,
}

/// A period in which nothing may start at some upstreams.
#[derive(Clone, Debug)]
pub struct BlockedPeriod {
    pub upstreams: Vec<String>,
    pub from_ms: u64,
    pub until_ms: u64,
}

pub struct Simulation {
    pub(crate) now_ms: u64,
    pub(crate) events: BTreeMap<EventKey, Event>,
    pub(crate) sequence: u64,
    pub(crate) random: StdRng,
    pub(crate) scenario: Scenario,
    pub(crate) active_faults: Vec<bool>,
    pub(crate) store: StoreModel,
    pub(crate) hosts: Vec<SimHost>,
    pub(crate) upstreams: Vec<SimUpstream>,
    pub(crate) config: Arc<ApprovedConfig>,
    pub(crate) next_incarnation: u64,
    /// Log of events, printed when a test fails.
    pub(crate) trace: Vec<String>,
    pub works: CallerWorks,
    pub blocked_periods: Vec<BlockedPeriod>,
}

impl Simulation {
    /// Runs a complete scenario, ends every fault and lets the work finish.
    pub fn run(scenario: &Scenario) -> Self {
        let mut simulation = Self::new(scenario.clone());
        let heal_ms = START_MS + HEAL_AFTER_MS;
        while let Some((key, event)) = simulation.events.pop_first() {
            if key.at_ms > START_MS + END_AFTER_MS {
                break;
            }
            simulation.now_ms = key.at_ms;
            if simulation.now_ms >= heal_ms {
                simulation.stop_random_losses();
            }
            simulation.handle(&event);
        }
        let now_ms = simulation.now_ms;
        simulation
            .upstreams
            .iter_mut()
            .for_each(|upstream| upstream.model.expire(now_ms));
        simulation
    }

    /// Returns the records of all runs at all upstreams.
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

    fn new(scenario: Scenario) -> Self {
        let works = scenario
            .works
            .iter()
            .enumerate()
            .map(|(index, plan)| planned_caller_work(index, plan));
        let mut simulation = Self {
            now_ms: START_MS,
            events: BTreeMap::new(),
            sequence: 0,
            random: StdRng::seed_from_u64(scenario.seed),
            active_faults: vec![false; scenario.faults.len()],
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
            blocked_periods: Vec::new(),
            trace: Vec::new(),
            scenario,
        };
        for host in 0..HOST_DOMAINS.len() {
            let sim = simulation.new_host(host);
            simulation.hosts.push(sim);
            simulation.initialize_host(host);
        }
        simulation.push(0, Event::Tick);
        for (index, fault) in simulation.scenario.faults.clone().iter().enumerate() {
            let end_ms = (fault.at_ms + fault.duration_ms).min(HEAL_AFTER_MS);
            simulation.push(fault.at_ms, Event::FaultBegins(index));
            simulation.push(end_ms, Event::FaultEnds(index));
        }
        simulation
    }

    /// Returns the log of general events and of the given work items.
    pub fn trace_of(&self, works: &[String]) -> String {
        let named = |line: &&String| works.iter().any(|work| line.contains(work.as_str()));
        let general = |line: &&String| !line.contains('~') && !line.contains("Allotment");
        let lines = self
            .trace
            .iter()
            .filter(|line| named(line) || general(line));
        let records = self
            .records()
            .into_iter()
            .map(|record| format!("{record:?}"));
        let records: Vec<String> = records.filter(|record| named(&record)).collect();
        let teams = self.hosts.iter().filter_map(|host| host.controller.owner());
        let teams = teams.flat_map(|owner| {
            ["team-0", "team-1"].map(|team| format!("{team} {:?}", owner.team_usage(&team.into())))
        });
        let lines: Vec<String> = lines.cloned().chain(records).chain(teams).collect();
        lines.join("\n")
    }

    pub(crate) fn trace_line(&mut self, line: &str) {
        self.trace
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

    pub(crate) fn stop_random_losses(&mut self) {
        self.scenario.lost_reply_percent = 0;
        self.scenario.delay_ms = 5;
    }

    pub(crate) fn chance(&mut self, percent: u32) -> bool {
        self.random.random_range(0..100) < percent
    }

    /// Returns a random message delay. Until the faults end, 2 % of the messages take up to 6 s
    /// longer.
    pub(crate) fn delay(&mut self) -> u64 {
        let delay = self.random.random_range(1..=self.scenario.delay_ms);
        let slow = self.now_ms < START_MS + HEAL_AFTER_MS && self.chance(2);
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
        let local = MemberRecord {
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
            controller: ShardController::new(identity, timing),
            members: MemberTable::new(self.now_ms, local, seeds, GossipParameters::default()),
            incarnation,
            alive: true,
            paused_until_ms: 0,
            commands: BTreeMap::new(),
            next_command_id: 0,
        }
    }

    /// Sends a new host its configuration and schedules its first heartbeat.
    pub(crate) fn initialize_host(&mut self, host: usize) {
        let config = Arc::clone(&self.config);
        self.step(host, ShardInput::Config(config));
        let incarnation = self.incarnation_of(host);
        self.push(1, Event::SendHeartbeats(incarnation));
    }

    pub(crate) fn incarnation_of(&self, host: usize) -> HostIncarnation {
        HostIncarnation {
            host,
            incarnation: self.hosts[host].incarnation,
        }
    }

    pub(crate) fn is_current(&self, target: HostIncarnation) -> bool {
        self.hosts[target.host].alive && self.hosts[target.host].incarnation == target.incarnation
    }

    /// Postpones an event for a paused host. Returns whether the host is paused.
    pub(crate) fn defer_if_paused(&mut self, host: usize, event: &Event) -> bool {
        let until_ms = self.hosts[host].paused_until_ms;
        if self.now_ms >= until_ms {
            return false;
        }
        self.push(until_ms - self.now_ms, event.clone());
        true
    }

    pub(crate) fn step(&mut self, host: usize, input: ShardInput) {
        let effects = self.hosts[host].controller.step(self.now_ms, input);
        for effect in effects {
            self.apply_effect(host, effect);
        }
    }

    pub(crate) fn apply_effect(&mut self, host: usize, effect: ShardEffect) {
        let from = self.incarnation_of(host);
        match effect {
            ShardEffect::Store { call_id, request } => {
                let delay = self.delay();
                self.push(
                    delay,
                    Event::ToStore {
                        from,
                        call_id,
                        request,
                    },
                );
                self.push(
                    CALL_TIMEOUT_MS,
                    Event::FromStore {
                        to: from,
                        call_id,
                        result: Err(CallFailure),
                    },
                );
            }
            ShardEffect::Upstream {
                call_id,
                address,
                request,
            } => {
                let upstream = address.parse().expect("the address is an index");
                let delay = self.delay();
                self.push(
                    delay,
                    Event::ToUpstream {
                        from,
                        call_id,
                        upstream,
                        request,
                    },
                );
                self.push(
                    CALL_TIMEOUT_MS,
                    Event::FromUpstream {
                        to: from,
                        call_id,
                        result: Err(CallFailure),
                    },
                );
            }
            ShardEffect::Reply { command_id, reply } => {
                let source = self.hosts[host].commands.remove(&command_id);
                let delay = self.delay();
                match source {
                    Some(CommandSource::Caller(work)) => {
                        self.push(delay, Event::Reply { work, reply });
                    }
                    Some(CommandSource::Shard(to, call_id)) => {
                        self.push(
                            delay,
                            Event::FromShard {
                                to,
                                call_id,
                                result: Ok(reply),
                            },
                        );
                    }
                    None => {}
                }
            }
            ShardEffect::Shard {
                call_id,
                shard,
                command,
            } => {
                let delay = self.delay();
                self.push(
                    delay,
                    Event::ToShard {
                        from,
                        call_id,
                        shard,
                        command,
                    },
                );
                let result = Err(CallFailure);
                self.push(
                    SHARD_CALL_TIMEOUT_MS,
                    Event::FromShard {
                        to: from,
                        call_id,
                        result,
                    },
                );
            }
            ShardEffect::Event { code, detail } => {
                self.trace_line(&format!("host {host}: {code:?} {detail}"));
            }
        }
    }

    pub(crate) fn handle(&mut self, event: &Event) {
        match event {
            Event::Tick => self.tick(),
            Event::ToStore {
                from,
                call_id,
                request,
            } => self.handle_store_call(*from, *call_id, request),
            Event::ToUpstream {
                from,
                call_id,
                upstream,
                request,
            } => {
                self.handle_upstream_call(*from, *call_id, *upstream, request);
            }
            Event::Reply { work, reply } => self.deliver_reply(work, reply.clone()),
            Event::SendToUpstream { work, ticket } => self.run_at_upstream(work, ticket),
            Event::Fetch { work, ticket } => self.fetch_answer(work, ticket),
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
            Event::FaultBegins(index) => self.begin_fault(*index),
            Event::FaultEnds(index) => self.end_fault(*index),
            _ => self.handle_at_host(event),
        }
    }

    /// Handles an event for one host. The event is dropped if the host is down or was replaced, and
    /// postponed if it is paused.
    pub(crate) fn handle_at_host(&mut self, event: &Event) {
        match event {
            Event::SendHeartbeats(from)
                if self.is_current(*from) && !self.defer_if_paused(from.host, event) =>
            {
                self.send_heartbeats(*from);
            }
            Event::FromStore {
                to,
                call_id,
                result,
            } if self.is_current(*to) && !self.defer_if_paused(to.host, event) => {
                self.step(
                    to.host,
                    ShardInput::Store {
                        call_id: *call_id,
                        result: result.clone(),
                    },
                );
            }
            Event::FromUpstream {
                to,
                call_id,
                result,
            } if self.is_current(*to) && !self.defer_if_paused(to.host, event) => {
                self.step(
                    to.host,
                    ShardInput::Upstream {
                        call_id: *call_id,
                        result: result.clone(),
                    },
                );
            }
            Event::Heartbeat {
                from,
                to,
                sent_ms,
                heartbeat,
            } if self.hosts[*to].alive && !self.defer_if_paused(*to, event) => {
                self.receive_heartbeat(*from, *to, *sent_ms, heartbeat);
            }
            Event::HeartbeatReply { to, sent_ms, reply }
                if self.is_current(*to) && !self.defer_if_paused(to.host, event) =>
            {
                let now_ms = self.now_ms;
                self.hosts[to.host]
                    .members
                    .handle_reply(now_ms, *sent_ms, reply);
            }
            Event::Command {
                host,
                work,
                command,
            } if self.hosts[*host].alive && !self.defer_if_paused(*host, event) => {
                self.send_command(*host, CommandSource::Caller(work.clone()), command.clone());
            }
            Event::ToShard {
                from,
                call_id,
                shard,
                command,
            } => {
                let host = self.pick_owner(shard);
                let cut = self.has_active_fault(|kind| {
                    matches!(kind, FaultKind::PeerCut(one, other)
                    if (*one, *other) == (from.host, host) || (*other, *one) == (from.host, host))
                });
                if self.hosts[host].alive && !cut && !self.defer_if_paused(host, event) {
                    let source = CommandSource::Shard(*from, *call_id);
                    self.send_command(host, source, command.clone());
                }
            }
            Event::FromShard {
                to,
                call_id,
                result,
            } if self.is_current(*to) && !self.defer_if_paused(to.host, event) => {
                self.step(
                    to.host,
                    ShardInput::Shard {
                        call_id: *call_id,
                        result: result.clone(),
                    },
                );
            }
            Event::ConfigArrives(host, config)
                if self.hosts[*host].alive && !self.defer_if_paused(*host, event) =>
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
        self.run_callers();
        self.push(TICK_INTERVAL_MS, Event::Tick);
    }

    pub(crate) fn tick_host(&mut self, host: usize) {
        let now_ms = self.now_ms;
        let listed = self.platform_list();
        let shard = ShardName::from(format!("{}.0", HOST_DOMAINS[host]));
        let sim = &mut self.hosts[host];
        sim.members.forget_silent(now_ms);
        let mut view = sim
            .members
            .peer_view(now_ms, &shard, sim.controller.owned_epoch());
        view.config_stale_since_ms = None;
        view.shard_count = 2;
        self.step(host, ShardInput::PeerView(view));
        self.step(host, ShardInput::UpstreamList(listed));
        self.step(host, ShardInput::Tick);
    }

    /// Returns the platform's list, which shows with a delay that an upstream is leaving.
    pub(crate) fn platform_list(&self) -> Vec<HostEntry> {
        let listed = self.upstreams.iter().map(|upstream| {
            let since = upstream
                .leaving_since_ms
                .filter(|since| self.now_ms >= since + PLATFORM_LIST_LAG_MS);
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
        listed.collect()
    }

    pub(crate) fn send_heartbeats(&mut self, from: HostIncarnation) {
        let now_ms = self.now_ms;
        self.refresh_record(from.host);
        let members = &mut self.hosts[from.host].members;
        let heartbeat = members.next_heartbeat(now_ms);
        for target in members.targets(now_ms) {
            let to = usize::from(target.address.port());
            let delay = self.delay();
            if !self.has_active_fault(|kind| {
                matches!(kind, FaultKind::PeerCut(one, other)
                if (*one, *other) == (from.host, to) || (*other, *one) == (from.host, to))
            }) {
                let heartbeat = heartbeat.clone();
                self.push(
                    delay,
                    Event::Heartbeat {
                        from,
                        to,
                        sent_ms: now_ms,
                        heartbeat,
                    },
                );
            }
        }
        self.push(HEARTBEAT_INTERVAL_MS, Event::SendHeartbeats(from));
    }

    pub(crate) fn refresh_record(&mut self, host: usize) {
        let now_ms = self.now_ms;
        let sim = &mut self.hosts[host];
        let shard = ShardName::from(format!("{}.0", HOST_DOMAINS[host]));
        let owned = sim
            .controller
            .owned_epoch()
            .zip(sim.controller.summary(now_ms));
        let owned = owned.map(|(epoch, summary)| OwnedShard {
            shard,
            epoch,
            summary,
        });
        sim.members.local_record_mut().shards = owned.into_iter().collect();
    }

    pub(crate) fn receive_heartbeat(
        &mut self,
        from: HostIncarnation,
        to: usize,
        sent_ms: u64,
        heartbeat: &Heartbeat,
    ) {
        let now_ms = self.now_ms;
        let sim = &mut self.hosts[to];
        let controller = &sim.controller;
        let reply = sim.members.handle_heartbeat(now_ms, heartbeat, |shard| {
            shard.as_str().starts_with(HOST_DOMAINS[to]) && controller.may_promise()
        });
        let shard = ShardName::from(format!("{}.0", HOST_DOMAINS[to]));
        let mut view = sim
            .members
            .peer_view(now_ms, &shard, sim.controller.owned_epoch());
        view.config_stale_since_ms = None;
        view.shard_count = 2;
        self.step(to, ShardInput::PeerView(view));
        let delay = self.delay();
        self.push(
            delay,
            Event::HeartbeatReply {
                to: from,
                sent_ms,
                reply,
            },
        );
    }

    pub(crate) fn has_active_fault(&self, test: impl Fn(&FaultKind) -> bool) -> bool {
        let faults = self.scenario.faults.iter().zip(&self.active_faults);
        faults
            .into_iter()
            .any(|(fault, is_active)| *is_active && test(&fault.kind))
    }

    pub(crate) fn handle_store_call(
        &mut self,
        from: HostIncarnation,
        call_id: CallId,
        request: &StoreCall,
    ) {
        let unreachable = self.has_active_fault(|kind| {
            matches!(kind, FaultKind::StoreDown)
                || matches!(kind, FaultKind::StoreCut(host) if *host == from.host)
        });
        if unreachable {
            return;
        }
        let reply = self.store.apply(self.now_ms, request);
        let lost = self.scenario.lost_reply_percent;
        if !self.chance(lost) {
            let delay = self.delay();
            self.push(
                delay,
                Event::FromStore {
                    to: from,
                    call_id,
                    result: Ok(reply),
                },
            );
        }
    }

    pub(crate) fn handle_upstream_call(
        &mut self,
        from: HostIncarnation,
        call_id: CallId,
        index: usize,
        request: &UpstreamCall,
    ) {
        let cut = self.has_active_fault(|kind| {
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
        let is_plain_renewal =
            matches!(request, UpstreamCall::Renew(call) if call.orders.is_empty());
        if !is_plain_renewal {
            self.trace_line(&format!(
                "host {} at upstream {index}: {request:?} -> {reply:?}",
                from.host
            ));
        }
        let delay = self.delay();
        self.push(
            delay,
            Event::FromUpstream {
                to: from,
                call_id,
                result: Ok(reply),
            },
        );
    }

    /// Returns a random host that considers itself the owner of a shard, or any host of its failure
    /// domain if there is none.
    pub(crate) fn pick_owner(&mut self, home: &ShardName) -> usize {
        let home = home.as_str();
        let domain_hosts: Vec<usize> = (0..HOST_DOMAINS.len())
            .filter(|host| home.starts_with(HOST_DOMAINS[*host]))
            .collect();
        let owners = domain_hosts
            .iter()
            .filter(|host| self.hosts[**host].controller.owned_epoch().is_some());
        let owners: Vec<usize> = owners.copied().collect();
        let choice = if owners.is_empty() {
            domain_hosts
        } else {
            owners
        };
        choice[self.random.random_range(0..choice.len())]
    }

    pub(crate) fn send_command(
        &mut self,
        host: usize,
        source: CommandSource,
        command: ShardCommand,
    ) {
        let sim = &mut self.hosts[host];
        sim.next_command_id += 1;
        let command_id = CommandId(sim.next_command_id);
        sim.commands.insert(command_id, source);
        self.step(
            host,
            ShardInput::Command {
                command_id,
                command,
            },
        );
    }
}

fn planned_caller_work(index: usize, plan: &PlannedWork) -> CallerWork {
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
    SocketAddr::from((
        [127, 0, 0, 1],
        u16::try_from(host).expect("host numbers fit into u16"),
    ))
}
