use std::time::Duration;

use crate::Timestamp;

/// Weight of a new run in the moving average.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Time constant of the decay: without runs the rate falls by a factor of e in this time.
const DECAY_TIME: Duration = Duration::from_secs(3);

/// Share of recent runs that the target rejected or failed, as an exponentially decaying average.
#[derive(Debug, Default)]
pub struct FailureRate {
    rate: f64,
    updated_at: Timestamp,
}

impl FailureRate {
    /// Records the end of a run.
    pub fn record(&mut self, now: Timestamp, failed: bool) {
        let new_value = if failed { 1.0 } else { 0.0 };
        self.rate = self.decayed_rate(now) * (1.0 - SAMPLE_WEIGHT) + new_value * SAMPLE_WEIGHT;
        self.updated_at = now;
    }

    /// The rate at `now`, in thousandths.
    ///
    /// ```
    /// use std::time::Duration;
    /// use pollenlever_core::mesh::FailureRate;
    /// let mut rate = FailureRate::default();
    /// for _ in 0..50 {
    ///     rate.record(Duration::ZERO, true);
    /// }
    /// assert!(rate.permille(Duration::ZERO) > 900);
    /// assert!(rate.permille(Duration::from_secs(30)) < 10);
    /// ```
    pub fn permille(&self, now: Timestamp) -> u16 {
        (self.decayed_rate(now) * 1000.0) as u16
    }

    fn decayed_rate(&self, now: Timestamp) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        self.rate * (-age / DECAY_TIME.as_secs_f64()).exp()
    }
}
