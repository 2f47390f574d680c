mod estimates;
mod shedding;
mod starting;
mod wakeup;

use std::collections::BTreeMap;
use std::time::Duration;

use super::admitted_shares::AdmittedShares;
use super::class::Class;
use super::class_limits::ClassLimits;
use super::depth_shares::DepthShares;
use super::queue::Queue;
use super::rate_limiter::RateLimiter;
use super::recent_shed::RecentShed;
use super::saturation::Saturation;
use super::service_times::ServiceTimes;
use super::shed_level::ShedLevel;
use super::waiting::Waiting;
use super::workspace_usage::WorkspaceUsage;
use super::{Admission, AdmissionSettings, OrderKind, RunOutcome, Ticket, Verdict};
use crate::Timestamp;
use crate::answer::ErrorKind;
use crate::config::Importance;
use crate::id::StreamId;
use crate::message::GateLoad;
use crate::pace::OVERFLOW_WAIT;
use crate::policy::TargetNotice;

/// Admission by importance, depth, workspace and chain, within a learned concurrency limit
/// and the rate limit that the target states.
///
/// Deeper calls go before new chains of the same importance, but only while no smaller share of the
/// new chains runs than of the deeper calls.
///
/// The queue is kept short: requests that cannot meet their deadline are shed at once, and while
/// the queue is standing (see [`AdmissionSettings::queue_interval`]), new chains of the least
/// importance wait no longer than the settings allow. The load that the target reports about
/// itself, which may be late or wrong, is ignored.
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
///     workspace: "bologna".into(),
///     deadline: Duration::from_secs(2),
/// };
/// let mut verdicts = Vec::new();
/// admission.offer(Duration::ZERO, ticket, &mut verdicts);
/// assert_eq!(verdicts, [Verdict::Run(7)]);
/// ```
pub struct PriorityAdmission {
    settings: AdmissionSettings,
    limits: ClassLimits,
    /// Learned concurrency above which the target's throughput falls.
    saturation: Saturation,
    /// Whether the target calls other services while it runs requests.
    makes_calls: bool,
    rate_limiter: RateLimiter,
    /// Number of runs of a started target above which requests wait for a moment first.
    start_pace: Option<u32>,
    queue: Queue,
    running: BTreeMap<StreamId, Running>,
    service_times: ServiceTimes,
    usage: WorkspaceUsage,
    depth_shares: DepthShares,
    admitted_shares: AdmittedShares,
    recent_shed: RecentShed,
    shed_level: ShedLevel,
    /// Since when the delay of the queue has been at least half of the longest wait; `None` if it
    /// is shorter.
    standing_since: Option<Timestamp>,
    next_wakeup: Option<Timestamp>,
}

/// A request that is running on the target.
struct Running {
    class: Class,
    /// Number of concurrent runs when it started, including itself.
    concurrency: u32,
}

impl PriorityAdmission {
    /// Creates an admission with an empty queue and no learned limits.
    pub fn new(settings: AdmissionSettings) -> PriorityAdmission {
        PriorityAdmission {
            limits: ClassLimits::new(settings.limit),
            saturation: Saturation::default(),
            makes_calls: false,
            rate_limiter: RateLimiter::default(),
            start_pace: None,
            queue: Queue::default(),
            running: BTreeMap::new(),
            service_times: ServiceTimes::default(),
            usage: WorkspaceUsage::new(settings.decay_time),
            depth_shares: DepthShares::default(),
            admitted_shares: AdmittedShares::default(),
            recent_shed: RecentShed::default(),
            shed_level: ShedLevel::default(),
            standing_since: None,
            next_wakeup: None,
            settings,
        }
    }

    /// Sets the number of runs that a started target may be offered; `None` if it is not limited. A
    /// request that has waited for [`OVERFLOW_WAIT`] runs above it.
    ///
    /// ```
    /// use std::time::Duration;
    /// use pollenlever_core::admission::{Admission, AdmissionSettings, PriorityAdmission};
    /// let mut admission = PriorityAdmission::new(AdmissionSettings::default());
    /// admission.set_slots(Duration::ZERO, 36);
    /// admission.set_start_pace(Some(9));
    /// assert_eq!(admission.load(Duration::ZERO).limit, 9);
    /// ```
    pub fn set_start_pace(&mut self, limit: Option<u32>) {
        self.start_pace = limit;
    }

    /// Share of the chains of an importance that the target can serve, from 0 to 1.
    ///
    /// ```
    /// use pollenlever_core::admission::{AdmissionSettings, PriorityAdmission};
    /// use pollenlever_core::config::Importance;
    /// let admission = PriorityAdmission::new(AdmissionSettings::default());
    /// assert_eq!(admission.admitted_share(Importance::Normal), 1.0);
    /// ```
    pub fn admitted_share(&self, importance: Importance) -> f64 {
        self.admitted_shares.get(importance)
    }

    /// Whether a started target runs as many requests as it may be offered.
    fn has_reached_pace(&self) -> bool {
        self.start_pace.is_some_and(|it| self.running.len() >= it as usize)
    }

    /// Time for which a request has to wait before it may start.
    fn min_wait(&self) -> Duration {
        if self.has_reached_pace() { OVERFLOW_WAIT } else { Duration::ZERO }
    }

    /// Upper bound of concurrent runs over all classes. The saturation of a target that makes calls
    /// is not known, since its service times depend on the services that it calls.
    fn max_concurrency(&self) -> u32 {
        let slots = self.limits.slots();
        if self.makes_calls { slots.max(1) } else { slots.min(self.saturation.get()).max(1) }
    }

    /// Concurrency limit over all classes seen so far.
    fn limit(&self) -> u32 {
        self.limits.total().clamp(1, self.max_concurrency())
    }

    /// Concurrency at which the target gets no more requests than its rate limit allows.
    fn rate_limited_concurrency(&self) -> u32 {
        let rate = self.rate_limiter.rate();
        let mean_s = self.service_times.mean().as_secs_f64();
        rate.map_or(u32::MAX, |it| (it * mean_s).ceil() as u32).max(1)
    }

    /// Whether the queue has been delayed for so long that it is not just absorbing a burst. With a
    /// rate limit it never absorbs one.
    fn is_standing(&self, now: Timestamp) -> bool {
        if self.rate_limiter.is_limited() {
            return true;
        }
        let since = self.standing_since;
        since.is_some_and(|it| now.saturating_sub(it) >= self.settings.queue_interval)
    }

    /// Order among requests of the same importance, depth and workspace.
    fn order(&self, now: Timestamp) -> OrderKind {
        if self.is_standing(now) { self.settings.order } else { OrderKind::Fifo }
    }

    /// Whether the class has a lower limit than the target, has reached it, and already has that
    /// many waiting requests.
    fn is_class_full(&self, waiting: &Waiting) -> bool {
        let class = waiting.class();
        let limit = self.limits.get(class);
        let queued = self.queue.count_of(class);
        limit < self.max_concurrency()
            && self.limits.running(class) >= limit
            && queued as u32 >= limit
    }

    fn advance(&mut self, now: Timestamp, verdicts: &mut Vec<Verdict>) {
        self.shed_late(now, verdicts);
        self.start_waiting(now, verdicts);
        self.shed_excess(now, verdicts);
        self.update_queue_state(now);
    }
}

impl Admission for PriorityAdmission {
    fn set_slots(&mut self, _now: Timestamp, slots: u32) {
        self.limits.set_slots(slots);
        self.saturation.set_slots(slots);
    }

    fn offer(&mut self, now: Timestamp, ticket: Ticket, verdicts: &mut Vec<Verdict>) {
        self.shed_level.record_offered(now, ticket.importance);
        self.depth_shares.record_offered(now, ticket.importance, ticket.depth);
        let waiting = Waiting::new(now, ticket);
        let service_time = self.service_times.mean_of(waiting.class());
        self.admitted_shares.record_offered(now, waiting.ticket.importance, service_time);
        if self.is_rate_limited(now, &waiting) {
            self.shed(now, &waiting, ErrorKind::RateLimited, verdicts);
        } else if !self.can_finish(now, &waiting) {
            self.shed(now, &waiting, ErrorKind::DeadlineTooShort, verdicts);
        } else if self.is_class_full(&waiting) {
            self.shed(now, &waiting, ErrorKind::Overloaded, verdicts);
        } else {
            self.queue.push(waiting);
        }
        self.advance(now, verdicts);
    }

    fn remove(&mut self, now: Timestamp, id: StreamId) -> bool {
        let removed = self.queue.remove(id).is_some();
        self.update_queue_state(now);
        removed
    }

    fn record_finished(
        &mut self,
        now: Timestamp,
        id: StreamId,
        service_time: Duration,
        outcome: RunOutcome,
        verdicts: &mut Vec<Verdict>,
    ) {
        if let Some(Running { class, concurrency }) = self.running.remove(&id) {
            if outcome == RunOutcome::Answered && !self.makes_calls {
                self.saturation.record_run(now, class, service_time, concurrency);
            }
            self.limits.record_finished(now, class, service_time, outcome);
            // Of the failed and cancelled runs only the slow ones count: short ones would lower the
            // mean.
            let is_unfinished = matches!(outcome, RunOutcome::Failed | RunOutcome::Cancelled);
            let is_slow_unfinished = is_unfinished && service_time > self.service_times.mean();
            if outcome == RunOutcome::Answered || is_slow_unfinished {
                self.service_times.record_run(now, class, service_time);
            }
        }
        self.advance(now, verdicts);
    }

    fn set_rate_limit(
        &mut self,
        now: Timestamp,
        per_second: Option<f64>,
        verdicts: &mut Vec<Verdict>,
    ) {
        self.rate_limiter.set_rate(now, per_second);
        self.advance(now, verdicts);
    }

    fn set_makes_calls(&mut self, makes_calls: bool) {
        self.makes_calls = makes_calls;
    }

    fn handle_target_notice(&mut self, _now: Timestamp, _notice: &TargetNotice) {}

    fn tick(&mut self, now: Timestamp, verdicts: &mut Vec<Verdict>) {
        self.advance(now, verdicts);
    }

    fn next_wakeup(&self) -> Option<Timestamp> {
        self.next_wakeup
    }

    fn load(&self, now: Timestamp) -> GateLoad {
        GateLoad {
            in_flight: self.running.len() as u32,
            queued: self.queue.len() as u32,
            limit: self
                .limit()
                .min(self.rate_limited_concurrency())
                .min(self.start_pace.unwrap_or(u32::MAX).max(1)),
            shed_below: self.shed_level.get(),
            queue_drain_time: self.start_interval() * self.queue.len() as u32,
            rate_limit_wait: self.rate_limiter.wait(now),
            ..GateLoad::default()
        }
    }
}
