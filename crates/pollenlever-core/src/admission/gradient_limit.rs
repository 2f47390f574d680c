use std::time::Duration;

use super::{Limit, RunOutcome};
use crate::Timestamp;

/// Weight of a new sample in the short-term mean of the service time.
const SHORT_WEIGHT: f64 = 0.1;
/// Weight of a new sample in the long-term mean of the service time.
const LONG_WEIGHT: f64 = 0.002;
/// Lower bound of the gradient.
const MIN_GRADIENT: f64 = 0.5;
/// Weight of a newly computed limit in the smoothed limit.
const SMOOTHING: f64 = 0.2;
/// Shortest time between two adjustments of the limit.
const ADJUST_INTERVAL: Duration = Duration::from_millis(50);

/// Concurrency limit from the gradient of the service time: its long-term mean divided by its
/// short-term mean. A gradient below 1 lowers the limit.
///
/// ```
/// use pollenlever_core::admission::{GradientLimit, Limit};
/// let mut limit = GradientLimit::default();
/// limit.set_slots(36);
/// assert_eq!(limit.get(), 36);
/// ```
#[derive(Debug, Default)]
pub struct GradientLimit {
    slots: u32,
    limit: f64,
    short_mean_s: f64,
    long_mean_s: f64,
    last_adjusted: Timestamp,
}

impl GradientLimit {
    fn record_sample(&mut self, service_time: Duration) {
        let sample = service_time.as_secs_f64();
        if self.long_mean_s == 0.0 {
            self.short_mean_s = sample;
            self.long_mean_s = sample;
        }
        self.short_mean_s += SHORT_WEIGHT * (sample - self.short_mean_s);
        self.long_mean_s += LONG_WEIGHT * (sample - self.long_mean_s);
    }

    fn adjust(&mut self) {
        let gradient =
            if self.short_mean_s > 0.0 { self.long_mean_s / self.short_mean_s } else { 1.0 };
        let proposed = self.limit * gradient.clamp(MIN_GRADIENT, 1.0) + self.limit.sqrt();
        self.limit += SMOOTHING * (proposed - self.limit);
    }
}

impl Limit for GradientLimit {
    fn set_slots(&mut self, slots: u32) {
        if self.slots == 0 {
            self.limit = f64::from(slots);
        }
        self.slots = slots;
        self.limit = self.limit.clamp(1.0, f64::from(slots.max(1)));
    }

    fn record_finished(
        &mut self,
        now: Timestamp,
        service_time: Duration,
        outcome: RunOutcome,
        _in_flight: u32,
    ) {
        match outcome {
            RunOutcome::Answered => self.record_sample(service_time),
            RunOutcome::ShedByTarget | RunOutcome::Failed => self.limit *= 0.95,
            RunOutcome::Cancelled => return,
        }
        if now.saturating_sub(self.last_adjusted) >= ADJUST_INTERVAL {
            self.last_adjusted = now;
            self.adjust();
        }
        self.limit = self.limit.clamp(1.0, f64::from(self.slots.max(1)));
    }

    fn get(&self) -> u32 {
        self.limit as u32
    }
}
