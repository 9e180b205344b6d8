//! What the sample run of each deployment submits.

use lagoonnotch_standin::CellProfile;

/// How a workload reaches the system.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum SubmitWay {
    /// A quick request whose caller waits.
    Request,
    /// A quick request that must run at most once, under an issued identifier.
    SingleRequest,
    /// A job that ends by itself.
    Job,
    /// A job that runs until it is cancelled.
    Service,
}

/// A sample of one workload.
#[derive(Clone, Debug)]
pub(super) struct WorkloadPlan {
    pub workload: &'static str,
    pub team: &'static str,
    pub way: SubmitWay,
    /// Time between two submissions, in milliseconds.
    pub every_ms: u64,
    /// Most submissions.
    pub most: usize,
    pub tasks: u32,
    pub payload: &'static str,
}

/// The sample of a deployment.
#[derive(Clone, Debug)]
pub(super) struct DeploymentPlan {
    pub profile: CellProfile,
    /// The sample document.
    pub document: &'static str,
    pub workloads: Vec<WorkloadPlan>,
}

impl DeploymentPlan {
    /// Returns the plan of a deployment.
    pub fn by_name(name: &str) -> Option<Self> {
        let profile = CellProfile::by_name(name)?;
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

/// Returns the key of a team in the sample documents.
pub(super) fn sample_key(team: &str) -> String {
    format!("sample-key-of-{team}")
}

fn bronach_workloads() -> Vec<WorkloadPlan> {
    vec![
        plan(
            "mesh-tension-check",
            "mesh-tension",
            SubmitWay::Request,
            10,
            5000,
            1,
            "run-ms=20",
        ),
        plan(
            "yield-ledger-run",
            "yield-ledger",
            SubmitWay::SingleRequest,
            100,
            500,
            1,
            "run-ms=50",
        ),
        plan(
            "droplet-imaging-batch",
            "droplet-imaging",
            SubmitWay::Job,
            500,
            60,
            6,
            "run-ms=1500",
        ),
        plan(
            "mist-map-assembly",
            "mist-maps",
            SubmitWay::Job,
            1000,
            20,
            4,
            "run-ms=800",
        ),
        plan(
            "moisture-watcher",
            "moisture-watch",
            SubmitWay::Service,
            300,
            30,
            1,
            "run-ms=forever",
        ),
    ]
}

fn deepmala_workloads() -> Vec<WorkloadPlan> {
    vec![
        plan(
            "lantern-quote",
            "lantern-quotes",
            SubmitWay::Request,
            10,
            5000,
            1,
            "run-ms=20",
        ),
        plan(
            "stock-count",
            "stock-counts",
            SubmitWay::SingleRequest,
            100,
            500,
            1,
            "run-ms=50",
        ),
        plan(
            "festival-lighting-plan",
            "festival-lighting",
            SubmitWay::Job,
            1000,
            20,
            4,
            "run-ms=800",
        ),
        plan(
            "photo-check",
            "photo-checks",
            SubmitWay::Job,
            300,
            80,
            3,
            "run-ms=300",
        ),
        plan(
            "hire-ledger-service",
            "hire-ledger",
            SubmitWay::Service,
            500,
            20,
            1,
            "run-ms=forever",
        ),
    ]
}

fn plan(
    workload: &'static str,
    team: &'static str,
    way: SubmitWay,
    every_ms: u64,
    most: usize,
    tasks: u32,
    payload: &'static str,
) -> WorkloadPlan {
    WorkloadPlan {
        workload,
        team,
        way,
        every_ms,
        most,
        tasks,
        payload,
    }
}
