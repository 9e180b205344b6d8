//! The table of a run.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use lagoonnotch_standin::{RunRecord, RunViolations};
use lagoonnotch_wire::upstream::FinishOutcome;
use serde::Serialize;

use crate::local::driver::{PathOverhead, RunResults, SubmittedWork, WorkResult, WorkloadResults};
use crate::local::plan::SubmitWay;

/// One line of the table.
#[derive(Clone, Debug, Serialize)]
struct WorkloadLine {
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

/// What a run showed, judged by the upstreams' records.
#[derive(Clone, Debug, Serialize)]
pub(super) struct LocalReport {
    workloads: Vec<WorkloadLine>,
    overcommitted: Vec<String>,
    beyond_limit: Vec<String>,
    doubled: Vec<String>,
    overhead: PathOverhead,
    /// Longest time between two starts of the most urgent workload, by failure domain.
    longest_gap_ms: BTreeMap<String, u64>,
}

impl LocalReport {
    /// Makes the report of a run.
    pub fn new(
        results: &RunResults,
        records: &[RunRecord],
        verdict: &RunViolations,
        overhead: PathOverhead,
    ) -> Self {
        let mut runs: BTreeMap<&str, Vec<&RunRecord>> = BTreeMap::new();
        for record in records {
            let work = record
                .task
                .rsplit_once('/')
                .map_or(record.task.as_str(), |(work, _)| work);
            runs.entry(work).or_default().push(record);
        }
        let lines = results
            .workloads
            .iter()
            .map(|results| workload_line(results, &runs, verdict));
        Self {
            workloads: lines.collect(),
            overcommitted: verdict.overcommitted.iter().cloned().collect(),
            beyond_limit: verdict.beyond_limit.iter().cloned().collect(),
            doubled: verdict.doubled.iter().cloned().collect(),
            overhead,
            longest_gap_ms: BTreeMap::new(),
        }
    }

    /// Adds the longest times between two starts of the most urgent workload.
    #[must_use]
    pub fn with_gaps(mut self, longest_gap_ms: BTreeMap<String, u64>) -> Self {
        self.longest_gap_ms = longest_gap_ms;
        self
    }

    /// Tells whether nothing was lost, doubled or overcommitted, and every workload finished once.
    pub fn is_clean(&self) -> bool {
        let lines = self
            .workloads
            .iter()
            .all(|line| line.lost == 0 && line.doubled == 0 && line.finished > 0);
        lines
            && self.overcommitted.is_empty()
            && self.beyond_limit.is_empty()
            && self.doubled.is_empty()
    }

    /// Prints the report.
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
        for line in &self.workloads {
            println!(
                "{:24} {:>8} {:>8} {:>8} {:>8} {:>8} {:>6} ms {:>6} ms {:>5} {:>8}",
                line.workload,
                line.accepted,
                line.finished,
                line.refused,
                line.unknown,
                line.pending,
                line.wait_p50_ms,
                line.wait_p99_ms,
                line.lost,
                line.doubled
            );
            if !line.problems.is_empty() {
                println!("    {:?}", line.problems);
            }
        }
        println!("overcommitted upstreams: {}", list(&self.overcommitted));
        println!("teams beyond their limit: {}", list(&self.beyond_limit));
        println!(
            "longest time between urgent starts, in ms: {:?}",
            self.longest_gap_ms
        );
        let overhead = &self.overhead;
        println!(
            "one entry host answers {} quick requests a second",
            overhead.one_host_requests_per_s
        );
        println!(
            "quick request: p50 {} us, p99 {} us; straight to the upstream: p50 {} us, p99 {} us",
            overhead.system_us.p50,
            overhead.system_us.p99,
            overhead.direct_us.p50,
            overhead.direct_us.p99
        );
    }
}

fn list(names: &[String]) -> String {
    if names.is_empty() {
        "none".to_owned()
    } else {
        names.join(", ")
    }
}

fn workload_line(
    results: &WorkloadResults,
    runs: &BTreeMap<&str, Vec<&RunRecord>>,
    verdict: &RunViolations,
) -> WorkloadLine {
    let count = |result: WorkResult| {
        results
            .works
            .iter()
            .filter(|work| work.result == result)
            .count()
    };
    let waits = waiting_times(results, runs);
    let lost = results
        .works
        .iter()
        .filter(|work| is_lost(work, results.way, runs))
        .count();
    let doubled = results
        .works
        .iter()
        .filter(|work| is_doubled(work, verdict))
        .count();
    let refused = count(WorkResult::Refused);
    WorkloadLine {
        workload: results.workload,
        accepted: results.works.len() - refused,
        finished: count(WorkResult::Finished),
        refused,
        unknown: count(WorkResult::Unknown),
        pending: count(WorkResult::Pending),
        wait_p50_ms: waits.value_at_quantile(0.5),
        wait_p99_ms: waits.value_at_quantile(0.99),
        lost,
        doubled,
        problems: results.problems.clone(),
    }
}

/// Returns the times from submission to the first start.
fn waiting_times(
    results: &WorkloadResults,
    runs: &BTreeMap<&str, Vec<&RunRecord>>,
) -> Histogram<u64> {
    let mut waits = Histogram::new(3).expect("three digits are a valid precision");
    for work in &results.works {
        let records = work.id.as_deref().and_then(|id| runs.get(id));
        let first =
            records.and_then(|records| records.iter().map(|record| record.started_ms).min());
        if let Some(first) = first {
            waits.saturating_record(first.saturating_sub(work.submitted_ms));
        }
    }
    waits
}

/// Tells whether finished work lacks its runs, or accepted work is not known any more.
fn is_lost(work: &SubmittedWork, way: SubmitWay, runs: &BTreeMap<&str, Vec<&RunRecord>>) -> bool {
    let Some(id) = work.id.as_deref() else {
        return work.result == WorkResult::Missing;
    };
    let expected = if way == SubmitWay::Service {
        FinishOutcome::Stopped
    } else {
        FinishOutcome::Completed
    };
    let records = runs.get(id).map_or(&[][..], Vec::as_slice);
    let ended = records
        .iter()
        .filter(|record| record.outcome == Some(expected))
        .count();
    match work.result {
        WorkResult::Finished => ended < work.tasks as usize,
        WorkResult::Missing => true,
        WorkResult::Refused | WorkResult::Unknown | WorkResult::Pending => false,
    }
}

fn is_doubled(work: &SubmittedWork, verdict: &RunViolations) -> bool {
    let id = work.id.as_deref().unwrap_or_default();
    verdict
        .doubled
        .iter()
        .any(|task| task.rsplit_once('/').is_some_and(|(work, _)| work == id))
}
