use std::time::Duration;

use super::RunOutcome;
use crate::Timestamp;

/// Learns how many concurrent requests a target can run without shedding or failing them.
pub trait Limit: Send {
    /// Sets the declared slots, the upper bound of the limit.
    fn set_slots(&mut self, slots: u32);

    /// Records the end of a run. `in_flight` is the number of concurrent runs, including this one.
    fn record_finished(
        &mut self,
        now: Timestamp,
        service_time: Duration,
        outcome: RunOutcome,
        in_flight: u32,
    );

    /// Current concurrency limit, between 1 and the slots.
    fn get(&self) -> u32;
}

/// A boxed [`Limit`] of any implementation.
pub type BoxLimit = Box<dyn Limit>;
