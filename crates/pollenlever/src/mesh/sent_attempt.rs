use std::sync::Arc;
use std::time::Duration;

use pollenlever_core::id::NodeId;
use pollenlever_core::message::GateLoad;
use pollenlever_core::routing::Routing;

use super::MeshShared;

impl MeshShared {
    /// Notes that an attempt is sent; the guard takes how it ended.
    pub(super) fn note_sent(self: &Arc<MeshShared>, gate: NodeId, bytes: u64) -> SentAttempt {
        let now = self.clock.now();
        self.lock().routing.sent(now, gate, bytes);
        SentAttempt { shared: Arc::clone(self), gate, sent: now, is_open: true }
    }
}

/// An attempt that was sent and has not ended; dropped, it counts as given up.
pub(super) struct SentAttempt {
    shared: Arc<MeshShared>,
    gate: NodeId,
    sent: Duration,
    is_open: bool,
}

impl SentAttempt {
    /// Notes the reply.
    pub(super) fn replied(mut self, load: &GateLoad, bytes: u64) {
        self.is_open = false;
        let now = self.shared.clock.now();
        let latency = now.saturating_sub(self.sent);
        self.shared.lock().routing.replied(now, self.gate, latency, load, bytes);
    }

    /// Notes that there was no reply.
    pub(super) fn failed(mut self) {
        self.is_open = false;
        let now = self.shared.clock.now();
        self.shared.lock().routing.failed(now, self.gate);
        self.shared.member_lost(self.gate);
    }
}

impl Drop for SentAttempt {
    fn drop(&mut self) {
        if self.is_open {
            let now = self.shared.clock.now();
            self.shared.lock().routing.cancelled(now, self.gate);
        }
    }
}
