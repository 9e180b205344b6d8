//! Draws of a seeded random generator.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// Draws numbers; the same seed draws the same numbers.
#[derive(Clone, Debug)]
pub struct RandomSource {
    generator: SmallRng,
}

impl RandomSource {
    /// Makes a generator from a seed.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            generator: SmallRng::seed_from_u64(seed),
        }
    }

    /// Draws a number from 0 up to 1.
    pub fn uniform(&mut self) -> f64 {
        self.generator.random()
    }

    /// Draws a whole number below a bound, which is at least 1.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.generator.random_range(0..bound.max(1))
    }

    /// Tells whether an event of this probability happens.
    pub fn happens(&mut self, probability: f64) -> bool {
        self.uniform() < probability
    }

    /// Draws the time to the next of events that come at random, in units of `1 / rate`.
    pub fn exponential(&mut self, rate: f64) -> f64 {
        -(1.0 - self.uniform()).ln() / rate
    }

    /// Draws from a log-normal distribution with this mean and this sigma of the logarithm, cut
    /// off at `maximum`.
    pub fn log_normal(&mut self, mean: f64, sigma: f64, maximum: f64) -> f64 {
        let radius = (-2.0 * (1.0 - self.uniform()).ln()).sqrt();
        let normal = radius * (std::f64::consts::TAU * self.uniform()).cos();
        (mean * (sigma * normal - sigma * sigma / 2.0).exp()).min(maximum)
    }
}
