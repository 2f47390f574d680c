use std::sync::Arc;
use std::time::Duration;

use pollenlever_core::id::{ServiceName, StreamId, WorkspaceName};
use pollenlever_core::mesh::Lineage;

use super::gate::Gate;

/// Share of the target's calls that end in overload, in thousandths, from which a failed run is
/// attributed to overloaded callees.
const CALLEE_OVERLOAD_PERMILLE: u16 = 20;

/// A call of the target that has ended.
pub(super) struct EndedCall<'a> {
    /// Id that the target gave to the call.
    pub(super) id: &'a str,
    /// Called service.
    pub(super) service: &'a ServiceName,
    /// Number of further calls that it caused.
    pub(super) downstream_calls: f64,
    /// Whether it failed because a service downstream is overloaded.
    pub(super) is_overload_failure: bool,
}

/// A call of the target that has not ended. Dropping it records the end.
pub(super) struct OpenCall {
    gate: Arc<Gate>,
    /// Run that makes the call; `None` if that is unknown.
    run: Option<StreamId>,
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        let now = self.gate.clock.now();
        self.gate.lock().pace.record_call_end(now, self.run);
    }
}

/// Calls that the target makes to other services while it runs requests.
impl Gate {
    /// Records that the target makes a call, until the returned guard is dropped.
    pub(super) fn open_call(self: &Arc<Gate>, id: &str) -> OpenCall {
        let now = self.clock.now();
        let mut state = self.lock();
        let run = state.runs.stream_of_parent(id);
        state.pace.record_call_start(now, run);
        drop(state);
        OpenCall { gate: Arc::clone(self), run }
    }

    /// Records a call of the target that has ended.
    pub(super) fn record_call(&self, call: &EndedCall<'_>) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.runs.record_call(call.id, call.service);
        state.call_stats.record_call(now, call.downstream_calls, call.is_overload_failure);
    }

    /// Probability that a call repeats an earlier one, if it is unknown which run made it.
    pub(super) fn mean_repeat_probability(&self) -> f32 {
        self.lock().runs.mean_repeat_probability()
    }

    /// Latest deadline of the requests that the target is running.
    pub(super) fn last_run_deadline(&self) -> Option<Duration> {
        self.lock().runs.last_deadline()
    }

    /// Lineage and workspace of a call made by the target, if its id identifies the run that made it.
    pub(super) fn lineage_of_call(&self, id: &str) -> Option<(Lineage, Option<WorkspaceName>)> {
        let state = self.lock();
        let parent = state.runs.parent_of(id)?;
        Some((parent.lineage.child(), parent.workspace.clone()))
    }

    /// Whether `id` is that of a call which a run of the target makes.
    pub(super) fn is_call_of_run(&self, id: &str) -> bool {
        self.lock().runs.parent_of(id).is_some()
    }

    /// Whether services that the target calls are overloaded.
    pub(super) fn has_overloaded_callees(&self) -> bool {
        self.lock().call_stats.overload_failure_permille(self.clock.now())
            >= CALLEE_OVERLOAD_PERMILLE
    }
}
