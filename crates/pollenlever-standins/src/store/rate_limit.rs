use std::time::Instant;

/// Token bucket with a capacity of one second's worth of calls.
#[derive(Debug)]
pub(crate) struct RateLimit {
    per_s: u32,
    tokens: f64,
    refilled: Instant,
}

impl RateLimit {
    /// Limit of `per_s` calls per second; 0 for no limit.
    pub(crate) fn new(per_s: u32) -> RateLimit {
        RateLimit { per_s, tokens: f64::from(per_s), refilled: Instant::now() }
    }

    /// Takes a token and returns true if one is available.
    pub(crate) fn try_take(&mut self, now: Instant) -> bool {
        if self.per_s == 0 {
            return true;
        }
        let limit = f64::from(self.per_s);
        let elapsed = now.saturating_duration_since(self.refilled).as_secs_f64();
        self.tokens = (self.tokens + elapsed * limit).min(limit);
        self.refilled = now;
        let admitted = self.tokens >= 1.0;
        if admitted {
            self.tokens -= 1.0;
        }
        admitted
    }
}
