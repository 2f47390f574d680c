use std::sync::Arc;
use std::time::Duration;

use pollenlever_core::id::NodeId;
use pollenlever_core::message::GateLoad;
use pollenlever_core::routing::Routing;

use super::MeshShared;

impl MeshShared {
    /// Records that an attempt is sent; the returned guard records how it ended.
    pub(super) fn record_sent(self: &Arc<MeshShared>, gate: NodeId, bytes: u64) -> SentAttempt {
        let now = self.clock.now();
        self.lock().routing.record_sent(now, gate, bytes);
        SentAttempt { shared: Arc::clone(self), gate, sent_at: now, is_open: true }
    }
}

/// An attempt that was sent and has not ended; dropping it records a cancellation.
pub(super) struct SentAttempt {
    shared: Arc<MeshShared>,
    gate: NodeId,
    sent_at: Duration,
    is_open: bool,
}

impl SentAttempt {
    /// Records the reply.
    pub(super) fn record_reply(mut self, load: &GateLoad, bytes: u64) {
        self.is_open = false;
        let now = self.shared.clock.now();
        let latency = now.saturating_sub(self.sent_at);
        self.shared.lock().routing.record_reply(now, self.gate, latency, load, bytes);
    }

    /// Records that there was no reply, and marks the gate's node as lost.
    pub(super) fn record_no_reply(mut self) {
        self.is_open = false;
        let now = self.shared.clock.now();
        self.shared.lock().routing.record_failure(now, self.gate);
        self.shared.member_lost(self.gate);
    }
}

impl Drop for SentAttempt {
    fn drop(&mut self) {
        if self.is_open {
            let now = self.shared.clock.now();
            self.shared.lock().routing.record_cancelled(now, self.gate);
        }
    }
}
