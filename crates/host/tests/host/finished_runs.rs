//! Which finished runs are logged.

use std::sync::Arc;

use lagoonnotch_fleet::model::{FinishedRun, RenewReply, RunOutcome};
use lagoonnotch_host::control::FinishedRunLog;

/// Returns the list of an incarnation with finished runs of these numbers.
fn list(incarnation_unix_ms: u64, numbers: &[u64]) -> RenewReply {
    let finished = numbers.iter().map(|number| FinishedRun {
        number: *number,
        task: "s1.0.0.0".into(),
        attempt: 1,
        outcome: RunOutcome::Done,
        checkpoint: "".into(),
    });
    RenewReply {
        clock_ms: 1,
        incarnation_unix_ms,
        running: Vec::new(),
        finished: finished.collect(),
        finished_truncated: false,
    }
}

fn new_numbers(log: &mut FinishedRunLog, reply: &RenewReply) -> Vec<u64> {
    let upstream: Arc<str> = "u1".into();
    let runs = log.take_new(&upstream, reply);
    runs.map(|run| run.number).collect()
}

/// A list that names finished runs again must not log them again.
#[test]
fn finished_run_is_logged_once() {
    let mut log = FinishedRunLog::default();

    let first = new_numbers(&mut log, &list(1, &[57, 58]));
    let second = new_numbers(&mut log, &list(1, &[58, 59]));
    let empty = new_numbers(&mut log, &list(1, &[]));
    let third = new_numbers(&mut log, &list(1, &[59]));

    assert_eq!((first, second), (vec![57, 58], vec![59]));
    assert_eq!((empty, third), (vec![], vec![]));
}

/// Guards against ends that no log shows, because the upstream has started again and counts anew.
#[test]
fn finished_runs_of_another_incarnation_are_logged() {
    let mut log = FinishedRunLog::default();
    new_numbers(&mut log, &list(1, &[57, 58]));

    let numbers = new_numbers(&mut log, &list(2, &[1, 2]));

    assert_eq!(numbers, [1, 2]);
}
