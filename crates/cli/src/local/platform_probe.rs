//! Reads the host list and the recorded runs from the stand-in platform.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use eyre::{Result, eyre};
use hyper::Method;
use lagoonnotch_standin::{MonotonicClock, RunHistory, RunRecord};
use lagoonnotch_wire::upstream::{HostEntry, HostList};

use crate::api_client::{ApiCall, ApiClient};

/// Reads the stand-in platform over HTTP.
#[derive(Clone, Debug)]
pub(super) struct PlatformProbe {
    /// The upstreams as in the platform's host list.
    pub hosts: Vec<HostEntry>,
    clock: MonotonicClock,
}

impl PlatformProbe {
    /// Reads the host list from the stand-in platform at an address.
    pub async fn connect(store: SocketAddr) -> Result<Self> {
        let list: HostList = fetch(&store.to_string(), "/v1/hosts").await?;
        Ok(Self {
            hosts: list.hosts,
            clock: MonotonicClock::new(),
        })
    }

    /// Returns the clock to which submission and run times refer.
    pub fn clock(&self) -> MonotonicClock {
        self.clock
    }

    /// Reads the runs of all upstreams, with times converted to this probe's clock.
    pub async fn records(&self) -> Result<Vec<RunRecord>> {
        let mut records = Vec::new();
        for host in &self.hosts {
            let runs: RunHistory = fetch(&host.address, "/v1/records").await?;
            let now_ms = self.clock.now_ms();
            let to_probe_time = |at_ms: u64| (at_ms + now_ms).saturating_sub(runs.now_ms);
            records.extend(runs.records.into_iter().map(|run| RunRecord {
                started_ms: to_probe_time(run.started_ms),
                ended_ms: run.ended_ms.map(to_probe_time),
                ..run
            }));
        }
        Ok(records)
    }

    /// Returns the longest time between two successive starts of a team's tasks in each failure
    /// domain, in milliseconds.
    pub fn longest_start_gaps(&self, records: &[RunRecord], team: &str) -> BTreeMap<String, u64> {
        let domains: BTreeMap<&str, &str> = self
            .hosts
            .iter()
            .map(|host| (host.name.as_str(), host.failure_domain.as_str()))
            .collect();
        let mut starts: BTreeMap<String, Vec<u64>> = BTreeMap::new();
        for record in records.iter().filter(|record| record.team == team) {
            if let Some(domain) = domains.get(record.upstream.as_str()) {
                starts
                    .entry((*domain).to_owned())
                    .or_default()
                    .push(record.started_ms);
            }
        }
        let gaps = starts.into_iter().map(|(domain, mut times)| {
            times.sort_unstable();
            let longest = times.windows(2).map(|pair| pair[1] - pair[0]).max();
            (domain, longest.unwrap_or(0))
        });
        gaps.collect()
    }
}

async fn fetch<T: serde::de::DeserializeOwned>(address: &str, path: &str) -> Result<T> {
    let response = ApiClient::new(address)
        .call(ApiCall::new(Method::GET, path))
        .await;
    let parsed = response.and_then(|response| response.parse());
    parsed.map_err(|problem| eyre!("{address}{path}: {}", problem.detail))
}
