use crate::Timestamp;

/// Capacity of the bucket, in seconds of the rate.
const BURST_SECS: f64 = 1.0;

/// Token bucket for the bytes sent to and received from other regions. It may go below zero: a
/// request is allowed while any tokens are left, and its bytes are subtracted afterwards.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ByteBudget {
    bytes_per_s: f64,
    tokens: f64,
    last_refill: Timestamp,
}

impl ByteBudget {
    /// Sets the rate in bytes per second; 0 means no limit. A changed rate refills the bucket.
    pub(super) fn set_rate(&mut self, bytes_per_s: u64) {
        let bytes_per_s = bytes_per_s as f64;
        if bytes_per_s != self.bytes_per_s {
            self.bytes_per_s = bytes_per_s;
            self.tokens = bytes_per_s * BURST_SECS;
        }
    }

    pub(super) fn spend(&mut self, now: Timestamp, bytes: u64) {
        self.refill(now);
        self.tokens -= bytes as f64;
    }

    pub(super) fn allows(&mut self, now: Timestamp) -> bool {
        self.refill(now);
        self.bytes_per_s == 0.0 || self.tokens > 0.0
    }

    fn refill(&mut self, now: Timestamp) {
        let refilled = self.bytes_per_s * now.saturating_sub(self.last_refill).as_secs_f64();
        self.tokens = (self.tokens + refilled).min(self.bytes_per_s * BURST_SECS);
        self.last_refill = now;
    }
}
