use std::time::Duration;

use super::RoutingSettings;
use super::report_accuracy::ReportAccuracy;
use super::tier::Tier;
use crate::Timestamp;
use crate::config::Importance;
use crate::membership::{Member, TargetState};
use crate::message::GateLoad;

/// Weight of a new sample in the moving averages of the latency and of the reported slowdown. It is
/// the same for both, so that the latency contains the slowdown that the second one tells.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Latency in seconds assumed for a node that has not replied yet.
const INITIAL_LATENCY_S: f64 = 0.001;

/// Thousandths of rejected or failed runs from which a target counts as failing.
const MIN_FAILING_PERMILLE: u16 = 200;
/// Time after which a gate whose target was reported to accept no requests is tried again.
const MAX_LEAVING_AGE: Duration = Duration::from_secs(2);
/// Age from which a reported slowdown is ignored; other work slows a VM for some 600 ms at a time.
const MAX_SLOWDOWN_AGE: Duration = Duration::from_millis(500);
/// Largest slowdown that is used, as a factor, so that a false report has a bounded effect.
const MAX_SLOWDOWN: f64 = 3.0;
/// Time after which a failing target is tried again.
const MAX_FAILING_AGE: Duration = Duration::from_secs(1);

/// State of one node as learned from its replies and from membership.
#[derive(Debug)]
pub(super) struct Peer {
    pub(super) tier: Tier,
    slots: u32,
    cold_since: Option<Timestamp>,
    in_flight: u32,
    latency_s: Option<f64>,
    /// Mean of the slowdowns reported with the replies that `latency_s` is the mean of.
    mean_slowdown: Option<f64>,
    load: GateLoad,
    load_received: Option<Timestamp>,
    /// Requests sent since `load` was received, which `load` does not include.
    unreported: u32,
    consecutive_failures: u32,
    retry_at: Timestamp,
    leaving: bool,
}

impl Peer {
    pub(super) fn new(now: Timestamp, tier: Tier, member: &Member) -> Peer {
        let is_cold = member.state == TargetState::Cold;
        Peer {
            tier,
            slots: member.slots,
            cold_since: is_cold.then_some(now),
            in_flight: 0,
            latency_s: None,
            mean_slowdown: None,
            load: GateLoad::default(),
            load_received: None,
            unreported: 0,
            consecutive_failures: 0,
            retry_at: Timestamp::ZERO,
            leaving: false,
        }
    }

    pub(super) fn update(&mut self, now: Timestamp, member: &Member) {
        self.slots = member.slots;
        self.leaving = false;
        if member.state == TargetState::Cold {
            self.cold_since.get_or_insert(now);
        }
    }

    pub(super) fn record_sent(&mut self, now: Timestamp, settings: &RoutingSettings) {
        self.in_flight += 1;
        self.unreported += 1;
        if self.consecutive_failures > 0 {
            self.retry_at = now + self.backoff(settings);
        }
    }

    /// Records a reply, and how far the slowdown reported with it shows in its latency.
    pub(super) fn record_reply(
        &mut self,
        now: Timestamp,
        latency: Duration,
        load: &GateLoad,
        accuracy: &mut ReportAccuracy,
    ) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let sample_s = latency.as_secs_f64();
        let mean_latency_s = *self.latency_s.get_or_insert(sample_s);
        self.latency_s = Some(mean_latency_s + SAMPLE_WEIGHT * (sample_s - mean_latency_s));
        self.load = *load;
        if let Some(sample) = self.reported_slowdown() {
            let mean = self.mean_slowdown.get_or_insert(sample);
            if mean_latency_s > 0.0 {
                accuracy.record(sample / *mean, sample_s / mean_latency_s);
            }
            *mean += SAMPLE_WEIGHT * (sample - *mean);
        }
        self.load_received = Some(now);
        self.unreported = 0;
        self.leaving = load.leaving;
        self.consecutive_failures = 0;
    }

    pub(super) fn record_failure(&mut self, now: Timestamp, settings: &RoutingSettings) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.unreported = self.unreported.saturating_sub(1);
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.retry_at = now + self.backoff(settings);
    }

    pub(super) fn record_cancelled(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.unreported = self.unreported.saturating_sub(1);
    }

    fn backoff(&self, settings: &RoutingSettings) -> Duration {
        let doublings = self.consecutive_failures.saturating_sub(1).min(16);
        (settings.min_backoff * (1 << doublings)).min(settings.max_backoff)
    }

    /// Whether the gate recently reported that its target accepts no requests. The report expires,
    /// since the target may return and only a reply or a membership update would show it.
    pub(super) fn is_leaving(&self, now: Timestamp) -> bool {
        let is_fresh =
            self.load_received.is_some_and(|at| now.saturating_sub(at) < MAX_LEAVING_AGE);
        is_fresh && self.leaving
    }

    /// Whether the last attempt got a reply, or the backoff after failures has ended.
    pub(super) fn is_usable(&self, now: Timestamp) -> bool {
        self.consecutive_failures == 0 || now >= self.retry_at
    }

    /// Whether the gate recently reported that its target rejects or fails many requests.
    pub(super) fn is_failing(&self, now: Timestamp) -> bool {
        let is_fresh =
            self.load_received.is_some_and(|at| now.saturating_sub(at) < MAX_FAILING_AGE);
        is_fresh && self.load.failing_permille >= MIN_FAILING_PERMILLE
    }

    pub(super) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Time in which the gate's queue drains, as last reported.
    pub(super) fn queue_drain_time(&self) -> Duration {
        self.load.queue_drain_time
    }

    /// Fraction of a full load share that the target receives; below 1 while it is cold. If its gate has
    /// found a pace, that counts.
    pub(super) fn load_share(
        &self,
        now: Timestamp,
        ramp_up: Duration,
        settings: &RoutingSettings,
    ) -> f64 {
        if self.load.start_share_permille > 0 {
            return self.paced_share(now, ramp_up);
        }
        let Some(since) = self.cold_since else { return 1.0 };
        if ramp_up.is_zero() {
            return 1.0;
        }
        let progress = now.saturating_sub(since).as_secs_f64() / ramp_up.as_secs_f64();
        (settings.cold_share + (1.0 - settings.cold_share) * progress).min(1.0)
    }

    /// Share that the gate reported last; the full one if that is older than `ramp_up`.
    fn paced_share(&self, now: Timestamp, ramp_up: Duration) -> f64 {
        let is_recent = self.load_received.is_some_and(|at| now.saturating_sub(at) < ramp_up);
        let share = f64::from(self.load.start_share_permille) / 1000.0;
        if is_recent { share.min(1.0) } else { 1.0 }
    }

    /// Whether the gate recently reported that it sheds requests of this importance.
    pub(super) fn is_shedding(
        &self,
        now: Timestamp,
        importance: Importance,
        settings: &RoutingSettings,
    ) -> bool {
        self.freshness(now, settings) > 0.0 && importance < self.load.shed_below
    }

    /// Running plus waiting requests, divided by the concurrency limit; above 1 if requests wait.
    pub(super) fn utilisation(&self, now: Timestamp, settings: &RoutingSettings) -> f64 {
        let reported = f64::from(self.load.in_flight + self.load.queued);
        let expected = reported * self.freshness(now, settings) + f64::from(self.unreported);
        let utilisation = expected.max(f64::from(self.in_flight)) / f64::from(self.limit());
        if self.is_rate_limited(now) { utilisation.max(1.0) } else { utilisation }
    }

    /// Utilisation times the reported slowdown: the utilisation at which an undisturbed target
    /// would take as long for the requests that it has.
    pub(super) fn slowed_utilisation(
        &self,
        now: Timestamp,
        settings: &RoutingSettings,
        accuracy: &ReportAccuracy,
    ) -> f64 {
        self.utilisation(now, settings) * self.slowdown(now, accuracy)
    }

    /// Factor by which work takes longer than what the latency contains, by the last report and by
    /// what such reports have shown so far. It is never below 1, and falls to 1 as the report gets
    /// older or is repeated.
    pub(super) fn slowdown(&self, now: Timestamp, accuracy: &ReportAccuracy) -> f64 {
        let (Some(at), Some(reported), Some(mean)) =
            (self.load_received, self.reported_slowdown(), self.mean_slowdown)
        else {
            return 1.0;
        };
        let age = now.saturating_sub(at).as_secs_f64();
        let weight = (1.0 - age / MAX_SLOWDOWN_AGE.as_secs_f64()).max(0.0);
        1.0 + (reported / mean - 1.0).max(0.0) * weight * accuracy.expected_share()
    }

    /// Slowdown in the last reply as a factor, from 1 to [`MAX_SLOWDOWN`].
    fn reported_slowdown(&self) -> Option<f64> {
        let percent = Some(self.load.slowdown_percent).filter(|it| *it > 0)?;
        Some((f64::from(percent) / 100.0).clamp(1.0, MAX_SLOWDOWN))
    }

    /// Whether the target takes no request at present, by the rate limit that it states.
    fn is_rate_limited(&self, now: Timestamp) -> bool {
        self.load_received.is_some_and(|at| now < at + self.load.rate_limit_wait)
    }

    /// Concurrency limit reported by the gate; the declared slots if none was reported.
    fn limit(&self) -> u32 {
        if self.load.limit > 0 { self.load.limit } else { self.slots.max(1) }
    }

    /// Expected cost of one more request, in seconds; lower is better.
    pub(super) fn cost(
        &self,
        now: Timestamp,
        settings: &RoutingSettings,
        accuracy: &ReportAccuracy,
    ) -> f64 {
        let latency_s = self.latency_s.unwrap_or(INITIAL_LATENCY_S);
        let utilisation = 1.0 / f64::from(self.limit()) + self.utilisation(now, settings);
        latency_s * utilisation * self.slowdown(now, accuracy)
    }

    /// Weight of the last reported load: falls from 1 to 0 as it gets older; 0 if there is none.
    fn freshness(&self, now: Timestamp, settings: &RoutingSettings) -> f64 {
        let Some(at) = self.load_received else { return 0.0 };
        let max_age = match self.tier {
            Tier::OtherRegion => settings.max_other_region_load_age,
            Tier::Zone | Tier::Region => settings.max_load_age,
        };
        let age = now.saturating_sub(at).as_secs_f64();
        (1.0 - age / max_age.as_secs_f64()).max(0.0)
    }
}
