//! Admission: API keys, queue rules and the retry budget.

use std::sync::Arc;

use lagoonnotch::admission::{RetryBudget, check_queue, key_digest, team_for_key};
use lagoonnotch::document::{ApprovedConfig, KeyGrant, QueuePolicy, WorkClass, WorkloadPolicy};
use lagoonnotch::model::{ResourceSize, TeamName};
use lagoonnotch::problem::ProblemCode;

fn config_with_key(team: &str, key: &str) -> ApprovedConfig {
    let mut config = ApprovedConfig::default();
    let grant = KeyGrant {
        team: TeamName::from(team),
        sha256: key_digest(key).into(),
    };
    config.keys.insert("sample".into(), Arc::new(grant));
    config
}

fn config_with_queue(open: bool, when_cut_off_s: u32) -> ApprovedConfig {
    let mut config = ApprovedConfig::default();
    let queue = QueuePolicy {
        open,
        teams: vec!["insiders".into()],
        max_waiting: 1,
        when_cut_off_s,
    };
    config.queues.insert("queue".into(), Arc::new(queue));
    config
}

fn workload() -> WorkloadPolicy {
    WorkloadPolicy {
        class: WorkClass::Urgent,
        queue: "queue".into(),
        deadline_ms: 1,
        size: ResourceSize::new(1, 1, 0),
        idempotent: true,
        preemptible: false,
        max_attempts: 1,
    }
}

#[test]
fn promise_key_admits_only_its_team() {
    let config = config_with_key("insiders", "secret");

    let team = team_for_key(&config, Some("Bearer secret"));

    assert_eq!(team, Ok(TeamName::from("insiders")));
}

/// Guards against access with a key that a document has withdrawn.
#[test]
fn promise_withdrawn_key_is_rejected() {
    let mut config = config_with_key("insiders", "secret");
    config.keys.clear();

    let refusal = team_for_key(&config, Some("Bearer secret")).expect_err("the key is withdrawn");

    assert_eq!(refusal.code, ProblemCode::UnknownKey);
}

/// Guards against access without a complete key: the header is missing, has the wrong scheme, or
/// contains no key or only a part of it.
#[test]
fn promise_malformed_authorization_is_rejected() {
    let config = config_with_key("insiders", "secret");

    for header in [
        None,
        Some(""),
        Some("Bearer "),
        Some("Basic secret"),
        Some("Bearer secre"),
    ] {
        assert!(team_for_key(&config, header).is_err(), "{header:?}");
    }
}

#[test]
fn closed_queue_admits_only_its_teams() {
    let config = config_with_queue(false, 0);

    let insider = check_queue(&config, &"insiders".into(), &workload(), None);
    let outsider = check_queue(&config, &"outsiders".into(), &workload(), None);

    assert_eq!(insider, Ok(()));
    assert_eq!(
        outsider.map_err(|report| report.code),
        Err(ProblemCode::QueueClosed)
    );
}

/// Guards against work that is admitted by outdated rules, when a host has been unable to learn of
/// newer documents for `when_cut_off_s`.
#[test]
fn open_queue_rejects_work_after_the_time_limit_without_fresh_config() {
    let config = config_with_queue(true, 5);
    let admit = |stale_ms| check_queue(&config, &"outsiders".into(), &workload(), stale_ms).is_ok();

    assert!(admit(None));
    assert!(admit(Some(4999)));
    assert!(!admit(Some(5000)));
}

/// Guards against retries that multiply the load during a fault.
#[test]
fn retry_budget_is_a_fifth_of_the_requests() {
    let budget = RetryBudget::new();
    while budget.try_spend() {}

    let mut retries = 0;
    for _ in 0..1000 {
        budget.record_request();
        retries += u32::from(budget.try_spend());
    }

    assert_eq!(retries, 200);
}
