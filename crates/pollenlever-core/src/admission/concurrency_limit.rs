use std::time::Duration;

use super::decayed::Decayed;
use super::{Limit, RunOutcome};
use crate::Timestamp;

/// Time over which runs are counted.
const MEMORY: Duration = Duration::from_millis(500);
/// Shortest time between two changes of the limit.
const STEP: Duration = Duration::from_millis(50);
/// Time after which a shed or failed run does not lower the limit any more.
const FRESH: Duration = Duration::from_millis(100);
/// Share of shed or failed runs at which the limit stays as it is.
const BAD_TARGET: f64 = 0.01;
/// Change of the limit in a step for each unit by which the share is off its target.
const GAIN: f64 = 0.5;
/// Largest relative fall of the limit in a step.
const MAX_FALL: f64 = 0.3;
/// Weight of a new sample in the mean service time.
const SHORT_WEIGHT: f64 = 0.1;
/// Relative rise per second of the lowest mean service time, so that it is forgotten.
const LOW_RISE: f64 = 0.1;
/// Mean service time, as a multiple of the lowest one, from which the limit does not grow.
const SLOWDOWN: f64 = 1.3;
/// Room above the concurrency of successful runs.
const HEADROOM: f64 = 1.1;
/// Relative growth of the limit per second at once after a shed or failed run.
const GROWTH: f64 = 0.05;
/// Additional relative growth per second for each squared second since then, so that the limit
/// stays near what held last and recovers quickly once all is well.
const CALM_GROWTH: f64 = 0.3;
/// Largest relative growth per second.
const MAX_GROWTH: f64 = 3.0;
/// Smallest limit from which the relative growth is reckoned.
const GROWTH_BASE: f64 = 8.0;

/// Limit from the concurrency that successful runs need.
///
/// By Little's law successful runs occupy their summed service time divided by the time in which
/// they ended. While the target sheds or fails, the limit falls to little more than that, so
/// whatever succeeds keeps its place; otherwise it grows to the slots.
///
/// ```
/// use std::time::Duration;
/// use pollenlever_core::admission::{ConcurrencyLimit, Limit, RunOutcome};
/// let mut limit = ConcurrencyLimit::default();
/// limit.set_slots(36);
/// assert_eq!(limit.get(), 36);
/// for ms in 0..1000 {
///     limit.finished(Duration::from_millis(ms), Duration::ZERO, RunOutcome::ShedByTarget, 36);
/// }
/// assert_eq!(limit.get(), 1);
/// ```
#[derive(Debug, Default)]
pub struct ConcurrencyLimit {
    slots: u32,
    limit: f64,
    good: Decayed,
    bad: Decayed,
    last_bad: Timestamp,
    short: f64,
    low: f64,
    since: Option<Timestamp>,
    changed: Timestamp,
}

impl ConcurrencyLimit {
    fn bad_share(&self, now: Timestamp) -> f64 {
        let good = self.good.get(now, MEMORY);
        let bad = self.bad.get(now, MEMORY);
        if good + bad > 0.0 { bad / (good + bad) } else { 0.0 }
    }

    /// Concurrency that the present rate of successful runs needs at its lowest service time.
    fn needed(&self, now: Timestamp) -> f64 {
        let observed = now.saturating_sub(self.since.unwrap_or(now)).max(STEP);
        let filled = 1.0 - (-observed.as_secs_f64() / MEMORY.as_secs_f64()).exp();
        let rate = self.good.get(now, MEMORY) / (MEMORY.as_secs_f64() * filled);
        rate * self.low * HEADROOM
    }

    fn sample(&mut self, service_time: Duration) {
        let sample = service_time.as_secs_f64();
        if self.low == 0.0 {
            self.short = sample;
            self.low = sample;
        }
        self.short += SHORT_WEIGHT * (sample - self.short);
        self.low = self.low.min(self.short);
    }

    fn step(&mut self, now: Timestamp, in_flight: u32) {
        let bad = self.bad_share(now);
        self.low += self.low * LOW_RISE * STEP.as_secs_f64();
        let is_full = f64::from(in_flight) >= self.limit - 1.0;
        let since_bad = now.saturating_sub(self.last_bad);
        if bad > BAD_TARGET && since_bad < FRESH {
            let fallen = self.limit * (1.0 - (GAIN * (bad - BAD_TARGET)).min(MAX_FALL));
            self.limit = fallen.max(self.needed(now).min(self.limit));
        } else if is_full && self.short < SLOWDOWN * self.low {
            let growth = GROWTH + CALM_GROWTH * since_bad.as_secs_f64().powi(2);
            self.limit += self.limit.max(GROWTH_BASE) * growth.min(MAX_GROWTH) * STEP.as_secs_f64();
        }
    }

    fn clamp(&mut self) {
        self.limit = self.limit.clamp(1.0, f64::from(self.slots.max(1)));
    }
}

impl Limit for ConcurrencyLimit {
    fn set_slots(&mut self, slots: u32) {
        if self.slots == 0 {
            self.limit = f64::from(slots);
        }
        self.slots = slots;
        self.clamp();
    }

    fn finished(
        &mut self,
        now: Timestamp,
        service_time: Duration,
        outcome: RunOutcome,
        in_flight: u32,
    ) {
        self.since.get_or_insert(now);
        match outcome {
            RunOutcome::Answered => {
                self.good.add(now, MEMORY, 1.0);
                self.sample(service_time);
            }
            RunOutcome::ShedByTarget | RunOutcome::Failed => {
                self.bad.add(now, MEMORY, 1.0);
                self.last_bad = now;
            }
            RunOutcome::Cancelled => return,
        }
        if now.saturating_sub(self.changed) < STEP {
            return;
        }
        self.changed = now;
        self.step(now, in_flight);
        self.clamp();
    }

    fn get(&self) -> u32 {
        self.limit as u32
    }
}
