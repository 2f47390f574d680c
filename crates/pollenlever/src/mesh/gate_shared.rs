use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use pollenlever_core::admission::{Admission, RunOutcome};
use pollenlever_core::id::StreamId;

use super::downstream::Downstream;
use super::gate_state::GateState;
use crate::node::Clock;

/// State of a gate, shared by the gate and the guards of its requests.
pub(super) struct GateShared {
    clock: Clock,
    downstream: Arc<Downstream>,
    state: Mutex<GateState>,
}

impl GateShared {
    pub(super) fn new(clock: Clock, downstream: Arc<Downstream>) -> GateShared {
        GateShared { clock, downstream, state: Mutex::default() }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, GateState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Removes a request from the queue or frees its slot.
    pub(super) fn release(&self, id: StreamId, started: Option<Duration>, outcome: RunOutcome) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.waiting.remove(&id);
        if let Some(run) = state.runs.remove(id) {
            state.call_stats.record_run(now);
            if outcome == RunOutcome::Answered {
                self.downstream.record_run(run.lineage.class(), &run.calls);
            }
        }
        if state.admission.remove(now, id) {
            return;
        }
        let slowdown = state.slowdown_percent(now);
        let slowdown = (slowdown > 0).then_some(u32::from(slowdown));
        state.pace.record_end(now, id, outcome, slowdown);
        state.apply_pace(now);
        let service_time = started.map_or(Duration::ZERO, |it| now.saturating_sub(it));
        let mut verdicts = Vec::new();
        let makes_calls = state.call_stats.makes_calls(now);
        state.admission.set_makes_calls(makes_calls);
        state.admission.record_finished(now, id, service_time, outcome, &mut verdicts);
        state.deliver_verdicts(verdicts);
        state.log_limit(now);
    }
}
