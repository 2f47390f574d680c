use std::time::Duration;

use super::RunOutcome;
use crate::Timestamp;

/// Learns how many requests a target runs well at once.
pub trait Limit: Send {
    /// Sets the declared slots, above which the limit never goes.
    fn set_slots(&mut self, slots: u32);

    /// Takes the end of a run; `in_flight` counts the run itself.
    fn finished(
        &mut self,
        now: Timestamp,
        service_time: Duration,
        outcome: RunOutcome,
        in_flight: u32,
    );

    /// Requests that may run at once, between 1 and the slots.
    fn get(&self) -> u32;
}

/// Limit of whichever kind.
pub type BoxLimit = Box<dyn Limit>;
