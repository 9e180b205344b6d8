//! Submits the sample work and collects what came of it.

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
use crate::local::plan::{DeploymentPlan, SubmitWay, WorkloadPlan, sample_key};
use crate::local::platform_probe::PlatformProbe;

/// Longest time that the run waits for jobs to end after the last submission.
const SETTLE_TIME: Duration = Duration::from_secs(15);

/// Time between two looks at unfinished jobs.
const LOOK_PAUSE: Duration = Duration::from_millis(200);

/// Time between two lines of progress.
const PROGRESS_TIME: Duration = Duration::from_secs(1);

/// Requests of the comparison with the direct way.
const OVERHEAD_REQUESTS: usize = 300;

/// Callers of the measurement of one host's rate.
const RATE_CALLERS: usize = 64;

/// Time of the measurement of one host's rate.
const RATE_TIME: Duration = Duration::from_secs(3);

/// What became of one submission.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum WorkResult {
    /// The answer arrived, or the job ended as it should.
    Finished,
    /// The work surely did not run.
    Refused,
    /// The work may or may not have run.
    Unknown,
    /// The job waits or runs still.
    Pending,
    /// An accepted job is not known any more.
    Missing,
}

/// One submission.
#[derive(Clone, Debug)]
pub(super) struct SubmittedWork {
    /// Identifier, where the system named one.
    pub id: Option<String>,
    pub submitted_ms: u64,
    pub tasks: u32,
    pub result: WorkResult,
}

/// The submissions of one workload.
#[derive(Clone, Debug)]
pub(super) struct WorkloadResults {
    pub workload: &'static str,
    pub way: SubmitWay,
    pub works: Vec<SubmittedWork>,
    /// Refusals and unknown outcomes by code.
    pub problems: BTreeMap<String, u64>,
}

/// All submissions of a run.
#[derive(Clone, Debug)]
pub(super) struct RunResults {
    pub workloads: Vec<WorkloadResults>,
}

impl RunResults {
    /// Returns the works that may run at most once.
    pub fn run_once(&self) -> BTreeSet<String> {
        let single = self.workloads.iter().filter(|results| {
            results.way == SubmitWay::SingleRequest || results.workload == "photo-check"
        });
        single
            .flat_map(|results| results.works.iter().filter_map(|work| work.id.clone()))
            .collect()
    }
}

/// Times of one way, in microseconds.
#[derive(Clone, Copy, Debug, serde::Serialize)]
pub(super) struct PathTimes {
    pub p50: u64,
    pub p99: u64,
}

/// Times of the same quick request through the system and straight to an upstream.
#[derive(Clone, Copy, Debug, serde::Serialize)]
pub(super) struct PathOverhead {
    pub system_us: PathTimes,
    pub direct_us: PathTimes,
    /// Quick requests that one entry host answers in a second.
    pub one_host_requests_per_s: u64,
}

/// Submits the sample work of a deployment.
pub(super) struct WorkDriver<'a> {
    plan: &'a DeploymentPlan,
    probe: &'a PlatformProbe,
    callers: Arc<Vec<ApiClient>>,
    clock: MonotonicClock,
}

/// Submissions of one workload that are under way.
#[derive(Clone)]
struct WorkloadRun {
    plan: WorkloadPlan,
    callers: Arc<Vec<ApiClient>>,
    clock: MonotonicClock,
    results: Arc<Mutex<WorkloadResults>>,
    next_caller: Arc<AtomicU64>,
}

impl<'a> WorkDriver<'a> {
    /// Makes a driver that spreads its calls over entry hosts.
    pub fn new(callers: &[SocketAddr], plan: &'a DeploymentPlan, probe: &'a PlatformProbe) -> Self {
        let callers = callers.iter().map(ApiClient::new).collect();
        Self {
            plan,
            probe,
            callers: Arc::new(callers),
            clock: probe.clock(),
        }
    }

    /// Submits for the given time and waits until everything has ended.
    pub async fn run(&self, time: Duration) -> RunResults {
        let runs: Vec<WorkloadRun> = self
            .plan
            .workloads
            .iter()
            .map(|plan| self.workload_run(plan))
            .collect();
        let mut tasks = JoinSet::new();
        for run in &runs {
            tasks.spawn(run.clone().submit_all(time));
        }
        let progress = tokio::spawn(print_progress(runs.clone()));
        while tasks.join_next().await.is_some() {}
        self.settle(&runs).await;
        progress.abort();
        let results = runs.iter().map(|run| run.lock().clone()).collect();
        RunResults { workloads: results }
    }

    /// Compares a quick request through the system with one straight to an upstream.
    pub async fn overhead(&self) -> PathOverhead {
        let plan = &self.plan.workloads[0];
        let through = format!("/v1/requests?workload={}", plan.workload);
        let call = ApiCall::new(Method::POST, through)
            .key(&sample_key(plan.team))
            .body("run-ms=0");
        let system = measure(&self.callers[0], &call).await;
        let upstream = self.probe.hosts[0].address.as_str();
        let direct = measure(
            &ApiClient::new(upstream),
            &ApiCall::new(Method::POST, "/v1/echo").body("run-ms=0"),
        )
        .await;
        PathOverhead {
            system_us: path_times(&system),
            direct_us: path_times(&direct),
            one_host_requests_per_s: requests_per_s(&self.callers[0], &call).await,
        }
    }

    fn workload_run(&self, plan: &WorkloadPlan) -> WorkloadRun {
        let results = WorkloadResults {
            workload: plan.workload,
            way: plan.way,
            works: Vec::new(),
            problems: BTreeMap::new(),
        };
        WorkloadRun {
            plan: plan.clone(),
            callers: Arc::clone(&self.callers),
            clock: self.clock,
            results: Arc::new(Mutex::new(results)),
            next_caller: Arc::default(),
        }
    }

    /// Waits for the jobs, and cancels the services once they run.
    async fn settle(&self, runs: &[WorkloadRun]) {
        let deadline = Instant::now() + SETTLE_TIME;
        while Instant::now() < deadline {
            let mut pending = 0;
            for run in runs {
                pending += run.look_at_jobs().await;
            }
            if pending == 0 {
                return;
            }
            sleep(LOOK_PAUSE).await;
        }
    }
}

impl WorkloadRun {
    async fn submit_all(self, time: Duration) {
        let mut timer = interval(Duration::from_millis(self.plan.every_ms));
        timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let deadline = Instant::now() + time;
        let mut tasks = JoinSet::new();
        for _ in 0..self.plan.most {
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
        let (id, result) = match self.plan.way {
            SubmitWay::Request => self.request(None).await,
            SubmitWay::SingleRequest => self.single_request().await,
            SubmitWay::Job | SubmitWay::Service => self.job().await,
        };
        let work = SubmittedWork {
            id,
            submitted_ms,
            tasks: self.plan.tasks,
            result,
        };
        self.lock().works.push(work);
    }

    async fn request(&self, id: Option<String>) -> (Option<String>, WorkResult) {
        let path = format!("/v1/requests?workload={}", self.plan.workload);
        let mut call = ApiCall::new(Method::POST, path)
            .key(&sample_key(self.plan.team))
            .body(self.plan.payload);
        if let Some(id) = &id {
            call = call.header("idempotency-key", id);
        }
        match self.caller().call(call).await {
            Ok(answer) if answer.body.ends_with(self.plan.payload.as_bytes()) => {
                (answer.request_id, WorkResult::Finished)
            }
            Ok(_) => {
                self.note_problem("wrong_answer");
                (id, WorkResult::Missing)
            }
            Err(problem) => (id.or(problem.id.clone()), self.problem_result(&problem)),
        }
    }

    async fn single_request(&self) -> (Option<String>, WorkResult) {
        let call = ApiCall::new(Method::POST, "/v1/request-ids").key(&sample_key(self.plan.team));
        let ids = self
            .caller()
            .call(call)
            .await
            .and_then(|answer| answer.parse::<RequestIds>());
        match ids {
            Ok(ids) => self.request(ids.ids.into_iter().next()).await,
            Err(problem) => {
                self.problem_result(&problem);
                (None, WorkResult::Refused)
            }
        }
    }

    async fn job(&self) -> (Option<String>, WorkResult) {
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
            .caller()
            .call(call)
            .await
            .and_then(|answer| answer.parse::<JobAccepted>())
        {
            Ok(accepted) => (Some(accepted.id), WorkResult::Pending),
            Err(problem) => (problem.id.clone(), self.problem_result(&problem)),
        }
    }

    /// Looks at the pending jobs and returns how many are still pending.
    async fn look_at_jobs(&self) -> usize {
        let works = self.lock().works.clone();
        let mut pending = 0;
        for (index, work) in works
            .iter()
            .enumerate()
            .filter(|(_, work)| work.result == WorkResult::Pending)
        {
            let Some(id) = &work.id else {
                continue;
            };
            let result = self.look_at_job(id).await;
            pending += usize::from(result == WorkResult::Pending);
            self.lock().works[index].result = result;
        }
        pending
    }

    async fn look_at_job(&self, id: &str) -> WorkResult {
        let call =
            ApiCall::new(Method::GET, format!("/v1/jobs/{id}")).key(&sample_key(self.plan.team));
        let status = self
            .caller()
            .call(call)
            .await
            .and_then(|answer| answer.parse::<JobStatus>());
        match status {
            Ok(status) => self.job_result(id, &status).await,
            Err(problem) if problem.code == "unknown_work" => {
                self.note_problem("unknown_work");
                WorkResult::Missing
            }
            Err(_) => WorkResult::Pending,
        }
    }

    async fn job_result(&self, id: &str, status: &JobStatus) -> WorkResult {
        match (self.plan.way, status.state) {
            (SubmitWay::Service, JobState::Running) => {
                let call = ApiCall::new(Method::DELETE, format!("/v1/jobs/{id}"))
                    .key(&sample_key(self.plan.team));
                let _ = self.caller().call(call).await;
                WorkResult::Pending
            }
            (SubmitWay::Service, JobState::Cancelled) | (_, JobState::Finished) => {
                WorkResult::Finished
            }
            (_, JobState::Waiting | JobState::Running) => WorkResult::Pending,
            (_, state) => {
                self.note_problem(&state.to_string());
                WorkResult::Unknown
            }
        }
    }

    fn caller(&self) -> &ApiClient {
        let turn = self.next_caller.fetch_add(1, Ordering::Relaxed);
        &self.callers[usize::try_from(turn).unwrap_or(0) % self.callers.len()]
    }

    fn problem_result(&self, problem: &ProblemBody) -> WorkResult {
        self.note_problem(&problem.code);
        match problem.outcome {
            WorkOutcome::NotRun => WorkResult::Refused,
            WorkOutcome::Unknown => WorkResult::Unknown,
            WorkOutcome::Done => WorkResult::Finished,
        }
    }

    fn note_problem(&self, code: &str) {
        *self.lock().problems.entry(code.to_owned()).or_default() += 1;
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, WorkloadResults> {
        self.results.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn print_progress(runs: Vec<WorkloadRun>) {
    let mut timer = interval(PROGRESS_TIME);
    loop {
        timer.tick().await;
        let counts: Vec<String> = runs
            .iter()
            .map(|run| {
                let results = run.lock();
                let finished = results
                    .works
                    .iter()
                    .filter(|work| work.result == WorkResult::Finished)
                    .count();
                format!("{} {finished}/{}", results.workload, results.works.len())
            })
            .collect();
        eprintln!("finished: {}", counts.join(", "));
    }
}

fn path_times(times: &Histogram<u64>) -> PathTimes {
    PathTimes {
        p50: times.value_at_quantile(0.5),
        p99: times.value_at_quantile(0.99),
    }
}

/// Returns how many calls one host answers in a second, for many callers at once.
async fn requests_per_s(client: &ApiClient, call: &ApiCall) -> u64 {
    let deadline = Instant::now() + RATE_TIME;
    let mut callers = JoinSet::new();
    for _ in 0..RATE_CALLERS {
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
    answered / RATE_TIME.as_secs()
}

async fn measure(client: &ApiClient, call: &ApiCall) -> Histogram<u64> {
    let mut times = Histogram::new(3).expect("three digits are a valid precision");
    for _ in 0..OVERHEAD_REQUESTS {
        let start = Instant::now();
        if client.call(call.clone()).await.is_ok() {
            times.saturating_record(u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX));
        }
    }
    times
}

/// Returns the limits that the document sets.
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
