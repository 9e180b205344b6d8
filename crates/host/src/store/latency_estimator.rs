//! How long the store takes to answer.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// Weight of one answer in the mean.
const WEIGHT: f64 = 0.1;

/// Multiple of the mean time after which an answer counts as lost.
const PATIENCE_FACTOR: f64 = 6.0;

/// Shortest patience; hosts are busy for a while at times.
const MIN_PATIENCE: Duration = Duration::from_millis(90);

/// Longest patience; a slow store answers in about 300 ms.
const MAX_PATIENCE: Duration = Duration::from_millis(450);

/// Mean time of the store's answers.
#[derive(Debug, Default)]
pub struct LatencyEstimator {
    /// Mean in seconds; 0 before the first answer.
    mean_s: Mutex<f64>,
}

impl LatencyEstimator {
    /// Notes how long an answer took, or how long a call was in vain.
    pub fn record(&self, took: Duration) {
        let mut mean_s = self.mean_s.lock().unwrap_or_else(PoisonError::into_inner);
        let took_s = took.min(MAX_PATIENCE).as_secs_f64();
        if *mean_s == 0.0 {
            *mean_s = took_s;
        }
        *mean_s += WEIGHT * (took_s - *mean_s);
    }

    /// Returns how long to wait for an answer before the call is made again.
    #[must_use]
    pub fn hedge_delay(&self) -> Duration {
        let mean_s = *self.mean_s.lock().unwrap_or_else(PoisonError::into_inner);
        Duration::from_secs_f64(mean_s * PATIENCE_FACTOR).clamp(MIN_PATIENCE, MAX_PATIENCE)
    }
}
