use std::time::Duration;

use super::{Verdict, VerdictCounts};

/// Number of buckets into which a window is divided. A sum covers the window and at most one bucket
/// more.
const BUCKETS: u32 = 12;

/// Counts over a sliding window, kept in a ring buffer with a fixed number of buckets.
///
/// ```
/// use std::time::Duration;
/// use pollenlever::telemetry::{Verdict, WindowRing};
/// let mut ring = WindowRing::new(Duration::from_secs(300));
/// ring.record_call(Duration::from_secs(10), Verdict::Good);
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
    /// Number of the bucket since the node started; tells whether a ring entry is out of date.
    number: u128,
    verdict_counts: VerdictCounts,
}

impl WindowRing {
    /// Creates an empty ring for a window of the given length.
    pub fn new(window: Duration) -> WindowRing {
        WindowRing { window, buckets: vec![Bucket::default(); BUCKETS as usize + 1] }
    }

    /// Returns the length of the window.
    pub fn window(&self) -> Duration {
        self.window
    }

    /// Records one call that ended at `now`, the time since the node started.
    pub fn record_call(&mut self, now: Duration, verdict: Verdict) {
        let number = self.bucket_number(now);
        let slot = (number % self.buckets.len() as u128) as usize;
        let bucket = &mut self.buckets[slot];
        if bucket.number != number {
            *bucket = Bucket { number, verdict_counts: VerdictCounts::default() };
        }
        bucket.verdict_counts.record_call(verdict);
    }

    /// Returns the sum over the window that ends at `now`.
    pub fn sum(&self, now: Duration) -> VerdictCounts {
        let newest = self.bucket_number(now);
        let oldest = newest.saturating_sub(u128::from(BUCKETS));
        let mut sum = VerdictCounts::default();
        for bucket in self.buckets.iter().filter(|it| (oldest..=newest).contains(&it.number)) {
            sum.merge(&bucket.verdict_counts);
        }
        sum
    }

    fn bucket_number(&self, now: Duration) -> u128 {
        now.as_nanos() / (self.window / BUCKETS).as_nanos()
    }
}
