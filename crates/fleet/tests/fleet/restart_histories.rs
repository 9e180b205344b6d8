//! Random histories of upstreams that restart under their identifiers.

use std::sync::Arc;

use lagoonnotch_fleet::model::{QueuePolicy, ResourceSize, StepSpec};

use crate::fixtures::{config, queue, step, submission, ticketed_queue};
use crate::promises::check_history;
use crate::simulation::{FaultRates, FleetSimulation, RandomSource};

/// Number of events of a history.
const EVENT_COUNT: u32 = 40;

/// Number of upstreams.
const UPSTREAM_COUNT: u64 = 4;

/// Number of histories, one for each seed from 0.
const HISTORY_COUNT: u64 = 100;

/// Further seeds whose histories once broke a promise.
const RECORDED_SEEDS: [u64; 8] = [287, 336, 520, 538, 558, 718, 729, 3768];

/// A random history in progress.
struct RandomHistory {
    random: RandomSource,
    policy: QueuePolicy,
    simulation: FleetSimulation,
    submitted: u32,
}

impl RandomHistory {
    /// Draws the queue, the duration of runs and the rates of faults.
    fn new(seed: u64) -> Self {
        let mut random = RandomSource(seed);
        let drawn = if random.chance(30) {
            ticketed_queue("ledger", 2)
        } else {
            queue("ledger", 2)
        };
        let policy = QueuePolicy {
            max_attempts: 9,
            ..drawn
        };
        let approved = config(vec![policy.clone()], ResourceSize::ZERO);
        let mut simulation = FleetSimulation::new(seed + 1000, approved, 4);
        simulation.run_ms = random.chance(60).then(|| 300 + random.below(9000));
        simulation.longest_delay_ms = 12_000;
        simulation.faults = FaultRates {
            lost_replies: random.below(10),
            late_orders: random.below(10),
            late_renewals: random.below(12),
            lost_commits: random.below(10),
            ..FaultRates::default()
        };
        simulation.take_over();
        Self {
            random,
            policy,
            simulation,
            submitted: 0,
        }
    }

    fn draw_upstream(&mut self) -> Arc<str> {
        format!("u{}", self.random.below(UPSTREAM_COUNT)).into()
    }

    fn apply_random_event(&mut self) {
        match self.random.below(12) {
            0..=3 => self.submit(),
            4 | 5 => self.restart(),
            6 => {
                let id = self.draw_upstream();
                let until = self.simulation.now + 500 + self.random.below(9500);
                self.simulation.partitioned.insert(id, until);
            }
            7 if self.random.chance(40) => self.replace_owner(),
            _ => {
                let end = self.simulation.now + 20 + self.random.below(1500);
                self.simulation.run_until(end);
            }
        }
    }

    fn submit(&mut self) {
        let count = 1 + u32::try_from(self.random.below(4)).expect("a small number");
        let estimate_ms = self.simulation.run_ms.unwrap_or(1000);
        let step = StepSpec {
            estimate_ms,
            ..step(count)
        };
        let id = format!("s{}", self.submitted);
        self.submitted += 1;
        self.simulation
            .submit(&submission(&id, &self.policy, vec![step]));
    }

    /// Restarts an upstream, which is away for less than a second and at times cut off soon after.
    fn restart(&mut self) {
        let id = self.draw_upstream();
        let back_at = self.simulation.now + self.random.below(900);
        self.simulation.restart_upstream(&id);
        self.simulation.partitioned.insert(id.clone(), back_at);
        if self.random.chance(50) {
            let cut_at = back_at + self.random.below(3000);
            self.simulation.run_until(cut_at);
            let until = cut_at + 5000 + self.random.below(7000);
            self.simulation.partitioned.insert(id, until);
        }
    }

    fn replace_owner(&mut self) {
        let overlap_ms = self.random.below(5000);
        if self.random.chance(50) {
            self.simulation.take_over_with_overlap(overlap_ms);
            return;
        }
        self.simulation.owner = None;
        self.simulation.predecessor_lost = true;
        let end = self.simulation.now + 1900;
        self.simulation.run_until(end);
        self.simulation.take_over();
    }
}

/// Plays a random history for each seed and checks it.
fn check_histories(lose_starts_before_contact: bool, first_report_delay_ms: u64) {
    for seed in (0..HISTORY_COUNT).chain(RECORDED_SEEDS) {
        let mut history = RandomHistory::new(seed);
        history.simulation.lose_starts_before_contact = lose_starts_before_contact;
        history.simulation.first_report_delay_ms = first_report_delay_ms;
        for _ in 0..EVENT_COUNT {
            history.apply_random_event();
        }

        let result = check_history(&mut history.simulation);

        assert!(result.is_ok(), "seed {seed}: {result:?}");
    }
}

/// Guards against tasks that run twice or are lost after upstreams have restarted under their
/// identifiers, beside late orders, partitions and takeovers.
#[test]
fn no_task_runs_twice_after_restarts() {
    check_histories(false, 0);
}

/// Guards against the same where no start for a former incarnation is the first order to reach the
/// new one.
#[test]
fn no_task_runs_twice_after_new_incarnations_were_contacted() {
    check_histories(true, 0);
}

/// Guards against the same where the directory lists new incarnations late.
#[test]
fn no_task_runs_twice_before_new_incarnations_are_listed() {
    check_histories(true, 1500);
}
