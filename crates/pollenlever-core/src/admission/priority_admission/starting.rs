use super::{PriorityAdmission, Running};
use crate::Timestamp;
use crate::admission::class::Class;
use crate::admission::class_queue::ClassQueue;
use crate::admission::waiting::Waiting;
use crate::admission::{OrderKind, Ticket, Verdict};
use crate::id::StreamId;

/// Which waiting requests start.
impl PriorityAdmission {
    /// Starts waiting requests while the target may run more.
    pub(super) fn start_waiting(&mut self, now: Timestamp, verdicts: &mut Vec<Verdict>) {
        while self.running.len() < self.max_concurrency() as usize
            && self.rate_limiter.allows_start(now)
        {
            let order = self.order(now);
            let Some(best) = self.pop_best(now, order) else { return };
            let Ticket { id, importance, workspace, .. } = &best.ticket;
            self.usage.record_run(now, *importance, workspace);
            self.depth_shares.record_started(now, *importance, best.ticket.depth);
            let concurrency = self.running.len() as u32 + 1;
            self.limits.record_start(best.class());
            self.rate_limiter.record_start(now);
            self.running.insert(*id, Running { class: best.class(), concurrency });
            verdicts.push(Verdict::Run(*id));
        }
    }

    /// Whether a class has room for one more run and a waiting request that may start.
    fn is_startable(&self, class: Class, queue: &ClassQueue, latest_arrival: Timestamp) -> bool {
        self.limits.has_room(class) && queue.earliest_arrival() <= Some(latest_arrival)
    }

    /// Removes and returns the request to run next. Deeper calls run by deadline, so that no call
    /// of an admitted chain is starved. Calls that would miss their latest start if they ran
    /// after the whole queue run first, the most important of them before the others.
    fn pop_best(&mut self, now: Timestamp, order: OrderKind) -> Option<Waiting> {
        let latest_arrival = now.checked_sub(self.min_wait())?;
        let startable = |(class, queue): &(Class, &ClassQueue)| {
            self.is_startable(*class, queue, latest_arrival)
        };
        let startable: Vec<Class> = self.queue.classes().filter(startable).map(|it| it.0).collect();
        let highest = startable.last()?;
        let importance = highest.importance;
        let new_chains = Class { importance, depth: 0 };
        let has_new_chains = startable.contains(&new_chains);
        let prefers_new_chains = self.depth_shares.prefers_new_chains(now, importance);
        let has_deep_calls = !highest.is_new_chain();
        if has_new_chains && (prefers_new_chains || !has_deep_calls) {
            return self.queue.pop_best_of(new_chains, latest_arrival, now, &self.usage, order);
        }
        let deep_call = self.next_deep_call(now, latest_arrival, &startable)?;
        self.queue.remove(deep_call)
    }

    /// The deeper call to run next: the one of the highest class among the urgent ones, otherwise the one
    /// with the earliest deadline.
    fn next_deep_call(
        &self,
        now: Timestamp,
        latest_arrival: Timestamp,
        startable: &[Class],
    ) -> Option<StreamId> {
        let delay = self.start_interval() * self.queue.len() as u32;
        let is_deep = |class: Class| !class.is_new_chain() && startable.contains(&class);
        let deep_classes = self.queue.classes().filter(|it| is_deep(it.0));
        let first_calls: Vec<&Waiting> =
            deep_classes.filter_map(|it| it.1.most_urgent(latest_arrival)).collect();
        let is_urgent =
            |it: &&&Waiting| self.latest_start(now, it.class(), it.ticket.deadline) < now + delay;
        let urgent = first_calls.iter().filter(is_urgent).max_by_key(|it| it.class());
        let next = urgent.or_else(|| first_calls.iter().min_by_key(|it| it.ticket.deadline));
        next.map(|it| it.ticket.id)
    }
}
