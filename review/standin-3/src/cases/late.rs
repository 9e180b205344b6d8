//! A submission is cancelled while the store still has to carry out its write.

use std::time::Duration;

use eyre::{Result, bail};
use lagoonnotch_soak::configuration;
use serde_json::json;
use tokio::time::{Instant, sleep, sleep_until};

use crate::Verdict;
use crate::cell::{Cell, CellSpec};
use crate::client::call;
use crate::proxy::LateWrites;
use crate::record::Record;

const ANSWER: Duration = Duration::from_secs(3);

/// Writes that aren't answered are done 1 to 6 s later.
const DELAY: Duration = Duration::from_secs(5);

/// `cancel_ms`.
const CANCEL_MS: u64 = 3000;

/// `contact_ms`, and some margin for the last late write.
const CALM_MS: u64 = 3000;

const ID: &str = "5c0e7a21d94b36f8";

pub async fn run(spec: CellSpec, record: Record, has_trouble: bool) -> Result<Verdict> {
    let late = LateWrites::new(DELAY, &record);
    let cell = Cell::start_with(&spec, &configuration(1), Some(&late)).await?;
    let fronts = cell.fronts();
    record.line("six hosts are ready");
    let began = Instant::now();
    let path = format!("/batch/{ID}");
    let body = json!({
        "spec": "run_ms=7000 cpu=1000",
        "phases": [
            {"count": 2, "cpu": 1000, "mem_mb": 64, "est_runtime_ms": 7000},
            {"count": 2, "cpu": 1000, "mem_mb": 64, "est_runtime_ms": 7000, "after": [0]},
        ],
    })
    .to_string();
    if has_trouble {
        late.set(Some(ID));
    }
    let answer = call(&fronts[0], "POST", &path, &body, ANSWER).await;
    record.line(&format!("POST {path}: {answer:?}"));
    if has_trouble && matches!(answer, Ok((200..=299, _))) {
        bail!("the submission was accepted although no write was answered");
    }
    late.set(None);
    // The consumer cancels; it asks again until it has an answer.
    let mut cancelled_ms = None;
    for front in &fronts[1..] {
        let answer = call(front, "DELETE", &path, "", ANSWER).await;
        record.line(&format!("DELETE {path}: {answer:?}"));
        if matches!(answer, Ok((200..=299 | 410, _))) {
            cancelled_ms = Some(cell.log.now_ms());
            break;
        }
        sleep(Duration::from_millis(200)).await;
    }
    let Some(cancelled_ms) = cancelled_ms else {
        bail!("the DELETE was not answered");
    };
    record.line(&format!(
        "the cancelling was acknowledged at {cancelled_ms} ms"
    ));
    sleep_until(began + Duration::from_secs(35)).await;
    let answer = call(&fronts[2], "GET", &path, "", ANSWER).await;
    record.line(&format!("GET {path}: {answer:?}"));
    // Starts while all machines are in touch: `contact_ms` after the last late write at the latest.
    let calm_ms = u64::try_from((DELAY + ANSWER).as_millis())? + CALM_MS;
    let mut broken = 0;
    for run in cell.log.runs() {
        record.line(&format!("{}: {run}", run.task));
        if run.started_ms > cancelled_ms + CANCEL_MS && run.started_ms > calm_ms {
            broken += 1;
        }
    }
    record.line(&format!(
        "{broken} starts later than {CANCEL_MS} ms after the cancelling was acknowledged, the \
         store in order for more than {CALM_MS} ms"
    ));
    Ok(Verdict::broken_if(broken > 0))
}
