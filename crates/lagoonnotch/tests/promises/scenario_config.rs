//! Configuration of the scenarios.

use std::sync::Arc;

use lagoonnotch::document::{
    ApprovedConfig, DomainPolicy, QueuePolicy, TeamPolicy, WorkClass, WorkloadPolicy,
};
use lagoonnotch::model::{DomainName, ResourceSize};

/// Limit of each team, in cores.
pub const TEAM_CORES: u64 = 16;

pub fn cores(count: u64) -> ResourceSize {
    ResourceSize::new(count * 1000, count * 1000, 0)
}

pub fn take_domain_out(config: &mut ApprovedConfig) {
    set_domain(config, false);
}

pub fn return_domain(config: &mut ApprovedConfig) {
    set_domain(config, true);
}

fn set_domain(config: &mut ApprovedConfig, in_service: bool) {
    let policy = DomainPolicy {
        in_service,
        shards: 1,
        when_cut_off_s: 600,
    };
    config
        .domains
        .insert(DomainName::from("d1"), Arc::new(policy));
}

pub fn lower_limit(config: &mut ApprovedConfig) {
    set_limit(config, TEAM_CORES / 2);
}

pub fn restore_limit(config: &mut ApprovedConfig) {
    set_limit(config, TEAM_CORES);
}

fn set_limit(config: &mut ApprovedConfig, count: u64) {
    let policy = TeamPolicy {
        share: 1,
        limit: cores(count),
    };
    config.teams.insert("team-0".into(), Arc::new(policy));
    config
        .section_revisions
        .insert("team/team-0".into(), config.revision);
}

pub fn first_config() -> ApprovedConfig {
    let mut config = ApprovedConfig {
        revision: 1,
        ..ApprovedConfig::default()
    };
    set_domain(&mut config, true);
    let policy = DomainPolicy {
        in_service: true,
        shards: 1,
        when_cut_off_s: 600,
    };
    config
        .domains
        .insert(DomainName::from("d2"), Arc::new(policy));
    for team in ["team-0", "team-1"] {
        let policy = TeamPolicy {
            share: 1,
            limit: cores(TEAM_CORES),
        };
        config.teams.insert(team.into(), Arc::new(policy));
        config
            .section_revisions
            .insert(format!("team/{team}").into(), 1);
    }
    let queue = QueuePolicy {
        open: true,
        teams: Vec::new(),
        max_waiting: 1000,
        when_cut_off_s: 600,
    };
    config.queues.insert("queue".into(), Arc::new(queue));
    let job = workload(1, WorkClass::Batch);
    config.workloads.insert("job".into(), Arc::new(job));
    for count in 1..6 {
        let quick = workload(count, WorkClass::Urgent);
        config
            .workloads
            .insert(format!("quick-{count}").into(), Arc::new(quick));
    }
    config
}

fn workload(count: u64, class: WorkClass) -> WorkloadPolicy {
    WorkloadPolicy {
        class,
        queue: "queue".into(),
        deadline_ms: 1000,
        size: cores(count),
        idempotent: true,
        preemptible: false,
        max_attempts: 3,
    }
}
