//! Faults and changes during a run, and what they cost.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use eyre::{Result, eyre};
use hyper::Method;
use lagoonnotch_standin::{RunRecord, StoreFaults};
use lagoonnotch_wire::caller::CellStatus;
use serde::Serialize;
use serde_json::json;
use tokio::time::sleep;

use crate::api_client::{ApiCall, ApiClient};
use crate::local::cell::LocalCell;
use crate::local::driver::{RunResults, WorkResult};
use crate::local::plan::{DeploymentPlan, sample_key};
use crate::local::platform_probe::PlatformProbe;

/// Time between two looks at the hosts.
const LOOK_PAUSE: Duration = Duration::from_millis(10);

/// Longest time until a change is in force on every host.
const FORCE_TIME: Duration = Duration::from_secs(10);

/// Time after a change in which work may still adapt, in milliseconds.
const ADAPT_MS: u64 = 3000;

/// What happens during a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum TrialKind {
    /// The store is down for the middle third of the run.
    StoreDown,
    /// The first failure domain is out of service for the middle third of the run.
    DomainOut,
    /// The key of the last team is withdrawn after a third of the run.
    KeyWithdrawn,
}

impl TrialKind {
    /// Returns the trial of a name.
    pub fn by_name(name: &str) -> Option<Self> {
        match name {
            "store-down" => Some(Self::StoreDown),
            "domain-out" => Some(Self::DomainOut),
            "key-withdrawn" => Some(Self::KeyWithdrawn),
            _ => None,
        }
    }
}

/// When a trial changed something, in milliseconds of the probe's clock.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TrialTimes {
    from: u64,
    until: u64,
    /// Time until the change was in force on every host.
    in_force: Option<u64>,
    back_in_force: Option<u64>,
    /// Time until every host refused the withdrawn key.
    key_refused: Option<u64>,
}

/// What a trial showed.
#[derive(Clone, Debug, Default, Serialize)]
pub(super) struct TrialReport {
    /// Urgent requests that were sent between the changes.
    urgent_sent: usize,
    /// How many of them were answered.
    urgent_answered: usize,
    /// Starts a second before, between and after the changes, without the time to adapt.
    starts_per_s: BTreeMap<&'static str, u64>,
    /// Time from the change to the last start in the failure domain before it came back.
    last_start_ms: Option<u64>,
    in_force_ms: Option<u64>,
    back_in_force_ms: Option<u64>,
    key_refused_ms: Option<u64>,
    /// Store calls by kind during the whole run.
    store_calls: BTreeMap<String, u64>,
}

/// A trial on a local cell.
pub(super) struct CellTrial<'a> {
    pub kind: TrialKind,
    pub cell: &'a LocalCell,
    pub plan: &'a DeploymentPlan,
    pub probe: &'a PlatformProbe,
    pub time: Duration,
}

impl CellTrial<'_> {
    /// Makes the trial's changes at a third and two thirds of the run.
    pub async fn run(&self) -> Result<TrialTimes> {
        sleep(self.time / 3).await;
        let mut times = TrialTimes {
            from: self.probe.clock().now_ms(),
            ..TrialTimes::default()
        };
        match self.kind {
            TrialKind::StoreDown => self.set_store(true),
            TrialKind::DomainOut => times.in_force = Some(self.set_domain(false).await?),
            TrialKind::KeyWithdrawn => {
                times.in_force = Some(self.withdraw_key().await?);
                times.key_refused = Some(self.wait_until_refused(times.from).await?);
            }
        }
        sleep(self.time / 3).await;
        times.until = self.probe.clock().now_ms();
        match self.kind {
            TrialKind::StoreDown => self.set_store(false),
            TrialKind::DomainOut => times.back_in_force = Some(self.set_domain(true).await?),
            TrialKind::KeyWithdrawn => {}
        }
        Ok(times)
    }

    /// Returns what the trial showed.
    pub fn report(
        &self,
        times: &TrialTimes,
        results: &RunResults,
        records: &[RunRecord],
    ) -> TrialReport {
        let urgent = results.workloads[0].works.iter();
        let between: Vec<_> = urgent
            .filter(|work| (times.from..times.until).contains(&work.submitted_ms))
            .collect();
        let answered = between
            .iter()
            .filter(|work| work.result == WorkResult::Finished)
            .count();
        TrialReport {
            urgent_sent: between.len(),
            urgent_answered: answered,
            starts_per_s: starts_per_s(times, records),
            last_start_ms: self.last_start_ms(times, records),
            in_force_ms: times.in_force,
            back_in_force_ms: times.back_in_force,
            key_refused_ms: times.key_refused,
            store_calls: self.cell.platform.store.counts().calls,
        }
    }

    fn set_store(&self, down: bool) {
        self.cell.platform.store.set_faults(StoreFaults {
            down,
            ..StoreFaults::default()
        });
    }

    fn domain(&self) -> &str {
        &self.plan.profile.domains[0]
    }

    /// Takes the first failure domain out or brings it back; returns the time until every host has
    /// the document in force.
    async fn set_domain(&self, in_service: bool) -> Result<u64> {
        let section = format!("failure-domain/{}", self.domain());
        let value = json!({
            "kind": "failure_domain", "in_service": in_service, "shards": 1, "when_cut_off_s": 600
        });
        self.change(&section, if in_service { 2 } else { 1 }, Some(value))
            .await
    }

    async fn withdraw_key(&self) -> Result<u64> {
        let team = self.plan.workloads[0].team;
        self.change(&format!("key/{team}-sample"), 1, None).await
    }

    async fn change(
        &self,
        section: &str,
        previous: u64,
        value: Option<serde_json::Value>,
    ) -> Result<u64> {
        let mut change = json!({ "section": section, "previous": previous });
        if let Some(value) = value {
            change["value"] = value;
        }
        let document = json!({ "document": format!("trial-{previous}"), "changes": [change] });
        let start = Instant::now();
        self.cell.submit_document(&document.to_string()).await?;
        self.wait_for_revision(previous + 1).await?;
        Ok(u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX))
    }

    async fn wait_for_revision(&self, revision: u64) -> Result<()> {
        let deadline = Instant::now() + FORCE_TIME;
        for host in &self.cell.hosts {
            loop {
                let answer = ApiClient::new(host.caller)
                    .call(ApiCall::new(Method::GET, "/v1/status"))
                    .await;
                let status = answer.and_then(|answer| answer.parse::<CellStatus>());
                if status.is_ok_and(|status| status.document_revision >= revision) {
                    break;
                }
                if Instant::now() > deadline {
                    return Err(eyre!(
                        "revision {revision} is not in force on {}",
                        host.name
                    ));
                }
                sleep(LOOK_PAUSE).await;
            }
        }
        Ok(())
    }

    /// Waits until every host refuses the withdrawn key; returns the time since the change.
    async fn wait_until_refused(&self, from_ms: u64) -> Result<u64> {
        let plan = &self.plan.workloads[0];
        for host in &self.cell.hosts {
            let client = ApiClient::new(host.caller);
            let path = format!("/v1/requests?workload={}", plan.workload);
            let call = ApiCall::new(Method::POST, path).key(&sample_key(plan.team));
            let deadline = Instant::now() + FORCE_TIME;
            while !client
                .call(call.clone())
                .await
                .is_err_and(|problem| problem.code == "unknown_key")
            {
                if Instant::now() > deadline {
                    return Err(eyre!("{} still accepts the withdrawn key", host.name));
                }
                sleep(LOOK_PAUSE).await;
            }
        }
        Ok(self.probe.clock().now_ms() - from_ms)
    }

    /// Returns the time from the change to the last start in the failure domain before it came back.
    fn last_start_ms(&self, times: &TrialTimes, records: &[RunRecord]) -> Option<u64> {
        let near = self
            .probe
            .hosts
            .iter()
            .filter(|host| host.failure_domain == self.domain());
        let near: Vec<&str> = near.map(|host| host.name.as_str()).collect();
        let starts = records
            .iter()
            .filter(|record| near.contains(&record.upstream.as_str()));
        let between = starts
            .map(|record| record.started_ms)
            .filter(|at| (times.from..times.until).contains(at));
        between.max().map(|last| last - times.from)
    }
}

fn starts_per_s(times: &TrialTimes, records: &[RunRecord]) -> BTreeMap<&'static str, u64> {
    let first = records
        .iter()
        .map(|record| record.started_ms)
        .min()
        .unwrap_or(0);
    let last = records
        .iter()
        .map(|record| record.started_ms)
        .max()
        .unwrap_or(0);
    let rate = |from: u64, until: u64| {
        let count = records
            .iter()
            .filter(|record| (from..until).contains(&record.started_ms))
            .count() as u64;
        count * 1000 / until.saturating_sub(from).max(1)
    };
    BTreeMap::from([
        ("before", rate(first + ADAPT_MS, times.from)),
        ("between", rate(times.from + ADAPT_MS, times.until)),
        (
            "after",
            rate(times.until + ADAPT_MS, last.saturating_sub(ADAPT_MS / 2)),
        ),
    ])
}
