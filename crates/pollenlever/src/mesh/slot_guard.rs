use std::sync::Arc;
use std::time::Duration;

use pollenlever_core::admission::RunOutcome;
use pollenlever_core::id::StreamId;

use super::gate_shared::GateShared;

/// A request's place in the queue of the gate or, once it runs, its slot (one concurrent run).
/// Dropping the guard frees it.
pub(super) struct SlotGuard {
    shared: Arc<GateShared>,
    id: StreamId,
    /// Start of the run on the node's clock; `None` while the request waits.
    started: Option<Duration>,
    /// Cancelled until the end of the run is recorded.
    outcome: RunOutcome,
}

impl SlotGuard {
    pub(super) fn new(shared: Arc<GateShared>, id: StreamId) -> SlotGuard {
        SlotGuard { shared, id, started: None, outcome: RunOutcome::Cancelled }
    }

    /// Id of the request at the gate.
    pub(super) fn id(&self) -> StreamId {
        self.id
    }

    /// Records that the run starts.
    pub(super) fn record_start(&mut self, now: Duration) {
        self.started = Some(now);
    }

    /// Records how the run ended.
    pub(super) fn record_end(&mut self, outcome: RunOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.shared.release(self.id, self.started, self.outcome);
    }
}
