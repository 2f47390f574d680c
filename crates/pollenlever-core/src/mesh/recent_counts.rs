use std::collections::VecDeque;
use std::time::Duration;

use crate::Timestamp;

/// Number of buckets into which a window is divided.
pub(super) const BUCKETS: usize = 20;
/// Number of buckets that are kept: two windows and the current bucket.
const MAX_BUCKETS: u64 = 2 * BUCKETS as u64 + 1;

/// Sums per bucket of a sliding window, for the last two windows.
#[derive(Debug)]
pub(super) struct RecentCounts {
    bucket_width: Duration,
    /// Index and sum of each bucket that is not empty, in order of time.
    sums: VecDeque<(u64, f64)>,
}

impl RecentCounts {
    pub(super) fn new(window: Duration) -> RecentCounts {
        let bucket_width = (window / BUCKETS as u32).max(Duration::from_millis(1));
        RecentCounts { bucket_width, sums: VecDeque::new() }
    }

    pub(super) fn add(&mut self, now: Timestamp, amount: f64) {
        let current = self.bucket_index(now);
        while self.sums.front().is_some_and(|(at, _)| at + MAX_BUCKETS < current) {
            self.sums.pop_front();
        }
        match self.sums.back_mut() {
            Some((at, sum)) if *at >= current => *sum += amount,
            _ => self.sums.push_back((current, amount)),
        }
    }

    /// Sum of the last `buckets` buckets and the current one.
    pub(super) fn since(&self, now: Timestamp, buckets: usize) -> f64 {
        self.between(now, buckets, 0)
    }

    /// Sum of the buckets from `from` buckets ago until before `until` buckets ago. With `until` 0,
    /// the current bucket is included.
    pub(super) fn between(&self, now: Timestamp, from: usize, until: usize) -> f64 {
        let current = self.bucket_index(now);
        let first = current.saturating_sub(from as u64);
        let end = if until == 0 { u64::MAX } else { current.saturating_sub(until as u64) };
        let within = self.sums.iter().rev().take_while(|(at, _)| *at >= first);
        within.filter(|(at, _)| *at < end).map(|(_, sum)| sum).sum()
    }

    fn bucket_index(&self, now: Timestamp) -> u64 {
        (now.as_nanos() / self.bucket_width.as_nanos()) as u64
    }
}
