//! Configurations, submissions and upstreams shared by the tests.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use lagoonnotch_fleet::model::{
    ApprovedConfig, DirectoryRead, PolicyTiming, PoolPolicy, QueuePolicy, RequestLimits,
    ResourceSize, StepSpec, SubmissionRecord, TeamPolicy, UpstreamReport,
};
use lagoonnotch_fleet::owner::CommitOutcome;

/// Outcome of a stored commit, at a revision before any epoch.
pub const STORED: CommitOutcome = CommitOutcome::Stored { revision: 0 };

/// Pool used by all fixtures.
pub const POOL: &str = "harvest";

/// Team used by all fixtures.
pub const TEAM: &str = "mist-maps";

/// Returns a queue without a policy service.
pub fn queue(name: &str, priority: u32) -> QueuePolicy {
    QueuePolicy {
        name: name.into(),
        host: "cell.example".into(),
        prefix: format!("/{name}/").into(),
        pool: POOL.into(),
        priority,
        max_attempts: 2,
        stretch: 2.0,
        objective_ms: 1000,
        timeout_ms: 3000,
        open: false,
        policy_service: None,
    }
}

/// Returns a queue whose starts need tickets.
pub fn ticketed_queue(name: &str, priority: u32) -> QueuePolicy {
    QueuePolicy {
        policy_service: Some(PolicyTiming {
            decision_ms: 500.0,
            per_upstream_ms: 8.0,
            valid_ms: 2000,
        }),
        ..queue(name, priority)
    }
}

/// Returns a configuration with these queues and one team with an upper limit.
pub fn config(queues: Vec<QueuePolicy>, upper_limit: ResourceSize) -> Arc<ApprovedConfig> {
    let team = TeamPolicy {
        name: TEAM.into(),
        weight: 10,
        upper_limit,
    };
    let pool = PoolPolicy {
        name: POOL.into(),
        enforces_capacity: false,
    };
    Arc::new(ApprovedConfig {
        version: 1,
        revision: 1,
        queues: queues.into_iter().map(Arc::new).collect(),
        pools: HashMap::from([(Arc::from(POOL), pool)]),
        teams: HashMap::from([(Arc::from(TEAM), Arc::new(team))]),
        keys: HashMap::from([("key".into(), TEAM.into())]),
        limits: RequestLimits {
            max_body_bytes: 65_536,
            max_header_bytes: 8192,
            header_timeout_ms: 3000,
            idle_timeout_ms: 15_000,
        },
    })
}

/// Returns a step of `count` tasks that request one core each.
pub fn step(count: u32) -> StepSpec {
    StepSpec {
        count,
        demand: ResourceSize::new(1000, 1024, 0),
        estimate_ms: 500,
        ..StepSpec::default()
    }
}

/// Returns a submission to a queue.
pub fn submission(id: &str, queue: &QueuePolicy, steps: Vec<StepSpec>) -> Arc<SubmissionRecord> {
    Arc::new(SubmissionRecord {
        id: id.into(),
        team: Some(TEAM.into()),
        queue: Arc::new(queue.clone()),
        payload: "work".into(),
        steps,
        repeats: 0,
        first_due_unix_ms: 0,
        period_ms: 0,
        accepted_unix_ms: 0,
    })
}

/// Returns a read of the directory at a time that also serves as the store's revision.
pub fn directory_read(now: u64, reports: Vec<UpstreamReport>) -> DirectoryRead {
    DirectoryRead {
        reports,
        unreadable: BTreeSet::new(),
        written_after: BTreeMap::new(),
        requested_at: now,
        revision: now,
    }
}

/// Returns the directory report of an upstream with four cores.
pub fn report(id: &str) -> UpstreamReport {
    UpstreamReport {
        id: id.into(),
        incarnation_unix_ms: 1,
        pool: POOL.into(),
        address: id.into(),
        failure_domain: "west".into(),
        draining: false,
        revision: 0,
        capacity: ResourceSize::new(4000, 16_384, 0),
        labels: Arc::from(["a".into(), "rack-1".into()]),
    }
}
