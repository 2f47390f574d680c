use std::collections::BTreeMap;
use std::time::Duration;

use super::class_limits::{Class, ClassLimits};
use super::customer_usage::CustomerUsage;
use super::queue::Queue;
use super::recent_shed::RecentShed;
use super::saturation::Saturation;
use super::service_times::ServiceTimes;
use super::shed_level::ShedLevel;
use super::waiting::Waiting;
use super::{Admission, AdmissionSettings, OrderKind, RunOutcome, Ticket, Verdict};
use crate::Timestamp;
use crate::answer::ErrorKind;
use crate::id::StreamId;
use crate::message::GateLoad;
use crate::policy::TargetNotice;

/// Admission by importance, depth, customer and chain, within a learned limit.
///
/// The queue is short: what cannot make its deadline is shed at once, and while the queue is
/// standing nothing waits longer than the settings allow. Load that the target reports about
/// itself is not used.
///
/// ```
/// use std::time::Duration;
/// use pollenlever_core::admission::{
///     Admission, AdmissionSettings, PriorityAdmission, Ticket, Verdict,
/// };
/// use pollenlever_core::config::Importance;
/// let mut admission = PriorityAdmission::new(AdmissionSettings::default());
/// admission.set_slots(Duration::ZERO, 1);
/// let ticket = Ticket {
///     id: 7,
///     service: "charging".into(),
///     importance: Importance::Critical,
///     chain: "127.0.0.1:7101@1f~2a".parse().unwrap(),
///     depth: 0,
///     customer: "bologna".into(),
///     deadline: Duration::from_secs(2),
/// };
/// let mut verdicts = Vec::new();
/// admission.offer(Duration::ZERO, ticket, &mut verdicts);
/// assert_eq!(verdicts, [Verdict::Run(7)]);
/// ```
pub struct PriorityAdmission {
    settings: AdmissionSettings,
    limits: ClassLimits,
    saturation: Saturation,
    makes_calls: bool,
    queue: Queue,
    running: BTreeMap<StreamId, Running>,
    service_times: ServiceTimes,
    usage: CustomerUsage,
    recent_shed: RecentShed,
    shed_level: ShedLevel,
    standing_since: Option<Timestamp>,
    next_wakeup: Option<Timestamp>,
}

/// A request that the target runs.
struct Running {
    class: Class,
    /// Runs at its start, itself included.
    at_once: u32,
}

impl PriorityAdmission {
    /// Admission with nothing learned yet.
    pub fn new(settings: AdmissionSettings) -> PriorityAdmission {
        PriorityAdmission {
            limits: ClassLimits::new(settings.limit),
            saturation: Saturation::default(),
            makes_calls: false,
            queue: Queue::default(),
            running: BTreeMap::new(),
            service_times: ServiceTimes::default(),
            usage: CustomerUsage::new(settings.memory),
            recent_shed: RecentShed::default(),
            shed_level: ShedLevel::default(),
            standing_since: None,
            next_wakeup: None,
            settings,
        }
    }

    /// Requests that may run at once, whatever their class.
    fn cap(&self) -> u32 {
        let slots = self.limits.slots();
        if self.makes_calls { slots.max(1) } else { slots.min(self.saturation.get()).max(1) }
    }

    /// Requests of the classes that were seen that may run at once.
    fn limit(&self) -> u32 {
        self.limits.total().clamp(1, self.cap())
    }

    /// Time between two ends of runs while the gate is full.
    fn pace(&self) -> Duration {
        self.service_times.mean() / self.limit()
    }

    fn is_standing(&self, now: Timestamp) -> bool {
        let since = self.standing_since;
        since.is_some_and(|it| now.saturating_sub(it) >= self.settings.queue_interval)
    }

    fn order(&self, now: Timestamp) -> OrderKind {
        if self.is_standing(now) { self.settings.order } else { OrderKind::Fifo }
    }

    /// Latest time at which a waiting request may start.
    fn latest_start(&self, now: Timestamp, waiting: &Waiting, standing: bool) -> Timestamp {
        let needed = self.service_times.needed(now, waiting.class());
        let latest = waiting.ticket.deadline.saturating_sub(needed);
        match waiting.ticket.depth {
            0 if standing => latest.min(waiting.arrived + self.longest_wait(0)),
            _ => latest,
        }
    }

    /// Longest wait in a standing queue: a share of the service time, so that slow targets still
    /// keep a request at hand for each slot that becomes free; longer for deeper calls, since
    /// more work is lost with them.
    fn longest_wait(&self, depth: u8) -> Duration {
        self.settings.queue_delay.max(self.service_times.mean() / 2) * (1 + 2 * u32::from(depth))
    }

    fn can_finish(&self, now: Timestamp, waiting: &Waiting) -> bool {
        let ahead = self.queue.ahead_of(waiting) as u32;
        now + self.pace() * ahead <= self.latest_start(now, waiting, false)
    }

    /// Whether requests of the class are limited more than the target is, and as many wait as run.
    fn class_is_full(&self, waiting: &Waiting) -> bool {
        let class = waiting.class();
        let limit = self.limits.get(class);
        let queued = self.queue.iter().filter(|it| it.class() == class).count();
        limit < self.cap() && self.limits.running(class) >= limit && queued as u32 >= limit
    }

    fn shed(
        &mut self,
        now: Timestamp,
        waiting: &Waiting,
        error: ErrorKind,
        verdicts: &mut Vec<Verdict>,
    ) {
        self.recent_shed.add(now, &self.settings);
        self.shed_level.shed(now, waiting.ticket.importance);
        let retry_after = self.recent_shed.retry_after(
            now,
            &self.settings,
            self.queue.len(),
            self.pace(),
            waiting.ticket.chain,
        );
        verdicts.push(Verdict::Shed { id: waiting.ticket.id, error, retry_after });
    }

    fn shed_late(&mut self, now: Timestamp, verdicts: &mut Vec<Verdict>) {
        let standing = self.is_standing(now);
        let mut late = std::mem::take(&mut self.queue);
        let least = late.iter().map(|it| it.ticket.importance).min();
        let shed = late.take_late(|it| {
            let standing = standing && Some(it.ticket.importance) == least;
            self.latest_start(now, it, standing) < now
        });
        self.queue = late;
        for waiting in shed {
            let no_time = self.latest_start(now, &waiting, false) < now;
            let error = if no_time { ErrorKind::DeadlineTooShort } else { ErrorKind::Overloaded };
            self.shed(now, &waiting, error, verdicts);
        }
    }

    fn shed_excess(&mut self, now: Timestamp, verdicts: &mut Vec<Verdict>) {
        while self.queue.len() > self.max_queue(now) {
            let order = self.settings.order;
            let Some(worst) = self.queue.pop_worst(now, &self.usage, order) else { return };
            self.shed(now, &worst, ErrorKind::Overloaded, verdicts);
        }
    }

    /// Requests that may wait: as many as start in the longest wait and in half the time to spare. New chains may exceed it
    /// until the queue is standing.
    fn max_queue(&self, now: Timestamp) -> usize {
        let pace = self.pace();
        let depth = self.queue.max_depth();
        if pace.is_zero() || (depth == 0 && !self.is_standing(now)) {
            return self.settings.max_queue;
        }
        let slack = |it: &Waiting| self.latest_start(now, it, false).saturating_sub(now);
        let slack = self.queue.iter().map(slack).max().unwrap_or_default();
        let wait = self.longest_wait(depth).min(slack / 2);
        let starts = wait.as_secs_f64() / pace.as_secs_f64();
        (starts.ceil() as usize).clamp(1, self.settings.max_queue)
    }

    fn start(&mut self, now: Timestamp, verdicts: &mut Vec<Verdict>) {
        while self.running.len() < self.cap() as usize {
            let order = self.order(now);
            let Some(best) = self.pop_best(now, order) else { return };
            let Ticket { id, importance, customer, .. } = &best.ticket;
            self.usage.add(now, *importance, customer);
            let at_once = self.running.len() as u32 + 1;
            self.limits.started(best.class());
            self.running.insert(*id, Running { class: best.class(), at_once });
            verdicts.push(Verdict::Run(*id));
        }
    }

    /// Takes the request that runs next. Deeper calls run by deadline, so that none of an admitted
    /// chain is starved, unless the queue ahead endangers a more important one.
    fn pop_best(&mut self, now: Timestamp, order: OrderKind) -> Option<Waiting> {
        let delay = self.pace() * self.queue.len() as u32;
        let is_urgent = |it: &Waiting| self.latest_start(now, it, false) < now + delay;
        let has_room = |it: &Waiting| self.limits.has_room(it.class());
        let deep = self.queue.next_deep(has_room, is_urgent);
        match deep {
            Some(id) => self.queue.remove(id),
            None => self.queue.pop_best(now, &self.usage, order, has_room),
        }
    }

    fn advance(&mut self, now: Timestamp, verdicts: &mut Vec<Verdict>) {
        self.shed_late(now, verdicts);
        self.start(now, verdicts);
        self.shed_excess(now, verdicts);
        self.note_queue(now);
    }

    fn note_queue(&mut self, now: Timestamp) {
        let delay = self.pace() * self.queue.len() as u32;
        if self.queue.is_empty() || delay < self.longest_wait(self.queue.max_depth()) / 2 {
            self.standing_since = None;
        } else {
            self.standing_since.get_or_insert(now);
        }
        self.shed_level.update(now, !self.queue.is_empty());
        let standing = self.is_standing(now);
        let late = self.queue.iter().map(|it| self.latest_start(now, it, standing)).min();
        let turns_standing = self.standing_since.map(|it| it + self.settings.queue_interval);
        let turns_standing = turns_standing.filter(|it| *it > now);
        // A request is late once its latest start has passed, not when it is reached.
        let late = late.map(|it| it.max(now) + Duration::from_millis(1));
        self.next_wakeup = [late, turns_standing].into_iter().flatten().min();
    }
}

impl Admission for PriorityAdmission {
    fn set_slots(&mut self, _now: Timestamp, slots: u32) {
        self.limits.set_slots(slots);
        self.saturation.set_slots(slots);
    }

    fn offer(&mut self, now: Timestamp, ticket: Ticket, verdicts: &mut Vec<Verdict>) {
        self.shed_level.offered(now, ticket.importance);
        let waiting = Waiting::new(now, ticket);
        if !self.can_finish(now, &waiting) {
            self.shed(now, &waiting, ErrorKind::DeadlineTooShort, verdicts);
        } else if self.class_is_full(&waiting) {
            self.shed(now, &waiting, ErrorKind::Overloaded, verdicts);
        } else {
            self.queue.push(waiting);
        }
        self.advance(now, verdicts);
    }

    fn remove(&mut self, now: Timestamp, id: StreamId) -> bool {
        let removed = self.queue.remove(id).is_some();
        self.note_queue(now);
        removed
    }

    fn finished(
        &mut self,
        now: Timestamp,
        id: StreamId,
        service_time: Duration,
        outcome: RunOutcome,
        verdicts: &mut Vec<Verdict>,
    ) {
        if let Some(Running { class, at_once }) = self.running.remove(&id) {
            if outcome == RunOutcome::Answered && !self.makes_calls {
                self.saturation.sample(now, class, service_time, at_once);
            }
            self.limits.finished(now, class, service_time, outcome);
            let unfinished = matches!(outcome, RunOutcome::Failed | RunOutcome::Cancelled);
            let too_slow = unfinished && service_time > self.service_times.mean();
            if outcome == RunOutcome::Answered || too_slow {
                self.service_times.sample(now, class, service_time);
            }
        }
        self.advance(now, verdicts);
    }

    fn note_calls(&mut self, makes_calls: bool) {
        self.makes_calls = makes_calls;
    }

    fn notice(&mut self, _now: Timestamp, _notice: &TargetNotice) {}

    fn tick(&mut self, now: Timestamp, verdicts: &mut Vec<Verdict>) {
        self.advance(now, verdicts);
    }

    fn next_wakeup(&self) -> Option<Timestamp> {
        self.next_wakeup
    }

    fn load(&self, _now: Timestamp) -> GateLoad {
        GateLoad {
            in_flight: self.running.len() as u32,
            queued: self.queue.len() as u32,
            limit: self.limit(),
            shed_below: self.shed_level.get(),
            backlog: self.pace() * self.queue.len() as u32,
            ..GateLoad::default()
        }
    }
}
