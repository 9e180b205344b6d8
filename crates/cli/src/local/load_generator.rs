//! Submits the sample load of a deployment and collects the results.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use eyre::{Result, eyre};
use hdrhistogram::Histogram;
use hyper::Method;
use lagoonnotch::document::parse_document;
use lagoonnotch_standin::MonotonicClock;
use lagoonnotch_wire::caller::{
    JobAccepted, JobState, JobStatus, JobSubmission, ProblemBody, RequestIds, WorkOutcome,
};
use lagoonnotch_wire::document::SectionValue;
use lagoonnotch_wire::upstream::ResourceSize;
use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, interval, sleep};

use crate::api_client::{ApiCall, ApiClient};
use crate::local::plan::{DeploymentPlan, SubmitMode, WorkloadPlan, sample_key};
use crate::local::platform_probe::PlatformProbe;

/// Time limit for jobs to end after the last submission.
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(15);

/// Time between two polls of unfinished jobs.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Time between two progress lines.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// Number of requests sent on each path to compare latencies.
const LATENCY_SAMPLES: usize = 300;

/// Number of concurrent callers when the request rate of one host is measured.
const RATE_CONCURRENCY: usize = 64;

/// Time for which the request rate of one host is measured.
const RATE_DURATION: Duration = Duration::from_secs(3);

/// Result of one submission.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum SubmissionResult {
    /// The work ran to its end, successfully or not; a service ran until it was cancelled.
    Finished,
    /// It was refused and did not run.
    Refused,
    /// Its outcome is unknown or unexpected; it may have run.
    Unknown,
    /// The job is still waiting or running.
    Pending,
    /// An accepted job is unknown to the system, or an answer is wrong.
    LostOrWrong,
}

/// One submission.
#[derive(Clone, Debug)]
pub(super) struct Submission {
    /// Identifier, if the system gave one.
    pub id: Option<String>,
    pub submitted_ms: u64,
    pub tasks: u32,
    pub result: SubmissionResult,
}

/// Submissions of one workload and their results.
#[derive(Clone, Debug)]
pub(super) struct WorkloadResults {
    pub workload: &'static str,
    pub mode: SubmitMode,
    pub submissions: Vec<Submission>,
    /// Number of problems by code.
    pub problems: BTreeMap<String, u64>,
}

/// Results of the sample load, in the order of the plan's workloads.
#[derive(Clone, Debug)]
pub(super) struct LoadResults {
    pub workloads: Vec<WorkloadResults>,
}

impl LoadResults {
    /// Returns the identifiers of submissions whose tasks may run at most once.
    pub fn at_most_once(&self) -> BTreeSet<String> {
        let at_most_once = self.workloads.iter().filter(|results| {
            results.mode == SubmitMode::AtMostOnceRequest || results.workload == "photo-check"
        });
        at_most_once
            .flat_map(|results| {
                results
                    .submissions
                    .iter()
                    .filter_map(|submission| submission.id.clone())
            })
            .collect()
    }
}

/// Latency on one path, in microseconds.
#[derive(Clone, Copy, Debug, serde::Serialize)]
pub(super) struct PathLatency {
    pub p50: u64,
    pub p99: u64,
}

/// Latencies of the same quick request through an entry host and directly to an upstream.
#[derive(Clone, Copy, Debug, serde::Serialize)]
pub(super) struct PathOverhead {
    pub system_us: PathLatency,
    pub direct_us: PathLatency,
    /// Quick requests that one entry host answers per second.
    pub one_host_requests_per_s: u64,
}

/// Submits the sample load of a deployment.
pub(super) struct LoadGenerator<'a> {
    plan: &'a DeploymentPlan,
    probe: &'a PlatformProbe,
    clients: Arc<Vec<ApiClient>>,
    clock: MonotonicClock,
}

/// Submits one workload and collects its results.
#[derive(Clone)]
struct WorkloadLoad {
    plan: WorkloadPlan,
    clients: Arc<Vec<ApiClient>>,
    clock: MonotonicClock,
    results: Arc<Mutex<WorkloadResults>>,
    next_client: Arc<AtomicU64>,
}

impl<'a> LoadGenerator<'a> {
    /// Creates a load generator that calls the entry hosts in turn.
    pub fn new(
        caller_addresses: &[SocketAddr],
        plan: &'a DeploymentPlan,
        probe: &'a PlatformProbe,
    ) -> Self {
        let clients = caller_addresses.iter().map(ApiClient::new).collect();
        Self {
            plan,
            probe,
            clients: Arc::new(clients),
            clock: probe.clock(),
        }
    }

    /// Submits for the given time, then waits for the jobs to end, up to a time limit.
    pub async fn run(&self, time: Duration) -> LoadResults {
        let loads: Vec<WorkloadLoad> = self
            .plan
            .workloads
            .iter()
            .map(|plan| self.workload_load(plan))
            .collect();
        let mut tasks = JoinSet::new();
        for load in &loads {
            tasks.spawn(load.clone().submit_all(time));
        }
        let progress = tokio::spawn(print_progress(loads.clone()));
        while tasks.join_next().await.is_some() {}
        self.wait_for_jobs(&loads).await;
        progress.abort();
        let results = loads.iter().map(|load| load.lock().clone()).collect();
        LoadResults { workloads: results }
    }

    /// Measures a quick request through an entry host and directly to an upstream.
    pub async fn measure_overhead(&self) -> PathOverhead {
        let plan = &self.plan.workloads[0];
        let path = format!("/v1/requests?workload={}", plan.workload);
        let call = ApiCall::new(Method::POST, path)
            .key(&sample_key(plan.team))
            .body("run-ms=0");
        let system = measure_latency(&self.clients[0], &call).await;
        let upstream = self.probe.hosts[0].address.as_str();
        let direct = measure_latency(
            &ApiClient::new(upstream),
            &ApiCall::new(Method::POST, "/v1/echo").body("run-ms=0"),
        )
        .await;
        PathOverhead {
            system_us: path_latency(&system),
            direct_us: path_latency(&direct),
            one_host_requests_per_s: measure_request_rate(&self.clients[0], &call).await,
        }
    }

    fn workload_load(&self, plan: &WorkloadPlan) -> WorkloadLoad {
        let results = WorkloadResults {
            workload: plan.workload,
            mode: plan.mode,
            submissions: Vec::new(),
            problems: BTreeMap::new(),
        };
        WorkloadLoad {
            plan: plan.clone(),
            clients: Arc::clone(&self.clients),
            clock: self.clock,
            results: Arc::new(Mutex::new(results)),
            next_client: Arc::default(),
        }
    }

    /// Polls the jobs until they have ended, and cancels services as soon as they run.
    async fn wait_for_jobs(&self, loads: &[WorkloadLoad]) {
        let deadline = Instant::now() + COMPLETION_TIMEOUT;
        while Instant::now() < deadline {
            let mut pending = 0;
            for load in loads {
                pending += load.poll_jobs().await;
            }
            if pending == 0 {
                return;
            }
            sleep(POLL_INTERVAL).await;
        }
    }
}

impl WorkloadLoad {
    /// Submits at the workload's interval until the time is over or the maximum is reached.
    async fn submit_all(self, time: Duration) {
        let mut timer = interval(Duration::from_millis(self.plan.interval_ms));
        timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let deadline = Instant::now() + time;
        let mut tasks = JoinSet::new();
        for _ in 0..self.plan.max_submissions {
            timer.tick().await;
            if Instant::now() >= deadline {
                break;
            }
            tasks.spawn(self.clone().submit());
        }
        while tasks.join_next().await.is_some() {}
    }

    async fn submit(self) {
        let submitted_ms = self.clock.now_ms();
        let (id, result) = match self.plan.mode {
            SubmitMode::Request => self.send_request(None).await,
            SubmitMode::AtMostOnceRequest => self.send_at_most_once_request().await,
            SubmitMode::Job | SubmitMode::Service => self.submit_job().await,
        };
        let submission = Submission {
            id,
            submitted_ms,
            tasks: self.plan.tasks,
            result,
        };
        self.lock().submissions.push(submission);
    }

    async fn send_request(&self, id: Option<String>) -> (Option<String>, SubmissionResult) {
        let path = format!("/v1/requests?workload={}", self.plan.workload);
        let mut call = ApiCall::new(Method::POST, path)
            .key(&sample_key(self.plan.team))
            .body(self.plan.payload);
        if let Some(id) = &id {
            call = call.header("idempotency-key", id);
        }
        match self.client().call(call).await {
            Ok(response) if response.body.ends_with(self.plan.payload.as_bytes()) => {
                (response.request_id, SubmissionResult::Finished)
            }
            Ok(_) => {
                self.count_problem("wrong_answer");
                (id, SubmissionResult::LostOrWrong)
            }
            Err(problem) => (id.or(problem.id.clone()), self.problem_result(&problem)),
        }
    }

    async fn send_at_most_once_request(&self) -> (Option<String>, SubmissionResult) {
        let call = ApiCall::new(Method::POST, "/v1/request-ids").key(&sample_key(self.plan.team));
        let ids = self
            .client()
            .call(call)
            .await
            .and_then(|response| response.parse::<RequestIds>());
        match ids {
            Ok(ids) => self.send_request(ids.ids.into_iter().next()).await,
            Err(problem) => {
                self.problem_result(&problem);
                (None, SubmissionResult::Refused)
            }
        }
    }

    async fn submit_job(&self) -> (Option<String>, SubmissionResult) {
        let submission = JobSubmission {
            payload: self.plan.payload.to_owned(),
            size: None,
            tasks: self.plan.tasks,
            team: None,
            workload: self.plan.workload.to_owned(),
        };
        let call = ApiCall::new(Method::POST, "/v1/jobs")
            .key(&sample_key(self.plan.team))
            .json(&submission);
        match self
            .client()
            .call(call)
            .await
            .and_then(|response| response.parse::<JobAccepted>())
        {
            Ok(accepted) => (Some(accepted.id), SubmissionResult::Pending),
            Err(problem) => (problem.id.clone(), self.problem_result(&problem)),
        }
    }

    /// Polls the pending jobs and returns how many are still pending.
    async fn poll_jobs(&self) -> usize {
        let submissions = self.lock().submissions.clone();
        let mut pending = 0;
        for (index, submission) in submissions
            .iter()
            .enumerate()
            .filter(|(_, submission)| submission.result == SubmissionResult::Pending)
        {
            let Some(id) = &submission.id else {
                continue;
            };
            let result = self.poll_job(id).await;
            pending += usize::from(result == SubmissionResult::Pending);
            self.lock().submissions[index].result = result;
        }
        pending
    }

    async fn poll_job(&self, id: &str) -> SubmissionResult {
        let call =
            ApiCall::new(Method::GET, format!("/v1/jobs/{id}")).key(&sample_key(self.plan.team));
        let status = self
            .client()
            .call(call)
            .await
            .and_then(|response| response.parse::<JobStatus>());
        match status {
            Ok(status) => self.job_result(id, &status).await,
            Err(problem) if problem.code == "unknown_work" => {
                self.count_problem("unknown_work");
                SubmissionResult::LostOrWrong
            }
            Err(_) => SubmissionResult::Pending,
        }
    }

    async fn job_result(&self, id: &str, status: &JobStatus) -> SubmissionResult {
        match (self.plan.mode, status.state) {
            (SubmitMode::Service, JobState::Running) => {
                let call = ApiCall::new(Method::DELETE, format!("/v1/jobs/{id}"))
                    .key(&sample_key(self.plan.team));
                let _ = self.client().call(call).await;
                SubmissionResult::Pending
            }
            (SubmitMode::Service, JobState::Cancelled) | (_, JobState::Finished) => {
                SubmissionResult::Finished
            }
            (_, JobState::Waiting | JobState::Running) => SubmissionResult::Pending,
            (_, state) => {
                self.count_problem(&state.to_string());
                SubmissionResult::Unknown
            }
        }
    }

    fn client(&self) -> &ApiClient {
        let index = self.next_client.fetch_add(1, Ordering::Relaxed);
        &self.clients[usize::try_from(index).unwrap_or(0) % self.clients.len()]
    }

    fn problem_result(&self, problem: &ProblemBody) -> SubmissionResult {
        self.count_problem(&problem.code);
        match problem.outcome {
            WorkOutcome::NotRun => SubmissionResult::Refused,
            WorkOutcome::Unknown => SubmissionResult::Unknown,
            WorkOutcome::Done => SubmissionResult::Finished,
        }
    }

    fn count_problem(&self, code: &str) {
        *self.lock().problems.entry(code.to_owned()).or_default() += 1;
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, WorkloadResults> {
        self.results.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn print_progress(loads: Vec<WorkloadLoad>) {
    let mut timer = interval(PROGRESS_INTERVAL);
    loop {
        timer.tick().await;
        let counts: Vec<String> = loads
            .iter()
            .map(|load| {
                let results = load.lock();
                let finished = results
                    .submissions
                    .iter()
                    .filter(|submission| submission.result == SubmissionResult::Finished)
                    .count();
                format!(
                    "{} {finished}/{}",
                    results.workload,
                    results.submissions.len()
                )
            })
            .collect();
        eprintln!("finished: {}", counts.join(", "));
    }
}

fn path_latency(times: &Histogram<u64>) -> PathLatency {
    PathLatency {
        p50: times.value_at_quantile(0.5),
        p99: times.value_at_quantile(0.99),
    }
}

/// Returns how many successful calls per second one host answers to concurrent callers.
async fn measure_request_rate(client: &ApiClient, call: &ApiCall) -> u64 {
    let deadline = Instant::now() + RATE_DURATION;
    let mut callers = JoinSet::new();
    for _ in 0..RATE_CONCURRENCY {
        let (client, call) = (client.clone(), call.clone());
        callers.spawn(async move {
            let mut answered = 0;
            while Instant::now() < deadline {
                answered += u64::from(client.call(call.clone()).await.is_ok());
            }
            answered
        });
    }
    let answered: u64 = callers.join_all().await.into_iter().sum();
    answered / RATE_DURATION.as_secs()
}

async fn measure_latency(client: &ApiClient, call: &ApiCall) -> Histogram<u64> {
    let mut times = Histogram::new(3).expect("three digits are a valid precision");
    for _ in 0..LATENCY_SAMPLES {
        let start = Instant::now();
        if client.call(call.clone()).await.is_ok() {
            times.saturating_record(u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX));
        }
    }
    times
}

/// Returns the team limits in a document.
pub(super) fn team_limits(document: &str) -> Result<BTreeMap<String, ResourceSize>> {
    let document = parse_document(document).map_err(|findings| eyre!("{findings}"))?;
    let limits = document
        .changes
        .iter()
        .filter_map(|change| match &change.value {
            Some(SectionValue::Team { limit, .. }) => {
                let team = change.section.trim_start_matches("team/").to_owned();
                let size = ResourceSize {
                    accelerators: limit.accelerators,
                    cpu_milli: limit.cpu_milli,
                    memory_mib: limit.memory_mib,
                };
                Some((team, size))
            }
            _ => None,
        });
    Ok(limits.collect())
}
