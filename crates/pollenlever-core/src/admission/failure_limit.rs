use std::time::Duration;

use super::decaying_sum::DecayingSum;
use super::{Limit, RunOutcome};
use crate::Timestamp;

/// Decay time of the counts of successful and failed runs.
const DECAY_TIME: Duration = Duration::from_millis(500);
/// Shortest time between two adjustments of the limit.
const ADJUST_INTERVAL: Duration = Duration::from_millis(50);
/// Age from which the last failed run no longer lowers the limit.
const MAX_FAILURE_AGE: Duration = Duration::from_millis(150);
/// Ratio of failed runs above which the limit falls.
const TARGET_FAILURE_RATIO: f64 = 0.03;
/// Relative fall of the limit per adjustment, for each unit by which the failure ratio exceeds its
/// target.
const DECREASE_GAIN: f64 = 0.25;
/// Largest relative fall of the limit per adjustment.
const MAX_DECREASE: f64 = 0.1;
/// Relative growth of the limit per second right after a failed run.
const GROWTH_PER_S: f64 = 0.1;
/// Additional relative growth per second for each squared second since the last failed run.
const GROWTH_PER_S_CUBED: f64 = 0.5;
/// Largest relative growth per second.
const MAX_GROWTH_PER_S: f64 = 3.0;
/// Smallest limit used as the base of the relative growth.
const MIN_GROWTH_BASE: f64 = 8.0;
/// Smallest limit; with fewer concurrent runs, recovery of the target would be noticed too slowly.
const MIN_LIMIT: f64 = 2.0;

/// Concurrency limit that falls while runs fail and grows otherwise, regardless of service times.
///
/// The service time of a target that calls other services says little about the target itself, so
/// it is ignored.
///
/// ```
/// use std::time::Duration;
/// use pollenlever_core::admission::{FailureLimit, Limit, RunOutcome};
/// let mut limit = FailureLimit::default();
/// limit.set_slots(36);
/// for ms in 0..1000 {
///     limit.record_finished(Duration::from_millis(ms), Duration::ZERO, RunOutcome::Failed, 36);
/// }
/// assert!(limit.get() < 10);
/// ```
#[derive(Debug, Default)]
pub struct FailureLimit {
    slots: u32,
    limit: f64,
    successes: DecayingSum,
    failures: DecayingSum,
    last_failure: Timestamp,
    last_adjusted: Timestamp,
}

impl FailureLimit {
    fn adjust(&mut self, now: Timestamp, in_flight: u32) {
        let (successes, failures) =
            (self.successes.get(now, DECAY_TIME), self.failures.get(now, DECAY_TIME));
        let failure_ratio =
            if successes + failures > 0.0 { failures / (successes + failures) } else { 0.0 };
        let since_failure = now.saturating_sub(self.last_failure);
        let is_full = f64::from(in_flight) >= self.limit - 1.0;
        if failure_ratio > TARGET_FAILURE_RATIO && since_failure < MAX_FAILURE_AGE {
            self.limit *=
                1.0 - (DECREASE_GAIN * (failure_ratio - TARGET_FAILURE_RATIO)).min(MAX_DECREASE);
        } else if is_full {
            let growth = GROWTH_PER_S + GROWTH_PER_S_CUBED * since_failure.as_secs_f64().powi(2);
            self.limit += self.limit.max(MIN_GROWTH_BASE)
                * growth.min(MAX_GROWTH_PER_S)
                * ADJUST_INTERVAL.as_secs_f64();
        }
    }

    fn clamp(&mut self) {
        let slots = f64::from(self.slots.max(1));
        self.limit = self.limit.clamp(MIN_LIMIT.min(slots), slots);
    }
}

impl Limit for FailureLimit {
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
        _service_time: Duration,
        outcome: RunOutcome,
        in_flight: u32,
    ) {
        match outcome {
            RunOutcome::Answered => self.successes.add(now, DECAY_TIME, 1.0),
            RunOutcome::ShedByTarget | RunOutcome::Failed => {
                self.failures.add(now, DECAY_TIME, 1.0);
                self.last_failure = now;
            }
            RunOutcome::Cancelled => return,
        }
        if now.saturating_sub(self.last_adjusted) >= ADJUST_INTERVAL {
            self.last_adjusted = now;
            self.adjust(now, in_flight);
            self.clamp();
        }
    }

    fn get(&self) -> u32 {
        self.limit as u32
    }
}
