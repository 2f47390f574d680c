use std::time::Duration;

use crate::Timestamp;

/// Time in which unused starts add up: after a pause, as many requests may start at once.
const BURST_TIME: Duration = Duration::from_millis(250);
/// Lowest rate that is enforced, per second. A target that gets no requests at all could not state
/// a higher rate in its answers.
const MIN_RATE: f64 = 0.1;
/// Share of a start that may be missing because of rounding.
const ROUNDING: f64 = 1e-6;

/// Token bucket that limits how many requests start per second; unlimited until a rate is set.
#[derive(Debug, Default)]
pub(super) struct RateLimiter {
    bucket: Option<Bucket>,
}

#[derive(Debug)]
struct Bucket {
    /// Starts per second.
    rate: f64,
    /// Requests that may start now.
    tokens: f64,
    updated: Timestamp,
}

impl RateLimiter {
    /// Sets the starts per second, or none. The first rate begins without unused starts, since as
    /// many requests as the target has slots may have started just before.
    pub(super) fn set_rate(&mut self, now: Timestamp, rate: Option<f64>) {
        let Some(rate) = rate else {
            self.bucket = None;
            return;
        };
        let rate = rate.max(MIN_RATE);
        let tokens = self.bucket.as_ref().map_or(0.0, |it| it.tokens_at(now));
        self.bucket = Some(Bucket { rate, tokens, updated: now });
    }

    pub(super) fn is_limited(&self) -> bool {
        self.bucket.is_some()
    }

    /// Starts per second; `None` if they are not limited.
    pub(super) fn rate(&self) -> Option<f64> {
        self.bucket.as_ref().map(|it| it.rate)
    }

    /// Whether a request may start now.
    pub(super) fn allows_start(&self, now: Timestamp) -> bool {
        self.wait(now).is_zero()
    }

    /// Records that a request starts.
    pub(super) fn record_start(&mut self, now: Timestamp) {
        if let Some(bucket) = &mut self.bucket {
            bucket.tokens = (bucket.tokens_at(now) - 1.0).max(0.0);
            bucket.updated = now;
        }
    }

    /// Time until the next request may start; zero if one may start now.
    pub(super) fn wait(&self, now: Timestamp) -> Duration {
        let Some(bucket) = &self.bucket else { return Duration::ZERO };
        let missing = 1.0 - bucket.tokens_at(now);
        if missing <= ROUNDING {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(missing / bucket.rate)
    }

    /// Mean time between two starts; zero if they are not limited.
    pub(super) fn interval(&self) -> Duration {
        self.rate().map_or(Duration::ZERO, |it| Duration::from_secs_f64(1.0 / it))
    }
}

impl Bucket {
    fn tokens_at(&self, now: Timestamp) -> f64 {
        let gained = self.rate * now.saturating_sub(self.updated).as_secs_f64();
        (self.tokens + gained).min(self.capacity())
    }

    fn capacity(&self) -> f64 {
        (self.rate * BURST_TIME.as_secs_f64()).max(1.0)
    }
}
