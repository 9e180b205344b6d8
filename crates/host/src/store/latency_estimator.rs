//! Estimate of the store's latency.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// Weight of one sample in the moving average.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Hedge delay as a multiple of the mean latency; a response that takes longer is assumed lost.
const HEDGE_DELAY_FACTOR: f64 = 6.0;

/// Minimum hedge delay, so that short pauses of the host cause no extra requests.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(90);

/// Maximum hedge delay; must exceed the latency of a slow store, about 300 ms.
const MAX_HEDGE_DELAY: Duration = Duration::from_millis(450);

/// Moving average of the store's latency.
#[derive(Debug, Default)]
pub struct LatencyEstimator {
    /// Mean latency in seconds; 0 before the first sample.
    mean_s: Mutex<f64>,
}

impl LatencyEstimator {
    /// Records the duration of a request, capped at the maximum hedge delay, whether or not it was
    /// answered.
    pub fn record(&self, elapsed: Duration) {
        let mut mean_s = self.mean_s.lock().unwrap_or_else(PoisonError::into_inner);
        let elapsed_s = elapsed.min(MAX_HEDGE_DELAY).as_secs_f64();
        if *mean_s == 0.0 {
            *mean_s = elapsed_s;
        }
        *mean_s += SAMPLE_WEIGHT * (elapsed_s - *mean_s);
    }

    /// Returns how long to wait for a response before the request is sent again.
    #[must_use]
    pub fn hedge_delay(&self) -> Duration {
        let mean_s = *self.mean_s.lock().unwrap_or_else(PoisonError::into_inner);
        Duration::from_secs_f64(mean_s * HEDGE_DELAY_FACTOR).clamp(MIN_HEDGE_DELAY, MAX_HEDGE_DELAY)
    }
}
