//! The readers of the hosts' standard output stop reading.

use std::time::Duration;

use eyre::{Result, bail};
use lagoonnotch_soak::{configuration, is_ready};
use rustix::process::Signal;
use serde_json::json;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::Verdict;
use crate::cell::{Cell, CellSpec, FINISH, LogTarget};
use crate::client;
use crate::record::Record;

/// Submissions a second, below the tenant's `weight`.
const RATE: u32 = 10;
const TRAFFIC_S: u32 = 36;
const STALL_AT_S: u64 = 6;
const ANSWER: Duration = Duration::from_secs(3);

/// Number of hosts that a consumer asks before it gives up.
const TRIES: usize = 3;

pub async fn run(mut spec: CellSpec, record: Record, has_trouble: bool) -> Result<Verdict> {
    spec.log = LogTarget::Collector;
    let cell = Cell::start(&spec, &configuration(1)).await?;
    let fronts = cell.fronts();
    record.line("six hosts are ready; the standard output of each is a pipe to a collector");
    let lasting = "/watch/ee00000000000000";
    let body = json!({
        "spec": "run_ms=0 cpu=1000",
        "phases": [{
            "count": 4, "cpu": 1000, "mem_mb": 64, "est_runtime_ms": 500, "long_running": true,
        }],
    });
    match client::submit(&fronts, lasting, &body, TRIES, ANSWER).await {
        Ok(_) => record.line(&format!("POST {lasting}: 4 tasks that last, accepted")),
        Err(error) => bail!("{lasting} was not accepted: {error}"),
    }
    let began = Instant::now();
    let traffic = tokio::spawn(send_traffic(fronts.clone(), record.clone(), began));
    sleep_until(began + Duration::from_secs(STALL_AT_S)).await;
    if has_trouble {
        for host in &cell.hosts {
            host.signal_collector(Signal::STOP)?;
        }
        record.line("SIGSTOP to the six collectors; nothing is done to the hosts");
    }
    let accepted = traffic.await?;
    record.line(&format!(
        "the traffic has ended; {} submissions accepted",
        accepted.len()
    ));
    let runs = cell.log.runs();
    let last = runs.iter().map(|run| run.started_ms).max();
    record.line(&format!(
        "{} runs, the last began at {last:?} ms",
        runs.len()
    ));
    sleep(FINISH).await;
    for host in &cell.hosts {
        let limit = Duration::from_secs(1);
        let is_ready = timeout(limit, is_ready(&host.readiness)).await == Ok(true);
        let (runs, ticks) = (host.is_running(), host.cpu_ticks());
        record.line(&format!(
            "{}: its process runs: {runs}, ready: {is_ready}, processor time: {ticks:?} ticks",
            host.name
        ));
    }
    for run in cell.log.runs() {
        if run.task.starts_with("ee") {
            record.line(&format!("{}: {run}", run.task));
        }
    }
    let asked: Vec<_> = accepted
        .iter()
        .map(|path| {
            let (fronts, path) = (fronts[..TRIES].to_vec(), path.clone());
            tokio::spawn(async move {
                let state = client::state(&fronts, &path, ANSWER).await;
                (path, state)
            })
        })
        .collect();
    let mut unanswered = 0;
    for task in asked {
        let (path, state) = task.await?;
        if state.starts_with("no answer") || state.starts_with("status") {
            unanswered += 1;
            record.line(&format!("GET {path}: {state}"));
        } else {
            record.line(&format!("GET {path}: state {state}"));
        }
    }
    record.line(&format!(
        "14 s after the traffic {unanswered} of {} accepted submissions aren't known or get no \
         answer in 3 s from any of {TRIES} hosts",
        accepted.len()
    ));
    Ok(Verdict::broken_if(unanswered > 0))
}

/// Sends submissions; returns the paths of those that were accepted.
async fn send_traffic(fronts: Vec<String>, record: Record, began: Instant) -> Vec<String> {
    let mut sent = Vec::new();
    for number in 0..RATE * TRAFFIC_S {
        sleep_until(began + Duration::from_secs(1) * number / RATE).await;
        let path = format!("/batch/{number:016x}");
        let body = json!({
            "spec": "run_ms=600 cpu=1000",
            "phases": [{"count": 4, "cpu": 1000, "mem_mb": 64, "est_runtime_ms": 600}],
        });
        let (fronts, record) = (fronts.clone(), record.clone());
        sent.push(tokio::spawn(async move {
            let outcome = client::submit(&fronts, &path, &body, TRIES, ANSWER).await;
            record.line(&format!("POST {path}: {outcome:?}"));
            outcome.is_ok().then_some(path)
        }));
    }
    let mut accepted = Vec::new();
    for task in sent {
        accepted.extend(task.await.ok().flatten());
    }
    accepted
}
