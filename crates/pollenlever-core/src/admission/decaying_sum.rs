use std::time::Duration;

use crate::Timestamp;

/// A sum that decays exponentially: by a factor of e in each `decay_time`.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct DecayingSum {
    sum: f64,
    updated: Timestamp,
}

impl DecayingSum {
    pub(crate) fn add(&mut self, now: Timestamp, decay_time: Duration, amount: f64) {
        self.sum = self.get(now, decay_time) + amount;
        self.updated = now;
    }

    pub(crate) fn get(&self, now: Timestamp, decay_time: Duration) -> f64 {
        let age = now.saturating_sub(self.updated).as_secs_f64();
        self.sum * (-age / decay_time.as_secs_f64()).exp()
    }
}
