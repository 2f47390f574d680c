use crate::Timestamp;

/// Seconds of the rate that may be spent at once.
const BURST_SECS: f64 = 1.0;

/// Token bucket over the bytes sent to and got from other regions; debts are allowed.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ByteBudget {
    rate: f64,
    tokens: f64,
    at: Timestamp,
}

impl ByteBudget {
    /// Sets the rate in bytes a second; 0 for no limit.
    pub(super) fn set_rate(&mut self, rate: u64) {
        let rate = rate as f64;
        if rate != self.rate {
            self.rate = rate;
            self.tokens = rate * BURST_SECS;
        }
    }

    pub(super) fn spend(&mut self, now: Timestamp, bytes: u64) {
        self.refill(now);
        self.tokens -= bytes as f64;
    }

    pub(super) fn allows(&mut self, now: Timestamp) -> bool {
        self.refill(now);
        self.rate == 0.0 || self.tokens > 0.0
    }

    fn refill(&mut self, now: Timestamp) {
        let gained = self.rate * now.saturating_sub(self.at).as_secs_f64();
        self.tokens = (self.tokens + gained).min(self.rate * BURST_SECS);
        self.at = now;
    }
}
