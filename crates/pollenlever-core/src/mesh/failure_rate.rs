use std::time::Duration;

use crate::Timestamp;

/// Weight of a new attempt in the moving average.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Time constant of the decay: without attempts the rate falls by a factor of e in this time.
const DECAY_TIME: Duration = Duration::from_secs(3);

/// Share of recent attempts that targets rejected or failed, as an exponentially decaying average.
#[derive(Debug, Default)]
pub struct FailureRate {
    rate: f64,
    updated_at: Timestamp,
}

impl FailureRate {
    /// Records the end of an attempt.
    pub fn record(&mut self, now: Timestamp, failed: bool) {
        let new_value = if failed { 1.0 } else { 0.0 };
        self.rate = self.get(now) * (1.0 - SAMPLE_WEIGHT) + new_value * SAMPLE_WEIGHT;
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
        (self.get(now) * 1000.0) as u16
    }

    /// The rate at `now`, from 0 to 1.
    pub(super) fn get(&self, now: Timestamp) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        self.rate * (-age / DECAY_TIME.as_secs_f64()).exp()
    }
}
