use std::time::Duration;

use crate::Timestamp;

/// Weight of a new run in the rate.
const WEIGHT: f64 = 0.1;
/// Time without a run after which the rate has fallen by a factor of e.
const MEMORY: Duration = Duration::from_secs(3);

/// Share of the target's runs that it lately rejected or failed.
#[derive(Debug, Default)]
pub struct FailureRate {
    rate: f64,
    at: Timestamp,
}

impl FailureRate {
    /// Notes the end of a run.
    pub fn add(&mut self, now: Timestamp, failed: bool) {
        let sample = if failed { 1.0 } else { 0.0 };
        self.rate = self.get(now) * (1.0 - WEIGHT) + sample * WEIGHT;
        self.at = now;
    }

    /// The rate in thousandths.
    ///
    /// ```
    /// use std::time::Duration;
    /// use pollenlever_core::mesh::FailureRate;
    /// let mut rate = FailureRate::default();
    /// for _ in 0..50 {
    ///     rate.add(Duration::ZERO, true);
    /// }
    /// assert!(rate.permille(Duration::ZERO) > 900);
    /// assert!(rate.permille(Duration::from_secs(30)) < 10);
    /// ```
    pub fn permille(&self, now: Timestamp) -> u16 {
        (self.get(now) * 1000.0) as u16
    }

    fn get(&self, now: Timestamp) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.rate * (-age / MEMORY.as_secs_f64()).exp()
    }
}
