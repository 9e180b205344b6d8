//! A tenant hands in more than the fleet can do; every submission is small.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use eyre::Result;
use lagoonnotch_soak::CALLER_TEAM_KEY;
use rustix::process::Signal;
use serde_json::json;
use tokio::time::{Instant, sleep, sleep_until};

use crate::Verdict;
use crate::cases::ids::{OTHER_KEY, two_tenants};
use crate::cell::{Cell, CellSpec, FINISH, MEMORY_MB};
use crate::client::call_with_key;
use crate::record::Record;

const ANSWER: Duration = Duration::from_secs(3);
const TRAFFIC_S: u32 = 68;

/// Submissions a second that the tenant usually sends: its `weight`.
const USUAL_RATE: u32 = 15;

/// Submissions a second while it sends 7.5 times its usual.
const HOT_RATE: u32 = 112;

/// How long it does so each time, and how often that comes, in milliseconds.
const HOT_MS: u64 = 6500;
const HOT_PERIOD_MS: u64 = 8500;

/// Ordinary submissions of the other tenant a second.
const OTHER_RATE: u32 = 2;

/// Tasks of a submission: a record that counts as small.
const TASKS: u32 = 390;

/// Time until the platform starts a killed process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Time for which a submission may have nothing running.
const LOST_MS: u64 = 3000;

pub async fn run(spec: CellSpec, record: Record, has_trouble: bool) -> Result<Verdict> {
    let cell = Cell::start(&spec, &two_tenants()).await?;
    let fronts = cell.fronts();
    record.line("six hosts are ready; tenants: team, other");
    let began = Instant::now();
    let big = json!({
        "spec": "run_ms=20000 cpu=4000",
        "phases": [{"count": TASKS, "cpu": 4000, "mem_mb": 256, "est_runtime_ms": 20_000}],
    });
    let small = json!({
        "spec": "run_ms=300 cpu=500",
        "phases": [{"count": 2, "cpu": 500, "mem_mb": 64, "est_runtime_ms": 300}],
    });
    let hot_rate = if has_trouble { HOT_RATE } else { USUAL_RATE };
    let of_team = tokio::spawn(send_traffic(
        fronts.clone(),
        (CALLER_TEAM_KEY, "/batch/aa", big.to_string()),
        (USUAL_RATE, hot_rate),
        began,
    ));
    let of_other = tokio::spawn(send_traffic(
        fronts.clone(),
        (OTHER_KEY, "/check/bb", small.to_string()),
        (OTHER_RATE, OTHER_RATE),
        began,
    ));
    let platform = Platform::start(&cell, &record);
    let ends_at = began + Duration::from_secs(TRAFFIC_S.into()) + FINISH;
    while Instant::now() < ends_at {
        let memory = cell.hosts.iter().map(|host| host.memory_mb().unwrap_or(0));
        let memory: Vec<u64> = memory.collect();
        let runs = cell.log.runs();
        let running = runs.iter().filter(|run| run.ended.is_none()).count();
        record.line(&format!("MiB {memory:?}; {running} runs"));
        sleep(Duration::from_secs(2)).await;
    }
    let (accepted, refused) = of_team.await?;
    record.line(&format!(
        "team: {} submissions of {TASKS} tasks accepted; not: {refused:?}",
        accepted.len()
    ));
    let (accepted, refused) = of_other.await?;
    record.line(&format!(
        "other: {} submissions of 2 tasks accepted; not: {refused:?}",
        accepted.len()
    ));
    let asked_ms = cell.log.now_ms();
    let mut asked = Vec::new();
    for path in accepted {
        let fronts = fronts.clone();
        asked.push(tokio::spawn(async move {
            let mut last = String::from("no answer");
            for front in &fronts[..3] {
                match call_with_key(front, OTHER_KEY, "GET", &path, "", ANSWER).await {
                    Ok((200, text)) => return (path, text),
                    Ok((status, text)) => last = format!("{status} {text}"),
                    Err(error) => last = format!("no answer: {error}"),
                }
            }
            (path, last)
        }));
    }
    let mut unfinished = Vec::new();
    for task in asked {
        let (path, state) = task.await?;
        record.line(&format!("other: GET {path}: {state}"));
        if !state.contains("completed") {
            unfinished.push(path);
        }
    }
    sleep(Duration::from_millis(
        (asked_ms + LOST_MS).saturating_sub(cell.log.now_ms()),
    ))
    .await;
    let runs = cell.log.runs();
    let is_active = |run: &&lagoonnotch_soak::RunRecord| {
        run.ended.is_none_or(|(ended_ms, _)| ended_ms >= asked_ms)
    };
    let in_use: u64 = runs.iter().filter(is_active).map(|run| run.cpu_milli).sum();
    let capacity = u64::from(spec.workers) * spec.worker_cpu;
    let idle = unfinished.iter().filter(|path| {
        let id = path.rsplit('/').next().unwrap_or_default();
        !runs
            .iter()
            .filter(is_active)
            .any(|run| run.task.starts_with(id))
    });
    let idle = idle.count();
    record.line(&format!(
        "14 s after the traffic {idle} accepted submissions of other have had nothing running for \
         {LOST_MS} ms; {in_use} of {capacity} thousandths of a core were in use; kills {:?}",
        platform.kills()
    ));
    Ok(Verdict::broken_if(idle > 0 && in_use * 2 < capacity))
}

/// The platform, which kills a process that exceeds its memory, and starts it again.
struct Platform {
    kills: Arc<Mutex<Vec<u32>>>,
}

impl Platform {
    fn start(cell: &Cell, record: &Record) -> Self {
        let platform = Self {
            kills: Arc::new(Mutex::new(vec![0; cell.hosts.len()])),
        };
        for (position, host) in cell.hosts.iter().enumerate() {
            let (host, record, kills) = (host.clone(), record.clone(), platform.kills.clone());
            tokio::spawn(async move {
                loop {
                    sleep(Duration::from_millis(50)).await;
                    let Some(memory) = host.memory_mb().filter(|memory| *memory > MEMORY_MB) else {
                        continue;
                    };
                    let _ = host.signal(Signal::KILL);
                    record.line(&format!("{} uses {memory} MiB and is killed", host.name));
                    kills.lock().unwrap_or_else(PoisonError::into_inner)[position] += 1;
                    sleep(RESTART_DELAY).await;
                    let _ = host.spawn();
                }
            });
        }
        platform
    }

    fn kills(&self) -> Vec<u32> {
        let kills = self.kills.lock().unwrap_or_else(PoisonError::into_inner);
        kills.clone()
    }
}

/// Sends submissions with a key; returns the paths of those that were accepted, and how many were
/// not. The second rate holds for the first `HOT_MS` of each `HOT_PERIOD_MS`.
async fn send_traffic(
    fronts: Vec<String>,
    (key, prefix, body): (&'static str, &'static str, String),
    (usual_rate, hot_rate): (u32, u32),
    began: Instant,
) -> (Vec<String>, std::collections::BTreeMap<String, u32>) {
    let mut sent = Vec::new();
    let mut at_us = 0_u64;
    let mut number = 0_u32;
    while at_us < u64::from(TRAFFIC_S) * 1_000_000 {
        sleep_until(began + Duration::from_micros(at_us)).await;
        let is_hot = at_us / 1000 % HOT_PERIOD_MS < HOT_MS;
        let rate = if is_hot { hot_rate } else { usual_rate };
        at_us += 1_000_000 / u64::from(rate);
        number += 1;
        let path = format!("{prefix}{number:014x}");
        let front = fronts[number as usize % fronts.len()].clone();
        let body = body.clone();
        sent.push(tokio::spawn(async move {
            match call_with_key(&front, key, "POST", &path, &body, ANSWER).await {
                Ok((200..=299, _)) => Ok(path),
                Ok((status, text)) => Err(format!("{status} {text}")),
                Err(error) => Err(error.to_string()),
            }
        }));
    }
    let mut accepted = Vec::new();
    let mut refused = std::collections::BTreeMap::new();
    for task in sent {
        match task.await {
            Ok(Ok(path)) => accepted.push(path),
            Ok(Err(text)) => *refused.entry(text).or_default() += 1,
            Err(_) => {}
        }
    }
    (accepted, refused)
}
