use std::time::Duration;

use super::PriorityAdmission;
use crate::Timestamp;
use crate::admission::class::Class;
use crate::admission::waiting::Waiting;

/// Longest wait for the rate limit of the target for which a request is queued. If it is longer,
/// another gate may serve the request sooner.
const MAX_RATE_LIMIT_WAIT: Duration = Duration::from_millis(500);

/// How long requests are expected to wait, and for how long they may.
impl PriorityAdmission {
    /// Mean time between two starts while the gate runs as many requests as it may.
    pub(super) fn start_interval(&self) -> Duration {
        (self.service_times.mean() / self.limit()).max(self.rate_limiter.interval())
    }

    /// Latest time at which a request of `class` may start. After it the request is shed.
    pub(super) fn latest_start(
        &self,
        now: Timestamp,
        class: Class,
        deadline: Timestamp,
    ) -> Timestamp {
        deadline.saturating_sub(self.service_times.expected(now, class))
    }

    /// Longest wait in a standing queue. It grows with the service time, so that slow targets still
    /// have a request ready for each slot that becomes free, and with the depth, since shedding a
    /// deeper call wastes more work. With a rate limit it lasts at least until the next start, so
    /// that the most important request that came since the last one gets it.
    pub(super) fn longest_wait(&self, depth: u8) -> Duration {
        let wait = self.settings.queue_delay.max(self.service_times.mean() / 2);
        let until_start = self.rate_limiter.interval().min(MAX_RATE_LIMIT_WAIT);
        (wait * (1 + 2 * u32::from(depth))).max(until_start)
    }

    /// Whether the request can finish by its deadline if it runs after those ahead of it.
    pub(super) fn can_finish(&self, now: Timestamp, waiting: &Waiting) -> bool {
        let latest_start = self.latest_start(now, waiting.class(), waiting.ticket.deadline);
        now + self.expected_wait(now, waiting) <= latest_start
    }

    /// Time until the request can start if it runs after those ahead of it.
    pub(super) fn expected_wait(&self, now: Timestamp, waiting: &Waiting) -> Duration {
        let ahead_count = self.queue.count_above(waiting.class()) as u32;
        self.rate_limiter.wait(now) + self.start_interval() * ahead_count
    }

    /// Whether the rate limit would make the request wait for too long.
    pub(super) fn is_rate_limited(&self, now: Timestamp, waiting: &Waiting) -> bool {
        self.rate_limiter.is_limited() && self.expected_wait(now, waiting) > MAX_RATE_LIMIT_WAIT
    }
}
