use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use super::{Admission, RunOutcome, Ticket, Verdict};
use crate::Timestamp;
use crate::id::StreamId;
use crate::message::GateLoad;
use crate::policy::TargetNotice;

/// Admission in order of arrival with an unbounded queue, limited only by the declared slots.
///
/// ```
/// use pollenlever_core::admission::{Admission, FifoAdmission};
/// let admission = FifoAdmission::default();
/// assert_eq!(admission.next_wakeup(), None);
/// ```
#[derive(Debug, Default)]
pub struct FifoAdmission {
    slots: u32,
    running: BTreeSet<StreamId>,
    queue: VecDeque<StreamId>,
}

impl FifoAdmission {
    fn start_waiting(&mut self, verdicts: &mut Vec<Verdict>) {
        while self.running.len() < self.slots.max(1) as usize {
            let Some(id) = self.queue.pop_front() else { return };
            self.running.insert(id);
            verdicts.push(Verdict::Run(id));
        }
    }
}

impl Admission for FifoAdmission {
    fn set_slots(&mut self, _now: Timestamp, slots: u32) {
        self.slots = slots;
    }

    fn offer(&mut self, _now: Timestamp, ticket: Ticket, verdicts: &mut Vec<Verdict>) {
        self.queue.push_back(ticket.id);
        self.start_waiting(verdicts);
    }

    fn remove(&mut self, _now: Timestamp, id: StreamId) -> bool {
        let count_before = self.queue.len();
        self.queue.retain(|it| *it != id);
        self.queue.len() < count_before
    }

    fn record_finished(
        &mut self,
        _now: Timestamp,
        id: StreamId,
        _service_time: Duration,
        _outcome: RunOutcome,
        verdicts: &mut Vec<Verdict>,
    ) {
        self.running.remove(&id);
        self.start_waiting(verdicts);
    }

    fn handle_target_notice(&mut self, _now: Timestamp, _notice: &TargetNotice) {}

    fn tick(&mut self, _now: Timestamp, verdicts: &mut Vec<Verdict>) {
        self.start_waiting(verdicts);
    }

    fn next_wakeup(&self) -> Option<Timestamp> {
        None
    }

    fn load(&self, _now: Timestamp) -> GateLoad {
        GateLoad {
            in_flight: self.running.len() as u32,
            queued: self.queue.len() as u32,
            limit: self.slots,
            ..GateLoad::default()
        }
    }
}
