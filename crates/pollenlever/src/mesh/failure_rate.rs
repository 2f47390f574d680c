use std::time::Duration;

/// Weight of a new run in the rate.
const WEIGHT: f64 = 0.1;
/// Time without a run after which the rate has fallen by a factor of e.
const MEMORY: Duration = Duration::from_secs(3);

/// Share of the target's runs that it lately rejected or failed.
#[derive(Debug, Default)]
pub(super) struct FailureRate {
    rate: f64,
    at: Duration,
}

impl FailureRate {
    /// Notes the end of a run.
    pub(super) fn add(&mut self, now: Duration, failed: bool) {
        let sample = if failed { 1.0 } else { 0.0 };
        self.rate = self.get(now) * (1.0 - WEIGHT) + sample * WEIGHT;
        self.at = now;
    }

    /// The rate in thousandths.
    pub(super) fn permille(&self, now: Duration) -> u16 {
        (self.get(now) * 1000.0) as u16
    }

    fn get(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.rate * (-age / MEMORY.as_secs_f64()).exp()
    }
}
