use std::time::Duration;

use super::RoutingSettings;
use super::tier::Tier;
use crate::Timestamp;
use crate::config::Importance;
use crate::membership::{Member, TargetState};
use crate::message::GateLoad;

/// Weight of a new sample in the average latency.
const LATENCY_WEIGHT: f64 = 0.1;
/// Latency assumed of a node that has not answered yet.
const UNKNOWN_LATENCY: f64 = 0.001;

/// Rejected or failed runs, in thousandths, from which a target counts as failing.
const FAILING_PERMILLE: u16 = 200;
/// Time after which a gate that said that its target takes no work is asked again.
const LEAVING_MEMORY: Duration = Duration::from_secs(2);
/// Time after which a failing target is tried again.
const FAILING_MEMORY: Duration = Duration::from_secs(1);

/// What answers have told about one node.
#[derive(Debug)]
pub(super) struct Peer {
    pub(super) tier: Tier,
    slots: u32,
    cold_since: Option<Timestamp>,
    in_flight: u32,
    latency: Option<f64>,
    load: GateLoad,
    load_at: Option<Timestamp>,
    /// Requests sent since the last load, which it does not count.
    unreported: u32,
    failures: u32,
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
            latency: None,
            load: GateLoad::default(),
            load_at: None,
            unreported: 0,
            failures: 0,
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

    pub(super) fn sent(&mut self, now: Timestamp, settings: &RoutingSettings) {
        self.in_flight += 1;
        self.unreported += 1;
        if self.failures > 0 {
            self.retry_at = now + self.backoff(settings);
        }
    }

    pub(super) fn replied(&mut self, now: Timestamp, latency: Duration, load: &GateLoad) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let sample = latency.as_secs_f64();
        let mean = self.latency.get_or_insert(sample);
        *mean += LATENCY_WEIGHT * (sample - *mean);
        self.load = *load;
        self.load_at = Some(now);
        self.unreported = 0;
        self.leaving = load.leaving;
        self.failures = 0;
    }

    pub(super) fn failed(&mut self, now: Timestamp, settings: &RoutingSettings) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.unreported = self.unreported.saturating_sub(1);
        self.failures = self.failures.saturating_add(1);
        self.retry_at = now + self.backoff(settings);
    }

    pub(super) fn cancelled(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.unreported = self.unreported.saturating_sub(1);
    }

    fn backoff(&self, settings: &RoutingSettings) -> Duration {
        let doublings = self.failures.saturating_sub(1).min(16);
        (settings.min_backoff * (1 << doublings)).min(settings.max_backoff)
    }

    /// Whether the gate said lately that its target takes no work. The target may come back, and
    /// only an answer or the member itself can tell.
    pub(super) fn is_leaving(&self, now: Timestamp) -> bool {
        let is_fresh = self.load_at.is_some_and(|at| now.saturating_sub(at) < LEAVING_MEMORY);
        is_fresh && self.leaving
    }

    /// Whether the node answers, or its back-off has ended.
    pub(super) fn is_usable(&self, now: Timestamp) -> bool {
        self.failures == 0 || now >= self.retry_at
    }

    /// Whether the gate said lately that its target rejects or fails many requests.
    pub(super) fn is_failing(&self, now: Timestamp) -> bool {
        let is_fresh = self.load_at.is_some_and(|at| now.saturating_sub(at) < FAILING_MEMORY);
        is_fresh && self.load.failing_permille >= FAILING_PERMILLE
    }

    pub(super) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    pub(super) fn backlog(&self) -> Duration {
        self.load.backlog
    }

    /// Share of the full load that the target gets; below 1 while it is cold.
    pub(super) fn share(
        &self,
        now: Timestamp,
        ramp_up: Duration,
        settings: &RoutingSettings,
    ) -> f64 {
        let Some(since) = self.cold_since else { return 1.0 };
        if ramp_up.is_zero() {
            return 1.0;
        }
        let grown = now.saturating_sub(since).as_secs_f64() / ramp_up.as_secs_f64();
        (settings.cold_share + (1.0 - settings.cold_share) * grown).min(1.0)
    }

    /// Whether the gate said lately that it sheds requests of this importance.
    pub(super) fn sheds(
        &self,
        now: Timestamp,
        importance: Importance,
        settings: &RoutingSettings,
    ) -> bool {
        self.freshness(now, settings) > 0.0 && importance < self.load.shed_below
    }

    /// Requests that run or wait, over those that may run.
    pub(super) fn utilisation(&self, now: Timestamp, settings: &RoutingSettings) -> f64 {
        let known = f64::from(self.load.in_flight + self.load.queued);
        let known = known * self.freshness(now, settings) + f64::from(self.unreported);
        known.max(f64::from(self.in_flight)) / f64::from(self.limit())
    }

    /// Requests that may run at once.
    fn limit(&self) -> u32 {
        if self.load.limit > 0 { self.load.limit } else { self.slots.max(1) }
    }

    /// Expected cost of one more request; lower is better.
    pub(super) fn cost(&self, now: Timestamp, settings: &RoutingSettings) -> f64 {
        let latency = self.latency.unwrap_or(UNKNOWN_LATENCY);
        latency * (1.0 / f64::from(self.limit()) + self.utilisation(now, settings))
    }

    /// How far the last load is still believed, from 1 down to 0.
    fn freshness(&self, now: Timestamp, settings: &RoutingSettings) -> f64 {
        let Some(at) = self.load_at else { return 0.0 };
        let memory = match self.tier {
            Tier::Other => settings.far_load_memory,
            Tier::Zone | Tier::Region => settings.load_memory,
        };
        let age = now.saturating_sub(at).as_secs_f64();
        (1.0 - age / memory.as_secs_f64()).max(0.0)
    }
}
