use std::time::Duration;

use super::{RunOutcome, Ticket, Verdict};
use crate::Timestamp;
use crate::id::StreamId;
use crate::message::GateLoad;
use crate::policy::TargetNotice;

/// Decides when requests run on the target (back-end process) beside this node, and which are shed.
///
/// Each ticket gets exactly one verdict unless it is removed first.
pub trait Admission: Send {
    /// Sets the declared slots of the target: the most requests that it runs at once.
    fn set_slots(&mut self, now: Timestamp, slots: u32);

    /// Adds a request and appends the resulting verdicts, for this and other requests.
    fn offer(&mut self, now: Timestamp, ticket: Ticket, verdicts: &mut Vec<Verdict>);

    /// Removes a waiting request without a verdict. Returns whether it was in the queue.
    fn remove(&mut self, now: Timestamp, id: StreamId) -> bool;

    /// Records the end of a run, frees its slot and appends the resulting verdicts.
    fn record_finished(
        &mut self,
        now: Timestamp,
        id: StreamId,
        service_time: Duration,
        outcome: RunOutcome,
        verdicts: &mut Vec<Verdict>,
    );

    /// Sets how many requests a second the target takes from all nodes together; `None` if it states
    /// no such limit.
    fn set_rate_limit(
        &mut self,
        _now: Timestamp,
        _per_second: Option<f64>,
        _verdicts: &mut Vec<Verdict>,
    ) {
    }

    /// Sets whether the target calls other services while it runs requests. Its service times then
    /// depend on those services and say little about the target itself.
    fn set_makes_calls(&mut self, _makes_calls: bool) {}

    /// Handles a notice of the target about its own state, which may be late or wrong.
    fn handle_target_notice(&mut self, now: Timestamp, notice: &TargetNotice);

    /// Sheds requests that cannot finish in time and starts those that may run now.
    fn tick(&mut self, now: Timestamp, verdicts: &mut Vec<Verdict>);

    /// Earliest time at which [`tick`](Admission::tick) has work to do; `None` if none is
    /// scheduled.
    fn next_wakeup(&self) -> Option<Timestamp>;

    /// Load to report in replies; the caller sets [`GateLoad::leaving`].
    fn load(&self, now: Timestamp) -> GateLoad;
}

/// A boxed [`Admission`] of any implementation.
pub type BoxAdmission = Box<dyn Admission>;
