//! Random histories of submissions whose tasks fail on every upstream, beside work that can be done.

use std::sync::Arc;

use lagoonnotch_fleet::model::{ResourceSize, StepSpec, SubmissionState};

use crate::fixtures::{config, queue, step, submission};
use crate::simulation::{FleetSimulation, RandomSource};

/// Number of histories, one for each seed from 0, unless the variable `FAILING_HISTORIES` gives
/// another.
const HISTORY_COUNT: u64 = 100;

/// Further seeds whose histories once left the work waiting.
const RECORDED_SEEDS: [u64; 4] = [192, 579, 587, 2317];

/// CPU of an upstream, in thousandths of a core.
const UPSTREAM_CPU: u64 = 32_000;

/// Time from the failing submissions to the work, in milliseconds.
const FINISH_MS: u64 = 14_000;

/// Time for which the work is observed, in milliseconds.
const OBSERVED_MS: u64 = 30_000;

/// Time for which a submission may have nothing running although there is room for it, in
/// milliseconds.
const IDLE_LIMIT_MS: u64 = 3000;

/// Identifier of the work that can be done.
const WORK: &str = "work";

fn pick(random: &mut RandomSource, values: &[u64]) -> u64 {
    let index = random.below(values.len() as u64);
    values[usize::try_from(index).expect("a small number")]
}

/// A fleet with failing submissions, and the CPU that a task of the work needs.
struct FailingHistory {
    simulation: FleetSimulation,
    work_cpu: u64,
}

impl FailingHistory {
    /// Draws the upstreams, the failing submissions and the duration of commits, and plays them
    /// until the work is submitted.
    fn new(seed: u64) -> Self {
        let mut random = RandomSource(seed);
        // The first number is nearly the same for all small seeds.
        random.below(1);
        let (watch, batch) = (queue("watch", 1), queue("ledger", 2));
        let approved = config(vec![watch.clone(), batch.clone()], ResourceSize::ZERO);
        let upstream_count = 3 + u32::try_from(random.below(6)).expect("a small number");
        let mut simulation = FleetSimulation::new(seed, approved, upstream_count);
        for upstream in simulation.upstreams.values_mut() {
            upstream.capacity = ResourceSize::new(UPSTREAM_CPU, 131_072, 0);
        }
        simulation.commit_ms = pick(&mut random, &[4, 30, 100, 300]);
        simulation.run_ms = Some(3000);
        simulation.take_over();
        simulation.run_until(simulation.now + 1500);
        let task_count = 2 + u32::try_from(random.below(7)).expect("a small number");
        let failing_cpu = 1000 * pick(&mut random, &[4, 8, 10, 12, 14, 16, 20, 24, 30]);
        for number in 0..=random.below(3) {
            let id = format!("failing{number}");
            let failing = StepSpec {
                long_running: true,
                demand: ResourceSize::new(failing_cpu, 256, 0),
                ..step(task_count)
            };
            simulation
                .failing_submissions
                .insert(Arc::from(id.as_str()));
            simulation.submit(&submission(&id, &watch, vec![failing]));
        }
        simulation.run_until(simulation.now + FINISH_MS);
        let work_cpu = 1000 * pick(&mut random, &[16, 20, 24, 28, 32]);
        let link = |after: Vec<u32>| StepSpec {
            demand: ResourceSize::new(work_cpu, 256, 0),
            estimate_ms: 3000,
            after,
            ..step(1)
        };
        let steps = vec![link(vec![]), link(vec![0]), link(vec![1]), link(vec![2])];
        simulation.submit(&submission(WORK, &batch, steps));
        Self {
            simulation,
            work_cpu,
        }
    }

    /// Returns whether the work has nothing running, there is room for two of its tasks, and under
    /// half of the CPU is in use.
    fn is_idle_beside_room(&self) -> bool {
        let upstreams = &self.simulation.upstreams;
        let mut runs = upstreams.values().flat_map(|upstream| &upstream.runs);
        if runs.any(|(name, _)| &*name.submission == WORK) {
            return false;
        }
        let used: Vec<u64> = upstreams
            .values()
            .map(|upstream| upstream.runs.values().map(|run| run.size.cpu_milli).sum())
            .collect();
        let free_slots = used
            .iter()
            .map(|used| UPSTREAM_CPU.saturating_sub(*used) / self.work_cpu);
        free_slots.sum::<u64>() >= 2
            && 2 * used.iter().sum::<u64>() < UPSTREAM_CPU * used.len() as u64
    }

    /// Returns the longest time for which the work has nothing running beside room for it, in
    /// milliseconds.
    fn longest_idle_ms(&mut self) -> u64 {
        let end = self.simulation.now + OBSERVED_MS;
        let (mut longest, mut idle_since) = (0, None);
        while self.simulation.now < end
            && self.simulation.state_of(WORK) != Some(SubmissionState::Completed)
        {
            self.simulation.run_until(self.simulation.now + 10);
            idle_since = self
                .is_idle_beside_room()
                .then(|| idle_since.unwrap_or(self.simulation.now));
            longest = longest.max(idle_since.map_or(0, |since| self.simulation.now - since));
        }
        longest
    }
}

/// Guards against work that does not start although there is room for it, because tasks that fail
/// everywhere keep the capacity allocated or have the upstreams quarantined.
#[test]
fn work_starts_beside_tasks_that_fail_everywhere() {
    let drawn = std::env::var("FAILING_HISTORIES");
    let count = drawn.map_or(HISTORY_COUNT, |count| count.parse().expect("a number"));
    let mut idle = Vec::new();
    for seed in (0..count).chain(RECORDED_SEEDS) {
        let idle_ms = FailingHistory::new(seed).longest_idle_ms();
        if idle_ms > IDLE_LIMIT_MS {
            idle.push((seed, idle_ms));
        }
    }

    assert_eq!(idle, Vec::new(), "(seed, longest time in milliseconds)");
}
