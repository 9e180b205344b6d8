//! Two tenants number their submissions from 1, each in a queue of its own.

use std::time::Duration;

use eyre::{Result, bail};
use lagoonnotch_soak::{CALLER_TEAM_KEY, RunEnd, configuration};
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::Verdict;
use crate::cell::{Cell, CellSpec, FINISH};
use crate::client::call_with_key;
use crate::record::Record;

const ANSWER: Duration = Duration::from_secs(3);
const SUBMISSIONS: u64 = 5;

/// The second tenant, its key and its queue's prefix.
pub const OTHER_KEY: &str = "other-team-key-9876543210";

/// Returns a desired state with two tenants.
pub fn two_tenants() -> Value {
    let mut config = configuration(1);
    let mut other = config["tenants"][0].clone();
    other["name"] = json!("other");
    other["api_keys"] = json!([OTHER_KEY]);
    if let Some(tenants) = config["tenants"].as_array_mut() {
        tenants.push(other);
    }
    config
}

pub async fn run(spec: CellSpec, record: Record, has_trouble: bool) -> Result<Verdict> {
    let cell = Cell::start(&spec, &two_tenants()).await?;
    let fronts = cell.fronts();
    record.line("six hosts are ready; tenants: team, other");
    // The size in a task's text tells whose task a worker runs.
    let body = |cpu: u64, count: u64| {
        json!({
            "spec": format!("run_ms=600 cpu={cpu}"),
            "phases": [{"count": count, "cpu": cpu, "mem_mb": 64, "est_runtime_ms": 600}],
        })
        .to_string()
    };
    let host = |number: u64| &fronts[usize::try_from(number).unwrap_or(0) % fronts.len()];
    for number in 1..=SUBMISSIONS {
        let path = format!("/batch/{number:016x}");
        let (status, text) = call_with_key(
            host(number),
            CALLER_TEAM_KEY,
            "POST",
            &path,
            &body(1000, 2),
            ANSWER,
        )
        .await?;
        record.line(&format!("team: POST {path}, 2 tasks: {status} {text}"));
        if status != 200 {
            bail!("the first tenant's submission was not accepted");
        }
    }
    sleep(Duration::from_secs(2)).await;
    // Without the disruption the second tenant numbers from 101.
    let first = if has_trouble { 1 } else { 101 };
    let mut accepted = Vec::new();
    for number in first..first + SUBMISSIONS {
        let path = format!("/check/{number:016x}");
        let (status, text) = call_with_key(
            host(number + 1),
            OTHER_KEY,
            "POST",
            &path,
            &body(700, 3),
            ANSWER,
        )
        .await?;
        record.line(&format!("other: POST {path}, 3 tasks: {status} {text}"));
        if (200..300).contains(&status) {
            accepted.push((number, path));
        }
    }
    sleep(FINISH).await;
    let runs = cell.log.runs();
    let mut broken = 0;
    for (number, path) in &accepted {
        let (status, text) =
            call_with_key(host(*number), OTHER_KEY, "GET", path, "", ANSWER).await?;
        let prefix = format!("{number:016x}.");
        let done = runs.iter().filter(|run| {
            let is_done = matches!(run.ended, Some((_, RunEnd::Done)));
            run.task.starts_with(&prefix) && run.cpu_milli == 700 && is_done
        });
        let done = done.count();
        record.line(&format!(
            "other: GET {path}: {status} {text}; {done} of its 3 tasks have ended done"
        ));
        if done < 3 {
            broken += 1;
        }
    }
    for run in &runs {
        record.line(&format!("{} cpu={}: {run}", run.task, run.cpu_milli));
    }
    record.line(&format!(
        "{broken} of {} submissions that were accepted with 2xx never ran",
        accepted.len()
    ));
    Ok(Verdict::broken_if(broken > 0))
}
