//! One consumer hands in a gang of many members.

use std::time::Duration;

use eyre::{Result, bail};
use lagoonnotch_soak::{configuration, is_ready};
use serde_json::json;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::Verdict;
use crate::cell::{Cell, CellSpec, FINISH};
use crate::client;
use crate::record::Record;

const ANSWER: Duration = Duration::from_secs(3);
const TRAFFIC_S: u32 = 40;
const GANG_AT_S: u64 = 8;

/// The most tasks that a submission may have.
const GANG_SIZE: u64 = 10_000;

/// Number of hosts that a consumer asks before it gives up.
const TRIES: usize = 3;

/// Time for which a submission may have nothing running.
const LOST_MS: u64 = 3000;

/// Submissions a second, below the tenant's `weight`.
const RATE: u32 = 4;

pub async fn run(mut spec: CellSpec, record: Record, has_trouble: bool) -> Result<Verdict> {
    spec.knows_gangs = true;
    let cell = Cell::start(&spec, &configuration(1)).await?;
    let Some(fleet) = &cell.fleet else {
        bail!("no workers");
    };
    let fronts = cell.fronts();
    record.line("six hosts are ready");
    let lasting = "/watch/ee00000000000000";
    let body = json!({
        "spec": "run_ms=0",
        "phases": [{
            "count": 6, "cpu": 1000, "mem_mb": 64, "est_runtime_ms": 500, "long_running": true,
            "max_unavailable": 1,
        }],
    });
    match client::submit(&fronts, lasting, &body, TRIES, ANSWER).await {
        Ok(_) => record.line(&format!("POST {lasting}: 6 tasks that last, accepted")),
        Err(error) => bail!("{lasting} was not accepted: {error}"),
    }
    let began = Instant::now();
    let traffic = tokio::spawn(send_traffic(fronts.clone(), record.clone(), began));
    sleep_until(began + Duration::from_secs(GANG_AT_S)).await;
    let members = if has_trouble { GANG_SIZE } else { 20 };
    let gang = "/batch/aa00000000000000";
    let body = json!({
        "spec": format!("run_ms=3000 gang={members}"),
        "phases": [{"count": members, "cpu": 5, "mem_mb": 1, "est_runtime_ms": 3000, "gang": true}],
    });
    let outcome = client::submit(&fronts, gang, &body, TRIES, ANSWER).await;
    record.line(&format!(
        "POST {gang}: a gang of {members} tasks: {outcome:?}"
    ));
    while began.elapsed() < Duration::from_secs(TRAFFIC_S.into()) {
        sleep(Duration::from_secs(1)).await;
        let notes = fleet.notes();
        let of_gang = || notes.iter().filter(|note| note.task.starts_with("aa"));
        let mut ends = std::collections::BTreeMap::<&str, u32>::new();
        for note in &notes {
            if let Some((_, how)) = note.ended {
                *ends.entry(how).or_default() += 1;
            }
        }
        let mut hosts = String::new();
        for host in &cell.hosts {
            let limit = Duration::from_millis(300);
            let is_ready = timeout(limit, is_ready(&host.readiness)).await == Ok(true);
            hosts += &format!(
                " [{} {} MiB {} fds {} ticks]",
                if is_ready { "ready" } else { "SILENT" },
                host.memory_mb().unwrap_or(0),
                host.descriptors(),
                host.cpu_ticks().unwrap_or(0)
            );
        }
        record.line(&format!(
            "gang: {} starts, {} run; ends {ends:?};{hosts}",
            of_gang().count(),
            of_gang().filter(|note| note.ended.is_none()).count()
        ));
    }
    let mut accepted = traffic.await?;
    record.line(&format!(
        "the traffic has ended; {} accepted",
        accepted.len()
    ));
    if outcome.is_ok() {
        accepted.push(gang.to_owned());
    }
    sleep(FINISH).await;
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
    let asked_ms = fleet.now_ms();
    let mut unfinished = Vec::new();
    for task in asked {
        let (path, state) = task.await?;
        record.line(&format!("GET {path}: {state}"));
        unfinished.extend((state != "completed").then_some(path));
    }
    let limit = asked_ms + LOST_MS;
    sleep(Duration::from_millis(limit.saturating_sub(fleet.now_ms()))).await;
    let notes = fleet.notes();
    let is_idle = |path: &String| {
        let id = path.rsplit('/').next().unwrap_or_default();
        let mut runs = notes.iter().filter(|note| note.task.starts_with(id));
        runs.all(|note| note.ended.is_some_and(|(at, _)| at < asked_ms))
    };
    let lost = unfinished.iter().filter(|path| is_idle(path)).count();
    let alone = notes
        .iter()
        .filter(|note| matches!(note.ended, Some((_, "alone"))))
        .count();
    for note in notes.iter().filter(|note| note.task.starts_with("ee")) {
        record.line(&format!("{note:?}"));
    }
    record.line(&format!(
        "14 s after the traffic {lost} of {} accepted submissions have had nothing running for \
         {LOST_MS} ms; {alone} runs ended alone",
        accepted.len()
    ));
    Ok(Verdict::broken_if(lost > 0))
}

/// Sends ordinary submissions; returns the paths of those that were accepted.
async fn send_traffic(fronts: Vec<String>, record: Record, began: Instant) -> Vec<String> {
    let mut sent = Vec::new();
    for number in 0..RATE * TRAFFIC_S {
        sleep_until(began + Duration::from_secs(1) * number / RATE).await;
        let path = format!("/check/{number:016x}");
        let body = json!({
            "spec": "run_ms=600",
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
