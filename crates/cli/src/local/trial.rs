//! Faults and configuration changes during a load test, and their effects.

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
use crate::local::load_generator::{LoadResults, SubmissionResult};
use crate::local::plan::{DeploymentPlan, sample_key};
use crate::local::platform_probe::PlatformProbe;

/// Time between two status checks of a host.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Time limit until a change is in force on a host.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(10);

/// Time for the load to adapt after the first start and after each change, in milliseconds;
/// excluded from start rates.
const ADAPTATION_MS: u64 = 3000;

/// Fault or configuration change during a load test.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum TrialKind {
    /// The store is down in the middle third of the load test.
    StoreDown,
    /// The first failure domain is out of service in the middle third of the load test.
    DomainOut,
    /// The key of the first workload's team is withdrawn after a third of the load test.
    KeyWithdrawn,
}

impl TrialKind {
    /// Returns the trial of the given name.
    pub fn by_name(name: &str) -> Option<Self> {
        match name {
            "store-down" => Some(Self::StoreDown),
            "domain-out" => Some(Self::DomainOut),
            "key-withdrawn" => Some(Self::KeyWithdrawn),
            _ => None,
        }
    }
}

/// Observation window and measured times of a trial.
///
/// All times are in milliseconds. The window's bounds are on the probe's clock; the other fields
/// are durations.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TrialTimes {
    /// Time of the change.
    window_start: u64,
    /// Time of the reversal; for a withdrawn key, which stays withdrawn, the time when the final
    /// third of the load test starts.
    window_end: u64,
    /// Time from the change until it was in force on every host.
    in_force_ms: Option<u64>,
    /// Time from the reversal until it was in force on every host.
    back_in_force_ms: Option<u64>,
    /// Time from the change until every host refused the withdrawn key.
    key_refused_ms: Option<u64>,
}

/// Measured effects of a trial.
#[derive(Clone, Debug, Default, Serialize)]
pub(super) struct TrialReport {
    /// Urgent requests sent within the observation window.
    urgent_sent: usize,
    /// Number of these that were answered.
    urgent_answered: usize,
    /// Starts per second before, within and after the observation window, without adaptation times.
    starts_per_s: BTreeMap<&'static str, u64>,
    /// Time from the change to the last start in the failure domain within the observation window.
    last_start_ms: Option<u64>,
    in_force_ms: Option<u64>,
    back_in_force_ms: Option<u64>,
    key_refused_ms: Option<u64>,
    /// Number of store calls since the cell's start, by kind.
    store_calls: BTreeMap<String, u64>,
}

/// A trial on a local cell.
pub(super) struct CellTrial<'a> {
    pub kind: TrialKind,
    pub cell: &'a LocalCell,
    pub plan: &'a DeploymentPlan,
    pub probe: &'a PlatformProbe,
    pub duration: Duration,
}

impl CellTrial<'_> {
    /// Makes the change after a third of the load test and reverts it after two thirds; a withdrawn
    /// key stays withdrawn.
    pub async fn run(&self) -> Result<TrialTimes> {
        sleep(self.duration / 3).await;
        let mut times = TrialTimes {
            window_start: self.probe.clock().now_ms(),
            ..TrialTimes::default()
        };
        match self.kind {
            TrialKind::StoreDown => self.set_store_down(true),
            TrialKind::DomainOut => times.in_force_ms = Some(self.set_in_service(false).await?),
            TrialKind::KeyWithdrawn => {
                times.in_force_ms = Some(self.withdraw_key().await?);
                times.key_refused_ms = Some(self.wait_until_key_refused(times.window_start).await?);
            }
        }
        sleep(self.duration / 3).await;
        times.window_end = self.probe.clock().now_ms();
        match self.kind {
            TrialKind::StoreDown => self.set_store_down(false),
            TrialKind::DomainOut => times.back_in_force_ms = Some(self.set_in_service(true).await?),
            TrialKind::KeyWithdrawn => {}
        }
        Ok(times)
    }

    /// Returns the measured effects of the trial.
    pub fn report(
        &self,
        times: &TrialTimes,
        results: &LoadResults,
        records: &[RunRecord],
    ) -> TrialReport {
        let urgent = results.workloads[0].submissions.iter();
        let in_window: Vec<_> = urgent
            .filter(|submission| {
                (times.window_start..times.window_end).contains(&submission.submitted_ms)
            })
            .collect();
        let answered = in_window
            .iter()
            .filter(|submission| submission.result == SubmissionResult::Finished)
            .count();
        TrialReport {
            urgent_sent: in_window.len(),
            urgent_answered: answered,
            starts_per_s: start_rates(times, records),
            last_start_ms: self.last_start_ms(times, records),
            in_force_ms: times.in_force_ms,
            back_in_force_ms: times.back_in_force_ms,
            key_refused_ms: times.key_refused_ms,
            store_calls: self.cell.platform.store.counts().calls,
        }
    }

    fn set_store_down(&self, down: bool) {
        self.cell.platform.store.set_faults(StoreFaults {
            down,
            ..StoreFaults::default()
        });
    }

    fn domain(&self) -> &str {
        &self.plan.profile.domains[0]
    }

    /// Takes the first failure domain out of service or back into service; returns the time until
    /// the document is in force on every host.
    async fn set_in_service(&self, in_service: bool) -> Result<u64> {
        let section = format!("failure-domain/{}", self.domain());
        // Must match the sample document, except for `in_service`.
        let value = json!({
            "kind": "failure_domain", "in_service": in_service, "shards": 1, "when_cut_off_s": 600
        });
        self.submit_change(&section, if in_service { 2 } else { 1 }, Some(value))
            .await
    }

    /// Withdraws the key of the first workload's team; returns the time until the document is in
    /// force on every host.
    async fn withdraw_key(&self) -> Result<u64> {
        let team = self.plan.workloads[0].team;
        self.submit_change(&format!("key/{team}-sample"), 1, None)
            .await
    }

    /// Submits a document with one change; returns the time until it is in force on every host.
    ///
    /// Trial documents are the only ones after the sample document, and each changes the same
    /// section. The section's revision is therefore also that of the latest document.
    async fn submit_change(
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
        let deadline = Instant::now() + IN_FORCE_TIMEOUT;
        for host in &self.cell.hosts {
            loop {
                let response = ApiClient::new(host.caller_address)
                    .call(ApiCall::new(Method::GET, "/v1/status"))
                    .await;
                let status = response.and_then(|response| response.parse::<CellStatus>());
                if status.is_ok_and(|status| status.document_revision >= revision) {
                    break;
                }
                if Instant::now() > deadline {
                    return Err(eyre!(
                        "revision {revision} is not in force on {}",
                        host.name
                    ));
                }
                sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Waits until every host refuses the withdrawn key; returns the time since the change.
    async fn wait_until_key_refused(&self, since_ms: u64) -> Result<u64> {
        let plan = &self.plan.workloads[0];
        for host in &self.cell.hosts {
            let client = ApiClient::new(host.caller_address);
            let path = format!("/v1/requests?workload={}", plan.workload);
            let call = ApiCall::new(Method::POST, path).key(&sample_key(plan.team));
            let deadline = Instant::now() + IN_FORCE_TIMEOUT;
            while !client
                .call(call.clone())
                .await
                .is_err_and(|problem| problem.code == "unknown_key")
            {
                if Instant::now() > deadline {
                    return Err(eyre!("{} still accepts the withdrawn key", host.name));
                }
                sleep(POLL_INTERVAL).await;
            }
        }
        Ok(self.probe.clock().now_ms() - since_ms)
    }

    /// Returns the time from the change to the last start in the failure domain within the window.
    fn last_start_ms(&self, times: &TrialTimes, records: &[RunRecord]) -> Option<u64> {
        let domain_hosts = self
            .probe
            .hosts
            .iter()
            .filter(|host| host.failure_domain == self.domain());
        let domain_hosts: Vec<&str> = domain_hosts.map(|host| host.name.as_str()).collect();
        let starts = records
            .iter()
            .filter(|record| domain_hosts.contains(&record.upstream.as_str()));
        let in_window = starts
            .map(|record| record.started_ms)
            .filter(|at| (times.window_start..times.window_end).contains(at));
        in_window.max().map(|last| last - times.window_start)
    }
}

fn start_rates(times: &TrialTimes, records: &[RunRecord]) -> BTreeMap<&'static str, u64> {
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
        ("before", rate(first + ADAPTATION_MS, times.window_start)),
        (
            "between",
            rate(times.window_start + ADAPTATION_MS, times.window_end),
        ),
        (
            "after",
            rate(
                times.window_end + ADAPTATION_MS,
                last.saturating_sub(ADAPTATION_MS / 2),
            ),
        ),
    ])
}
