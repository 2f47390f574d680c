use std::time::Duration;

use super::{Limit, RunOutcome};
use crate::Timestamp;

/// Weight of a new sample in the short average of latency.
const SHORT_WEIGHT: f64 = 0.1;
/// Weight of a new sample in the long average of latency.
const LONG_WEIGHT: f64 = 0.002;
/// Smallest factor by which one step lowers the limit.
const MIN_GRADIENT: f64 = 0.5;
/// Weight of a new limit.
const SMOOTHING: f64 = 0.2;
/// Shortest time between two changes of the limit.
const STEP: Duration = Duration::from_millis(50);

/// Limit from the gradient of latency: the long average over the short one.
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
    short: f64,
    long: f64,
    changed: Timestamp,
}

impl GradientLimit {
    fn sample(&mut self, service_time: Duration) {
        let sample = service_time.as_secs_f64();
        if self.long == 0.0 {
            self.short = sample;
            self.long = sample;
        }
        self.short += SHORT_WEIGHT * (sample - self.short);
        self.long += LONG_WEIGHT * (sample - self.long);
    }

    fn step(&mut self) {
        let gradient = if self.short > 0.0 { self.long / self.short } else { 1.0 };
        let wanted = self.limit * gradient.clamp(MIN_GRADIENT, 1.0) + self.limit.sqrt();
        self.limit += SMOOTHING * (wanted - self.limit);
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

    fn finished(
        &mut self,
        now: Timestamp,
        service_time: Duration,
        outcome: RunOutcome,
        _in_flight: u32,
    ) {
        match outcome {
            RunOutcome::Answered => self.sample(service_time),
            RunOutcome::ShedByTarget | RunOutcome::Failed => self.limit *= 0.95,
            RunOutcome::Cancelled => return,
        }
        if now.saturating_sub(self.changed) >= STEP {
            self.changed = now;
            self.step();
        }
        self.limit = self.limit.clamp(1.0, f64::from(self.slots.max(1)));
    }

    fn get(&self) -> u32 {
        self.limit as u32
    }
}
