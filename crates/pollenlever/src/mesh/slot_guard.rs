use std::sync::Arc;
use std::time::Duration;

use pollenlever_core::admission::RunOutcome;
use pollenlever_core::id::StreamId;

use super::gate::Gate;

/// A place at the gate, in the queue or in a slot, that is given back when dropped.
pub(super) struct SlotGuard {
    gate: Arc<Gate>,
    id: StreamId,
    /// Start of the run, once it has a slot.
    started: Option<Duration>,
    outcome: RunOutcome,
}

impl SlotGuard {
    pub(super) fn new(gate: Arc<Gate>, id: StreamId) -> SlotGuard {
        SlotGuard { gate, id, started: None, outcome: RunOutcome::Cancelled }
    }

    /// Number of the place.
    pub(super) fn id(&self) -> StreamId {
        self.id
    }

    /// Notes that the request has a slot from now on.
    pub(super) fn started(&mut self, now: Duration) {
        self.started = Some(now);
    }

    /// Notes how the run ended.
    pub(super) fn ended(&mut self, outcome: RunOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.gate.release(self.id, self.started, self.outcome);
    }
}
