//! Draws of a seeded random source.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// Draws numbers; the same seed draws the same numbers.
#[derive(Clone, Debug)]
pub struct Draw {
    source: SmallRng,
}

impl Draw {
    /// Makes a source from a seed.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            source: SmallRng::seed_from_u64(seed),
        }
    }

    /// Draws a number from 0 up to 1.
    pub fn unit(&mut self) -> f64 {
        self.source.random()
    }

    /// Draws a whole number below a bound, which is at least 1.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.source.random_range(0..bound.max(1))
    }

    /// Tells whether an event of this probability happens.
    pub fn happens(&mut self, probability: f64) -> bool {
        self.unit() < probability
    }

    /// Draws the time to the next of events that come at random, in units of `1 / rate`.
    pub fn pause(&mut self, rate: f64) -> f64 {
        -(1.0 - self.unit()).ln() / rate
    }

    /// Draws from a log-normal distribution with this mean and this spread of the logarithm, cut
    /// off at `most`.
    pub fn log_normal(&mut self, mean: f64, spread: f64, most: f64) -> f64 {
        let radius = (-2.0 * (1.0 - self.unit()).ln()).sqrt();
        let normal = radius * (std::f64::consts::TAU * self.unit()).cos();
        (mean * (spread * normal - spread * spread / 2.0).exp()).min(most)
    }
}
