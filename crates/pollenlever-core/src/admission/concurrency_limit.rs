use std::time::Duration;

use super::decaying_sum::DecayingSum;
use super::{Limit, RunOutcome};
use crate::Timestamp;

/// Decay time of the counts of successful and failed runs.
const DECAY_TIME: Duration = Duration::from_millis(500);
/// Shortest time between two adjustments of the limit.
const ADJUST_INTERVAL: Duration = Duration::from_millis(50);
/// Age from which the last shed or failed run no longer lowers the limit.
const MAX_FAILURE_AGE: Duration = Duration::from_millis(100);
/// Ratio of shed or failed runs above which the limit falls.
const TARGET_FAILURE_RATIO: f64 = 0.01;
/// Relative fall of the limit per adjustment, for each unit by which the failure ratio exceeds its
/// target.
const DECREASE_GAIN: f64 = 0.5;
/// Largest relative fall of the limit per adjustment.
const MAX_DECREASE: f64 = 0.3;
/// Weight of a new sample in the moving mean of the service time.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Relative rise per second of the lowest mean service time, so that an old minimum expires.
const LOWEST_RISE_PER_S: f64 = 0.1;
/// Ratio of the mean service time to the lowest one from which the limit stops growing.
const MAX_SLOWDOWN: f64 = 1.3;
/// Factor by which the limit stays above the concurrency of successful runs.
const HEADROOM: f64 = 1.1;
/// Relative growth of the limit per second right after a shed or failed run.
const GROWTH_PER_S: f64 = 0.05;
/// Additional relative growth per second for each squared second since the last shed or failed run.
/// The limit stays near the last sustainable value at first and recovers quickly later.
const GROWTH_PER_S_CUBED: f64 = 0.3;
/// Largest relative growth per second.
const MAX_GROWTH_PER_S: f64 = 3.0;
/// Smallest limit used as the base of the relative growth.
const MIN_GROWTH_BASE: f64 = 8.0;

/// Concurrency limit derived from the throughput of successful runs.
///
/// By Little's law, successful runs need a concurrency of their rate times their service time.
/// While the target sheds or fails requests, the limit falls to slightly above that value, so that
/// throughput is kept. Otherwise it grows up to the declared slots.
///
/// ```
/// use std::time::Duration;
/// use pollenlever_core::admission::{ConcurrencyLimit, Limit, RunOutcome};
/// let mut limit = ConcurrencyLimit::default();
/// limit.set_slots(36);
/// assert_eq!(limit.get(), 36);
/// for ms in 0..1000 {
///     let now = Duration::from_millis(ms);
///     limit.record_finished(now, Duration::ZERO, RunOutcome::ShedByTarget, 36);
/// }
/// assert_eq!(limit.get(), 1);
/// ```
#[derive(Debug, Default)]
pub struct ConcurrencyLimit {
    slots: u32,
    limit: f64,
    successes: DecayingSum,
    failures: DecayingSum,
    last_failure: Timestamp,
    mean_service_time_s: f64,
    lowest_mean_s: f64,
    first_sample: Option<Timestamp>,
    last_adjusted: Timestamp,
}

impl ConcurrencyLimit {
    fn failure_ratio(&self, now: Timestamp) -> f64 {
        let successes = self.successes.get(now, DECAY_TIME);
        let failures = self.failures.get(now, DECAY_TIME);
        if successes + failures > 0.0 { failures / (successes + failures) } else { 0.0 }
    }

    /// Concurrency that the current rate of successful runs needs at the lowest mean service time.
    fn required_concurrency(&self, now: Timestamp) -> f64 {
        let observed = now.saturating_sub(self.first_sample.unwrap_or(now)).max(ADJUST_INTERVAL);
        let window_fill = 1.0 - (-observed.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp();
        let rate = self.successes.get(now, DECAY_TIME) / (DECAY_TIME.as_secs_f64() * window_fill);
        rate * self.lowest_mean_s * HEADROOM
    }

    fn record_sample(&mut self, service_time: Duration) {
        let sample = service_time.as_secs_f64();
        if self.lowest_mean_s == 0.0 {
            self.mean_service_time_s = sample;
            self.lowest_mean_s = sample;
        }
        self.mean_service_time_s += SAMPLE_WEIGHT * (sample - self.mean_service_time_s);
        self.lowest_mean_s = self.lowest_mean_s.min(self.mean_service_time_s);
    }

    fn adjust(&mut self, now: Timestamp, in_flight: u32) {
        let ratio = self.failure_ratio(now);
        self.lowest_mean_s +=
            self.lowest_mean_s * LOWEST_RISE_PER_S * ADJUST_INTERVAL.as_secs_f64();
        let is_full = f64::from(in_flight) >= self.limit - 1.0;
        let since_failure = now.saturating_sub(self.last_failure);
        if ratio > TARGET_FAILURE_RATIO && since_failure < MAX_FAILURE_AGE {
            let decreased = self.limit
                * (1.0 - (DECREASE_GAIN * (ratio - TARGET_FAILURE_RATIO)).min(MAX_DECREASE));
            self.limit = decreased.max(self.required_concurrency(now).min(self.limit));
        } else if is_full && self.mean_service_time_s < MAX_SLOWDOWN * self.lowest_mean_s {
            let growth = GROWTH_PER_S + GROWTH_PER_S_CUBED * since_failure.as_secs_f64().powi(2);
            self.limit += self.limit.max(MIN_GROWTH_BASE)
                * growth.min(MAX_GROWTH_PER_S)
                * ADJUST_INTERVAL.as_secs_f64();
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

    fn record_finished(
        &mut self,
        now: Timestamp,
        service_time: Duration,
        outcome: RunOutcome,
        in_flight: u32,
    ) {
        self.first_sample.get_or_insert(now);
        match outcome {
            RunOutcome::Answered => {
                self.successes.add(now, DECAY_TIME, 1.0);
                self.record_sample(service_time);
            }
            RunOutcome::ShedByTarget | RunOutcome::Failed => {
                self.failures.add(now, DECAY_TIME, 1.0);
                self.last_failure = now;
            }
            RunOutcome::Cancelled => return,
        }
        if now.saturating_sub(self.last_adjusted) < ADJUST_INTERVAL {
            return;
        }
        self.last_adjusted = now;
        self.adjust(now, in_flight);
        self.clamp();
    }

    fn get(&self) -> u32 {
        self.limit as u32
    }
}
