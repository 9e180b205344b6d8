//! Report of a load test.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use lagoonnotch_standin::{RunRecord, RunViolations};
use lagoonnotch_wire::upstream::FinishOutcome;
use serde::Serialize;

use crate::local::load_generator::{
    LoadResults, PathOverhead, Submission, SubmissionResult, WorkloadResults,
};
use crate::local::plan::SubmitMode;

/// One row of the report's table.
#[derive(Clone, Debug, Serialize)]
struct WorkloadRow {
    workload: &'static str,
    accepted: usize,
    finished: usize,
    refused: usize,
    unknown: usize,
    pending: usize,
    wait_p50_ms: u64,
    wait_p99_ms: u64,
    lost: usize,
    doubled: usize,
    problems: BTreeMap<String, u64>,
}

/// Report of a load test, based on the results of submissions and the upstreams' run records.
#[derive(Clone, Debug, Serialize)]
pub(super) struct LocalReport {
    workloads: Vec<WorkloadRow>,
    overcommitted: Vec<String>,
    beyond_limit: Vec<String>,
    doubled: Vec<String>,
    overhead: PathOverhead,
    /// Longest time between two starts of the most urgent team's tasks, by failure domain.
    longest_gap_ms: BTreeMap<String, u64>,
}

impl LocalReport {
    /// Creates the report of a load test, without start gaps.
    pub fn new(
        results: &LoadResults,
        records: &[RunRecord],
        violations: &RunViolations,
        overhead: PathOverhead,
    ) -> Self {
        let mut runs: BTreeMap<&str, Vec<&RunRecord>> = BTreeMap::new();
        for record in records {
            let submission = record
                .task
                .rsplit_once('/')
                .map_or(record.task.as_str(), |(id, _)| id);
            runs.entry(submission).or_default().push(record);
        }
        let rows = results
            .workloads
            .iter()
            .map(|results| workload_row(results, &runs, violations));
        Self {
            workloads: rows.collect(),
            overcommitted: violations.overcommitted.iter().cloned().collect(),
            beyond_limit: violations.beyond_limit.iter().cloned().collect(),
            doubled: violations.doubled.iter().cloned().collect(),
            overhead,
            longest_gap_ms: BTreeMap::new(),
        }
    }

    /// Sets the longest times between two starts of the most urgent team's tasks.
    #[must_use]
    pub fn with_longest_gaps(mut self, longest_gap_ms: BTreeMap<String, u64>) -> Self {
        self.longest_gap_ms = longest_gap_ms;
        self
    }

    /// Returns whether nothing was lost or ran in duplicate, no capacity or limit was exceeded, and
    /// every workload finished at least once.
    pub fn is_clean(&self) -> bool {
        let rows_clean = self
            .workloads
            .iter()
            .all(|row| row.lost == 0 && row.doubled == 0 && row.finished > 0);
        rows_clean
            && self.overcommitted.is_empty()
            && self.beyond_limit.is_empty()
            && self.doubled.is_empty()
    }

    /// Prints the report as text or JSON.
    pub fn print(&self, json: bool) {
        if json {
            println!("{}", serde_json::to_string_pretty(self).unwrap_or_default());
            return;
        }
        println!(
            "{:24} {:>8} {:>8} {:>8} {:>8} {:>8} {:>9} {:>9} {:>5} {:>8}",
            "workload",
            "accepted",
            "finished",
            "refused",
            "unknown",
            "pending",
            "p50 wait",
            "p99 wait",
            "lost",
            "doubled"
        );
        for row in &self.workloads {
            println!(
                "{:24} {:>8} {:>8} {:>8} {:>8} {:>8} {:>6} ms {:>6} ms {:>5} {:>8}",
                row.workload,
                row.accepted,
                row.finished,
                row.refused,
                row.unknown,
                row.pending,
                row.wait_p50_ms,
                row.wait_p99_ms,
                row.lost,
                row.doubled
            );
            if !row.problems.is_empty() {
                println!("    {:?}", row.problems);
            }
        }
        println!(
            "overcommitted upstreams: {}",
            join_names(&self.overcommitted)
        );
        println!("teams over their limit: {}", join_names(&self.beyond_limit));
        println!(
            "longest time between urgent starts, in ms: {:?}",
            self.longest_gap_ms
        );
        let overhead = &self.overhead;
        println!(
            "one entry host answers {} quick requests per second",
            overhead.one_host_requests_per_s
        );
        println!(
            "quick request: p50 {} us, p99 {} us; directly to the upstream: p50 {} us, p99 {} us",
            overhead.system_us.p50,
            overhead.system_us.p99,
            overhead.direct_us.p50,
            overhead.direct_us.p99
        );
    }
}

fn join_names(names: &[String]) -> String {
    if names.is_empty() {
        "none".to_owned()
    } else {
        names.join(", ")
    }
}

fn workload_row(
    results: &WorkloadResults,
    runs: &BTreeMap<&str, Vec<&RunRecord>>,
    violations: &RunViolations,
) -> WorkloadRow {
    let count = |result: SubmissionResult| {
        results
            .submissions
            .iter()
            .filter(|submission| submission.result == result)
            .count()
    };
    let waits = wait_histogram(results, runs);
    let lost = results
        .submissions
        .iter()
        .filter(|submission| is_lost(submission, results.mode, runs))
        .count();
    let doubled = results
        .submissions
        .iter()
        .filter(|submission| is_doubled(submission, violations))
        .count();
    let refused = count(SubmissionResult::Refused);
    WorkloadRow {
        workload: results.workload,
        accepted: results.submissions.len() - refused,
        finished: count(SubmissionResult::Finished),
        refused,
        unknown: count(SubmissionResult::Unknown),
        pending: count(SubmissionResult::Pending),
        wait_p50_ms: waits.value_at_quantile(0.5),
        wait_p99_ms: waits.value_at_quantile(0.99),
        lost,
        doubled,
        problems: results.problems.clone(),
    }
}

/// Returns the times from submission to the first start, in milliseconds.
fn wait_histogram(
    results: &WorkloadResults,
    runs: &BTreeMap<&str, Vec<&RunRecord>>,
) -> Histogram<u64> {
    let mut waits = Histogram::new(3).expect("three digits are a valid precision");
    for submission in &results.submissions {
        let records = submission.id.as_deref().and_then(|id| runs.get(id));
        let first =
            records.and_then(|records| records.iter().map(|record| record.started_ms).min());
        if let Some(first) = first {
            waits.saturating_record(first.saturating_sub(submission.submitted_ms));
        }
    }
    waits
}

/// Returns whether a finished submission has fewer successfully ended runs than tasks (for a
/// service: stopped runs), or whether an accepted submission is missing or an answer was wrong.
fn is_lost(
    submission: &Submission,
    mode: SubmitMode,
    runs: &BTreeMap<&str, Vec<&RunRecord>>,
) -> bool {
    let Some(id) = submission.id.as_deref() else {
        return submission.result == SubmissionResult::LostOrWrong;
    };
    let expected_outcome = if mode == SubmitMode::Service {
        FinishOutcome::Stopped
    } else {
        FinishOutcome::Completed
    };
    let records = runs.get(id).map_or(&[][..], Vec::as_slice);
    let ended_runs = records
        .iter()
        .filter(|record| record.outcome == Some(expected_outcome))
        .count();
    match submission.result {
        SubmissionResult::Finished => ended_runs < submission.tasks as usize,
        SubmissionResult::LostOrWrong => true,
        SubmissionResult::Refused | SubmissionResult::Unknown | SubmissionResult::Pending => false,
    }
}

/// Returns whether a task of a submission has duplicate runs.
fn is_doubled(submission: &Submission, violations: &RunViolations) -> bool {
    let id = submission.id.as_deref().unwrap_or_default();
    violations.doubled.iter().any(|task| {
        task.rsplit_once('/')
            .is_some_and(|(submission_id, _)| submission_id == id)
    })
}
