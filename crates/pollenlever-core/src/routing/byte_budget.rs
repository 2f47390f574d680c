use crate::Timestamp;

/// Capacity of the bucket, in seconds of the rate.
const BURST_SECS: f64 = 1.0;

/// Token bucket for the bytes sent to and received from other regions. It may go below zero: a
/// request is allowed while any tokens are left, and its bytes are subtracted afterwards.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ByteBudget {
    rate: f64,
    tokens: f64,
    last_refill: Timestamp,
}

impl ByteBudget {
    /// Sets the rate in bytes per second; 0 means no limit. A changed rate refills the bucket.
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
        let refilled = self.rate * now.saturating_sub(self.last_refill).as_secs_f64();
        self.tokens = (self.tokens + refilled).min(self.rate * BURST_SECS);
        self.last_refill = now;
    }
}
