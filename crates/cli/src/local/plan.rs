//! Sample load of each deployment.

use lagoonnotch_standin::PlatformProfile;

/// How a workload is submitted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum SubmitMode {
    /// A quick request whose caller waits for the answer.
    Request,
    /// A quick request that may run at most once, with an identifier issued beforehand.
    AtMostOnceRequest,
    /// A job that ends on its own.
    Job,
    /// A job that runs until it is cancelled.
    Service,
}

/// Submissions of one workload.
#[derive(Clone, Debug)]
pub(super) struct WorkloadPlan {
    pub workload: &'static str,
    pub team: &'static str,
    pub mode: SubmitMode,
    /// Time between two submissions, in milliseconds.
    pub interval_ms: u64,
    /// Maximum number of submissions.
    pub max_submissions: usize,
    pub tasks: u32,
    pub payload: &'static str,
}

/// Sample load of one deployment.
#[derive(Clone, Debug)]
pub(super) struct DeploymentPlan {
    pub profile: PlatformProfile,
    /// The sample document.
    pub document: &'static str,
    /// Workloads; the first is the urgent one, used by trials and latency measurements.
    pub workloads: Vec<WorkloadPlan>,
}

impl DeploymentPlan {
    /// Returns the plan of the named deployment.
    pub fn by_name(name: &str) -> Option<Self> {
        let profile = PlatformProfile::by_name(name)?;
        let (document, workloads) = match name {
            "bronach" => (
                include_str!("../../../../examples/bronach.json"),
                bronach_workloads(),
            ),
            _ => (
                include_str!("../../../../examples/deepmala.json"),
                deepmala_workloads(),
            ),
        };
        Some(Self {
            profile,
            document,
            workloads,
        })
    }
}

/// Returns the key that the sample documents set for a team.
pub(super) fn sample_key(team: &str) -> String {
    format!("sample-key-of-{team}")
}

fn bronach_workloads() -> Vec<WorkloadPlan> {
    vec![
        workload_plan(
            "mesh-tension-check",
            "mesh-tension",
            SubmitMode::Request,
            10,
            5000,
            1,
            "run-ms=20",
        ),
        workload_plan(
            "yield-ledger-run",
            "yield-ledger",
            SubmitMode::AtMostOnceRequest,
            100,
            500,
            1,
            "run-ms=50",
        ),
        workload_plan(
            "droplet-imaging-batch",
            "droplet-imaging",
            SubmitMode::Job,
            500,
            60,
            6,
            "run-ms=1500",
        ),
        workload_plan(
            "mist-map-assembly",
            "mist-maps",
            SubmitMode::Job,
            1000,
            20,
            4,
            "run-ms=800",
        ),
        workload_plan(
            "moisture-watcher",
            "moisture-watch",
            SubmitMode::Service,
            300,
            30,
            1,
            "run-ms=forever",
        ),
    ]
}

fn deepmala_workloads() -> Vec<WorkloadPlan> {
    vec![
        workload_plan(
            "lantern-quote",
            "lantern-quotes",
            SubmitMode::Request,
            10,
            5000,
            1,
            "run-ms=20",
        ),
        workload_plan(
            "stock-count",
            "stock-counts",
            SubmitMode::AtMostOnceRequest,
            100,
            500,
            1,
            "run-ms=50",
        ),
        workload_plan(
            "festival-lighting-plan",
            "festival-lighting",
            SubmitMode::Job,
            1000,
            20,
            4,
            "run-ms=800",
        ),
        workload_plan(
            "photo-check",
            "photo-checks",
            SubmitMode::Job,
            300,
            80,
            3,
            "run-ms=300",
        ),
        workload_plan(
            "hire-ledger-service",
            "hire-ledger",
            SubmitMode::Service,
            500,
            20,
            1,
            "run-ms=forever",
        ),
    ]
}

fn workload_plan(
    workload: &'static str,
    team: &'static str,
    mode: SubmitMode,
    interval_ms: u64,
    max_submissions: usize,
    tasks: u32,
    payload: &'static str,
) -> WorkloadPlan {
    WorkloadPlan {
        workload,
        team,
        mode,
        interval_ms,
        max_submissions,
        tasks,
        payload,
    }
}
