use std::time::Duration;

use crate::Timestamp;

/// A sum that forgets exponentially.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Decayed {
    sum: f64,
    at: Timestamp,
}

impl Decayed {
    pub(crate) fn add(&mut self, now: Timestamp, memory: Duration, amount: f64) {
        self.sum = self.get(now, memory) + amount;
        self.at = now;
    }

    pub(crate) fn get(&self, now: Timestamp, memory: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.sum * (-age / memory.as_secs_f64()).exp()
    }
}
