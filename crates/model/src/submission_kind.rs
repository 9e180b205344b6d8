//! Kinds of submissions, their arrival rates, and the pools that run them.

use std::sync::Arc;

use lagoonnotch_fleet::model::{
    PolicyTiming, QueuePolicy, ResourceSize, StepSpec, SubmissionRecord,
};

use crate::RandomSource;

/// Default of the maximum number of accelerators of a gang, so that it fits on the upstreams that
/// are allowed to run it in a small pool.
const MAX_GANG_ACCELERATORS: u64 = 16;

/// Bursts that start later than this belong to batch kinds, in milliseconds.
const BATCH_BURSTS_AFTER_MS: u64 = 15_000;

/// A log-normal distribution: mean, sigma (the standard deviation of the logarithm), and maximum.
/// Larger values are replaced by the maximum.
#[derive(Clone, Copy, Debug)]
pub struct LogNormal(pub f64, pub f64, pub f64);

impl LogNormal {
    fn sample(&self, source: &mut RandomSource) -> f64 {
        source.log_normal(self.0, self.1, self.2)
    }

    /// Draws an integer of at least 1.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "small positive numbers"
    )]
    fn sample_count(&self, source: &mut RandomSource) -> u64 {
        self.sample(source).round().max(1.0) as u64
    }
}

/// A kind of submission.
#[derive(Clone, Debug)]
pub struct SubmissionKind {
    /// Name of the kind and of its queue.
    pub name: &'static str,
    /// Pool that runs it.
    pub pool: &'static str,
    /// Priority of its queue; 0 comes first.
    pub priority: u32,
    /// Mean number of submissions per second.
    pub arrivals_per_s: f64,
    /// Value of a submission that completes on time.
    pub value: f64,
    /// Number of steps, which run one after the other.
    pub steps: LogNormal,
    /// Number of tasks of a step.
    pub tasks_per_step: LogNormal,
    /// CPU capacity of a task, in thousandths of a core.
    pub cpu_milli: LogNormal,
    /// Memory of a task, in mebibytes.
    pub memory_mib: LogNormal,
    /// Numbers of accelerators of a task, one of which is drawn for each step; empty for none.
    pub accelerator_choices: &'static [u64],
    /// Maximum number of accelerators of a gang.
    pub max_gang_accelerators: u64,
    /// Work of a task, in milliseconds at the normal speed.
    pub work_ms: LogNormal,
    /// Standard deviation of the logarithm of estimates around the real work.
    pub estimate_sigma: f64,
    /// Share of submissions in which the tasks of a step have to run at the same time.
    pub gang_share: f64,
    /// Whether tasks run until their submission is cancelled.
    pub long_running: bool,
    /// Share of submissions whose tasks write checkpoints.
    pub checkpointing_share: f64,
    /// Share of runs that fail without an injected fault.
    pub failing_run_share: f64,
    /// Share of submissions whose runs always fail.
    pub failing_submission_share: f64,
    /// Failed runs of a task after which its submission fails.
    pub max_attempts: u32,
    /// Factor of the critical path and the policy calls in the objective.
    pub stretch: f64,
    /// Constant part of the objective, in milliseconds.
    pub objective_ms: u64,
    /// Policy service of the queue.
    pub policy_service: PolicyTiming,
    /// Share of the upstreams that the policy service allows for a step.
    pub allowed_share: f64,
}

/// A period in which submissions of a kind arrive more often.
#[derive(Clone, Copy, Debug)]
pub struct Burst {
    /// Name of the kind.
    pub kind: &'static str,
    /// Start of the period after the start of the load, in milliseconds.
    pub start_ms: u64,
    /// Length of the period, in milliseconds.
    pub duration_ms: u64,
    /// Factor of the arrival rate.
    pub rate_factor: f64,
}

/// A pool of upstreams.
#[derive(Clone, Debug)]
pub struct PoolShape {
    /// Name of the pool.
    pub name: &'static str,
    /// Number of upstreams.
    pub upstream_count: u32,
    /// Capacity of an upstream with a capacity factor of 1.
    pub capacity: ResourceSize,
    /// Factors of CPU and memory capacity, assigned to the upstreams in turn.
    pub capacity_factors: &'static [f64],
    /// Factors of the speed, assigned to the upstreams in turn.
    pub speed_factors: &'static [f64],
    /// Number of upstreams in a rack.
    pub rack_size: u32,
}

/// Pools of upstreams and the submissions to them.
#[derive(Clone, Debug)]
pub struct LoadMix {
    /// Name of the mix.
    pub name: &'static str,
    /// Pools of upstreams.
    pub pools: Vec<PoolShape>,
    /// Kinds of submissions.
    pub kinds: Vec<SubmissionKind>,
    /// Periods in which submissions of a kind arrive more often.
    pub bursts: Vec<Burst>,
}

impl LoadMix {
    /// Returns the mix with the number of upstreams multiplied by `factor`; the number of
    /// submissions, their tasks per step and the size of tasks grow with it.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "small positive numbers"
    )]
    pub fn scaled(mut self, factor: f64) -> Self {
        for pool in &mut self.pools {
            pool.upstream_count = (f64::from(pool.upstream_count) * factor).round() as u32;
        }
        let cube_root = factor.cbrt();
        for kind in &mut self.kinds {
            kind.arrivals_per_s *= factor / cube_root / cube_root * 1.4;
            // Mean and maximum of the distributions.
            kind.tasks_per_step.0 *= cube_root;
            kind.tasks_per_step.2 *= cube_root;
            kind.cpu_milli.0 *= 1.0 + (cube_root - 1.0) / 3.0;
        }
        self
    }

    /// Returns the mix with a longer and earlier burst of its batch kind, which has many tasks per
    /// step and fills the pool.
    #[must_use]
    pub fn with_batch_burst(mut self, factor: f64) -> Self {
        for burst in &mut self.bursts {
            if burst.start_ms > BATCH_BURSTS_AFTER_MS {
                burst.start_ms = 6000;
                burst.duration_ms = 16_000;
                burst.rate_factor = factor;
            }
        }
        self
    }

    /// Returns the mix with the arrival rates of all kinds multiplied by `factor`.
    #[must_use]
    pub fn with_rate_factor(mut self, factor: f64) -> Self {
        for kind in &mut self.kinds {
            kind.arrivals_per_s *= factor;
        }
        self
    }

    /// Returns the factor of a kind's arrival rate at a time after the start of the load.
    #[must_use]
    pub fn burst_factor(&self, kind: &str, now: u64) -> f64 {
        self.bursts
            .iter()
            .filter(|burst| burst.kind == kind)
            .filter(|burst| (burst.start_ms..burst.start_ms + burst.duration_ms).contains(&now))
            .map(|burst| burst.rate_factor)
            .product()
    }

    /// Returns the load of a fog-water site: many short urgent `check`s, `ledger` steps with many
    /// tasks, `images` gangs and `map` tasks on accelerators, and long-running `watch` tasks.
    #[must_use]
    pub fn fog_site() -> Self {
        Self {
            name: "fog",
            pools: vec![
                PoolShape {
                    name: "operations",
                    upstream_count: 35,
                    capacity: ResourceSize::new(32_000, 131_072, 0),
                    capacity_factors: &[1.0, 1.0, 0.5, 2.0],
                    speed_factors: &[1.0, 1.0, 1.3],
                    rack_size: 5,
                },
                PoolShape {
                    name: "imaging",
                    upstream_count: 13,
                    capacity: ResourceSize::new(32_000, 65_536, 8),
                    capacity_factors: &[1.0],
                    speed_factors: &[1.0],
                    rack_size: 3,
                },
            ],
            kinds: vec![
                urgent_kind("check", 16.9, 0.62, 6.0, 2800.0, 5700.0),
                ledger_kind(
                    "ledger",
                    0.8,
                    4.66,
                    LogNormal(14.0, 0.8, 84.0),
                    6000.0,
                    17_000.0,
                    3600.0,
                ),
                gang_kind("images", 1.67, 3.58, 1.5, 15_000.0, 32_000.0, 400.0),
                long_running_kind("watch", 0.087, 2.86, 6.0, 7400.0, 27_000.0),
                map_kind(
                    "map",
                    1.39,
                    2.69,
                    LogNormal(8.0, 0.8, 48.0),
                    2800.0,
                    4100.0,
                    2400.0,
                ),
            ],
            bursts: vec![
                Burst {
                    kind: "check",
                    start_ms: 8500,
                    duration_ms: 4000,
                    rate_factor: 1.9,
                },
                Burst {
                    kind: "ledger",
                    start_ms: 22_000,
                    duration_ms: 4000,
                    rate_factor: 1.8,
                },
            ],
        }
    }

    /// Returns the load of a lantern-hire site: the same kinds with larger tasks on upstreams with
    /// less memory.
    #[must_use]
    pub fn hire_site() -> Self {
        Self {
            name: "hire",
            pools: vec![
                PoolShape {
                    name: "bookings",
                    upstream_count: 35,
                    capacity: ResourceSize::new(32_000, 65_536, 0),
                    capacity_factors: &[1.0, 1.0, 0.5, 2.0],
                    speed_factors: &[1.0],
                    rack_size: 5,
                },
                PoolShape {
                    name: "studio",
                    upstream_count: 13,
                    capacity: ResourceSize::new(64_000, 262_144, 8),
                    capacity_factors: &[1.0],
                    speed_factors: &[0.8, 1.0, 1.25],
                    rack_size: 3,
                },
            ],
            kinds: vec![
                SubmissionKind {
                    pool: "bookings",
                    ..urgent_kind("quote", 18.0, 0.57, 6.0, 2800.0, 5700.0)
                },
                SubmissionKind {
                    pool: "bookings",
                    ..ledger_kind(
                        "stock",
                        0.8,
                        4.55,
                        LogNormal(11.0, 0.8, 66.0),
                        6000.0,
                        9000.0,
                        4500.0,
                    )
                },
                SubmissionKind {
                    pool: "studio",
                    ..gang_kind("lights", 1.67, 3.49, 1.5, 31_000.0, 128_000.0, 400.0)
                },
                SubmissionKind {
                    pool: "bookings",
                    ..long_running_kind("standing", 0.087, 2.8, 6.0, 7400.0, 13_000.0)
                },
                SubmissionKind {
                    pool: "studio",
                    ..map_kind(
                        "photo",
                        1.73,
                        2.1,
                        LogNormal(4.0, 0.8, 24.0),
                        5600.0,
                        20_000.0,
                        3800.0,
                    )
                },
            ],
            bursts: vec![
                Burst {
                    kind: "quote",
                    start_ms: 8500,
                    duration_ms: 4000,
                    rate_factor: 1.9,
                },
                Burst {
                    kind: "stock",
                    start_ms: 22_000,
                    duration_ms: 4000,
                    rate_factor: 1.8,
                },
            ],
        }
    }

    /// Returns the load of a site that sends notices: many short urgent `notice`s, `roll` steps with
    /// many tasks, and `broadcast` gangs that need room on many upstreams at once.
    #[must_use]
    pub fn notice_site() -> Self {
        Self {
            name: "notice",
            pools: vec![PoolShape {
                name: "sending",
                upstream_count: 350,
                capacity: ResourceSize::new(16_000, 65_536, 0),
                capacity_factors: &[1.0],
                speed_factors: &[0.8, 1.0, 1.25],
                rack_size: 20,
            }],
            kinds: vec![
                broadcast_kind(),
                SubmissionKind {
                    pool: "sending",
                    steps: LogNormal(1.5, 0.4, 3.8),
                    policy_service: PolicyTiming {
                        decision_ms: 80.0,
                        per_upstream_ms: 1.1,
                        valid_ms: 1500,
                    },
                    ..ledger_kind(
                        "roll",
                        11.2,
                        2.15,
                        LogNormal(25.0, 0.8, 150.0),
                        1600.0,
                        5800.0,
                        2200.0,
                    )
                },
                SubmissionKind {
                    pool: "sending",
                    steps: LogNormal(1.0, 0.0, 1.0),
                    tasks_per_step: LogNormal(3.2, 0.8, 19.0),
                    work_ms: LogNormal(1000.0, 0.5, 2500.0),
                    gang_share: 0.3,
                    policy_service: PolicyTiming {
                        decision_ms: 11.0,
                        per_upstream_ms: 0.16,
                        valid_ms: 1500,
                    },
                    ..urgent_kind("notice", 80.0, 0.42, 3.2, 2300.0, 6500.0)
                },
            ],
            bursts: vec![
                Burst {
                    kind: "notice",
                    start_ms: 8500,
                    duration_ms: 4000,
                    rate_factor: 1.6,
                },
                Burst {
                    kind: "broadcast",
                    start_ms: 18_000,
                    duration_ms: 4000,
                    rate_factor: 1.8,
                },
            ],
        }
    }
}

/// Returns a kind with the values that the kinds below share; `value` is that of a submission that
/// completes on time.
fn base_kind(name: &'static str, arrivals_per_s: f64, value: f64) -> SubmissionKind {
    SubmissionKind {
        name,
        pool: "operations",
        priority: 2,
        arrivals_per_s,
        value,
        steps: LogNormal(1.0, 0.0, 1.0),
        tasks_per_step: LogNormal(1.0, 0.0, 1.0),
        cpu_milli: LogNormal(1000.0, 0.0, 1000.0),
        memory_mib: LogNormal(1024.0, 0.0, 1024.0),
        accelerator_choices: &[],
        max_gang_accelerators: MAX_GANG_ACCELERATORS,
        work_ms: LogNormal(1000.0, 0.5, 2500.0),
        estimate_sigma: 0.5,
        gang_share: 0.0,
        long_running: false,
        checkpointing_share: 0.0,
        failing_run_share: 0.01,
        failing_submission_share: 0.0,
        max_attempts: 3,
        stretch: 4.0,
        objective_ms: 3000,
        policy_service: PolicyTiming {
            decision_ms: 100.0,
            per_upstream_ms: 1.0,
            valid_ms: 2000,
        },
        allowed_share: 0.45,
    }
}

/// Returns a kind of short urgent submissions. `mean_tasks` is the mean number of tasks per step;
/// `cpu` (thousandths of a core) and `memory` (mebibytes) are means per task.
pub(crate) fn urgent_kind(
    name: &'static str,
    arrivals_per_s: f64,
    value: f64,
    mean_tasks: f64,
    cpu: f64,
    memory: f64,
) -> SubmissionKind {
    SubmissionKind {
        priority: 0,
        steps: LogNormal(1.5, 0.4, 3.8),
        tasks_per_step: LogNormal(mean_tasks, 0.8, mean_tasks * 6.0),
        cpu_milli: LogNormal(cpu, 0.45, cpu * 3.0),
        memory_mib: LogNormal(memory, 0.6, memory * 3.0),
        work_ms: LogNormal(560.0, 0.5, 1400.0),
        estimate_sigma: 0.9,
        failing_run_share: 0.02,
        failing_submission_share: 0.03,
        stretch: 1.5,
        objective_ms: 250,
        policy_service: PolicyTiming {
            decision_ms: 11.0,
            per_upstream_ms: 0.15,
            valid_ms: 2000,
        },
        allowed_share: 0.7,
        ..base_kind(name, arrivals_per_s, value)
    }
}

/// Returns a batch kind with many tasks per step. `cpu` (thousandths of a core), `memory`
/// (mebibytes) and `work_ms` are means per task.
pub(crate) fn ledger_kind(
    name: &'static str,
    arrivals_per_s: f64,
    value: f64,
    tasks_per_step: LogNormal,
    cpu: f64,
    memory: f64,
    work_ms: f64,
) -> SubmissionKind {
    SubmissionKind {
        steps: LogNormal(2.0, 0.4, 5.0),
        tasks_per_step,
        cpu_milli: LogNormal(cpu, 0.45, cpu * 3.0),
        memory_mib: LogNormal(memory, 0.6, memory * 3.0),
        work_ms: LogNormal(work_ms, 0.5, work_ms * 2.5),
        estimate_sigma: 0.9,
        checkpointing_share: 0.8,
        policy_service: PolicyTiming {
            decision_ms: 130.0,
            per_upstream_ms: 1.8,
            valid_ms: 2000,
        },
        ..base_kind(name, arrivals_per_s, value)
    }
}

/// Returns a kind whose tasks run as gangs on accelerators. `mean_tasks` is the mean number of
/// tasks per step; `cpu` (thousandths of a core) and `memory` (mebibytes) are the same for all
/// tasks; `decision_ms` is the fixed duration of a policy query.
pub(crate) fn gang_kind(
    name: &'static str,
    arrivals_per_s: f64,
    value: f64,
    mean_tasks: f64,
    cpu: f64,
    memory: f64,
    decision_ms: f64,
) -> SubmissionKind {
    SubmissionKind {
        pool: "imaging",
        priority: 1,
        tasks_per_step: LogNormal(mean_tasks, 0.8, mean_tasks * 6.0),
        cpu_milli: LogNormal(cpu, 0.0, cpu),
        memory_mib: LogNormal(memory, 0.0, memory),
        accelerator_choices: &[2, 4, 8, 8],
        work_ms: LogNormal(3600.0, 0.5, 9000.0),
        gang_share: 1.0,
        checkpointing_share: 0.9,
        failing_run_share: 0.02,
        max_attempts: 2,
        stretch: 2.2,
        objective_ms: 1000,
        policy_service: PolicyTiming {
            decision_ms,
            per_upstream_ms: decision_ms / 70.0,
            valid_ms: 2000,
        },
        allowed_share: 0.3,
        ..base_kind(name, arrivals_per_s, value)
    }
}

/// Returns a kind whose tasks run as wide gangs without accelerators.
fn broadcast_kind() -> SubmissionKind {
    SubmissionKind {
        pool: "sending",
        priority: 1,
        steps: LogNormal(1.2, 0.4, 3.0),
        tasks_per_step: LogNormal(20.0, 0.8, 120.0),
        cpu_milli: LogNormal(4500.0, 0.4, 7600.0),
        memory_mib: LogNormal(16_000.0, 0.5, 33_000.0),
        work_ms: LogNormal(6200.0, 0.5, 16_000.0),
        estimate_sigma: 0.9,
        gang_share: 1.0,
        checkpointing_share: 0.5,
        failing_run_share: 0.001,
        failing_submission_share: 0.03,
        stretch: 2.2,
        objective_ms: 1000,
        policy_service: PolicyTiming {
            decision_ms: 600.0,
            per_upstream_ms: 8.6,
            valid_ms: 1500,
        },
        allowed_share: 0.25,
        ..base_kind("broadcast", 3.12, 12.4)
    }
}

/// Returns a kind of long-running submissions. `mean_tasks` is the mean number of tasks per step;
/// `cpu` (thousandths of a core) and `memory` (mebibytes) are means per task.
pub(crate) fn long_running_kind(
    name: &'static str,
    arrivals_per_s: f64,
    value: f64,
    mean_tasks: f64,
    cpu: f64,
    memory: f64,
) -> SubmissionKind {
    SubmissionKind {
        priority: 1,
        tasks_per_step: LogNormal(mean_tasks, 0.8, mean_tasks * 6.0),
        cpu_milli: LogNormal(cpu, 0.45, cpu * 3.0),
        memory_mib: LogNormal(memory, 0.6, memory * 3.0),
        work_ms: LogNormal(45_000.0, 0.7, 140_000.0),
        long_running: true,
        max_attempts: 4,
        stretch: 2.2,
        objective_ms: 2500,
        policy_service: PolicyTiming {
            decision_ms: 560.0,
            per_upstream_ms: 8.0,
            valid_ms: 2000,
        },
        allowed_share: 0.3,
        ..base_kind(name, arrivals_per_s, value)
    }
}

/// Returns a kind of independent tasks with one accelerator each. `cpu` (thousandths of a core) and
/// `memory` (mebibytes) are the same for all tasks; `work_ms` is the mean work of a task.
pub(crate) fn map_kind(
    name: &'static str,
    arrivals_per_s: f64,
    value: f64,
    tasks_per_step: LogNormal,
    cpu: f64,
    memory: f64,
    work_ms: f64,
) -> SubmissionKind {
    SubmissionKind {
        pool: "imaging",
        tasks_per_step,
        cpu_milli: LogNormal(cpu, 0.0, cpu),
        memory_mib: LogNormal(memory, 0.0, memory),
        accelerator_choices: &[1],
        work_ms: LogNormal(work_ms, 0.5, work_ms * 2.5),
        checkpointing_share: 0.8,
        failing_run_share: 0.05,
        failing_submission_share: 0.01,
        max_attempts: 2,
        policy_service: PolicyTiming {
            decision_ms: 150.0,
            per_upstream_ms: 2.1,
            valid_ms: 2000,
        },
        ..base_kind(name, arrivals_per_s, value)
    }
}

/// A generated submission, and properties hidden from the scheduler.
#[derive(Clone, Debug)]
pub(crate) struct GeneratedSubmission {
    pub record: Arc<SubmissionRecord>,
    /// Index of its kind in the mix.
    pub kind: usize,
    /// Real work of each step's tasks, in milliseconds.
    pub work_ms: Vec<u64>,
    /// Longest time from submission to completion that counts as on time, in milliseconds.
    pub objective_ms: u64,
    /// Whether all its runs fail.
    pub always_fails: bool,
    pub submitted_at: u64,
}

impl SubmissionKind {
    /// Returns the queue of the kind.
    #[must_use]
    pub fn queue(&self) -> QueuePolicy {
        QueuePolicy {
            name: self.name.into(),
            host: "site.example".into(),
            prefix: format!("/{}/", self.name).into(),
            pool: self.pool.into(),
            priority: self.priority,
            max_attempts: self.max_attempts,
            stretch: self.stretch,
            objective_ms: self.objective_ms,
            timeout_ms: 3000,
            open: false,
            policy_service: Some(self.policy_service),
        }
    }

    /// Generates a submission of the kind.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "small positive numbers"
    )]
    pub(crate) fn draw(
        &self,
        source: &mut RandomSource,
        number: u64,
        kind: usize,
        queue: &Arc<QueuePolicy>,
        team: &Arc<str>,
        now: u64,
    ) -> GeneratedSubmission {
        let count = self.steps.sample_count(source) as u32;
        let checkpointing = source.happens(self.checkpointing_share);
        let gang = source.happens(self.gang_share);
        let mut steps = Vec::new();
        let mut work_ms = Vec::new();
        for step in 0..count {
            let work = self.work_ms.sample(source).max(50.0);
            let accelerators = match self.accelerator_choices.len() as u64 {
                0 => 0,
                length => self.accelerator_choices[source.below(length) as usize],
            };
            let mut tasks = self.tasks_per_step.sample_count(source);
            if gang && accelerators > 0 {
                tasks = tasks.min((self.max_gang_accelerators / accelerators).max(1));
            }
            steps.push(StepSpec {
                count: tasks as u32,
                demand: ResourceSize::new(
                    self.cpu_milli.sample_count(source),
                    self.memory_mib.sample_count(source),
                    accelerators,
                ),
                estimate_ms: source.log_normal(work, self.estimate_sigma, work * 8.0) as u64,
                after: if step == 0 {
                    Vec::new()
                } else {
                    vec![step - 1]
                },
                checkpointing,
                gang,
                long_running: self.long_running,
                ..StepSpec::default()
            });
            work_ms.push(work as u64);
        }
        let critical_path_ms: u64 = work_ms.iter().sum();
        let policy_ms = (self.policy_service.decision_ms
            + 30.0 * self.policy_service.per_upstream_ms)
            * f64::from(count);
        let objective =
            self.stretch * (critical_path_ms as f64 + policy_ms) + self.objective_ms as f64;
        let record = Arc::new(SubmissionRecord {
            id: format!("{number:016x}").into(),
            team: Some(team.clone()),
            queue: queue.clone(),
            payload: "work".into(),
            steps,
            repeats: 0,
            first_due_unix_ms: 0,
            period_ms: 0,
            accepted_unix_ms: now,
        });
        GeneratedSubmission {
            record,
            kind,
            work_ms,
            objective_ms: objective as u64,
            always_fails: source.happens(self.failing_submission_share),
            submitted_at: now,
        }
    }
}
