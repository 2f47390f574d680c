use std::time::Duration;

use super::decayed::Decayed;
use super::{Limit, RunOutcome};
use crate::Timestamp;

/// Time over which runs are counted.
const MEMORY: Duration = Duration::from_millis(500);
/// Shortest time between two changes of the limit.
const STEP: Duration = Duration::from_millis(50);
/// Time after which a failed run does not lower the limit any more.
const FRESH: Duration = Duration::from_millis(150);
/// Share of failed runs at which the limit stays as it is.
const BAD_TARGET: f64 = 0.03;
/// Relative fall of the limit in a step for each unit by which the share is above its target.
const GAIN: f64 = 0.25;
/// Largest relative fall of the limit in a step.
const MAX_FALL: f64 = 0.1;
/// Relative growth of the limit per second at once after a failed run.
const GROWTH: f64 = 0.1;
/// Additional relative growth per second for each squared second since then.
const CALM_GROWTH: f64 = 0.5;
/// Largest relative growth per second.
const MAX_GROWTH: f64 = 3.0;
/// Smallest limit from which the relative growth is reckoned.
const GROWTH_BASE: f64 = 8.0;
/// Smallest limit; fewer runs at once would learn too slowly that all is well again.
const MIN_LIMIT: f64 = 2.0;

/// Limit that falls while runs fail and grows while they do not, whatever they take.
///
/// The service time of a target that calls other services says little about the target, so it
/// plays no part.
///
/// ```
/// use std::time::Duration;
/// use pollenlever_core::admission::{FailureLimit, Limit, RunOutcome};
/// let mut limit = FailureLimit::default();
/// limit.set_slots(36);
/// for ms in 0..1000 {
///     limit.finished(Duration::from_millis(ms), Duration::ZERO, RunOutcome::Failed, 36);
/// }
/// assert!(limit.get() < 10);
/// ```
#[derive(Debug, Default)]
pub struct FailureLimit {
    slots: u32,
    limit: f64,
    good: Decayed,
    bad: Decayed,
    last_bad: Timestamp,
    changed: Timestamp,
}

impl FailureLimit {
    fn step(&mut self, now: Timestamp, in_flight: u32) {
        let (good, bad) = (self.good.get(now, MEMORY), self.bad.get(now, MEMORY));
        let share = if good + bad > 0.0 { bad / (good + bad) } else { 0.0 };
        let since_bad = now.saturating_sub(self.last_bad);
        let is_full = f64::from(in_flight) >= self.limit - 1.0;
        if share > BAD_TARGET && since_bad < FRESH {
            self.limit *= 1.0 - (GAIN * (share - BAD_TARGET)).min(MAX_FALL);
        } else if is_full {
            let growth = GROWTH + CALM_GROWTH * since_bad.as_secs_f64().powi(2);
            self.limit += self.limit.max(GROWTH_BASE) * growth.min(MAX_GROWTH) * STEP.as_secs_f64();
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

    fn finished(
        &mut self,
        now: Timestamp,
        _service_time: Duration,
        outcome: RunOutcome,
        in_flight: u32,
    ) {
        match outcome {
            RunOutcome::Answered => self.good.add(now, MEMORY, 1.0),
            RunOutcome::ShedByTarget | RunOutcome::Failed => {
                self.bad.add(now, MEMORY, 1.0);
                self.last_bad = now;
            }
            RunOutcome::Cancelled => return,
        }
        if now.saturating_sub(self.changed) >= STEP {
            self.changed = now;
            self.step(now, in_flight);
            self.clamp();
        }
    }

    fn get(&self) -> u32 {
        self.limit as u32
    }
}
