//! Model of an owner with its store and upstreams, without sockets.

use std::sync::Arc;

use lagoonnotch::document::{
    ApprovedConfig, DomainPolicy, QueuePolicy, TeamPolicy, WorkClass, WorkloadPolicy,
};
use lagoonnotch::model::{AttemptId, ResourceSize, ShardName, TaskId, TeamName, WorkId};
use lagoonnotch::shard::{
    AttemptEnd, AttemptReport, CommandId, PeerView, PlaceRequest, ShardCommand, ShardController,
    ShardEffect, ShardIdentity, ShardInput, ShardReply, ShardTiming, UpstreamCall, UpstreamReply,
};
use lagoonnotch_standin::{StoreModel, UpstreamModel};
use lagoonnotch_wire::upstream::{HostEntry, HostState, StartReply};

/// An owner that is stepped by the benchmark.
pub(crate) struct OwnerModel {
    controller: ShardController,
    now_ms: u64,
    /// Total bytes of renewals and their replies.
    pub(crate) upstream_bytes: u64,
    store: StoreModel,
    upstreams: Vec<UpstreamModel>,
    teams: u64,
    next_id: u64,
    attempts: Vec<AttemptId>,
}

impl OwnerModel {
    /// Creates an owner with the given numbers of upstreams and teams.
    pub(crate) fn new(upstreams: usize, teams: u64) -> Self {
        let identity = ShardIdentity {
            shard: ShardName::from("d.0"),
            domain: "d".into(),
            host: "host".into(),
            incarnation: 1,
        };
        let mut model = Self {
            controller: ShardController::new(identity, ShardTiming::default()),
            now_ms: 1_000_000,
            upstream_bytes: 0,
            store: StoreModel::default(),
            upstreams: (0..upstreams)
                .map(|index| UpstreamModel::new(format!("upstream-{index}")))
                .collect(),
            teams,
            next_id: 0,
            attempts: Vec::new(),
        };
        model.step(ShardInput::Config(Arc::new(config(teams))));
        model.step(ShardInput::UpstreamList(
            (0..upstreams).map(host_entry).collect(),
        ));
        model.step(ShardInput::PeerView(PeerView {
            shard_count: 1,
            ..PeerView::default()
        }));
        for _ in 0..50 {
            model.tick();
        }
        assert!(
            model.controller.owned_epoch().is_some(),
            "the shard is owned"
        );
        model
    }

    /// Advances the time by 20 ms.
    pub(crate) fn tick(&mut self) {
        self.now_ms += 20;
        self.step(ShardInput::Tick);
    }

    /// Places one quick request.
    pub(crate) fn place(&mut self) {
        self.next_id += 1;
        let request = PlaceRequest {
            work: WorkId::from(format!("d.0~{}", self.next_id)),
            team: TeamName::from(format!("team-{}", self.next_id % self.teams)),
            workload: "quick".into(),
            non_idempotent: false,
            remaining_ms: 60_000,
            failed_attempt: None,
        };
        self.step(ShardInput::Command {
            command_id: CommandId(self.next_id),
            command: ShardCommand::Place(request),
        });
    }

    /// Reports the end of the oldest placed request.
    pub(crate) fn end(&mut self) {
        if self.attempts.is_empty() {
            return;
        }
        let attempt = self.attempts.remove(0);
        let report = AttemptReport {
            attempt,
            end: AttemptEnd::Completed,
        };
        self.next_id += 1;
        self.step(ShardInput::Command {
            command_id: CommandId(self.next_id),
            command: ShardCommand::Report(report),
        });
    }

    fn step(&mut self, input: ShardInput) {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            for effect in self.controller.step(self.now_ms, input) {
                inputs.extend(self.apply_effect(effect));
            }
        }
    }

    fn apply_effect(&mut self, effect: ShardEffect) -> Option<ShardInput> {
        match effect {
            ShardEffect::Store { call_id, request } => {
                let reply = self.store.apply(self.now_ms, &request);
                Some(ShardInput::Store {
                    call_id,
                    result: Ok(reply),
                })
            }
            ShardEffect::Upstream {
                call_id,
                address,
                request,
            } => {
                let index: usize = address.parse().expect("the address is an index");
                let reply = self.call_upstream(index, &request);
                Some(ShardInput::Upstream {
                    call_id,
                    result: Ok(reply),
                })
            }
            ShardEffect::Reply {
                reply: ShardReply::Ticket(ticket),
                ..
            } => {
                let task = TaskId::parse(&ticket.ticket.task)
                    .expect("the owner sends a valid task identifier");
                let index: usize = ticket.address.parse().expect("the address is an index");
                self.upstreams[index].start(self.now_ms, &ticket.ticket);
                self.attempts.push(AttemptId {
                    task,
                    number: ticket.ticket.attempt,
                });
                None
            }
            _ => None,
        }
    }

    fn call_upstream(&mut self, index: usize, request: &UpstreamCall) -> UpstreamReply {
        let model = &mut self.upstreams[index];
        match request {
            UpstreamCall::Fence(call) => UpstreamReply::Fence(model.fence(self.now_ms, call)),
            UpstreamCall::Renew(call) => {
                let reply = model.renew(self.now_ms, call);
                let length = |text: Result<Vec<u8>, serde_json::Error>| {
                    text.map_or(0, |text| text.len() as u64)
                };
                self.upstream_bytes +=
                    length(serde_json::to_vec(call)) + length(serde_json::to_vec(&reply));
                UpstreamReply::Renew(reply)
            }
            UpstreamCall::Revoke(call) => UpstreamReply::Revoke(model.revoke(self.now_ms, call)),
            UpstreamCall::Start(call) => UpstreamReply::Start(StartReply {
                outcome: model.start(self.now_ms, &call.ticket),
            }),
        }
    }
}

fn host_entry(index: usize) -> HostEntry {
    HostEntry {
        name: format!("upstream-{index}"),
        address: index.to_string(),
        failure_domain: "d".to_owned(),
        rack: "rack".to_owned(),
        state: HostState::Live,
        capacity: ResourceSize::new(32_000, 131_072, 0).into(),
    }
}

fn config(teams: u64) -> ApprovedConfig {
    let mut config = ApprovedConfig {
        revision: 1,
        ..ApprovedConfig::default()
    };
    let domain = DomainPolicy {
        in_service: true,
        shards: 1,
        when_cut_off_s: 0,
    };
    config.domains.insert("d".into(), Arc::new(domain));
    for team in 0..teams {
        let policy = TeamPolicy {
            share: 1,
            limit: ResourceSize::new(100_000_000, 400_000_000, 0),
        };
        config
            .teams
            .insert(format!("team-{team}").into(), Arc::new(policy));
        config
            .section_revisions
            .insert(format!("team/team-{team}").into(), 1);
    }
    let queue = QueuePolicy {
        open: true,
        teams: Vec::new(),
        max_waiting: 100_000,
        when_cut_off_s: 0,
    };
    config.queues.insert("queue".into(), Arc::new(queue));
    let quick = WorkloadPolicy {
        class: WorkClass::Urgent,
        queue: "queue".into(),
        deadline_ms: 1000,
        size: ResourceSize::new(500, 512, 0),
        idempotent: true,
        preemptible: false,
        max_attempts: 1,
    };
    config.workloads.insert("quick".into(), Arc::new(quick));
    config
}
