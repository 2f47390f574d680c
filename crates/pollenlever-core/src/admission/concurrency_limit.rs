use std::time::Duration;

use super::decayed::Decayed;
use super::{Limit, RunOutcome};
use crate::Timestamp;

/// Time over which runs are counted.
const MEMORY: Duration = Duration::from_millis(500);
/// Shortest time between two changes of the limit.
const STEP: Duration = Duration::from_millis(50);
/// Share of shed or failed runs that is taken for noise.
const TOLERATED_BAD: f64 = 0.01;
/// Room above the concurrency of successful runs, to find freed capacity.
const HEADROOM: f64 = 1.02;
/// Growth of the limit in a step without shed or failed runs.
const GROWTH: f64 = 1.15;

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
    busy: Decayed,
    good: Decayed,
    bad: Decayed,
    changed: Timestamp,
}

impl ConcurrencyLimit {
    fn bad_share(&self, now: Timestamp) -> f64 {
        let good = self.good.get(now, MEMORY);
        let bad = self.bad.get(now, MEMORY);
        if good + bad > 0.0 { bad / (good + bad) } else { 0.0 }
    }

    fn shrink(&mut self, now: Timestamp) {
        let needed = self.busy.get(now, MEMORY) / MEMORY.as_secs_f64();
        self.limit = self.limit.min(needed * HEADROOM + 0.5);
    }

    fn grow(&mut self) {
        self.limit = self.limit * GROWTH + 0.5;
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
        match outcome {
            RunOutcome::Answered => {
                self.good.add(now, MEMORY, 1.0);
                self.busy.add(now, MEMORY, service_time.as_secs_f64());
            }
            RunOutcome::ShedByTarget | RunOutcome::Failed => self.bad.add(now, MEMORY, 1.0),
            RunOutcome::Cancelled => return,
        }
        if now.saturating_sub(self.changed) < STEP {
            return;
        }
        self.changed = now;
        if self.bad_share(now) > TOLERATED_BAD {
            self.shrink(now);
        } else if f64::from(in_flight) >= self.limit - 1.0 {
            self.grow();
        }
        self.clamp();
    }

    fn get(&self) -> u32 {
        self.limit as u32
    }
}
