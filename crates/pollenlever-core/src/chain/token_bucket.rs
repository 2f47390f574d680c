use crate::Timestamp;

/// Token bucket that is refilled over time and by deposits.
#[derive(Debug, Clone)]
pub(crate) struct TokenBucket {
    tokens: f64,
    capacity: f64,
    per_second: f64,
    last_refill: Timestamp,
}

impl TokenBucket {
    /// Creates a full bucket that regains `per_second` tokens per second.
    pub(crate) fn new(now: Timestamp, capacity: f64, per_second: f64) -> TokenBucket {
        TokenBucket { tokens: capacity, capacity, per_second, last_refill: now }
    }

    /// Adds tokens up to the capacity.
    pub(crate) fn deposit(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(self.capacity);
    }

    /// Takes one token. Returns false if less than one is left.
    pub(crate) fn try_take(&mut self, now: Timestamp) -> bool {
        self.refill(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Whether the bucket is full, so that it can be removed and created anew without effect.
    pub(crate) fn is_full(&mut self, now: Timestamp) -> bool {
        self.refill(now);
        self.tokens >= self.capacity
    }

    fn refill(&mut self, now: Timestamp) {
        let elapsed = now.saturating_sub(self.last_refill).as_secs_f64();
        self.last_refill = now;
        self.deposit(elapsed * self.per_second);
    }
}
