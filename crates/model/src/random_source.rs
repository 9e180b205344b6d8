//! A seeded source of random numbers with the distributions that the simulation uses.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// Draws random numbers; the same seed gives the same sequence.
#[derive(Clone, Debug)]
pub struct RandomSource {
    generator: SmallRng,
}

impl RandomSource {
    /// Creates a source from a seed.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            generator: SmallRng::seed_from_u64(seed),
        }
    }

    /// Draws a number uniformly from 0 (included) to 1 (excluded).
    pub fn uniform(&mut self) -> f64 {
        self.generator.random()
    }

    /// Draws an integer uniformly from 0 to `bound` (excluded); a bound of 0 counts as 1.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.generator.random_range(0..bound.max(1))
    }

    /// Returns `true` with this probability.
    pub fn happens(&mut self, probability: f64) -> bool {
        self.uniform() < probability
    }

    /// Draws the time until the next event of a Poisson process with this rate.
    pub fn exponential(&mut self, rate: f64) -> f64 {
        -(1.0 - self.uniform()).ln() / rate
    }

    /// Draws from a log-normal distribution with this mean and this standard deviation of the
    /// logarithm; larger values are replaced by `maximum`.
    pub fn log_normal(&mut self, mean: f64, sigma: f64, maximum: f64) -> f64 {
        let radius = (-2.0 * (1.0 - self.uniform()).ln()).sqrt();
        let normal = radius * (std::f64::consts::TAU * self.uniform()).cos();
        (mean * (sigma * normal - sigma * sigma / 2.0).exp()).min(maximum)
    }
}
