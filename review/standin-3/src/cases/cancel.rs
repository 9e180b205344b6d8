//! A caller without a key, and one with another tenant's key, read and cancel submissions.

use std::time::Duration;

use eyre::{Result, bail};
use lagoonnotch_soak::CALLER_TEAM_KEY;
use serde_json::json;
use tokio::time::sleep;

use crate::Verdict;
use crate::cases::ids::{OTHER_KEY, two_tenants};
use crate::cell::{Cell, CellSpec};
use crate::client::call_with_key;
use crate::record::Record;

const ANSWER: Duration = Duration::from_secs(3);

/// `cancel_ms` + `kill_grace_ms`, and more.
const CANCEL_LIMIT: Duration = Duration::from_secs(6);

pub async fn run(spec: CellSpec, record: Record, has_trouble: bool) -> Result<Verdict> {
    // A public queue beside those that need a key.
    let mut config = two_tenants();
    let mut open = config["routes"][0].clone();
    open["name"] = json!("open");
    open["prefix"] = json!("/open/");
    open["public"] = json!(true);
    if let Some(routes) = config["routes"].as_array_mut() {
        routes.push(open);
    }
    let cell = Cell::start(&spec, &config).await?;
    let fronts = cell.fronts();
    record.line("six hosts are ready; tenants: team, other; /open/ is public, /watch/ is not");
    let body = json!({
        "spec": "run_ms=0 cpu=1000",
        "phases": [{
            "count": 4, "cpu": 1000, "mem_mb": 64, "est_runtime_ms": 500, "long_running": true,
        }],
    })
    .to_string();
    let ids = ["5c0e7a21d94b36f8", "91b2c3d4e5f60718"];
    for id in ids {
        let path = format!("/watch/{id}");
        let (status, text) =
            call_with_key(&fronts[0], CALLER_TEAM_KEY, "POST", &path, &body, ANSWER).await?;
        record.line(&format!(
            "team: POST {path}, 4 tasks that last: {status} {text}"
        ));
        if status != 200 {
            bail!("the submission was not accepted");
        }
    }
    sleep(Duration::from_secs(3)).await;
    let [first, second] = ids;
    let strangers = [
        ("no key", "", format!("/open/{first}")),
        ("key of other", OTHER_KEY, format!("/watch/{second}")),
    ];
    if has_trouble {
        for (name, key, path) in &strangers {
            for (method, front) in [("GET", &fronts[1]), ("DELETE", &fronts[2])] {
                let (status, text) = call_with_key(front, key, method, path, "", ANSWER).await?;
                record.line(&format!("{name}: {method} {path}: {status} {text}"));
            }
        }
    }
    sleep(CANCEL_LIMIT).await;
    let mut broken = 0;
    for id in ids {
        let path = format!("/watch/{id}");
        let (status, text) =
            call_with_key(&fronts[3], CALLER_TEAM_KEY, "GET", &path, "", ANSWER).await?;
        record.line(&format!("team: GET {path}: {status} {text}"));
        if status == 410 || text.contains("cancelled") {
            broken += 1;
        }
    }
    for run in cell.log.runs() {
        record.line(&format!("{}: {run}", run.task));
    }
    record.line(&format!(
        "{broken} of 2 submissions are shown as cancelled; their tenant has sent no DELETE"
    ));
    Ok(Verdict::broken_if(broken > 0))
}
