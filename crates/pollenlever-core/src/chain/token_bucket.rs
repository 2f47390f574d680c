use crate::Timestamp;

/// A bucket of tokens that fills by time and by deposits.
#[derive(Debug, Clone)]
pub(crate) struct TokenBucket {
    tokens: f64,
    capacity: f64,
    per_second: f64,
    refilled: Timestamp,
}

impl TokenBucket {
    /// A full bucket.
    pub(crate) fn new(now: Timestamp, capacity: f64, per_second: f64) -> TokenBucket {
        TokenBucket { tokens: capacity, capacity, per_second, refilled: now }
    }

    /// Adds tokens up to the capacity.
    pub(crate) fn deposit(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(self.capacity);
    }

    /// Takes one token. Returns whether there was one.
    pub(crate) fn take(&mut self, now: Timestamp) -> bool {
        self.refill(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Whether the bucket has filled up, so that forgetting it changes nothing.
    pub(crate) fn is_full(&mut self, now: Timestamp) -> bool {
        self.refill(now);
        self.tokens >= self.capacity
    }

    fn refill(&mut self, now: Timestamp) {
        let elapsed = now.saturating_sub(self.refilled).as_secs_f64();
        self.refilled = now;
        self.deposit(elapsed * self.per_second);
    }
}
