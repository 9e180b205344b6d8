//! What is submitted, and how often.

use std::sync::Arc;

use lagoonnotch_fleet::model::{
    PolicyService, QueuePolicy, ResourceSize, StepSpec, SubmissionRecord,
};

use crate::Draw;

/// Most accelerators of a gang, so that the upstreams that may run it suffice.
const MAX_GANG_ACCELERATORS: u64 = 16;

/// Bursts of urgent kinds come before this time, those of batch kinds after it, in milliseconds.
const BATCH_BURST_AFTER_MS: u64 = 15_000;

/// A log-normal distribution: its mean, the spread of its logarithm, and the largest value.
#[derive(Clone, Copy, Debug)]
pub struct Spread(pub f64, pub f64, pub f64);

impl Spread {
    fn draw(&self, draw: &mut Draw) -> f64 {
        draw.log_normal(self.0, self.1, self.2)
    }

    /// Draws a whole number of at least 1.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "small positive numbers"
    )]
    fn draw_count(&self, draw: &mut Draw) -> u64 {
        self.draw(draw).round().max(1.0) as u64
    }
}

/// A kind of submission.
#[derive(Clone, Debug)]
pub struct JobKind {
    /// Name of the kind and of its queue.
    pub name: &'static str,
    /// Pool that runs it.
    pub pool: &'static str,
    /// Priority of its queue; 0 comes first.
    pub priority: u32,
    /// Submissions a second.
    pub per_s: f64,
    /// Worth of one that is complete in time.
    pub worth: f64,
    /// Number of steps, one after the other.
    pub steps: Spread,
    /// Tasks of a step.
    pub width: Spread,
    /// Processor time of a task, in thousandths of a core.
    pub cpu_milli: Spread,
    /// Memory of a task, in mebibytes.
    pub memory_mib: Spread,
    /// Accelerators of a task, one of these; none for an empty list.
    pub accelerators: &'static [u64],
    /// Work of a task, in milliseconds.
    pub work_ms: Spread,
    /// Spread of the logarithm of estimates around the work.
    pub estimate_spread: f64,
    /// Whether the tasks of a step run only together.
    pub gang: bool,
    /// Whether tasks run until their submission is cancelled.
    pub lasting: bool,
    /// Share of submissions whose tasks write checkpoints.
    pub checkpointing: f64,
    /// Share of runs that fail by themselves.
    pub failing: f64,
    /// Share of submissions that can never be done.
    pub hopeless: f64,
    /// Failed runs of a task after which its submission fails.
    pub max_attempts: u32,
    /// Factor of the chain of work in the objective.
    pub stretch: f64,
    /// Constant part of the objective, in milliseconds.
    pub objective_ms: u64,
    /// The policy service of the queue.
    pub desk: PolicyService,
    /// Share of upstreams that may run a step.
    pub allowed: f64,
}

/// A time in which a kind comes more often.
#[derive(Clone, Copy, Debug)]
pub struct Burst {
    /// Name of the kind.
    pub kind: &'static str,
    /// Begin, in milliseconds.
    pub at_ms: u64,
    /// Length, in milliseconds.
    pub for_ms: u64,
    /// Factor of its usual rate.
    pub factor: f64,
}

/// A pool of upstreams.
#[derive(Clone, Debug)]
pub struct PoolShape {
    /// Name of the pool.
    pub name: &'static str,
    /// Number of upstreams.
    pub upstreams: u32,
    /// Capacity of an upstream of the usual size.
    pub capacity: ResourceSize,
    /// Factors of the capacity, dealt in turn.
    pub sizes: &'static [f64],
    /// Factors of the speed, dealt in turn.
    pub speeds: &'static [f64],
    /// Upstreams of a rack.
    pub rack: u32,
}

/// Pools and what is submitted to them.
#[derive(Clone, Debug)]
pub struct LoadMix {
    /// Name of the mix.
    pub name: &'static str,
    /// Pools.
    pub pools: Vec<PoolShape>,
    /// Kinds of submissions.
    pub kinds: Vec<JobKind>,
    /// Times in which a kind comes more often.
    pub bursts: Vec<Burst>,
}

impl LoadMix {
    /// Returns the mix with this many times its upstreams; submissions grow in number, width and
    /// size.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "small positive numbers"
    )]
    pub fn grown(mut self, factor: f64) -> Self {
        for pool in &mut self.pools {
            pool.upstreams = (f64::from(pool.upstreams) * factor).round() as u32;
        }
        let each = factor.cbrt();
        for kind in &mut self.kinds {
            kind.per_s *= factor / each / each * 1.4;
            kind.width.0 *= each;
            kind.width.2 *= each;
            kind.cpu_milli.0 *= 1.0 + (each - 1.0) / 3.0;
        }
        self
    }

    /// Returns the mix with a long burst of its wide batch kind, which fills the pool.
    #[must_use]
    pub fn with_batch_burst(mut self, factor: f64) -> Self {
        for burst in &mut self.bursts {
            if burst.at_ms > BATCH_BURST_AFTER_MS {
                burst.at_ms = 6000;
                burst.for_ms = 16_000;
                burst.factor = factor;
            }
        }
        self
    }

    /// Returns the factor of a kind's rate at a time.
    #[must_use]
    pub fn burst_factor(&self, kind: &str, now: u64) -> f64 {
        self.bursts
            .iter()
            .filter(|burst| burst.kind == kind)
            .filter(|burst| (burst.at_ms..burst.at_ms + burst.for_ms).contains(&now))
            .map(|burst| burst.factor)
            .product()
    }

    /// The load of a fog-water site: many short urgent checks beside wide ledger steps, gangs and
    /// maps on accelerators, and lasting watchers.
    #[must_use]
    pub fn fog_site() -> Self {
        Self {
            name: "fog",
            pools: vec![
                PoolShape {
                    name: "operations",
                    upstreams: 35,
                    capacity: ResourceSize::new(32_000, 131_072, 0),
                    sizes: &[1.0, 1.0, 0.5, 2.0],
                    speeds: &[1.0, 1.0, 1.3],
                    rack: 5,
                },
                PoolShape {
                    name: "imaging",
                    upstreams: 13,
                    capacity: ResourceSize::new(32_000, 65_536, 8),
                    sizes: &[1.0],
                    speeds: &[1.0],
                    rack: 3,
                },
            ],
            kinds: vec![
                urgent_kind("check", 16.9, 0.62, 6.0, 2800.0, 5700.0),
                ledger_kind(
                    "ledger",
                    0.8,
                    4.66,
                    Spread(14.0, 0.8, 84.0),
                    6000.0,
                    17_000.0,
                    3600.0,
                ),
                gang_kind("images", 1.67, 3.58, 1.5, 15_000.0, 32_000.0, 400.0),
                lasting_kind("watch", 0.087, 2.86, 6.0, 7400.0, 27_000.0),
                map_kind(
                    "map",
                    1.39,
                    2.69,
                    Spread(8.0, 0.8, 48.0),
                    2800.0,
                    4100.0,
                    2400.0,
                ),
            ],
            bursts: vec![
                Burst {
                    kind: "check",
                    at_ms: 8500,
                    for_ms: 4000,
                    factor: 1.9,
                },
                Burst {
                    kind: "ledger",
                    at_ms: 22_000,
                    for_ms: 4000,
                    factor: 1.8,
                },
            ],
        }
    }

    /// The load of a lantern-hire site: the same kinds with larger tasks on upstreams with less
    /// memory.
    #[must_use]
    pub fn hire_site() -> Self {
        Self {
            name: "hire",
            pools: vec![
                PoolShape {
                    name: "bookings",
                    upstreams: 35,
                    capacity: ResourceSize::new(32_000, 65_536, 0),
                    sizes: &[1.0, 1.0, 0.5, 2.0],
                    speeds: &[1.0],
                    rack: 5,
                },
                PoolShape {
                    name: "studio",
                    upstreams: 13,
                    capacity: ResourceSize::new(64_000, 262_144, 8),
                    sizes: &[1.0],
                    speeds: &[0.8, 1.0, 1.25],
                    rack: 3,
                },
            ],
            kinds: vec![
                JobKind {
                    pool: "bookings",
                    ..urgent_kind("quote", 18.0, 0.57, 6.0, 2800.0, 5700.0)
                },
                JobKind {
                    pool: "bookings",
                    ..ledger_kind(
                        "stock",
                        0.8,
                        4.55,
                        Spread(11.0, 0.8, 66.0),
                        6000.0,
                        9000.0,
                        4500.0,
                    )
                },
                JobKind {
                    pool: "studio",
                    ..gang_kind("lights", 1.67, 3.49, 1.5, 31_000.0, 128_000.0, 400.0)
                },
                JobKind {
                    pool: "bookings",
                    ..lasting_kind("standing", 0.087, 2.8, 6.0, 7400.0, 13_000.0)
                },
                JobKind {
                    pool: "studio",
                    ..map_kind(
                        "photo",
                        1.73,
                        2.1,
                        Spread(4.0, 0.8, 24.0),
                        5600.0,
                        20_000.0,
                        3800.0,
                    )
                },
            ],
            bursts: vec![
                Burst {
                    kind: "quote",
                    at_ms: 8500,
                    for_ms: 4000,
                    factor: 1.9,
                },
                Burst {
                    kind: "stock",
                    at_ms: 22_000,
                    for_ms: 4000,
                    factor: 1.8,
                },
            ],
        }
    }
}

fn base_kind(name: &'static str, per_s: f64, worth: f64) -> JobKind {
    JobKind {
        name,
        pool: "operations",
        priority: 2,
        per_s,
        worth,
        steps: Spread(1.0, 0.0, 1.0),
        width: Spread(1.0, 0.0, 1.0),
        cpu_milli: Spread(1000.0, 0.0, 1000.0),
        memory_mib: Spread(1024.0, 0.0, 1024.0),
        accelerators: &[],
        work_ms: Spread(1000.0, 0.5, 2500.0),
        estimate_spread: 0.5,
        gang: false,
        lasting: false,
        checkpointing: 0.0,
        failing: 0.01,
        hopeless: 0.0,
        max_attempts: 3,
        stretch: 4.0,
        objective_ms: 3000,
        desk: PolicyService {
            decision_ms: 100.0,
            per_upstream_ms: 1.0,
            valid_ms: 2000,
        },
        allowed: 0.45,
    }
}

fn urgent_kind(
    name: &'static str,
    per_s: f64,
    worth: f64,
    width: f64,
    cpu: f64,
    memory: f64,
) -> JobKind {
    JobKind {
        priority: 0,
        steps: Spread(1.5, 0.4, 3.8),
        width: Spread(width, 0.8, width * 6.0),
        cpu_milli: Spread(cpu, 0.45, cpu * 3.0),
        memory_mib: Spread(memory, 0.6, memory * 3.0),
        work_ms: Spread(560.0, 0.5, 1400.0),
        estimate_spread: 0.9,
        failing: 0.02,
        hopeless: 0.03,
        stretch: 1.5,
        objective_ms: 250,
        desk: PolicyService {
            decision_ms: 11.0,
            per_upstream_ms: 0.15,
            valid_ms: 2000,
        },
        allowed: 0.7,
        ..base_kind(name, per_s, worth)
    }
}

fn ledger_kind(
    name: &'static str,
    per_s: f64,
    worth: f64,
    width: Spread,
    cpu: f64,
    memory: f64,
    work_ms: f64,
) -> JobKind {
    JobKind {
        steps: Spread(2.0, 0.4, 5.0),
        width,
        cpu_milli: Spread(cpu, 0.45, cpu * 3.0),
        memory_mib: Spread(memory, 0.6, memory * 3.0),
        work_ms: Spread(work_ms, 0.5, work_ms * 2.5),
        estimate_spread: 0.9,
        checkpointing: 0.8,
        desk: PolicyService {
            decision_ms: 130.0,
            per_upstream_ms: 1.8,
            valid_ms: 2000,
        },
        ..base_kind(name, per_s, worth)
    }
}

fn gang_kind(
    name: &'static str,
    per_s: f64,
    worth: f64,
    width: f64,
    cpu: f64,
    memory: f64,
    decision_ms: f64,
) -> JobKind {
    JobKind {
        pool: "imaging",
        priority: 1,
        width: Spread(width, 0.8, width * 6.0),
        cpu_milli: Spread(cpu, 0.0, cpu),
        memory_mib: Spread(memory, 0.0, memory),
        accelerators: &[2, 4, 8, 8],
        work_ms: Spread(3600.0, 0.5, 9000.0),
        gang: true,
        checkpointing: 0.9,
        failing: 0.02,
        max_attempts: 2,
        stretch: 2.2,
        objective_ms: 1000,
        desk: PolicyService {
            decision_ms,
            per_upstream_ms: decision_ms / 70.0,
            valid_ms: 2000,
        },
        allowed: 0.3,
        ..base_kind(name, per_s, worth)
    }
}

fn lasting_kind(
    name: &'static str,
    per_s: f64,
    worth: f64,
    width: f64,
    cpu: f64,
    memory: f64,
) -> JobKind {
    JobKind {
        priority: 1,
        width: Spread(width, 0.8, width * 6.0),
        cpu_milli: Spread(cpu, 0.45, cpu * 3.0),
        memory_mib: Spread(memory, 0.6, memory * 3.0),
        work_ms: Spread(45_000.0, 0.7, 140_000.0),
        lasting: true,
        max_attempts: 4,
        stretch: 2.2,
        objective_ms: 2500,
        desk: PolicyService {
            decision_ms: 560.0,
            per_upstream_ms: 8.0,
            valid_ms: 2000,
        },
        allowed: 0.3,
        ..base_kind(name, per_s, worth)
    }
}

fn map_kind(
    name: &'static str,
    per_s: f64,
    worth: f64,
    width: Spread,
    cpu: f64,
    memory: f64,
    work_ms: f64,
) -> JobKind {
    JobKind {
        pool: "imaging",
        width,
        cpu_milli: Spread(cpu, 0.0, cpu),
        memory_mib: Spread(memory, 0.0, memory),
        accelerators: &[1],
        work_ms: Spread(work_ms, 0.5, work_ms * 2.5),
        checkpointing: 0.8,
        failing: 0.05,
        hopeless: 0.01,
        max_attempts: 2,
        desk: PolicyService {
            decision_ms: 150.0,
            per_upstream_ms: 2.1,
            valid_ms: 2000,
        },
        ..base_kind(name, per_s, worth)
    }
}

/// A submission with what only the model knows of it.
#[derive(Clone, Debug)]
pub(crate) struct DrawnJob {
    pub record: Arc<SubmissionRecord>,
    pub kind: usize,
    /// Real work of each step's tasks, in milliseconds.
    pub work_ms: Vec<u64>,
    /// When it is too late to be in time, in milliseconds after it was submitted.
    pub objective_ms: u64,
    pub hopeless: bool,
    pub submitted_at: u64,
}

impl JobKind {
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
            policy_service: Some(self.desk),
        }
    }

    /// Draws a submission of the kind.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "small positive numbers"
    )]
    pub(crate) fn draw(
        &self,
        draw: &mut Draw,
        number: u64,
        kind: usize,
        queue: &Arc<QueuePolicy>,
        team: &Arc<str>,
        now: u64,
    ) -> DrawnJob {
        let count = self.steps.draw_count(draw) as u32;
        let checkpointing = draw.happens(self.checkpointing);
        let mut steps = Vec::new();
        let mut work_ms = Vec::new();
        for step in 0..count {
            let work = self.work_ms.draw(draw).max(50.0);
            let accelerators = match self.accelerators.len() as u64 {
                0 => 0,
                length => self.accelerators[draw.below(length) as usize],
            };
            let mut width = self.width.draw_count(draw);
            if self.gang {
                width = width.min((MAX_GANG_ACCELERATORS / accelerators.max(1)).max(1));
            }
            steps.push(StepSpec {
                count: width as u32,
                demand: ResourceSize::new(
                    self.cpu_milli.draw_count(draw),
                    self.memory_mib.draw_count(draw),
                    accelerators,
                ),
                estimate_ms: draw.log_normal(work, self.estimate_spread, work * 8.0) as u64,
                after: if step == 0 {
                    Vec::new()
                } else {
                    vec![step - 1]
                },
                checkpointing,
                gang: self.gang,
                long_running: self.lasting,
                ..StepSpec::default()
            });
            work_ms.push(work as u64);
        }
        let chain: u64 = work_ms.iter().sum();
        let asking = (self.desk.decision_ms + 30.0 * self.desk.per_upstream_ms) * f64::from(count);
        let objective = self.stretch * (chain as f64 + asking) + self.objective_ms as f64;
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
        DrawnJob {
            record,
            kind,
            work_ms,
            objective_ms: objective as u64,
            hopeless: draw.happens(self.hopeless),
            submitted_at: now,
        }
    }
}
