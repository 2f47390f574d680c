use std::time::Duration;

use super::recent_counts::{BUCKETS, RecentCounts};
use super::{FailureRate, RetryPriority};
use crate::Timestamp;

/// Limit of the requests of an earlier window that earn retries, as a multiple of those in the
/// current window. With a larger value, nodes could send more retries for requests that have since
/// moved to other nodes.
const MAX_EARLIER_RATIO: f64 = 2.0;
/// Upper bound of the ratio of attempts that fail, which bounds the retries that one request is
/// expected to need.
const MAX_FAILURE_RATIO: f64 = 0.9;

/// Requests, retries and attempts of one service, as its retry budget needs them.
#[derive(Debug)]
pub(super) struct ServiceCounts {
    window: Duration,
    requests: RecentCounts,
    retries: RecentCounts,
    by_priority: Vec<PriorityCounts>,
    failures: FailureRate,
}

/// Requests and retries of one priority.
#[derive(Debug)]
struct PriorityCounts {
    priority: RetryPriority,
    requests: RecentCounts,
    retries: RecentCounts,
}

impl ServiceCounts {
    pub(super) fn new(window: Duration) -> ServiceCounts {
        ServiceCounts {
            window,
            requests: RecentCounts::new(window),
            retries: RecentCounts::new(window),
            by_priority: Vec::new(),
            failures: FailureRate::default(),
        }
    }

    pub(super) fn record_request(&mut self, now: Timestamp, priority: RetryPriority) {
        self.requests.add(now, 1.0);
        self.of_priority(priority).requests.add(now, 1.0);
    }

    pub(super) fn record_retry(&mut self, now: Timestamp, priority: RetryPriority, cost: f64) {
        self.retries.add(now, cost);
        self.of_priority(priority).retries.add(now, cost);
    }

    /// Records a request that repeats an earlier one with this probability.
    pub(super) fn record_repeat(&mut self, now: Timestamp, probability: f64) {
        self.retries.add(now, probability);
    }

    pub(super) fn record_attempt(&mut self, now: Timestamp, needs_retry: bool) {
        self.failures.record(now, needs_retry);
    }

    /// Cost of the retries in the span that began `buckets` buckets ago.
    pub(super) fn retries(&self, now: Timestamp, buckets: usize) -> f64 {
        self.retries.since(now, buckets)
    }

    /// Requests that earn the retries of the span that began `buckets` buckets ago.
    pub(super) fn requests_earning_retries(&self, now: Timestamp, buckets: usize) -> f64 {
        let requests = |from, until| self.requests.between(now, from, until);
        let in_span = requests(buckets, 0);
        let window_before = requests(buckets + BUCKETS, buckets);
        let window_around_start =
            requests(buckets + BUCKETS / 2, buckets.saturating_sub(BUCKETS / 2));
        let current_window = requests(BUCKETS, 0);
        in_span.max(window_before).max(window_around_start).min(MAX_EARLIER_RATIO * current_window)
    }

    /// Share of recent attempts that failed.
    pub(super) fn failure_ratio(&self, now: Timestamp) -> f64 {
        self.failures.get(now)
    }

    /// Retries that requests of higher priorities are expected to need within a window and have
    /// not spent yet.
    pub(super) fn reserved_above(&self, now: Timestamp, priority: RetryPriority) -> f64 {
        let failure_ratio = self.failure_ratio(now).min(MAX_FAILURE_RATIO);
        let retries_per_request = failure_ratio / (1.0 - failure_ratio);
        let higher = self.by_priority.iter().filter(|it| it.priority > priority);
        let unspent = higher.map(|it| {
            let needed = it.requests.since(now, BUCKETS) * retries_per_request;
            (needed - it.retries.since(now, BUCKETS)).max(0.0)
        });
        unspent.sum()
    }

    fn of_priority(&mut self, priority: RetryPriority) -> &mut PriorityCounts {
        let known = self.by_priority.iter().position(|it| it.priority == priority);
        let index = known.unwrap_or_else(|| {
            self.by_priority.push(PriorityCounts {
                priority,
                requests: RecentCounts::new(self.window),
                retries: RecentCounts::new(self.window),
            });
            self.by_priority.len() - 1
        });
        &mut self.by_priority[index]
    }
}
