use std::sync::Arc;

use pollenlever_core::id::CallId;
use pollenlever_core::policy::Event;

use super::EntryState;

/// Reports a call as cancelled if its task ends before the answer.
pub(super) struct CallGuard {
    state: Arc<EntryState>,
    call: CallId,
}

impl CallGuard {
    pub(super) fn new(state: Arc<EntryState>, call: CallId) -> CallGuard {
        CallGuard { state, call }
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.state.hangups.remove(self.call);
        if self.state.calls.forget(self.call) {
            let _ = self.state.events.push_wait(Event::CallCancelled(self.call));
        }
    }
}
