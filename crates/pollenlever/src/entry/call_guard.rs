use std::sync::Arc;

use pollenlever_core::id::CallId;
use pollenlever_core::policy::Event;

use super::EntryState;

/// Reports a call as cancelled if it is dropped before the answer arrives.
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
        self.state.disconnects.remove(self.call);
        if self.state.calls.remove(self.call) {
            let _ = self.state.events.push_blocking(Event::CallCancelled(self.call));
        }
    }
}
