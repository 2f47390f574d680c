use std::time::Duration;

use super::PriorityAdmission;
use crate::Timestamp;
use crate::admission::class_queue::ClassQueue;
use crate::pace::OVERFLOW_WAIT;

/// Time after the latest start of a request at which it is shed.
const AFTER_LATEST_START: Duration = Duration::from_millis(1);

/// What depends on the length of the queue, and when to look at it again.
impl PriorityAdmission {
    /// When the next waiting request may run above the pace.
    fn next_overflow(&self, now: Timestamp) -> Option<Timestamp> {
        let waits = |queue: &ClassQueue| match now.checked_sub(OVERFLOW_WAIT) {
            Some(time) => queue.arrivals_after(time).next(),
            None => queue.earliest_arrival(),
        };
        self.queue.classes().filter_map(|it| waits(it.1)).min().map(|it| it + OVERFLOW_WAIT)
    }

    /// Updates what depends on the length of the queue, and the time of the next wakeup.
    pub(super) fn update_queue_state(&mut self, now: Timestamp) {
        let backlog = self.service_times.mean() * self.queue.len() as u32;
        self.admitted_shares.update(now, self.max_concurrency(), backlog);
        let delay = self.start_interval() * self.queue.len() as u32;
        if self.queue.is_empty() || delay < self.longest_wait(self.queue.max_depth()) / 2 {
            self.standing_since = None;
        } else {
            self.standing_since.get_or_insert(now);
        }
        self.shed_level.update(now, !self.queue.is_empty());
        self.next_wakeup = self.wakeup_after(now);
    }

    /// The next time at which requests may start or be late, or the queue may become standing.
    fn wakeup_after(&self, now: Timestamp) -> Option<Timestamp> {
        let standing_at = self.standing_since.map(|it| it + self.settings.queue_interval);
        let standing_at = standing_at.filter(|it| *it > now);
        // A request is late only after its latest start.
        let late_at = self.earliest_latest_start(now).map(|it| it.max(now) + AFTER_LATEST_START);
        let wait = self.rate_limiter.wait(now);
        let start_at = (!self.queue.is_empty() && !wait.is_zero()).then_some(now + wait);
        let overflow_at = if self.has_reached_pace() { self.next_overflow(now) } else { None };
        [late_at, standing_at, start_at, overflow_at].into_iter().flatten().min()
    }

    /// Earliest time at which a waiting request must have started.
    fn earliest_latest_start(&self, now: Timestamp) -> Option<Timestamp> {
        let is_standing = self.is_standing(now);
        let latest_starts = self.queue.classes().filter_map(|(class, queue)| {
            let latest = self.latest_start(now, class, queue.earliest_deadline()?);
            let longest_wait = queue.earliest_arrival()? + self.longest_wait(0);
            Some(if is_standing && class.is_new_chain() {
                latest.min(longest_wait)
            } else {
                latest
            })
        });
        latest_starts.min()
    }
}
