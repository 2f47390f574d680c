use super::PriorityAdmission;
use crate::Timestamp;
use crate::admission::Verdict;
use crate::admission::class::Class;
use crate::admission::lateness_limits::LatenessLimits;
use crate::admission::waiting::Waiting;
use crate::answer::ErrorKind;

/// Which waiting requests are shed, and when their callers may retry.
impl PriorityAdmission {
    pub(super) fn shed(
        &mut self,
        now: Timestamp,
        waiting: &Waiting,
        error: ErrorKind,
        verdicts: &mut Vec<Verdict>,
    ) {
        let error = self.shed_reason(error);
        self.recent_shed.record_shed(now, &self.settings);
        self.shed_level.record_shed(now, waiting.ticket.importance);
        let retry_after = self.recent_shed.retry_after(
            now,
            &self.settings,
            self.queue.len(),
            self.start_interval(),
            waiting.ticket.chain,
        );
        verdicts.push(Verdict::Shed { id: waiting.ticket.id, error, retry_after });
    }

    /// Reason for shedding a request now: the rate limit if only that keeps it from starting,
    /// otherwise `error`.
    fn shed_reason(&self, error: ErrorKind) -> ErrorKind {
        let has_slot = self.running.len() < self.max_concurrency() as usize;
        if self.rate_limiter.is_limited() && has_slot { ErrorKind::RateLimited } else { error }
    }

    /// Sheds the requests that have passed their latest start. Only the wait of the least important
    /// ones in a standing queue is limited, and not if they have waited for the rate limit, which
    /// allows a start now.
    pub(super) fn shed_late(&mut self, now: Timestamp, verdicts: &mut Vec<Verdict>) {
        let may_start = self.rate_limiter.is_limited() && self.rate_limiter.allows_start(now);
        let is_standing = self.is_standing(now) && !may_start;
        let least_important = self.queue.min_importance();
        let longest_wait = self.longest_wait(0);
        let service_times = &self.service_times;
        let late = self.queue.take_late(|class| {
            let limits_wait =
                is_standing && Some(class.importance) == least_important && class.is_new_chain();
            let arrival = limits_wait.then(|| now.saturating_sub(longest_wait));
            LatenessLimits { deadline: now + service_times.expected(now, class), arrival }
        });
        for waiting in late {
            let latest_start = self.latest_start(now, waiting.class(), waiting.ticket.deadline);
            let cannot_finish = latest_start < now;
            let error =
                if cannot_finish { ErrorKind::DeadlineTooShort } else { ErrorKind::Overloaded };
            self.shed(now, &waiting, error, verdicts);
        }
    }

    pub(super) fn shed_excess(&mut self, now: Timestamp, verdicts: &mut Vec<Verdict>) {
        while self.queue.len() > self.max_queue(now) {
            let order = self.settings.order;
            let shares = &self.depth_shares;
            let is_preferred = |class: Class| {
                class.is_new_chain() && shares.prefers_new_chains(now, class.importance)
            };
            let worst = self.queue.pop_worst(now, &self.usage, order, is_preferred);
            let Some(worst) = worst else { return };
            self.shed(now, &worst, ErrorKind::Overloaded, verdicts);
        }
    }

    /// Maximum length of the queue: the number of requests that can start within the longest wait,
    /// or within half of the longest time that remains until a waiting request's latest start, if
    /// that is shorter. It is `max_queue` of the settings if only new chains wait and the queue is
    /// not standing, or if no service time is known yet.
    fn max_queue(&self, now: Timestamp) -> usize {
        let start_interval = self.start_interval();
        let depth = self.queue.max_depth();
        if start_interval.is_zero() || (depth == 0 && !self.is_standing(now)) {
            return self.settings.max_queue;
        }
        let times_to_spare = self.queue.classes().filter_map(|(class, queue)| {
            let latest = self.latest_start(now, class, queue.latest_deadline()?);
            Some(latest.saturating_sub(now))
        });
        let time_to_spare = times_to_spare.max().unwrap_or_default();
        let wait = self.longest_wait(depth).min(time_to_spare / 2);
        let starts = wait.as_secs_f64() / start_interval.as_secs_f64();
        (starts.ceil() as usize).clamp(1, self.settings.max_queue)
    }
}
