use std::time::Duration;

use super::{Tally, Verdict};

/// Buckets of one window; a sum reaches back by at most one bucket more than the window.
const BUCKETS: u32 = 12;

/// Counts over the last `window`, in a fixed number of buckets.
///
/// ```
/// use std::time::Duration;
/// use pollenlever::telemetry::{Verdict, WindowRing};
/// let mut ring = WindowRing::new(Duration::from_secs(300));
/// ring.add(Duration::from_secs(10), Verdict::Good);
/// assert_eq!(ring.sum(Duration::from_secs(20)).good, 1);
/// assert_eq!(ring.sum(Duration::from_secs(400)).good, 0);
/// ```
#[derive(Debug, Clone)]
pub struct WindowRing {
    window: Duration,
    buckets: Vec<Bucket>,
}

#[derive(Debug, Clone, Default)]
struct Bucket {
    number: u128,
    tally: Tally,
}

impl WindowRing {
    /// Starts with no counts.
    pub fn new(window: Duration) -> WindowRing {
        WindowRing { window, buckets: vec![Bucket::default(); BUCKETS as usize + 1] }
    }

    /// The window.
    pub fn window(&self) -> Duration {
        self.window
    }

    /// Counts one call at `now`, the time since the node started.
    pub fn add(&mut self, now: Duration, verdict: Verdict) {
        let number = self.bucket_number(now);
        let slot = (number % self.buckets.len() as u128) as usize;
        let bucket = &mut self.buckets[slot];
        if bucket.number != number {
            *bucket = Bucket { number, tally: Tally::default() };
        }
        bucket.tally.add(verdict);
    }

    /// Sums the buckets of the window that ends at `now`.
    pub fn sum(&self, now: Duration) -> Tally {
        let newest = self.bucket_number(now);
        let oldest = newest.saturating_sub(u128::from(BUCKETS));
        let mut sum = Tally::default();
        for bucket in self.buckets.iter().filter(|it| (oldest..=newest).contains(&it.number)) {
            sum.merge(&bucket.tally);
        }
        sum
    }

    fn bucket_number(&self, now: Duration) -> u128 {
        now.as_nanos() / (self.window / BUCKETS).as_nanos()
    }
}
