use std::time::Duration;

use super::{RunOutcome, Ticket, Verdict};
use crate::Timestamp;
use crate::id::StreamId;
use crate::message::GateLoad;
use crate::policy::TargetNotice;

/// Decides which waiting requests run on the target beside this node.
///
/// Each ticket gets exactly one verdict unless it is removed first.
pub trait Admission: Send {
    /// Sets the declared slots of the target.
    fn set_slots(&mut self, now: Timestamp, slots: u32);

    /// Takes a request and appends the verdicts that follow.
    fn offer(&mut self, now: Timestamp, ticket: Ticket, verdicts: &mut Vec<Verdict>);

    /// Forgets a waiting request without a verdict. Returns whether it waited.
    fn remove(&mut self, now: Timestamp, id: StreamId) -> bool;

    /// Frees the slot of a run and appends the verdicts that follow.
    fn finished(
        &mut self,
        now: Timestamp,
        id: StreamId,
        service_time: Duration,
        outcome: RunOutcome,
        verdicts: &mut Vec<Verdict>,
    );

    /// Takes whether the target calls other services while it runs requests; its service times then
    /// say little about itself.
    fn note_calls(&mut self, _makes_calls: bool) {}

    /// Takes what the target says about itself; a hint that may lag or mislead.
    fn notice(&mut self, now: Timestamp, notice: &TargetNotice);

    /// Sheds what cannot finish in time and starts what has become startable.
    fn tick(&mut self, now: Timestamp, verdicts: &mut Vec<Verdict>);

    /// Earliest time at which [`tick`](Admission::tick) has something to do.
    fn next_wakeup(&self) -> Option<Timestamp>;

    /// Load to carry on replies; `leaving` is filled in by the caller.
    fn load(&self, now: Timestamp) -> GateLoad;
}

/// Admission of whichever kind.
pub type BoxAdmission = Box<dyn Admission>;
