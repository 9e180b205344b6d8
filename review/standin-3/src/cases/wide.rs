//! A wide submission, and one worker that crashes.

use std::time::Duration;

use eyre::{Result, bail};
use lagoonnotch_soak::{UpstreamPower, configuration};
use serde_json::json;
use tokio::time::sleep;

use crate::Verdict;
use crate::cell::{Cell, CellSpec, FINISH};
use crate::client;
use crate::record::Record;

const TASKS: u64 = 10_000;
/// Makes the identifiers of workers 37 bytes long.
const ID_SUFFIX: &str = "-harvest-ops.aran.example";

const ANSWER: Duration = Duration::from_secs(3);

pub async fn run(mut spec: CellSpec, record: Record, has_trouble: bool) -> Result<Verdict> {
    spec.id_suffix = ID_SUFFIX;
    let cell = Cell::start(&spec, &configuration(1)).await?;
    let fronts = cell.fronts();
    record.line("six hosts are ready");
    let wide = "/batch/00000000000000aa";
    let body = json!({
        "spec": "run_ms=60000 cpu=10",
        "phases": [{"count": TASKS, "cpu": 10, "mem_mb": 1, "est_runtime_ms": 60_000}],
    });
    match client::submit(&fronts, wide, &body, 6, ANSWER).await {
        Ok(tries) => record.line(&format!(
            "POST {wide}: {TASKS} tasks, accepted, try {tries}"
        )),
        Err(error) => bail!("the wide submission was not accepted: {error}"),
    }
    for second in 1..=25 {
        sleep(Duration::from_secs(1)).await;
        let runs = cell.log.runs();
        let fds: Vec<usize> = cell.hosts.iter().map(|host| host.descriptors()).collect();
        record.line(&format!(
            "{second} s: {} starts; descriptors {fds:?}",
            runs.len()
        ));
        if runs.len() as u64 >= TASKS {
            break;
        }
    }
    let count = |id: &str| {
        let runs = cell.log.runs();
        runs.iter()
            .filter(|run| *run.upstream.0 == *id && run.ended.is_none())
            .count()
    };
    let fullest = cell.workers.iter().max_by_key(|worker| count(worker.id()));
    let Some(fullest) = fullest else {
        bail!("no worker")
    };
    record.line(&format!(
        "worker {} has {} tasks",
        fullest.id(),
        count(fullest.id())
    ));
    sleep(Duration::from_secs(2)).await;
    if has_trouble {
        fullest.end(UpstreamPower::Ended);
        record.line("it crashes");
        sleep(Duration::from_millis(1500)).await;
        fullest.boot(false).await?;
        record.line("it is back");
    }
    sleep(Duration::from_secs(6)).await;
    let mut accepted = Vec::new();
    for number in 0..60 {
        let path = format!("/check/{number:016x}");
        let body = json!({
            "spec": "run_ms=300 cpu=1000",
            "phases": [{"count": 2, "cpu": 1000, "mem_mb": 64, "est_runtime_ms": 300}],
        });
        let outcome = client::submit(&fronts, &path, &body, 4, ANSWER).await;
        record.line(&format!("POST {path}: {outcome:?}"));
        if outcome.is_ok() {
            accepted.push(path);
        }
        sleep(Duration::from_millis(100)).await;
    }
    sleep(FINISH).await;
    let mut missing = 0;
    for path in &accepted {
        let state = client::state(&fronts, path, ANSWER).await;
        if state != "completed" {
            missing += 1;
            record.line(&format!("GET {path}: {state}"));
        }
    }
    let runs = cell.log.runs();
    let of_wide = || {
        runs.iter()
            .filter(|run| run.task.starts_with("00000000000000aa"))
    };
    let running = of_wide().filter(|run| run.ended.is_none()).count();
    record.line(&format!(
        "the wide submission: {} starts, {running} run, state {}",
        of_wide().count(),
        client::state(&fronts, wide, ANSWER).await,
    ));
    record.line(&format!(
        "{missing} of {} accepted submissions aren't completed",
        accepted.len()
    ));
    Ok(Verdict::broken_if(missing > 0 || running == 0))
}
